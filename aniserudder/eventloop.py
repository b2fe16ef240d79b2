"""The process-wide Twisted reactor, timed by the monotonic clock.

Twisted schedules timed calls on ``time.time``. A step of the wall clock (NTP, an administrator, a resumed virtual machine) would fire
every time-out at once, or hold all of them back for as long as the step. Every entry point of this project takes its reactor
from here, so that deadlines, windows, waits and grace periods are spans of real time.

``reactor.seconds`` begins at the wall clock's time of the process's start and runs on with ``time.monotonic``. A start of an engine
before this machine's boot is therefore still a positive time.
"""
from __future__ import annotations

import time

from twisted.internet import reactor

EVENTS_PER_TURN = 16  # sockets handled before the loop looks at its timers again

_ORIGIN_S = time.time() - time.monotonic()


def steady_seconds() -> float:
    """Seconds that never step and never run back."""
    return _ORIGIN_S + time.monotonic()


# What ``callLater``, ``DelayedCall`` and the poll's time-out read (``IReactorTime.seconds``).
reactor.seconds = steady_seconds



class BoundedPoller:
    """Hands out a bounded number of ready sockets at a time; the kernel names the others first when it is asked again.

    Twisted handles all that is ready before it runs what is due. With hundreds of ready sockets, final answers, releases and
    time-outs would come late by as long as all their events take together.
    """

    def __init__(self, poller: object) -> None:
        self._poller = poller

    def poll(self, timeout: float, most: int) -> list[tuple[int, int]]:
        """Ready file descriptors and their events."""
        return self._poller.poll(timeout, max(1, min(most, EVENTS_PER_TURN)))

    def __getattr__(self, name: str) -> object:
        return getattr(self._poller, name)


if hasattr(reactor, "_poller"):
    reactor._poller = BoundedPoller(reactor._poller)

__all__ = ["reactor", "steady_seconds"]
