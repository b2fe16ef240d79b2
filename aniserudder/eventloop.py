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

_ORIGIN_S = time.time() - time.monotonic()


def steady_seconds() -> float:
    """Seconds that never step and never run back."""
    return _ORIGIN_S + time.monotonic()


# What ``callLater``, ``DelayedCall`` and the poll's time-out read (``IReactorTime.seconds``).
reactor.seconds = steady_seconds

__all__ = ["reactor", "steady_seconds"]
