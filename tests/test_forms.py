"""Settings, requests, the engine list, days: what is taken, and how what is wrong is named."""
import msgspec
import pytest

from aniserudder.decisions.interface import Effect
from aniserudder.messages import codec
from aniserudder.messages.mapping import Estimate, Mapping, NoKey
from aniserudder.messages.vocabulary import Event, Vocabulary
from aniserudder.rehearsal.day import Day, find, shipped
from aniserudder.rehearsal.plan import draw
from aniserudder.roster import codec as lists
from aniserudder.settings import BadSettings, load_text

GOOD = """\
zone: home
kinds: {r: {role: reader}}
types:
  note: {effect: repeatable, models: [small], abandon_ms: 4000, abandon_ms_per_1000_tokens: 1000}
  post: {effect: once-only, token_pace_ms: 50}
customers:
  members: {keys: [key-of-members], allowance_per_s: 5}
rules: {answer_margin_ms: 50}
roster:
  rows:
    - {engine: r1, address: "127.0.0.1:1", kind: r, zone: home}
"""


def test_settings_become_the_modules():
    made = load_text(GOOD, "s").decisions_settings()
    assert made.types[0].effect is Effect.REPEATABLE and made.types[0].latency_slo == 1_500_000
    assert made.allowances == {"members": 5} and made.max_come_back == 500_000


@pytest.mark.parametrize("change, line", [
    (("role: reader", "role: readr"), "s:2: kinds.r.role: found 'readr', allowed: 'reader', 'writer' or 'mixed'"),
    (("abandon_ms: 4000", "abandon_ms: soon"), "s:4: types.note.abandon_ms: found 'soon', allowed: a valid number"),
    (("zone: home\n", "zone: home\nzoom: 1\n"), "s:2: zoom: no such key"),
    (("zone: home\n", ""), "s:1: zone: missing"),
    (("zone: home\n", "zone: home\nzone: away\n"), "s:2: key 'zone' was given on line 1 already"),
    (("{effect: once-only, token_pace_ms: 50}", "{effect: once-only, models: [small]}"),
     "s:1: the whole: types.post.models: 'small' stands with 'note' too"),
    (("kinds: {", "kinds: {{"), "s:3: not YAML"),
    (("rows:\n", "server: x:1\n  rows:\n"), "s:9: roster: exactly one of server, file and rows has to be given"),
    (("127.0.0.1:1", "nowhere"), "s:11: roster.rows.0.address: found 'nowhere'")])
def test_what_is_wrong_is_named(change, line):
    with pytest.raises(BadSettings) as wrong:
        load_text(GOOD.replace(*change), "s")
    assert wrong.value.problems[0].startswith(line), wrong.value.problems


def test_all_problems_are_named():
    with pytest.raises(BadSettings) as wrong:
        load_text(GOOD.replace("reader", "r").replace("4000", "-1"), "s")
    assert len(wrong.value.problems) == 2


def asked(**more):
    body = {"model": "small", "max_tokens": 50, "messages": [{"role": "user", "content": "x" * 400}], **more}
    return codec.decode(msgspec.json.encode(body))


def mapped(headers=(), **more):
    return Mapping(load_text(GOOD, "s")).request(asked(**more), dict(headers))


def test_mapping_by_model_key_and_text():
    r = mapped({"x-api-key": "key-of-members"}, system="y" * 4000, metadata={"session_id": "a"})
    p = r.prompt
    assert (p.traffic_type, p.customer, p.session, p.max_output) == ("note", "members", "members/a", 50)
    assert p.tokens == 1108 and p.shared_tokens == 1004 and p.shared == mapped(system="y" * 4000).prompt.shared
    assert p.time_left == 4_000_000 + 1_108_000 - 50_000 and r.whole


def test_mapping_by_headers():
    r = mapped({"x-traffic-type": "post", "x-abandon-after-ms": "900", "x-expected-output-tokens": "20",
                "idempotency-key": "k1", "authorization": "Bearer key-of-members"}, stream=True)
    assert (r.prompt.traffic_type, r.prompt.time_left, r.prompt.hint) == ("post", 850_000, 1_000_000)
    assert r.mark == "members/k1" and not r.token and not r.whole  # engines hear of marks for tokened types only


def test_sessions_of_two_customers_never_meet():
    keyed = mapped({"x-api-key": "key-of-members", "x-session-id": "a"}).prompt.session
    assert keyed != mapped({"x-session-id": "a"}).prompt.session


