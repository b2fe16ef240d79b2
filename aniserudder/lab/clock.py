"""A simulated clock for many timers.

Twisted's ``task.Clock`` sorts all of them at each call: with 2,000 timers it runs 900 calls a second, the standard library's
``sched`` 129,000 and this 236,000 (docs/laboratory.md).
"""
from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

from twisted.internet.error import AlreadyCalled, AlreadyCancelled


class Call:
    """A delayed call (``IDelayedCall``, as far as it is used here)."""

    __slots__ = ("at", "what", "args", "state")

    def __init__(self, at: float, what: Callable[..., Any], args: tuple[Any, ...]) -> None:
        self.at, self.what, self.args, self.state = at, what, args, "waits"

    def active(self) -> bool:
        return self.state == "waits"

    def cancel(self) -> None:
        if self.state != "waits":
            raise AlreadyCalled if self.state == "called" else AlreadyCancelled
        self.state = "cancelled"


class HeapClock:
    """``IReactorTime`` on a heap. Calls of one moment run in the order in which they were asked for."""

    def __init__(self, now: float = 1.0) -> None:
        self._now, self._count = now, 0
        self._heap: list[tuple[float, int, Call]] = []

    def seconds(self) -> float:
        return self._now

    def callLater(self, delay: float, what: Callable[..., Any], *args: Any) -> Call:  # noqa: N802 (Twisted's name)
        call = Call(self._now + delay, what, args)
        self._count += 1
        heapq.heappush(self._heap, (call.at, self._count, call))
        return call

    def run(self, until: float) -> int:
        """Runs all that is due by then; how many calls that were."""
        done = 0
        while self._heap and self._heap[0][0] <= until:
            at, _, call = heapq.heappop(self._heap)
            if call.state == "waits":
                self._now = max(self._now, at)
                call.state = "called"
                call.what(*call.args)
                done += 1
        self._now = until
        return done
