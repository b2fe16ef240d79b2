"""What an engine goes on with is released in time however slowly it works.

Found by the review: a reader that was 9.9 times slower for 20 s went on with ten reads that their nodes had given up. How long such a read is
followed was worked out from the pace of usual reads, and they took longer: six or seven states lay at the reader for good.
"""
import pytest

from aniserudder.core.invariants import Violation
from reservation_stand import ReservationStand

TOLD_S = 1.0
RULE_S = 0.65  # 0.3 of the settings, 0.3 of slack, 0.05 by which each limit is longer


def held_for(there, ends_at, watched_s):
    """Seconds for which a state lies that a given-up attempt leaves at some time; infinite where nothing releases it."""
    there.run(ends_at + watched_s - there.reactor.seconds())
    return min((at - ends_at for at in there.times() if at >= ends_at), default=float("inf"))


@pytest.mark.parametrize("ends_at", [5.0, 13.0, 30.0, 45.0])
def test_a_read_that_goes_on_at_a_slow_engine_leaves_no_state_behind(ends_at):
    """A state was held for good where the read took longer than the node reckoned with."""
    there = ReservationStand()
    there.gives_up_read(told_s=TOLD_S)
    assert held_for(there, ends_at, 20.0) < RULE_S


@pytest.mark.parametrize("ends_at", [5.0, 13.0, 30.0, 45.0])
def test_a_fetch_that_waits_on_at_a_slow_writer_leaves_no_state_behind(ends_at):
    """A release spares the state that a writer waits for, and the writer let it lie when it heard that it was given up."""
    there = ReservationStand()
    there.gives_up_fetch()
    assert held_for(there, ends_at, 20.0) < RULE_S


def test_the_monitor_counts_an_engine_that_is_followed_for_too_short_a_time():
    """The monitor took the end of such work from the code that it watches, and said 0 while seven states lay."""
    there = ReservationStand()
    there.gives_up_read(told_s=TOLD_S)
    there.run(10.0)
    there.tracker.close()
    there.invariants.look_for_held(30_000_000, 300_000)
    assert there.invariants.violations[Violation.HELD_TOO_LONG] == 1
