"""The laboratory: its clock, its network, and days played with the real nodes in simulated time."""
import msgspec
import pytest
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionLost, ConnectionRefusedError, TimeoutError
from twisted.internet.protocol import Factory, Protocol

from aniserudder.lab.clock import HeapClock
from aniserudder.lab.experiment import Result, Results, bootstrap, carry_out, differences, find_plan
from aniserudder.lab.network import Network
from aniserudder.lab.report import page
from aniserudder.lab.stage import run
from aniserudder.rehearsal.audit import Record, audit
from aniserudder.rehearsal.day import Day, Fault, find
from aniserudder.rehearsal.plan import draw
from aniserudder.settings import BadSettings


class Ear(Protocol):
    """Notes what it hears, and when."""

    def __init__(self, clock, echo=False):
        self.clock, self.echo, self.heard, self.over = clock, echo, [], None

    def dataReceived(self, data):
        self.heard.append((round(self.clock.seconds(), 3), data))
        if self.echo:
            self.transport.write(data)

    def connectionLost(self, reason):
        self.over = reason.type

    def pauseProducing(self):
        self.paused = True

    def resumeProducing(self):
        self.paused = False


class Pair:
    """A server and a client process, 10 ms apart, and a connection between them."""

    def __init__(self, timeout=0.5):
        self.clock = HeapClock(0.0)
        self.network = Network(self.clock, lambda one, other: 0.01)
        self.server, self.client = self.network.process("server"), self.network.process("client")
        self.ears = []

        def made():
            self.ears.append(Ear(self.clock, echo=True))
            return self.ears[-1]
        self.port = self.server.listenTCP(0, Factory.forProtocol(made))
        self.failed, self.mine, self.timeout = [], None, timeout

    def connect(self):
        ear = Ear(self.clock)
        TCP4ClientEndpoint(self.client, "127.0.0.1", self.port.number, self.timeout).connect(
            Factory.forProtocol(lambda: ear)).addCallbacks(
            lambda p: setattr(self, "mine", p), lambda f: self.failed.append((round(self.clock.seconds(), 3), f.type)))
        return ear


def test_bytes_arrive_in_order_a_latency_later():
    p = Pair()
    ear = p.connect()
    p.clock.run(0.02)
    for n in range(3):
        ear.transport.write(b"%d" % n)
    p.clock.run(1)
    assert ear.heard == [(0.04, b"0"), (0.04, b"1"), (0.04, b"2")]


def test_a_closed_port_refuses_a_cut_one_is_silent():
    p = Pair()
    p.port.stopListening()
    p.connect()
    p.clock.run(1)
    assert p.failed == [(0.02, ConnectionRefusedError)]
    p = Pair()
    p.network.cut.add(p.port.number)
    p.connect()
    p.clock.run(1)
    assert p.failed == [(0.5, TimeoutError)]


def test_a_killed_process_resets_its_peers_and_runs_no_more():
    p = Pair()
    ear, ran = p.connect(), []
    p.server.callLater(0.5, ran.append, 1)
    p.clock.run(0.1)
    p.server.kill()
    ear.transport.write(b"x")
    p.connect()
    p.clock.run(1)
    assert ear.over is ConnectionLost and not ran and p.failed == [(0.12, ConnectionRefusedError)]
    assert p.ears[0].over is None and not p.ears[0].heard


def test_a_reader_that_pauses_pauses_the_writer():
    p = Pair()
    ear = p.connect()
    p.clock.run(0.1)
    ear.transport.registerProducer(ear, True)
    p.ears[0].transport.pauseProducing()
    ear.transport.write(b"x" * 100_000)
    assert ear.paused
    p.clock.run(0.2)
    assert not p.ears[0].heard and ear.paused
    p.ears[0].transport.resumeProducing()
    p.clock.run(0.3)
    assert not ear.paused and len(p.ears[0].heard[0][1]) == 100_000


def test_calls_of_one_moment_run_in_the_order_asked_for_and_cancelled_ones_not():
    clock, ran = HeapClock(0.0), []
    calls = [clock.callLater(1, ran.append, n) for n in range(5)]
    calls[2].cancel()
    clock.callLater(0.5, lambda: clock.callLater(0.5, ran.append, "later"))
    assert clock.run(2) == 6 and ran == [0, 1, 3, 4, "later"] and not calls[0].active()


