"""What was forwarded to a client, numbered: one journal a stream, one shelf of journals a node.

A journal holds its text as one run of UTF-8 and an offset for each event: about nine bytes for a short token, where a
list of strings takes some sixty (``measure streams`` holds the two against each other).
"""
from __future__ import annotations

from array import array
from collections import OrderedDict
from dataclasses import dataclass

import xxhash

OVERHEAD = 600  # bytes of an empty journal with its place on the shelf


def digest(text: bytes | bytearray | memoryview) -> str:
    """Names a text so far: xxh3, 64 bits, as 16 hex digits."""
    return xxhash.xxh3_64_hexdigest(text)


@dataclass(slots=True, frozen=True)
class Final:
    """How a stream ended: ``kind`` is generated, rejected or aborted; ``reason`` and ``usage`` are for the client."""
    kind: str
    reason: str
    come_back: int = 0             # microseconds
    read: int = 0
    kept: int = 0
    written: int = 0


class Journal:
    """One stream's events. Event 0 opens it, each piece of text is the next, the final event comes last.

    Args:
        id: of the sequence.
        owner: the customer whose key opened it; empty: a stranger, to whom nothing is given back.
    """

    __slots__ = ("id", "owner", "final", "whole", "_text", "_ends", "_shelf")

    def __init__(self, id: str, owner: str = "", shelf: Shelf | None = None) -> None:
        self.id, self.owner = id, owner
        self.final: Final | None = None
        self.whole = True          # False: the node's cap took its text, and nothing can be continued from it
        self._text, self._ends = bytearray(), array("Q")
        self._shelf = shelf

    @property
    def pieces(self) -> int:
        """Events of text so far; the first has number 1."""
        return len(self._ends)

    @property
    def length(self) -> int:
        """UTF-8 bytes of text so far."""
        return self._ends[-1] if self._ends else 0

    @property
    def last(self) -> int:
        """Number of the newest event."""
        return len(self._ends) + (self.final is not None)

    @property
    def size(self) -> int:
        """Bytes that it takes, about."""
        return OVERHEAD + len(self._text) + 8 * len(self._ends)

    def add(self, piece: str) -> int:
        """Keeps a piece that goes out now; its event's number."""
        if self.final is not None:
            raise ValueError(f"{self.id}: text after its final event")
        data, ends = piece.encode("utf-8", "surrogatepass"), self._ends
        ends.append(len(data) + (ends[-1] if ends else 0))
        if self.whole:
            self._text += data
        if self._shelf:
            self._shelf.grew(self, 8 + len(data) * self.whole)
        return len(ends)

    def end(self, final: Final) -> None:
        """The stream's one final event."""
        if self.final is None:
            self.final = final
            if self._shelf:
                self._shelf.ended(self)

    def text(self, since: int = 0, until: int | None = None) -> str:
        """The text of the events after number ``since``, up to and with number ``until``."""
        self._there()
        begin, end = self.position(since), self.length if until is None else self.position(until)
        return self._text[begin:end].decode("utf-8", "surrogatepass")

    def beginning(self, at: int) -> str:
        """Digest of the first ``at`` bytes."""
        self._there()
        return digest(memoryview(self._text)[:at])

    def same(self, at: int, data: bytes) -> bool:
        """Whether ``data`` stands at that position."""
        self._there()
        return self._text[at:at + len(data)] == data

    def reopen(self) -> None:
        """Its client came again, and it goes on behind what was sent."""
        self.final = None
        if self._shelf:
            self._shelf.reopened(self)

    def drop(self) -> None:
        """Gives the text up; numbers stay."""
        self.whole = False
        self._text = bytearray()

    def position(self, event: int) -> int:
        """UTF-8 bytes of the text up to and with that event."""
        return self._ends[event - 1] if event else 0

    def _there(self) -> None:
        if not self.whole:
            raise LookupError(f"{self.id}: its text was given up")


class Shelf:
    """All journals of a node, within a cap. Room is made of the oldest finished ones first; where only running ones are
    left, the one that grows gives its text up: its stream runs on, but cannot be continued or returned to.

    Args:
        most: bytes of all journals.
        keep: microseconds that a finished one is kept for a client that returns.
    """

    def __init__(self, most: int, keep: int) -> None:
        self.most, self.keep = most, keep
        self.used = 0
        self.gone = 0       # finished journals that made room before their time
        self.given_up = 0   # running ones that lost their text
        self._all: dict[str, Journal] = {}
        self._finished: OrderedDict[Journal, int] = OrderedDict()  # since when
        self._now = 0

    def __len__(self) -> int:
        return len(self._all)

    def open(self, id: str, owner: str, now: int) -> Journal:
        """A new stream's journal."""
        self.tick(now)
        journal = self._all[id] = Journal(id, owner, self)
        self.grew(journal, OVERHEAD)
        return journal

    def find(self, id: str) -> Journal | None:
        return self._all.get(id)

    def forget(self, journal: Journal) -> None:
        """Nobody will ask for it again."""
        if self._all.get(journal.id) is journal:
            del self._all[journal.id]
            self._finished.pop(journal, None)
            self.used -= journal.size

    def tick(self, now: int) -> None:
        """Lets go of finished journals whose time is over."""
        self._now = now
        while self._finished:
            journal, since = next(iter(self._finished.items()))
            if now - since < self.keep:
                return
            self.forget(journal)

    # Told by journals.

    def grew(self, journal: Journal, count: int) -> None:
        if self._all.get(journal.id) is not journal:
            return
        self.used += count
        if self.used <= self.most:
            return
        self._trim()
        while self.used > self.most:
            if not journal.whole or not journal.length:  # what it holds is not enough: the longest of all makes room
                journal = max((j for j in self._all.values() if j.whole), key=lambda j: j.length, default=journal)
                if not journal.whole or not journal.length:
                    return
            self.given_up += 1
            before = journal.size
            journal.drop()
            self.used -= before - journal.size

    def ended(self, journal: Journal) -> None:
        if self._all.get(journal.id) is journal:
            self._finished[journal] = self._now
            self._trim()

    def reopened(self, journal: Journal) -> None:
        self._finished.pop(journal, None)

    def _trim(self) -> None:
        while self.used > self.most and self._finished:
            self.gone += 1
            self.forget(next(iter(self._finished)))