@pytest.mark.parametrize("headers, more, problem", [
    ({"x-abandon-after-ms": "soon"}, {}, "allowed: a number above 0"),
    ({"x-traffic-type": "odd"}, {}, "'odd' is not known, allowed: note, post"),
    ({}, {"model": "unheard"}, "no traffic type is named")])
def test_requests_that_cannot_be_mapped(headers, more, problem):
    with pytest.raises(codec.BadRequest, match=problem):
        mapped(headers, **more)


def test_a_key_that_is_nobodys():
    with pytest.raises(NoKey):
        mapped({"x-api-key": "stolen"})


@pytest.mark.parametrize("body", [b"", b"[]", b"{", b'{"model":"a"}', b'{"model":"a","max_tokens":0,"messages":[]}',
                                  b'{"model":"a","max_tokens":1,"messages":[{"role":"judge","content":""}]}', b"\xff\xfe"])
def test_bodies_that_cannot_be_read(body):
    with pytest.raises(codec.BadRequest):
        codec.decode(body)


def test_the_estimate_learns_from_counts_within_bounds():
    e = Estimate(4, 0, 0.5)
    for _ in range(20):
        e.counted(e.tokens(4000, 1), 800)
    assert 790 <= e.tokens(4000, 1) <= 812
    for _ in range(50):
        e.counted(1, 10**9)
    assert e.ratio <= 5


def test_vocabulary():
    assert Vocabulary({"text": "piece"})[Event.TEXT] == "piece"
    for bad, said in (({"txt": "a"}, "no such event"), ({"text": "message_stop"}, "is the name of text too")):
        with pytest.raises(ValueError, match=said):
            Vocabulary(bad)


ROW = '{"engine":"e1","address":"a:1","kind":"r","zone":"z"}'


@pytest.mark.parametrize("line", ["", "{}", "[1]", '{"rows":[{}]}', f'{{"rows":[{ROW},{ROW}]}}',
                                  '{"rows":[{"engine":"e","address":"a:1","kind":"r","zone":"z","size":0}]}'])
def test_lines_that_are_no_list(line):
    with pytest.raises(lists.BadLine):
        lists.decode(line.encode())


def test_a_restart_is_known_by_its_start_alone():
    row = lists.decode(f'{{"rows":[{ROW}]}}'.encode()).rows[0].model_copy(update={"started_at": 1_764_000_000.123456})
    assert lists.told(row, -1_763_999_000.7).started_at == lists.told(row, -1_763_999_000.7).started_at > 0
    assert lists.told(row.model_copy(update={"started_at": 0}), 5.0).started_at == 0


def test_a_day_is_drawn_by_its_seed():
    day = find("bad-day")
    one, same, other = draw(day, 4), draw(day, 4), draw(day, 5)
    assert one.digest == same.digest != other.digest
    assert [o.messages for o in one.ops] == [o.messages for o in same.ops]


def test_a_trouble_more_leaves_the_traffic_as_it_was():
    day = find("hang")
    fewer = day.model_copy(update={"troubles": day.troubles[:1]})
    assert [o.at for o in draw(day, 1).ops] == [o.at for o in draw(fewer, 1).ops]


def test_every_shipped_day_can_be_drawn():
    kinds = {"balancer_crash", "flush", "hang", "slow", "zone_cut", "preempt", "mass_restart", "pauses", "answer_lost",
             "give_up", "burst", "heavy_tail", "hot_key"}
    assert kinds | {"bad-day"} <= set(shipped())
    for name in shipped():
        assert draw(find(name), 1).ops
    for kind in kinds:
        assert kind in {t.trouble for t in find(kind).troubles}


@pytest.mark.parametrize("text, said", [
    ("about: x\nlike: fleet\ntroubles: [{at: 1, trouble: quake}]", "d:3: troubles.0.trouble: found 'quake'"),
    ("about: x\nlike: nothing", "like: 'nothing' is no shipped day"),
    ("about: x\nlike: fleet\ntroubles: [{at: 99, trouble: hang}]", "lies past the day's end"),
    ("about: x\nlike: fleet\ntroubles: [{at: 1, trouble: hang, kinds: [odd]}]", "kind 'odd' is none of engines'")])
def test_days_that_cannot_be_used(text, said):
    from aniserudder.rehearsal.day import _like
    with pytest.raises(BadSettings, match=said.replace("[", r"\[")):
        load_text(text, "d", Day, _like)