def play(name, seed, tmp_path, **changes):
    day = find(name).model_copy(update=changes)
    done = run(day, draw(day, seed), seed, tmp_path, lambda line: None)
    assert not done.ran.trouble and not done.ran.unequal
    return done


def test_a_bad_day_keeps_the_rules_and_its_records_replay(tmp_path):
    done = play("bad-day", 5, tmp_path)
    verdict = audit(Record(done.ran.lines))
    assert not verdict.findings and verdict.sequences > 700 and done.ran.replayed > 3000
    assert {x["what"] for x in done.ran.lines} >= {"node_killed", "cut", "healed", "engine_down", "node_stopping"}


def test_a_day_is_the_same_each_time(tmp_path):
    first = play("preempt", 3, tmp_path / "a")
    again = play("preempt", 3, tmp_path / "b")
    other = play("preempt", 4, tmp_path / "c")
    assert first.ran.lines == again.ran.lines != other.ran.lines


@pytest.mark.parametrize("name", ["streams", "roster_gone"])
def test_other_days_keep_the_rules(name, tmp_path):
    done = play(name, 2, tmp_path, seconds=16, troubles=[f for f in find(name).troubles if f.at < 15])
    assert not audit(Record(done.ran.lines)).findings


def test_a_rule_that_is_broken_is_seen_here_too(tmp_path, monkeypatch):
    """A node that sends once-only sequences again."""
    from aniserudder.decisions.rules import Node
    monkeypatch.setattr(Node, "_repeats", lambda *_: True)
    monkeypatch.setattr(Node, "_may_send", lambda self, seq, engine: engine.listed)
    monkeypatch.setattr(Node, "_in_group", lambda self, seq, engine: True)  # the second look, as the bytes go out
    assert 2 in audit(Record(play("bad_engines", 1, tmp_path).ran.lines)).broken


def test_a_read_lost_over_a_cut_is_let_go_soon_after_it_heals(tmp_path):
    """Found by search: a reader's answer was lost and a cut began before the node called it off; the state lay for two seconds."""
    lost = dict(trouble="answer_lost", at=4.4, seconds=5, count=4, kinds=["prefill"], share=0.3)
    cut = dict(trouble="zone_cut", at=9, seconds=1.8, zone="east")
    troubles = [Fault(trouble="slow", at=1.4, seconds=0.9, kinds=["prefill"], late_s=0.5, size=2.5), Fault(**lost),
                Fault(trouble="reset_after", at=5.7, seconds=4.5, kinds=["mixed"], late_s=1.5), Fault(**cut)]
    done = play("fleet", 1, tmp_path, troubles=troubles)
    assert not audit(Record(done.ran.lines)).findings
    healed = next(x["at"] for x in done.ran.lines if x["what"] == "healed")
    assert not [x for x in done.ran.lines if x["what"] == "expired" and x["at"] > healed + 1_000_000]


def test_a_node_that_dies_just_before_the_end_does_not_keep_the_day_from_ending(tmp_path):
    crash = Fault(trouble="balancer_crash", at=8.5, seconds=3, count=4)
    assert not audit(Record(play("fleet", 1, tmp_path, seconds=9, troubles=[crash]).ran.lines)).findings


# Search.

def test_a_search_finds_a_fault_that_is_put_there_and_shrinks_it(monkeypatch):
    """A stand-in for playing: a cut after a crash breaks a rule, all else costs a little."""
    from aniserudder.lab import search

    def judged(job):
        names = [t["trouble"] for t in job[1]]
        bad = "zone_cut" in names and "balancer_crash" in names
        return search.Found(job[1], [3] if bad else [], 1 - 0.01 * len(names))

    class Here:
        map = staticmethod(lambda what, jobs: [what(j) for j in jobs])
    monkeypatch.setattr(search, "judge", judged)
    looking = search.Search(find("fleet"), 2, 1)
    found = looking.look(600, Here, 8, lambda line: None)
    small = looking.shrink(found, Here, lambda line: None)
    assert found.broken == [3] and sorted(t["trouble"] for t in small.troubles) == ["balancer_crash", "zone_cut"]
    assert all(t["seconds"] <= 1 or t["count"] == 1 for t in small.troubles)
    assert find_text(search.as_day("fleet", small, 1)).troubles


