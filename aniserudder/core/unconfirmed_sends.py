"""Sends on an engine list that its source had not told to this process, judged by the list that it tells next. No I/O.

Knows nothing of when a source passes for down: a send is held against the process where an answer says that its engine was withdrawn, and the
source was already being asked for that answer as the send went out.
"""
from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

MOVED_US = 4_000_000  # STANDING: behind a move of discovery its changes count so much later
SENDS_MOST = 1_024    # remembered, the newest


@dataclass(slots=True, frozen=True)
class UnconfirmedSend:
    """One of them; ``at`` in microseconds of the router's clock."""
    request: str
    engine: str
    at: int


class UnconfirmedSends:
    """Remembers sends until the next list judges them."""

    __slots__ = ("_told_until", "_sends")

    def __init__(self) -> None:
        self._told_until: float = -math.inf  # until then what the source said last holds
        self._sends: deque[UnconfirmedSend] = deque(maxlen=SENDS_MOST)

    def moved(self, now: int) -> None:
        """The source is another from now on."""
        self._told_until = min(self._told_until, now + MOVED_US)

    def sent(self, request: str, engine: str, now: int) -> None:
        """An attempt's bytes are being written."""
        if now >= self._told_until:
            self._sends.append(UnconfirmedSend(request, engine, now))

    def told(self, asked_at: int, is_withdrawn: Callable[[str], bool]) -> list[UnconfirmedSend]:
        """The source has told a list for which it was asked at ``asked_at``. Returns the sends that it shows to have been wrong."""
        wrong = [send for send in self._sends if send.at > asked_at and is_withdrawn(send.engine)]
        self._sends.clear()
        self._told_until = math.inf
        return wrong
