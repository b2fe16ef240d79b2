"""Streams that outlive their writers: journals, seams, turns, paces, readers, and the router that puts them together."""
from itertools import combinations
from random import Random

import pytest
from hypothesis import given, settings as examples, strategies as st

from aniserudder.core.router import StreamRules
from aniserudder.core.ports import Usage
from aniserudder.decisions.interface import Outcome
from aniserudder.streams.journal import OVERHEAD, Final, Journal, Shelf, digest
from aniserudder.streams.pace import PaceRules, Paces
from aniserudder.streams.readers import Backlog, ReaderRules, Refusal, returns
from aniserudder.streams.recovery import Broken, Order, Recovery, RecoveryRules, saveable
from aniserudder.streams.seam import Join, Misfit, Seam
from stand import MS, S, Bench

PIECES = ["Zwei ", "Boote ", "auf dem ", "湖 ", "und ein Kind ", "🛶 ", "né ", "."]


def journal(pieces=PIECES):
    made = Journal("s1", "members")
    for piece in pieces:
        made.add(piece)
    return made


# Journals and their shelf.

def test_a_journal_numbers_its_pieces_and_gives_back_any_run_of_them():
    made = journal()
    assert made.pieces == 8 and made.text() == "".join(PIECES)
    assert [made.text(n, n + 1) for n in range(8)] == PIECES
    assert made.text(3, 6) == "".join(PIECES[3:6]) and made.length == len("".join(PIECES).encode())


def test_nothing_is_added_after_the_final_event():
    made = journal()
    made.end(Final("generated", "stop"))
    made.end(Final("aborted", "second"))
    assert made.final.kind == "generated" and made.last == 9
    with pytest.raises(ValueError, match="after its final event"):
        made.add("more")


def test_the_cap_takes_the_oldest_finished_first_and_then_the_text_of_the_one_that_grows():
    shelf = Shelf(4 * OVERHEAD + 400, 10 * S)
    made = [shelf.open(f"s{n}", "members", n) for n in range(4)]
    for one in made[:2]:
        one.end(Final("generated", "stop"))
    made[2].add("x" * 500)
    assert shelf.find("s0") is None and shelf.find("s1") is made[1] and shelf.gone == 1
    made[3].add("x" * 700)
    assert shelf.find("s1") is None and shelf.given_up == 0
    made[3].add("x" * 1500)
    assert not made[3].whole and made[2].whole and shelf.given_up == 1 and shelf.used <= shelf.most
    with pytest.raises(LookupError):
        made[3].text()
    assert made[3].add("y") == 3  # its numbers go on


def test_a_finished_journal_is_kept_for_its_time():
    shelf = Shelf(1 << 20, 2 * S)
    shelf.open("s1", "members", 0).end(Final("generated", "stop"))
    shelf.tick(2 * S - 1)
    assert shelf.find("s1")
    shelf.tick(2 * S)
    assert shelf.find("s1") is None and shelf.used == 0


@examples(deadline=None, max_examples=60)
@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 300)), max_size=60))
def test_a_shelf_never_holds_more_than_its_cap_beside_the_journals_themselves(steps):
    shelf = Shelf(3000, S)
    live = {}
    for now, (n, size) in enumerate(steps):
        one = live.get(n) or live.setdefault(n, shelf.open(f"s{n}.{now}", "m", now))
        if size > 250:
            one.end(Final("aborted", ""))
            del live[n]
        else:
            one.add("x" * size)
        running = sum(j.size for j in live.values())
        assert shelf.used <= max(3000, sum(OVERHEAD + 8 * j.pieces for j in live.values()))
        assert shelf.used >= 0 and running <= shelf.used + 1


# Seams.

def joined(have, at, said, pieces):
    """What a client would have after a continuation, and the seam."""
    seam = Seam(have)
    seam.begins(at, said)
    return have.text() + "".join(seam.feed(p) for p in pieces), seam


def test_a_continuation_that_begins_where_the_text_ends():
    have = journal(PIECES[:3])
    text, seam = joined(have, have.length, have.beginning(have.length), PIECES[3:])
    assert text == "".join(PIECES) and seam.state is Join.FLOWS
    seam.ends()