def find_text(text):
    from aniserudder.rehearsal.day import _like
    from aniserudder.settings import load_text
    return load_text(text, "found", Day, _like)


# Experiments.

SMALL = """
day: preempt
policies: [module, random]
seeds: 2
factors: {traffic.per_s: [6], seconds: [9], troubles: [[{at: 2, trouble: preempt, kinds: [decode], seconds: 1}]]}
"""


def small(tmp_path, text=SMALL):
    path = tmp_path / "plan.yaml"
    path.write_text(text)
    return find_plan(str(path))


def test_a_plan_gives_the_same_figures_on_one_process_and_on_four(tmp_path):
    plan = small(tmp_path)
    one, four = Results(str(tmp_path / "one")), Results(str(tmp_path / "four"))
    first = carry_out(plan, one, 1, lambda line: None)
    second = carry_out(plan, four, 4, lambda line: None)
    assert msgspec.json.encode(first) == msgspec.json.encode(second) and len(first) == 4
    assert all(not r.broken and not r.trouble for r in first) and first[0].policy == "module"


def test_a_plan_that_was_killed_goes_on_where_it_stopped(tmp_path, monkeypatch):
    plan, store, said = small(tmp_path), Results(str(tmp_path / "s")), []
    whole = carry_out(plan, store, 2, lambda line: None)
    cut = Results(str(tmp_path / "cut"))
    for cell, result in list(zip(plan.cells(), whole))[:3]:
        cut.keep(cell.key, result)
    cut.close()
    again = carry_out(plan, Results(str(tmp_path / "cut")), 2, said.append)
    assert again == whole and said[0] == "4 days, 3 of them are in the store" and len(said) == 2


@pytest.mark.parametrize("text, said", [
    ("day: preempt\nfactors: {traffic.nonsense: [1]}", "factors.traffic.nonsense: no such key of the day"),
    ("day: preempt\nfactors: {traffic.per_s: [-1]}", "factors"),
    ("day: preempt\nfactors: {traffic.per_s: []}", "has no levels"),
    ("day: no-such-day", "neither a shipped day"),
    ("day: preempt\npolicies: [luck]", "luck"),
    ("day: preempt\nfactors: {engines: [[]]}", "factors")])
def test_a_plan_that_cannot_be_carried_out_is_told_at_once(text, said, tmp_path):
    with pytest.raises(BadSettings, match=said):
        carry_out(small(tmp_path, text), Results(str(tmp_path / "s")), 1, lambda line: None)


def result(group, seed, share, levels=None):
    return Result(group, group, levels or {}, seed, [], 100, share, share, 80.0, 900.0, 0.0, 0.0, 0.0, {}, [share] * 20, 1)


def test_differences_are_paired_by_seed_and_have_intervals():
    results = [result(g, s, 0.5 + 0.1 * s + (0.02 if g == "b" else 0.0)) for g in "ab" for s in range(4)]
    apart = differences(results, "b", "a")
    assert apart.mean == pytest.approx(0.02) and apart.low == pytest.approx(0.02) and apart.high == pytest.approx(0.02)
    alone = bootstrap([r.in_slo for r in results if r.group == "a"])
    assert alone.low < alone.mean < alone.high and bootstrap([r.in_slo for r in results if r.group == "a"]) == alone
    with pytest.raises(BadSettings, match="none of the results"):
        differences(results, "b", "c")


def test_a_report_is_one_page_with_its_pictures(tmp_path):
    results = [result(g, s, 0.6 + 0.05 * s) for g in ("module", "random") for s in range(3)]
    files = page("a <title>", results, tmp_path / "r.html")
    text = files[0].read_text()
    assert len(files) == 4 and all(f.stat().st_size > 2000 for f in files)
    assert text.count("data:image/png;base64,") == 3 and "a &lt;title&gt;" in text and "http" not in text
