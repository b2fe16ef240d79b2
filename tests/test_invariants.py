"""The guard that permits sends, and the monitor that counts what must never happen: each rule is broken by hand and seen."""
import pytest

from aniserudder.core.guard import Denial, Dispatch, DispatchGuard
from aniserudder.core.invariants import InvariantMonitor, Violation
from aniserudder.decisions.interface import Availability, Effect, Outcome, RosterRow
from stand import Bench
from test_large_fleets import Fleet

S, MS, LIMIT = 1_000_000, 1_000, 300_000


def row(engine, availability=Availability.RUNNING):
    return RosterRow(engine, "w", "east", availability, 0, 1.0, 1)


class Followed:
    """A monitor with one request ``a`` of one second and two engines."""

    def __init__(self, effect=Effect.REPEATABLE):
        self.lines = []
        self.monitor = InvariantMonitor(lambda event, **fields: self.lines.append((event, fields["reason"])))
        self.monitor.roster([row("w1"), row("w2")], True)
        self.monitor.taken("a", S, effect, S // 2)

    def sent(self, at=0, engine="w1", ordinal=0, told=None):
        self.monitor.sent("a", ordinal, engine, S - at if told is None else told, at)
        return self

    def ended(self, outcome=Outcome.ERROR, ordinal=0, reads=False):
        self.monitor.ended("a", ordinal, outcome, reads)
        return self

    @property
    def seen(self):
        return [violation for violation, count in self.monitor.violations.items() for _ in range(count)]


def test_a_request_that_is_read_written_retried_and_answered_breaks_nothing():
    one = Followed(Effect.ONCE_ONLY)
    one.sent().ended(Outcome.READ, reads=True).sent(100, ordinal=1).ended(Outcome.FULL, 1).sent(200, "w2", 2)
    one.monitor.started("a")
    one.monitor.answered("a", 9 * S)
    one.ended(Outcome.GENERATED, 2).monitor.forgotten("a")
    assert one.seen == [] and one.lines == []


@pytest.mark.parametrize("effect, events, violation", [
    (Effect.REPEATABLE, lambda o: (o.monitor.answered("a", 1), o.sent(2)), Violation.SENT_AFTER_ANSWER),
    (Effect.REPEATABLE, lambda o: (o.monitor.answered("a", 1), o.monitor.forgotten("a"), o.sent(2)), Violation.SENT_AFTER_ANSWER),
    (Effect.REPEATABLE, lambda o: (o.monitor.left("a"), o.sent(2)), Violation.SENT_AFTER_CLIENT_LEFT),
    (Effect.REPEATABLE, lambda o: (o.sent(1), o.sent(2, ordinal=1)), Violation.SENT_BESIDE_ANOTHER),
    (Effect.REPEATABLE, lambda o: (o.monitor.roster([row("w1", Availability.DRAINING)], False), o.sent(2)), Violation.SENT_TO_WITHDRAWN_ENGINE),
    (Effect.REPEATABLE, lambda o: (o.monitor.roster([row("w2")], True), o.sent(2)), Violation.SENT_TO_WITHDRAWN_ENGINE),
    (Effect.REPEATABLE, lambda o: (o.sent(5), o.monitor.roster([row("w2")], True, 9, 3)), Violation.SENT_ON_UNCONFIRMED_LIST),
    (Effect.ONCE_ONLY, lambda o: (o.sent(1), o.ended(), o.sent(2, ordinal=1)), Violation.REPEATED_ONCE_ONLY),
    (Effect.TOKENED, lambda o: (o.sent(1), o.ended(), o.sent(600_000, ordinal=1)), Violation.REPEATED_OUTSIDE_WINDOW),
    (Effect.REPEATABLE, lambda o: o.sent(0, told=S + 160_000), Violation.DEADLINE_BEYOND_CLIENT),
    (Effect.REPEATABLE, lambda o: (o.monitor.answered("a", 1), o.monitor.answered("a", 2)), Violation.SECOND_ANSWER),
    (Effect.REPEATABLE, lambda o: o.monitor.answered("a", S + 600_000), Violation.LATE_ANSWER),
    (Effect.REPEATABLE, lambda o: o.monitor.forgotten("a"), Violation.UNANSWERED),
    (Effect.REPEATABLE, lambda o: o.monitor.closed_unanswered("its descriptor was needed", 1), Violation.CLOSED_UNANSWERED)])
def test_each_broken_rule_is_counted_once_and_logged(effect, events, violation):
    one = Followed(effect)
    events(one)
    assert one.seen == [violation]
    [(event, reason)] = one.lines
    assert event == "invariant violated" and reason.startswith(violation.value)


@pytest.mark.parametrize("sent_at, moved, violations", [(2 * S, False, 0), (3 * S, True, 0), (8 * S, True, 1)])
def test_a_send_is_judged_by_the_list_that_was_asked_for_before_it(sent_at, moved, violations):
    """A list that was told permits it, for 4 s behind a move too; so does silence that a call before the send cannot end any more."""
    one = Followed()
    if moved:
        one.monitor.roster([row("w1"), row("w2")], True, 1, 0)
        one.monitor.source_moved(2 * S)
    one.monitor.sent("a", 0, "w1", 0, sent_at)
    one.monitor.roster([row("w2")], True, 9 * S, 2 * S if moved else 5 * S)
    assert one.monitor.violations[Violation.SENT_ON_UNCONFIRMED_LIST] == violations


def test_tokened_repeats_inside_their_window_and_what_was_never_sent_break_nothing():
    one = Followed(Effect.TOKENED)
    one.sent(1).ended().sent(400_000, ordinal=1).ended(Outcome.CUT, 1)
    other = Followed(Effect.ONCE_ONLY)
    other.ended(Outcome.TIMED_OUT, 0).sent(5, ordinal=1)
    assert one.seen == other.seen == []


@pytest.mark.parametrize("dispatch, here, listed, allowed, denial", [
    (Dispatch("a", 0, False, False, 10), True, True, True, None),
    (Dispatch("a", 0, True, False, 10), True, True, True, Denial.ANSWERED),
    (Dispatch("a", 0, False, True, 10), True, True, True, Denial.SUPERSEDED),
    (Dispatch("a", 0, False, False, 10), False, True, True, Denial.CLIENT_GONE),
    (Dispatch("a", 0, False, False, 10), True, False, True, Denial.UNCONFIRMED),
    (Dispatch("a", 0, False, False, 10), True, True, False, Denial.WITHDRAWN),
    (Dispatch("a", 0, False, False, 5), True, True, True, Denial.NO_TIME)])
def test_the_guard_says_why_it_denies_and_counts_it(dispatch, here, listed, allowed, denial):
    guard = DispatchGuard(lambda request: here, lambda now: listed, lambda now, request, ordinal: allowed)
    assert guard.examine(dispatch, 5) is denial
    assert guard.permitted == (denial is None) and sum(guard.denials.values()) == (denial is not None)


def test_a_router_whose_guard_is_broken_by_hand_is_caught_by_its_monitor():
    """The client has left, and the guard lets the attempt out all the same."""
    bench = Bench(may_recall=False)
    bench.router.guard.examine = lambda dispatch, now: None
    bench.take("a")
    attempt = bench.last
    bench.router.invariants.ended("a", attempt.ordinal, Outcome.NOT_SENT, True)
    bench.router.client_left("a")
    attempt.goes_out()
    assert bench.router.invariants.violations[Violation.SENT_AFTER_CLIENT_LEFT] == 1


def test_an_attempt_given_up_before_a_byte_went_out_has_not_run():
    """Its connection did not come up before its client's time was over: another try is harmless, also of what must run once only."""
    bench = Bench("w1")
    bench.engines.send = bench.engines.sent.append  # the connection never comes up
    answer = bench.take("a", "post")
    bench.clock.advance(6.1)
    assert answer.told and answer.told[0].startswith("rejected") and not bench.router.invariants.total


def test_what_is_held_too_long_is_counted_from_its_arrival_and_not_while_it_is_claimed():
    one = Followed()
    one.monitor.state_held("a", 0)
    one.monitor.state_gone("a", 640_000, 300_000)  # 300 ms, and 350 of slack
    one.monitor.state_held("a", 0)
    one.monitor.fetch_sent("a", "w1", 20_000)
    one.monitor.engine_spoke("w1", 90_000)
    one.monitor.state_waits("a", 2 * S)
    one.monitor.state_gone("a", 2 * S + 600_000, 300_000)
    assert one.seen == []
    one.monitor.state_held("a", 0)
    one.monitor.fetch_sent("a", "w1", 20_000)
    one.monitor.engine_spoke("w1", 60_000)  # it may have said that before the attempt came
    one.monitor.engine_spoke("w2", 90_000)
    one.monitor.fetch_did_not_arrive("a", 500_000)  # one that has not shown that a running engine has it stopped no clock
    one.monitor.state_gone("a", 700_000, 300_000)
    assert one.seen == [Violation.HELD_TOO_LONG]


def test_a_client_whose_end_lay_unread_while_an_attempt_went_out_is_counted():
    one = Followed()
    one.sent(500_000)
    one.monitor.left("a", 450_000)
    assert one.seen == []
    one.monitor.left("a", 350_000)
    assert one.seen == [Violation.SENT_AFTER_CLIENT_LEFT]


@pytest.mark.parametrize("calls, broken", [(6, 0), (40, 1)])
def test_calls_to_an_engine_that_has_just_started_are_counted(calls, broken):
    """Ten warm readers take 200 prompts between them while one more is cold at 0.3: at most 15 of them are its part, and chance."""
    monitor = InvariantMonitor(lambda event, **fields: None, Fleet(1).node.settings)
    warm, fresh = [RosterRow(f"r{i}", "r", "a", Availability.RUNNING, 0, 1.0, 1) for i in range(10)], RosterRow(
        "cold", "r", "a", Availability.RUNNING, 100 * S, 1.0, 1)
    monitor.roster([*warm, fresh], True, 100 * S)
    for number in range(200):
        monitor.taken_up(f"r{number % 10}", 100 * S + number * 1000)
    for number in range(calls):
        monitor.taken(f"q{number}", 200 * S, Effect.REPEATABLE, S)
        monitor.sent(f"q{number}", 0, "cold", S, 101 * S)
    assert (monitor.violations[Violation.COLD_ENGINE_OVERLOADED] > 0) == broken
    assert monitor.total == monitor.violations[Violation.COLD_ENGINE_OVERLOADED]


def test_what_is_held_and_never_released_is_counted_once():
    one = Followed()
    one.monitor.state_held("a", 0)
    one.monitor.look_for_held(3 * S, 300_000)
    assert one.seen == []
    one.monitor.look_for_held(4 * S, 300_000)
    one.monitor.look_for_held(9 * S, 300_000)
    assert one.seen == [Violation.HELD_TOO_LONG]

def test_a_release_proves_nothing_of_what_a_given_up_attempt_leaves_behind_it():
    """The monitor counts gaps between releases while an attempt that was given up may still leave something."""
    def told(*released_at, until=3 * S, sent_at=None, ended_at=None):
        monitor = InvariantMonitor(lambda event, **fields: None)
        monitor.state_may_come("a", 0, until)
        for at in released_at:
            if sent_at is not None and at > sent_at:
                monitor.sent("a", 1, "r2", 0, sent_at)
                monitor.ended("a", 1, Outcome.READ, True, ended_at)
                sent_at = None
            monitor.released("a", at, LIMIT)
        monitor.look_for_held(60 * S, LIMIT)
        return monitor.violations[Violation.HELD_TOO_LONG]
    every = range(0, 4 * S, 300 * MS)
    assert told(*every) == 0
    assert told(0) == 1
    assert told(*(at for at in every if not 1 * S < at < 2 * S)) == 1
    assert told(0, 300 * MS, 1400 * MS, until=1 * S, sent_at=350 * MS, ended_at=1300 * MS) == 0
