"""Engines' starts, told on a wall clock that steps, on a clock that does not."""
import pytest

from aniserudder.core.start_times import StartTimes

S = 1_000_000
COLD_S = 10


class Clocks:
    """A steady clock and a wall clock that is ``off`` from it."""

    def __init__(self) -> None:
        self.now, self.off = 100_000.0, 0.0
        self.times = StartTimes(lambda: self.now, lambda: self.now + self.off)

    def age(self, engine, told_s):
        return self.now - self.times.resolve(engine, round(told_s * S)) / S


def test_without_steps_a_start_is_where_the_list_says_and_stays_there():
    clocks = Clocks()
    assert clocks.age("e1", clocks.now - 3) == pytest.approx(3, abs=1e-3)
    first = clocks.times.resolve("e1", round((clocks.now - 3) * S))
    clocks.now += 5
    assert clocks.times.resolve("e1", round((clocks.now - 8) * S)) == first
    assert clocks.times.resolve("e2", 0) == 0


@pytest.mark.parametrize("step", [3600, -3600, 5, -5])
@pytest.mark.parametrize("stamped_before", [True, False])
def test_an_engine_that_started_just_now_counts_as_cold_however_clocks_step(step, stamped_before):
    """Its start is stamped before or after the step; the node hears of it a second later."""
    clocks = Clocks()
    told = clocks.now + (0 if stamped_before else step)
    clocks.now += 1
    clocks.off = step
    assert clocks.age("e1", told) < COLD_S


def test_an_engine_known_as_warm_stays_warm_over_a_step_and_cold_ones_warm_up():
    clocks = Clocks()
    warm, cold = clocks.now - 600, clocks.now - 1
    clocks.age("warm", warm), clocks.age("cold", cold)
    clocks.off = -3600
    clocks.times.sample()
    clocks.now += COLD_S
    assert clocks.age("warm", warm) > 600 and clocks.age("cold", cold) > COLD_S


def test_a_start_in_the_future_is_now_and_passes():
    clocks = Clocks()
    told = clocks.now + 3600
    assert clocks.age("e1", told) == pytest.approx(0, abs=1e-3)
    clocks.now += COLD_S
    assert clocks.age("e1", told) == pytest.approx(COLD_S, abs=1e-3)


def test_a_reading_that_was_held_up_is_no_step_and_offsets_are_bounded():
    clocks = Clocks()
    held = iter([clocks.now, clocks.now + 0.4])
    slow = StartTimes(lambda: next(held, clocks.now), lambda: clocks.now)
    assert slow.steps == 0
    for hour in range(100):
        clocks.off = hour * 3600.0
        clocks.times.sample()
    assert clocks.times.steps < 20