@examples(deadline=None)
@given(st.integers(0, 8), st.integers(0, 8), st.data())
def test_an_overlap_is_swallowed_however_it_is_cut(sent, repeated, data):
    """Cut at every character: the client has the whole text, nothing missing and nothing doubled."""
    have, whole = journal(PIECES[:sent]), "".join(PIECES)
    begin = len("".join(PIECES[:min(sent, repeated)]))
    rest, cuts = whole[begin:], sorted(data.draw(st.lists(st.integers(0, len(whole) - begin), max_size=12)))
    pieces = [rest[a:b] for a, b in zip([0, *cuts], [*cuts, len(rest)])]
    at = len(whole[:begin].encode())
    text, seam = joined(have, at, digest(whole[:begin].encode()), [p for p in pieces if p])
    assert text == whole
    seam.ends()


@pytest.mark.parametrize("at, said, pieces, reason", [
    (9, "right", [], "a gap: it begins at 9, 5 bytes were sent"),
    (-1, "right", [], "a gap"),
    (5, "0" * 16, [], "it took another text for the first 5 bytes"),
    (0, "right", ["Drei "], "it repeats another text at byte 0"),
    (0, "right", ["Zw", "ai"], "it repeats another text at byte 2"),
    (None, "", ["Boote"], "does not say where it begins")])
def test_what_does_not_fit_is_caught(at, said, pieces, reason):
    have = journal(PIECES[:1])
    seam = Seam(have)
    with pytest.raises(Misfit, match=reason):
        if at is not None:
            seam.begins(at, have.beginning(max(0, min(5, at))) if said == "right" else said)
        for piece in pieces:
            seam.feed(piece)
    assert seam.state is Join.MISFIT


def test_an_answer_that_ends_within_the_overlap_does_not_fit():
    seam = Seam(journal(PIECES[:2]))
    seam.begins(0, digest(b""))
    seam.feed(PIECES[0])
    with pytest.raises(Misfit, match="ends at byte 5 of 11"):
        seam.ends()


# Turns.

CAPACITY = 100_000.0  # tokens a second of all readers

def broken(n, cost=1000, utility=1.0, due=4 * S, since=0):
    return Broken(n, cost, utility, due, since)


def play(recovery, until, step=10 * MS, now=0):
    """Turns and losses by time."""
    turns, lost = {}, {}
    while now < until:
        given, gone = recovery.due(now)
        turns |= {b.key: now for b in given}
        lost |= {b.key: now for b in gone}
        now += step
    return turns, lost


def test_a_single_loss_goes_on_at_once_under_every_policy():
    for order in Order:
        recovery = Recovery(RecoveryRules(order=order))
        recovery.broke(0, broken(1, cost=50_000), 1e5)
        assert [b.key for b in recovery.due(0)[0]] == [1], order


def test_three_hundred_at_once_are_read_no_faster_than_what_readers_have_free():
    recovery = Recovery(RecoveryRules(order=Order.FIFO))
    recovery.arrived(0, 250_000, 1.0)  # over 5 s: half of what they can
    for n in range(300):
        recovery.broke(0, broken(n, due=60 * S), CAPACITY)
    rate = recovery.rate(0)
    turns, lost = play(recovery, S)
    assert rate == pytest.approx(0.6 * 50_000) and 30 <= len(turns) <= 40
    assert not lost and list(turns) == sorted(turns)


def test_full_readers_still_read_a_little_again():
    recovery = Recovery(RecoveryRules())
    recovery.arrived(0, 600_000, 1.0)
    recovery.broke(0, broken(1), CAPACITY)
    assert recovery.rate(0) == 5_000


