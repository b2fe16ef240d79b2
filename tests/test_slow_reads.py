"""What an engine goes on with is released in time however slowly it works.

A reader that was 9.9 times slower for 20 s went on with ten reads that their nodes had given up. How long such a read is
followed was worked out from the pace of usual reads, and they took longer: six or seven states lay at the reader for good.
"""

import math
import signal

import pytest

from aniserudder.core import late_releases
from aniserudder.core.invariants import Violation
from aniserudder.core.late_releases import FOLLOW_S, RELEASES_PER_S, SELDOM_S
from aniserudder.eventloop import reactor
from node_process import NodeProcess
from reservation_stand import ReservationStand
from stand import on_loop, sleep, until
from test_given_up_attempts import Engines, client_leaves

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


def followed_to(there, *steps):
    """Whether a read of 1,000 tokens at r1 is still released each let-go time at 20 s, behind what engines have done meanwhile."""
    there.gives_up_read(told_s=TOLD_S, tokens=1000)
    there.run(5.0)
    for engine, sent_at, ended_at, tokens in steps:
        there.tracker.engine_has_read(engine, sent_at, ended_at, tokens)
    there.run(15.0)
    return there.longest_gap(15.0, 20.0) < 0.5


@pytest.mark.parametrize(
    "steps",
    [
        [],
        [("r2", 1.0, 2.0, 5000)],  # another engine
        [("r1", 1.0, 2.0, 999)],
        [("r1", -0.5, 2.0, 5000)],  # sent before
        [("r1", 1.0, 3.0, 600), ("r1", 1.5, 2.5, 600)],
    ],
)  # beside one another
def test_an_engine_that_may_not_be_past_a_read_is_followed(steps):
    assert followed_to(ReservationStand("r1", "r2", "w1"), *steps)


def test_an_engine_that_has_since_read_as_much_is_followed_seldom_and_the_monitor_agrees():
    there = ReservationStand()
    assert not followed_to(there, ("r1", 1.0, 2.0, 600), ("r1", 2.0, 4.0, 600))
    assert there.tracker.followed == 0 and len(there.tracker.late) == 1
    before = len(there.calls)
    there.run(2 * sum(SELDOM_S))
    assert 0 < len(there.calls) - before <= len(SELDOM_S)
    there.invariants.look_for_held(round(there.reactor.seconds() * 1e6), 300_000)
    assert not there.invariants.total and not there.invariants._works_on


def test_a_writer_that_has_since_begun_a_stream_is_followed_seldom():
    there = ReservationStand()
    there.gives_up_fetch()
    there.run(3.0)
    there.tracker.engine_has_begun("w1", 1.0)
    there.run(1.0)
    assert there.tracker.followed == 0
    there.invariants.look_for_held(20_000_000, 300_000)
    assert not there.invariants.total


def test_hundreds_of_slow_reads_share_the_calls_and_each_has_its_turn():
    there = ReservationStand()
    for number in range(500):
        there.gives_up_read(f"q{number}")
    there.run(6.0)
    before = len(there.calls)
    there.run(10.0)
    assert len(there.calls) - before <= RELEASES_PER_S * 10.0 + 10
    assert all(there.longest_gap(6.0, 16.0, f"q{number}") < 500 / RELEASES_PER_S + 0.5 for number in range(500))


def test_more_slow_reads_than_fit_are_counted_and_those_that_are_released_seldom_go_first(monkeypatch):
    monkeypatch.setattr(late_releases, "FOLLOWED_MOST", 20)
    monkeypatch.setattr(late_releases, "QUEUED_MOST", 40)
    there = ReservationStand()
    for number in range(10):
        there.gives_up_read(f"q{number}", tokens=1)
    there.run(0.1)
    there.tracker.engine_has_read("r1", 0.1, 0.2, 10)
    there.run(5.0)
    for number in range(10, 30):
        there.gives_up_read(f"q{number}")
    assert there.tracker.dropped == 0 and there.tracker.late.expected == 20
    for number in range(30, 200):
        there.gives_up_read(f"q{number}")
    assert there.tracker.dropped == 170 and len(there.tracker.late) == 20 and len(there.tracker.late._queue) <= 41


def test_a_late_release_spares_what_another_attempt_of_its_request_needs():
    there = ReservationStand()
    there.gives_up_read()
    there.run(10.0)
    there.tracker.read_ended("a1", "r2", 0.0)
    there.sends_fetch()
    before = len(there.calls)
    there.run(3.0)
    assert [call.engine for call in there.calls[before:]] == ["r2"]  # once beside the fetch, in case it is lost on its way
    there.tracker.stream_began("a1", there.reactor.seconds())
    there.tracker.ended("a1", True)
    there.run(0.5)
    assert len(there.calls) > before


def test_a_node_that_is_told_to_end_stays_for_a_slow_read_and_then_ends(tmp_path):
    """It ended 3.7 s behind SIGTERM, and what the read left 8 s later lay for good."""

    async def scene():
        engines = Engines()
        engines.hears_late, engines.read_ends = math.inf, dict.fromkeys(("r1", "r2"), 8.0)
        node = await NodeProcess(engines.site, tmp_path).up()
        await client_leaves(node, engines, 0.05)
        left_at = reactor.seconds()
        node.process.send_signal(signal.SIGTERM)
        await until(lambda: engines.held, 10)
        await sleep(RULE_S)
        held = dict(engines.held)
        await until(lambda: node.process.poll() is not None, FOLLOW_S + 8.0)
        took_s = reactor.seconds() - left_at
        code = node.process.returncode
        await node.close()
        return held, code, took_s

    held, code, took_s = on_loop(scene, FOLLOW_S + 25.0)
    assert not held and code == 0 and took_s > FOLLOW_S


def test_a_long_prompt_is_followed_for_longer():
    """Sixty thousand tokens at an engine that is slow for 34 s and shares its pace among twelve such reads."""
    there = ReservationStand()
    there.gives_up_read(told_s=TOLD_S, tokens=60_000)
    assert held_for(there, 100.0, 20.0) < RULE_S
