"""Whether an engine list may be sent on: what its source has said to this process, and for how long that holds. No I/O.

A list from before this process began, or from an agent that discovery has left, names engines that may have been withdrawn since. It is
no leave to send: whoever asked for the present list and has no answer yet does not know whether the source is slow or down. Only the time
by which a source that can be reached has told everything ends that, if it has said nothing at all meanwhile; a source that says something,
even if it cannot be read yet, is not down.
"""
from __future__ import annotations

import math
from enum import Enum

TOLD_US = 6_000_000    # a change counts as told at the latest so long after its source had it and could be reached
MOVED_US = 4_000_000   # behind a move of discovery the new agent's changes count so much later
TAKE_AHEAD_US = 500_000  # requests wait for the next list so long before a leave to send ends
READY_AHEAD_US = 1_000_000  # a node says that it is ready so long before an old list may be sent on


class Basis(Enum):
    """On what the list at hand may be sent on."""
    CONFIRMED = "its source has told it to this process"
    MOVED = "its source has moved only just"
    DISPUTED = "its source has said something since that cannot be read"
    SOURCE_DOWN = "its source says nothing"
    NONE = "nobody has confirmed it"


class ListConfirmation:
    """The leave to send on the list at hand. All times are microseconds of one steady clock.

    Args:
        now: when the source begins to be asked.
        refused_us: for how long it has to refuse to be connected to until it counts as down; that is a word of its machine, and no silence.
    """

    __slots__ = ("_stands_until", "_basis", "_down", "_silent_since", "_asked", "_refuses", "_refused_us")

    def __init__(self, now: int, refused_us: int = TOLD_US) -> None:
        self._refused_us = refused_us
        self._refuses = False
        self._stands_until: float = -math.inf  # what the source said last is leave to send until then
        self._basis = Basis.NONE  # until then
        self._down = False
        self._silent_since = now
        self._asked = False  # a call has reached the source since it is asked at its present place

    def basis(self, now: int) -> Basis:
        """On what the list may be sent on at this moment; ``Basis.NONE``: it may not."""
        if now < self._stands_until:
            return self._basis
        return Basis.SOURCE_DOWN if self._down else Basis.NONE

    def permits(self, now: int) -> bool:
        """Whether the list may be sent on."""
        return self.basis(now) is not Basis.NONE

    def permits_taking(self, now: int) -> bool:
        """Whether a new request may be taken up: its last attempt is sent some time behind that, so not where the leave is about to end."""
        return self.permits(now) and self.permits(now + TAKE_AHEAD_US)

    @property
    def settled(self) -> bool:
        """Whether the list stands for good, as far as is known."""
        return self._stands_until == math.inf

    @property
    def awaited(self) -> bool:
        """Whether the source has still to confirm the list, or to be found silent."""
        return not self.settled and not self._down

    @property
    def down_at(self) -> int:
        """When the source counts as down, if it says nothing until then."""
        return self._silent_since + (self._refused_us if self._refuses else TOLD_US)

    # What happens.

    def begins(self, now: int) -> None:
        """The source begins to be asked only now."""
        self._silent_since = now

    def asked(self, now: int) -> None:
        """A call for the list has gone out. Before the first one nobody has been silent, nor while the source refused."""
        if self._refuses or not self._asked:
            self._asked, self._silent_since = True, now
        if self._refuses:
            self._refuses = self._down = False

    def refused(self) -> None:
        """The source refused to be connected to."""
        self._refuses = True

    def spoke(self, now: int) -> None:
        """A part of an answer has come: the source is not down, and what it has to tell is on its way."""
        self._silent_since, self._down = now, False

    def confirmed(self) -> None:
        """A list from the source was taken."""
        self._stands_until, self._basis, self._down = math.inf, Basis.CONFIRMED, False

    def not_read(self, now: int) -> None:
        """The source has told something that cannot be read: it may be a change."""
        self._ends_by(now + TOLD_US, Basis.DISPUTED)

    def not_taken(self, now: int) -> None:
        """The source has told a list that this process failed to take: what it had before is known to be old."""
        self._ends_by(now, Basis.NONE)

    def moved(self, now: int) -> None:
        """The source is another from now on, and has not been asked."""
        if self.permits(now):
            if now >= self._stands_until:  # it was sent on as the source was down, and so it is carried over
                self._stands_until = math.inf
            self._ends_by(now + MOVED_US, Basis.MOVED)
        self._silent_since, self._asked, self._down, self._refuses = now, False, False, False

    def found_silent(self, now: int) -> bool:
        """Its caller has looked for an answer and found none. Returns whether the source counts as down now."""
        self._down = self._down or now >= self.down_at
        return self._down

    def _ends_by(self, at: int, basis: Basis) -> None:
        if at < self._stands_until:
            self._stands_until, self._basis = at, basis