def test_what_cannot_be_saved_is_given_up_at_once_and_what_can_is_saved():
    recovery = Recovery(RecoveryRules(part=0.1, burst=0))
    for n in range(60):
        recovery.broke(0, broken(n, utility=1 + n % 3, due=2 * S), CAPACITY)
    turns, lost = play(recovery, 3 * S)
    assert len(turns) + len(lost) == 60 and 18 <= len(turns) <= 22
    assert all(n % 3 == 2 for n in list(turns)[:15])  # those of the highest utility
    assert sum(at == S // 2 for at in lost.values()) >= 12  # not even at twice the rate


@pytest.mark.parametrize("nodes", [4, 40, 140])
def test_many_nodes_together_read_again_what_one_would_and_the_densest_first(nodes):
    """Each sees a few of 280 lost streams; without talking they keep to the budget and to the order."""
    chance, taken, given_up = Random(5), [], []
    lost = [broken(n, cost=1000 + 100 * (n % 40), utility=1 + n % 3) for n in range(280)]
    sharing = [Recovery(RecoveryRules(), nodes=nodes) for _ in range(nodes)]
    for one in sharing:
        for _ in range(60):
            like = chance.choice(lost)
            one.arrived(0, like.cost, like.utility)
        one._read = 0.5 * CAPACITY / nodes * one._read_for / S
    for one in lost:
        chance.choice(sharing).broke(0, one, CAPACITY, 280 / nodes)
    for one in sharing:
        turns, gone = play(one, 4 * S, 50 * MS)
        taken += turns
        given_up += [at for at in gone.values()]
    read = sum(lost[n].cost for n in taken)
    assert 0.4 * 0.3 * CAPACITY * 4 < read < 1.5 * 0.3 * CAPACITY * 4
    mean = sum(b.utility / b.cost for b in lost) / len(lost)
    assert sum(lost[n].utility / lost[n].cost for n in taken) / len(taken) > 1.3 * mean
    assert sum(at == 0 for at in given_up) > len(given_up) / 2


def test_a_stream_that_was_lost_alone_waits_for_no_storm():
    recovery = Recovery(RecoveryRules(), nodes=140)
    for tokens in (500, 800, 1000, 3000):
        recovery.arrived(0, tokens, 1.0)
    recovery.broke(0, broken(1, cost=900), CAPACITY, 2.0)
    assert not recovery.due(0)[0]
    recovery.alone(10 * MS, 1)
    assert [b.key for b in recovery.due(10 * MS)[0]] == [1]


def test_a_stream_nothing_could_take_has_another_turn_a_little_later():
    recovery = Recovery(RecoveryRules())
    one = broken(1)
    recovery.broke(0, one, CAPACITY)
    assert recovery.due(0)[0] == [one]
    recovery.waits(0, one)
    assert recovery.due(S // 10)[0] == [] and recovery.wake_at(S // 10) >= S // 5
    assert recovery.due(4 * S + 1)[1] == [one]  # and its time goes by


def test_the_rate_follows_how_new_arrivals_fare():
    recovery = Recovery(RecoveryRules())
    recovery.broke(0, broken(1), CAPACITY)
    calm = recovery.rate(0)
    for n in range(40):
        recovery.fared(n * S // 10, 1.5)
    pressed = recovery.throttle
    for n in range(40, 90):
        recovery.fared(n * S // 10, 0.2)
    assert calm == 60_000 and pressed == RecoveryRules().least_throttle and recovery.throttle == 1.0


def test_what_readers_had_kept_is_given_back():
    recovery = Recovery(RecoveryRules())
    for n in range(20):
        recovery.broke(0, broken(n, cost=10_000), CAPACITY)
    first = len(recovery.due(0)[0])
    recovery.told(10_000, 100)
    assert first == 1 and recovery.due(0)[0] and recovery.anew < 0.95


def test_too_many_waiting_give_up_the_least_worth():
    recovery = Recovery(RecoveryRules(most=2))
    assert recovery.broke(0, broken(1), CAPACITY) is None and recovery.broke(0, broken(2, utility=0.1), CAPACITY) is None
    assert recovery.broke(0, broken(3), CAPACITY).key == 2


@examples(deadline=None, max_examples=80)
@given(st.lists(st.tuples(st.integers(1, 9), st.integers(1, 5), st.integers(0, 12)), min_size=1, max_size=8))
def test_saveable_is_feasible_and_near_the_best(jobs):
    ready = [Broken(n, cost, float(utility), due * S, 0) for n, (cost, utility, due) in enumerate(jobs)]

    def fits(some):
        ahead = 0
        for one in sorted(some, key=lambda b: b.due):
            if ahead > one.due // S:
                return False
            ahead += one.cost
        return True
    saved, out = saveable(ready, 0, 1.0)
    assert fits(saved) and len(saved) + len(out) == len(ready)
    best = max(sum(b.utility for b in some) for n in range(len(ready) + 1) for some in combinations(ready, n) if fits(some))
    assert sum(b.utility for b in saved) >= 0.4 * best
    if len({(b.cost, b.utility) for b in ready}) == 1:
        assert sum(b.utility for b in saved) == best


# Paces.

def run_streams(paces, gaps, until):
    """Streams with fixed gaps; when each was first found to trickle."""
    streams = {n: paces.began(f"w{n}", 0) for n in range(len(gaps))}
    found = {}
    for now in range(0, until, 10 * MS):
        for n, gap in enumerate(gaps):
            if now and now % gap == 0:
                paces.token(streams[n], now)
            if n not in found and paces.trickles(streams[n], now):
                found[n] = now
    return found


def test_a_writer_that_trickles_is_found_against_its_peers():
    found = run_streams(Paces(PaceRules()), [30 * MS, 40 * MS, 50 * MS, 2 * S], 8 * S)
    assert list(found) == [3] and found[3] <= 2 * S


def test_where_all_are_slow_none_trickles():
    assert run_streams(Paces(PaceRules()), [800 * MS, 900 * MS, 1000 * MS, 2 * S], 12 * S) == {}


def test_without_peers_nobody_is_judged():
    assert run_streams(Paces(PaceRules()), [30 * MS, 2 * S], 8 * S) == {}


# Clients that are slow or come back.

def test_a_client_that_takes_nothing_is_ended_and_one_that_is_merely_slow_is_not():
    backlog = Backlog(ReaderRules(least_per_s=1000, grace=S, most_age=5 * S))
    assert backlog.blocked(0, 20_000) == 5 * S and not backlog.too_slow(4 * S)
    assert "took nothing for 5.0 s" in backlog.too_slow(5 * S)
    assert backlog.blocked(0, 2_000) == 2 * S and "under 1000 bytes" in backlog.too_slow(2 * S + 1)


def test_a_writer_is_held_and_released_once_each():
    backlog = Backlog(ReaderRules(hold_bytes=1000))
    assert [backlog.hold(n) for n in (10, 1000, 2000, 600, 500, 0)] == [None, True, None, None, False, None]


@pytest.mark.parametrize("stream, last, owner, status", [
    ("seq-b1-7", "seq-b1-7.99", "members", 400),       # from the future
    ("seq-b1-7", "seq-b1-8.3", "members", 400),        # another stream's event
    ("seq-b1-7", "seq-b1-7.x", "members", 400),
    ("seq-b1-7", "rubbish", "members", 400),
    ("seq-b1-7", "seq-b1-7.3", "others", 404),         # another key
    ("seq-b1-7", "seq-b1-7.3", "", 404),
    ("seq-b1-8", "seq-b1-8.3", "members", 404),        # none is kept
    ("seq-b2-7", "seq-b2-7.3", "members", 421),        # another node's
    ("no-such", None, "members", 400)])
def test_who_may_not_return(stream, last, owner, status):
    with pytest.raises(Refusal) as refused:
        returns(stream, last, owner, "b1", journal() if stream == "seq-b1-7" else None)
    assert refused.value.status == status


def test_who_may_return_and_where():
    kept = journal()
    assert returns("seq-b1-7", "seq-b1-7.5", "members", "b1", kept) == 5
    assert returns("seq-b1-7", None, "members", "b1", kept) == 0
    kept.end(Final("generated", "stop"))
    assert returns("seq-b1-7", "seq-b1-7.13", "members", "b1", kept) == 13
    kept.drop()
    with pytest.raises(Refusal) as refused:
        returns("seq-b1-7", "seq-b1-7.5", "members", "b1", kept)
    assert refused.value.status == 410


# The router.

def bench(engines="r1 r2 w1 w2 w3 w4", **changes):
    return Bench(engines, streams=StreamRules(), streams_go_on=True, max_attempts=changes.pop("max_attempts", 9), **changes)


def goes_on(b, answer, *pieces):
    """The continuation that is out says where it begins, and writes."""
    text = "".join(answer.told)
    b.last.continues(len(text.encode()), digest(text.encode()))
    for piece in pieces:
        b.clock.advance(0.05)
        b.last.text(piece)


def broken_at(b, id="s1", kind="note", pieces=("a ", "b "), **more):
    answer = b.take(id, kind, **more)
    b.read()
    for piece in pieces:
        b.clock.advance(0.05)
        b.last.text(piece)
    b.last.ended(Outcome.CUT, reason="connection lost")
    b.clock.advance(0.01)
    return answer


def test_a_broken_stream_goes_on_elsewhere_with_its_text_so_far():
    b = bench()
    answer = broken_at(b)
    first = b.engines.sent[1]
    assert b.last.reads and b.last.request.forced == "a b " and b.last.request.prompt.tokens == 3002
    b.read()
    assert b.last.engine != first.engine and b.last.request.prompt.max_output == 98
    goes_on(b, answer, "c ")
    b.last.ended(Outcome.GENERATED, Usage(3002, 0, 1))
    assert answer.told == ["a ", "b ", "c ", "generated 3"] and not b.router.flights
    assert b.router.counts.gone_on == 1 and 0 < b.router.pauses[0] < S


def test_late_bytes_of_the_old_writer_reach_nobody():
    b = bench()
    answer = broken_at(b)
    old = b.engines.sent[1]
    b.read()
    goes_on(b, answer, "c ")
    old.text("x ")
    old.ended(Outcome.GENERATED, Usage(3000, 0, 9))
    b.last.ended(Outcome.GENERATED, Usage(3002, 0, 1))
    old.text("y ")
    assert answer.told == ["a ", "b ", "c ", "generated 3"]


def test_a_second_and_a_third_writer_die_too():
    b = bench()
    answer = broken_at(b)
    for piece in ("c ", "d "):
        b.read()
        goes_on(b, answer, piece)
        b.last.ended(Outcome.CUT)
        b.clock.advance(0.3)
    b.read()
    goes_on(b, answer, "e ")
    b.last.ended(Outcome.GENERATED, Usage(3004, 0, 1))
    assert answer.told == ["a ", "b ", "c ", "d ", "e ", "generated 5"]


def test_attempts_are_bounded():
    b = bench(max_attempts=4)
    answer = broken_at(b)
    b.read()
    goes_on(b, answer, "c ")
    b.last.ended(Outcome.CUT)
    assert answer.told[-1].startswith("aborted") and not b.router.flights and len(b.engines.sent) == 4


def test_once_only_is_aborted_at_once():
    b = bench()
    answer = broken_at(b, kind="post")
    assert answer.told[-1] == "aborted: cut: connection lost" and len(b.engines.sent) == 2 and not b.router.flights


def test_tokened_goes_on_inside_its_window_and_not_after_it():
    b = bench()
    answer = broken_at(b, kind="mark")
    b.read()
    goes_on(b, answer, "c ")
    b.last.ended(Outcome.GENERATED, Usage(3002, 0, 1))
    assert answer.told[-1] == "generated 3"
    answer = b.take("s2", "mark")
    b.read()
    b.last.text("a ")
    b.clock.advance(5.1)
    b.last.ended(Outcome.CUT)
    assert answer.told[-1].startswith("aborted") and not b.router.flights


def test_the_last_event_alone_was_lost():
    """All that may be written was written: no engine is needed for the end."""
    b = bench()
    answer = b.take("s1")
    b.read()
    for n in range(100):
        b.last.text("x ")
    b.last.ended(Outcome.CUT)
    assert answer.told[-1] == "generated 100" and len(b.engines.sent) == 2 and not b.router.flights


def test_a_writer_that_adds_nothing_ends_the_stream():
    b = bench()
    answer = broken_at(b)
    b.read()
    goes_on(b, answer)
    b.last.ended(Outcome.GENERATED, Usage(3002, 0, 0))
    assert answer.told == ["a ", "b ", "generated 2"] and not b.router.flights


@pytest.mark.parametrize("says", [None, (0, "0" * 16), (99, "0" * 16), (4, "0" * 16)])
def test_a_writer_that_ignores_the_forced_beginning_is_caught(says):
    b = bench()
    answer = broken_at(b)
    b.read()
    if says:
        b.last.continues(*says)
    b.last.text("another text ")
    assert answer.told[:2] == ["a ", "b "] and answer.told[-1].startswith("aborted: error: the continuation does not fit")
    assert len(answer.told) == 3 and b.router.counts.misfits == 1 and not b.router.flights
    assert f"call off s1/{b.last.ordinal}" in b.engines.did


def test_the_client_leaves_in_the_gap():
    b = bench()
    answer = broken_at(b)
    sent = len(b.engines.sent)
    b.router.client_left("s1")
    assert not b.router.flights and answer.told == ["a ", "b "] and b.engines.did[-1].startswith("call off")
    b.clock.advance(9)
    assert len(b.engines.sent) == sent and not b.router.recovery.waiting


def test_a_pause_is_bounded_and_ends_with_an_answer():
    b = bench("r1 w1")  # nothing else can take it: the writer is tried last and is silent
    answer = b.take("s1")
    b.read()
    b.last.text("a ")
    b.router.roster([], True)
    b.last.ended(Outcome.CUT)
    b.clock.advance(1)
    assert answer.told == ["a "] and b.router.flights  # it waits for an engine to come back
    for _ in range(40):
        b.clock.advance(0.1)
    assert answer.told[-1].startswith(("aborted", "rejected")) and not b.router.flights
    assert not b.router.recovery.waiting


def test_an_engine_that_comes_back_in_the_pause_takes_it():
    from aniserudder.decisions.interface import Availability, RosterRow
    b = bench("r1 w1")
    answer = b.take("s1")
    b.read()
    b.last.text("a ")
    b.router.roster([], True)
    b.last.ended(Outcome.CUT)
    b.clock.advance(0.5)
    b.router.roster([RosterRow(n, n[0], "east", Availability.RUNNING, 0, 1.0, 1) for n in ("r1", "w2")], True)
    b.clock.advance(0.3)
    b.read()
    goes_on(b, answer, "b ")
    b.last.ended(Outcome.GENERATED, Usage(3001, 0, 1))
    assert answer.told == ["a ", "b ", "generated 2"]


def test_a_cold_engine_as_the_only_one_left_is_not_pushed_over():
    from aniserudder.decisions.interface import Availability, RosterRow
    b = bench("r1 w1")
    for n in range(30):
        answer = b.take(f"s{n}")
        b.read()
        b.last.text("a ")
    writers = [a for a in b.engines.sent if not a.reads]
    rows = [RosterRow("r1", "r", "east", Availability.RUNNING, 0, 1.0, 1),
            RosterRow("w2", "w", "east", Availability.RUNNING, b.router.now(), 1.0, 1)]
    b.router.roster(rows, True)
    before = len(b.engines.sent)
    for one in writers:
        one.ended(Outcome.CUT)
    b.clock.advance(0.2)
    cold = [a for a in b.engines.sent[before:] if a.engine == "w2"]
    assert len(cold) <= 0.3 * 2.5 * 30 and b.router.flights and answer.told == ["a "]


def test_a_held_state_is_let_go_while_a_stream_waits():
    b = bench("r1 w1 w2")
    answer = broken_at(b)
    b.router.roster([r.row for r in b.router.node.engines.values() if r.id == "r1"], True)
    b.read()  # read again, and now there is no writer
    assert b.engines.did[-1] == f"let go s1/{b.last.ordinal} at r1" and answer.told == ["a ", "b "]


def beside_peers(b, kind="note"):
    """A stream that has had one piece, beside six others; those of them that run at other engines."""
    peers = []
    for n in range(6):
        b.take(f"p{n}")
        b.read()
        b.last.text("p ")
        peers.append(b.last)
    answer = b.take("slow", kind)
    b.read()
    b.last.text("a ")
    return answer, b.last, [p for p in peers if p.engine != b.last.engine]


def peers_write(b, others, times):
    for _ in range(times):
        b.clock.advance(0.05)
        for one in others:
            one.text("p ")


def test_a_trickling_writer_is_left_for_another():
    b = bench()
    answer, slow, others = beside_peers(b)
    assert len({p.engine for p in others}) >= 2
    peers_write(b, others, 60)
    assert b.router.counts.moved >= 1 and f"call off slow/{slow.ordinal}" in b.engines.did
    b.read()
    goes_on(b, answer, "b ")
    b.last.ended(Outcome.GENERATED, Usage(3001, 0, 1))
    assert answer.told == ["a ", "b ", "generated 2"] and b.last.engine != slow.engine


def test_a_once_only_stream_that_trickles_is_left_where_it_is():
    b = bench()
    answer, slow, others = beside_peers(b, "post")
    peers_write(b, others, 60)
    assert answer.told == ["a "] and f"call off slow/{slow.ordinal}" not in b.engines.did


def test_a_stream_held_for_its_client_does_not_trickle():
    b = bench()
    answer, slow, others = beside_peers(b)
    b.router.hold("slow", True)
    peers_write(b, others, 60)
    assert f"hold slow/{slow.ordinal}" in b.engines.did and f"call off slow/{slow.ordinal}" not in b.engines.did


def test_the_journals_cap_makes_an_honest_abort():
    b = bench()
    shelf = Shelf(1000, S)
    answer = b.take("s1", journal=shelf.open("s1", "", 0))
    b.read()
    b.last.text("x" * 900)
    b.last.ended(Outcome.CUT)
    assert answer.told[-1].startswith("aborted") and not b.router.flights and shelf.given_up == 1


def test_three_hundred_streams_lost_at_once_are_spread_and_each_is_answered():
    b = bench("r1 r2 w1 w2")
    answers, writers = [], []
    for n in range(300):
        answers.append(b.take(f"s{n}", tokens=600))
        if b.last.reads:
            b.last.ended(Outcome.READ, Usage(600), {"block": n})
        b.last.text("a ")
        writers.append(b.last)
    before = len(b.engines.sent)
    for one in writers:
        one.ended(Outcome.CUT)
    b.clock.advance(0.001)
    first = len(b.engines.sent) - before
    done = before
    for _ in range(1000):
        for out in b.engines.sent[done:]:
            if out.reads:
                out.ended(Outcome.READ, Usage(601), {"block": out.seq_id})
            else:
                out.continues(2, digest(b"a "))
                out.ended(Outcome.GENERATED, Usage(601, 0, 0))
            done += 1
        b.clock.advance(0.01)
    assert first < 100 < len(b.engines.sent) - before and b.router.counts.gone_on > 60
    finals = [[t for t in a.told if t.startswith(("generated", "aborted", "rejected"))] for a in answers]
    assert all(len(f) == 1 for f in finals) and not b.router.flights


def test_a_whole_answer_goes_on_within_its_own_time():
    b = bench()
    answer = broken_at(b, whole=True)
    b.read()
    goes_on(b, answer, "c ")
    b.last.ended(Outcome.GENERATED, Usage(3002, 0, 1))
    assert answer.told[-1] == "generated 3"
    answer = broken_at(b, "s2", whole=True)
    for _ in range(70):
        b.clock.advance(0.1)
    assert answer.told[-1].startswith(("aborted", "rejected")) and not b.router.flights


def test_the_record_of_broken_streams_replays_alike():
    import io
    from aniserudder.core import Record, replay
    out = io.BytesIO()
    b = bench(recorder=Record(out))
    answer = broken_at(b)
    b.read()
    goes_on(b, answer, "c ")
    b.last.ended(Outcome.GENERATED, Usage(3002, 0, 1))
    broken_at(b, "s2")
    b.router.client_left("s2")
    lines = out.getvalue().splitlines(keepends=True)
    assert any(b'"goes on"' in line for line in lines) and replay(lines).calls == len(lines) - 1


def test_a_stream_that_has_to_stay_is_not_asked_about_at_every_look():
    import io
    from aniserudder.core import Record
    out = io.BytesIO()
    b = bench(recorder=Record(out))
    answer, slow, others = beside_peers(b, "post")
    peers_write(b, others, 100)
    asked = [line for line in out.getvalue().splitlines() if b'"call":"trickles","at"' in line and b'"seq":"slow"' in line]
    assert 1 <= len(asked) <= 6  # of some sixteen looks
