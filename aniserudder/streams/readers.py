"""Clients that read slowly, and clients that come back: what is done with them.

Events of a stream are numbered: 1 and 2 open it, piece n of the text is event n + 2, then come the three of a complete answer
or the one of a failed one. An event's id is the stream's id, a full stop and that number; a failed end has the id of the event
before it, so that a client which comes again to a broken stream goes on from its text.
"""
from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .journal import Journal

OPENING = 2        # events before the first piece of text
S = 1_000_000


class Reading(Enum):
    """States of a client's side of a stream."""
    UNOPENED = "unopened"    # nothing was sent yet
    ATTACHED = "attached"    # events go out as they come
    BLOCKED = "blocked"      # the connection takes nothing more; events wait in the journal
    AWAY = "away"            # the connection went; the client may return
    OVER = "over"            # its final event went out, or nobody waits for it any more


@dataclass(slots=True, frozen=True)
class ReaderRules:
    """What a slow client may cost. Times in microseconds."""
    hold_bytes: int = 65_536     # text that may wait for it before the writer is held back
    most_age: int = 10 * S       # that it may take nothing at all
    least_per_s: int = 200       # bytes that it has to take while something waits for it
    grace: int = 2 * S           # before its rate is judged


class Backlog:
    """What waits for one client. Decides when its writer is held and when it is too slow."""

    __slots__ = ("rules", "holding", "_since", "_bytes")

    def __init__(self, rules: ReaderRules) -> None:
        self.rules, self.holding = rules, False
        self._since, self._bytes = 0, 0

    def blocked(self, now: int, handed: int) -> int:
        """The connection took ``handed`` bytes, and takes nothing more. When it is to be looked at again."""
        self._since, self._bytes = now, handed
        return min(now + self.rules.most_age,
                   now + max(self.rules.grace, handed * S // max(1, self.rules.least_per_s)))

    def too_slow(self, now: int) -> str:
        """Why it is ended now; empty: it is not."""
        waited = now - self._since
        if waited >= self.rules.most_age:
            return f"the client took nothing for {waited / S:.1f} s"
        if waited >= self.rules.grace and self._bytes * S < self.rules.least_per_s * waited:
            return f"the client takes under {self.rules.least_per_s} bytes a second"
        return ""

    def hold(self, waiting: int) -> bool | None:
        """Whether the writer is to be held (True) or released (False) now; None: as it was."""
        if not self.holding and waiting >= self.rules.hold_bytes:
            self.holding = True
            return True
        if self.holding and waiting <= self.rules.hold_bytes // 2:
            self.holding = False
            return False
        return None


def name(stream: str, number: int) -> str:
    """An event's id."""
    return f"{stream}.{number}"


def numbers(journal: Journal) -> int:
    """Number of the newest event of a stream."""
    final = journal.final
    return OPENING + journal.pieces + (0 if final is None else 3 if final.kind == "generated" else 1)


class Refusal(Exception):
    """A returning client is not let on; ``status`` as HTTP knows it."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


def returns(stream: str, last: str | None, owner: str, boot: str, journal: Journal | None) -> int:
    """The number of the event after which a returning client goes on.

    Args:
        stream: the id of the stream that it asks for.
        last: what it gives as the last event that it has; None: it has none.
        owner: the customer whose key it shows.
        boot: names this start of this node.

    Raises:
        Refusal: it may not, or cannot.
    """
    parts = stream.split("-")
    if len(parts) != 3 or parts[0] != "seq" or not parts[2].isdigit():
        raise Refusal(400, "no stream has such an id")
    if parts[1] != boot:
        raise Refusal(421, "the stream is another node's, or of an earlier life of this one")
    # Whose stream it is comes before all that would tell of it.
    if journal is None or not journal.owner or journal.owner != owner:
        raise Refusal(404, "no such stream is kept for this key")
    if not journal.whole:
        raise Refusal(410, "the stream's text is not kept any more")
    if last is None or last == "":
        return 0
    mine, _, number = last.rpartition(".")
    if mine != stream:
        raise Refusal(400, "the last event is none of this stream's")
    if not number.isdigit() or len(number) > 12:
        raise Refusal(400, "the last event has no number")
    if int(number) > numbers(journal):
        raise Refusal(400, f"event {number} has not been sent")
    return int(number)
