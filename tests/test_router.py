"""The library on a simulated clock: what it carries out, what it keeps to, and its decision record."""
import io

import pytest

from aniserudder.core import Record, Unequal, Usage, replay
from aniserudder.decisions.interface import Outcome
from stand import Bench


def test_the_ordinary_way():
    b = Bench()
    answer = b.take("s1")
    b.read()
    b.write()
    assert b.engines.did == ["read s1/0 at r1", f"write s1/1 at {b.last.engine} with state"]
    assert answer.told == ["w1", "w2", "generated 2"]
    assert not b.router.flights and b.router.counts.generated == 1


def test_once_only_is_aborted_when_its_writer_dies_after_the_first_event():
    b = Bench()
    answer = b.take("s1", "post")
    b.read()
    b.last.text("w1")
    b.last.ended(Outcome.CUT, reason="connection lost")
    assert answer.told == ["w1", "aborted: cut: connection lost"]
    assert len(b.engines.sent) == 2 and not b.router.flights


def test_once_only_goes_on_only_where_it_never_ran():
    b = Bench()
    answer = b.take("s1", "post")
    b.read()
    first = b.last.engine
    b.last.ended(Outcome.NO_ROUTE)
    assert b.last.engine != first and not b.last.reads
    b.last.ended(Outcome.CUT)
    assert [t.split(":")[0] for t in answer.told] == ["aborted"] and len(b.engines.sent) == 3


def test_what_comes_after_the_client_left_is_passed_over():
    b = Bench()
    answer = b.take("s1")
    b.read()
    out = b.last
    out.text("w1")
    b.router.client_left("s1")
    assert b.engines.did[-1] == "call off s1/1" and not b.router.flights
    out.text("w2")
    out.ended(Outcome.GENERATED, Usage(1, 0, 1))
    b.router.client_left("s1")
    assert answer.told == ["w1"] and b.router.counts.left == 1


def test_an_engine_that_answers_for_a_sequence_no_longer_held():
    b = Bench()
    answer = b.take("s1")
    late = b.last
    b.clock.advance(7)  # reads time out one after the other, then the client's time is up
    assert not b.router.flights
    told = list(answer.told)
    late.ended(Outcome.READ, Usage(3000), {"block": 0})
    late.text("w1")
    assert answer.told == told and len([t for t in told if t.startswith(("rejected", "aborted"))]) == 1


def test_a_state_that_expired_is_read_anew_and_let_go():
    b = Bench("r1 r2 w1 w2")
    answer = b.take("s1")
    b.read()
    reader = b.engines.sent[0].engine
    b.last.ended(Outcome.NO_STATE)
    assert f"let go s1/0 at {reader}" in b.engines.did
    assert b.last.reads and b.last.engine != reader
    b.read()
    b.write()
    assert answer.told[-1] == "generated 2"
    assert b.engines.did.count(f"let go s1/0 at {reader}") == 2  # again at the start: across a cut it may have lasted


def test_a_held_state_is_let_go_when_the_client_leaves_before_a_writer_has_it():
    b = Bench()
    b.take("s1")
    b.read()
    b.router.client_left("s1")
    assert b.engines.did[-2:] == ["call off s1/1", "let go s1/0 at r1"]


def test_a_whole_answer_keeps_its_abandon_time():
    b = Bench()
    answer = b.take("s1", whole=True)
    b.read()
    for _ in range(70):
        b.clock.advance(0.1)
        b.last.text("w")
    assert answer.told[-1] == "aborted: timed out: the client's time is up"
    assert b.engines.did[-1] == "call off s1/1" and not b.router.flights


def test_a_started_stream_has_no_abandon_time():
    b = Bench()
    answer = b.take("s1")
    b.read()
    b.last.text("w1")
    b.clock.advance(30)
    b.write()
    assert answer.told[-1] == "generated 2"


def test_nothing_can_serve_is_answered_at_once():
    b = Bench("")
    assert b.take("s1").told == ["rejected, come back in 250 ms"] and not b.router.flights


def test_a_fault_in_the_module_costs_no_answer(monkeypatch):
    b = Bench()
    monkeypatch.setattr(b.router.node, "ended", lambda *_: 1 / 0)
    answer = b.take("s1")
    b.read()
    assert answer.told == ["aborted: internal failure"] and not b.router.flights
    assert b.engines.did[-1] == "let go s1/0 at r1"
    monkeypatch.undo()
    other = b.take("s2")
    b.read()
    b.write()
    assert other.told[-1] == "generated 2"


def test_giving_up_all_answers_all():
    b = Bench()
    answers = [b.take(f"s{n}", "post") for n in range(4)]
    b.read()
    b.last.text("w1")
    quiet = []
    b.router.on_quiet = lambda: quiet.append(True)
    b.router.give_up_all("the node is stopping")
    assert all(len([t for t in a.told if t.startswith(("rej", "abort"))]) == 1 for a in answers)
    assert not b.router.flights and quiet == [True]


def test_engines_that_call_back_at_once():
    b = Bench()
    b.engines.send = lambda attempt: attempt.ended(Outcome.FULL)
    answer = b.take("s1")
    assert answer.told == ["rejected, come back in 250 ms"] and not b.router.flights


def test_two_routers_in_one_process_share_nothing():
    one, alone = Bench(), Bench()
    other = Bench()
    for b in (one, other):
        for n in range(4):
            b.take(f"s{n}")
    other.engines.sent[0].ended(Outcome.CUT)
    other.clock.advance(9)
    for n in range(4):
        alone.take(f"s{n}")
    assert one.engines.did == alone.engines.did and len(one.router.flights) == 4 and not other.router.flights


def recorded():
    out = io.BytesIO()
    b = Bench(recorder=Record(out), seed=5)
    for n in range(6):
        b.take(f"s{n}", ("note", "mark", "post")[n % 3])
        b.read()
        b.write() if n % 2 else b.last.ended(Outcome.ERROR)
    b.router.client_left("s4")
    b.clock.advance(9)
    return out.getvalue().splitlines(keepends=True)


def test_a_decision_record_replays_alike():
    lines = recorded()
    done = replay(lines)
    assert done.calls == len(lines) - 1 and done.sequences == 6


def test_a_decision_record_that_was_altered_does_not():
    lines = recorded()
    number = next(n for n, line in enumerate(lines) if b'"state":"writing","engine":"w' in line)
    lines[number] = lines[number].replace(b'"writing","engine":"w', b'"writing","engine":"v')
    with pytest.raises(Unequal, match=f"line {number + 1}: recorded"):
        replay(lines)


def test_a_torn_last_line_is_passed_over_and_a_torn_other_one_is_not():
    lines = recorded()
    assert replay([*lines[:-1], lines[-1][:20]]).calls == len(lines) - 2
    with pytest.raises(Unequal, match="line 4"):
        replay([*lines[:3], lines[3][:20] + b"\n", *lines[4:]])
    with pytest.raises(Unequal, match="line 1"):
        replay([])
