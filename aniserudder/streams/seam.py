"""Joins what a new writer sends to what the client has: by position and digest, never by luck.

A continuation gives the text so far as a forced beginning. The engine says where its own text begins (``at``, a position in
UTF-8 bytes) and what it took for the text before that (``digest``). From there:

=========== =======================================================================================================
AWAITED     the engine has not said where it begins
OVERLAPS    it begins before the end of what the client has: what it repeats has to be the same, and is swallowed
FLOWS       what comes is new
MISFIT      it begins after that end, took another text for the beginning, repeats another text, says nothing of where
            it begins, or ends within the overlap: nothing of it may reach the client
=========== =======================================================================================================
"""
from __future__ import annotations

from enum import Enum

from .journal import Journal


class Join(Enum):
    """States of a seam."""
    AWAITED = "awaited"
    OVERLAPS = "overlaps"
    FLOWS = "flows"
    MISFIT = "misfit"


class Misfit(Exception):
    """The continuation does not fit what the client has."""


class Seam:
    """Where one continuation meets the journal of its stream."""

    __slots__ = ("state", "_journal", "_at", "_end")

    def __init__(self, journal: Journal) -> None:
        self.state, self._journal = Join.AWAITED, journal
        self._at, self._end = 0, journal.length

    def begins(self, at: int, digest: str) -> None:
        """The engine says where its text begins.

        Raises:
            Misfit: that cannot be joined.
        """
        if self.state is not Join.AWAITED:
            self._misfit("the engine said twice where it begins")
        if not 0 <= at <= self._end:
            self._misfit(f"a gap: it begins at {at}, {self._end} bytes were sent")
        if digest != self._journal.beginning(at):
            self._misfit(f"it took another text for the first {at} bytes")
        self._at = at
        self.state = Join.FLOWS if at == self._end else Join.OVERLAPS

    def feed(self, piece: str) -> str:
        """A piece of the continuation; what of it is new.

        Raises:
            Misfit: it is not what the client has been sent.
        """
        if self.state is Join.FLOWS:
            return piece
        if self.state is Join.AWAITED:
            self._misfit("the engine does not say where it begins")
        data = piece.encode("utf-8", "surrogatepass")
        known = data[:self._end - self._at]
        if self.state is Join.MISFIT or not self._journal.same(self._at, known):
            self._misfit(f"it repeats another text at byte {self._at}")
        self._at += len(known)
        if self._at == self._end:
            self.state = Join.FLOWS
        try:
            return data[len(known):].decode("utf-8", "surrogatepass")
        except UnicodeDecodeError:  # what was sent ends within one of its characters
            self._misfit(f"its characters do not fit at byte {self._at}")

    def ends(self) -> None:
        """The engine calls its answer complete.

        Raises:
            Misfit: it never came to where the client is.
        """
        if self.state is not Join.FLOWS:
            self._misfit(f"it ends at byte {self._at} of {self._end} that were sent")

    def _misfit(self, reason: str) -> None:
        self.state = Join.MISFIT
        raise Misfit(reason)
