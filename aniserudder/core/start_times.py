"""Engines' start times, told on the wall clock, as times of the steady clock.

An engine is cold for a span of real time after its start, while lists tell the start as a wall clock time. Between the start and
the moment at which a node hears of it, the wall clock may have stepped, at the engine's machine or at this one. Each offset between
the two clocks that this process has seen is therefore a candidate, and the latest possible start counts: an engine that is taken for
colder than it is gets less work for a while, one that is taken for warmer is overloaded.
"""
from __future__ import annotations

from collections.abc import Callable

STEP_S = 0.25        # offsets nearer to each other than this are one: clocks drift and are slewed
STEPS_MOST = 16      # offsets remembered, the newest
READ_WITHIN_S = 0.01  # a pair of readings further apart than this says nothing: the process was held up in between


class StartTimes:
    """Resolves the start times of one list.

    Args:
        steady: seconds of the clock that resolved times are on; never steps.
        wall: seconds since 1970, on the clock that lists use.
    """

    def __init__(self, steady: Callable[[], float], wall: Callable[[], float]) -> None:
        self._steady, self._wall = steady, wall
        self._offsets: list[float] = []  # steady minus wall, in seconds, oldest first
        self._resolved: dict[str, tuple[int, int]] = {}  # by engine: start as told and as resolved, both in microseconds
        self.sample()

    @property
    def steps(self) -> int:
        """Steps of the wall clock seen so far."""
        return len(self._offsets) - 1

    def sample(self) -> bool:
        """Compares the clocks. True: the wall clock has stepped since they were compared last."""
        before = self._steady()
        wall = self._wall()
        after = self._steady()
        if after - before > READ_WITHIN_S and self._offsets:
            return False
        offset = after - wall
        if any(abs(offset - known) < STEP_S for known in self._offsets):
            return False
        self._offsets.append(offset)
        del self._offsets[:-STEPS_MOST]
        return len(self._offsets) > 1

    def resolve(self, engine: str, told_us: int) -> int:
        """Microseconds of the steady clock at which an engine started, at the latest; 0 where the list says long ago.

        The same start of the same engine is resolved once: one that moved would pass for a restart.
        """
        if not told_us:
            return 0
        known = self._resolved.get(engine)
        if known and known[0] == told_us:
            return known[1]
        self.sample()
        latest = max(told_us + round(offset * 1_000_000) for offset in self._offsets)
        start = max(1, min(latest, round(self._steady() * 1_000_000)))
        self._resolved[engine] = told_us, start
        return start

    def forget(self, engine: str) -> None:
        """The engine is gone from the list."""
        self._resolved.pop(engine, None)
