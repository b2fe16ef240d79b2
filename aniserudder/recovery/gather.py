"""How a ledger that starts finds out what was granted before: a state machine without I/O.

Its file may be older than what nodes were told: a copy was restored, or a disk lost what it had called flushed. So each start
is a **term** with a number of its own, and nobody is granted anything in a term before having told it what it holds. For a
short while after the start nothing is granted at all (``GATHERING``), so that holders are heard before others take what they
have; nodes live on their leases and overdrafts meanwhile. It ends after ``WINDOW`` whoever is missing: a node that is gone cannot
hold the others up. It does not end before that, though all have told whom the file knows: an old file knows not all (the search over
short histories found that).

A node that has heard of a term that this file does not know, or that holds more than the file says, proves that the file is
old. Then others may hold what it does not know either, and gathering goes on for ``OLD_WINDOW``.
"""
from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

S = 1_000_000
WINDOW = 1 * S        # nodes ask every 100 ms: in a second all have told that can be reached
OLD_WINDOW = 3 * S    # two lost exchanges (a node waits two seconds for an answer) and one that comes through


class Phase(Enum):
    """Of a term."""
    GATHERING = "gathering"
    LEADING = "leading"


class Said(Enum):
    """What is to be answered to an ask."""
    TELL = "tell"          # of another term: first tell what you hold
    WAIT = "wait"          # told, but nothing is granted yet
    GRANT = "grant"
    OVERTAKEN = "overtaken"  # this term is not newer than one that was heard: a new one has to be begun


@dataclass(slots=True, frozen=True)
class Term:
    """One life of a ledger. ``nonce`` tells apart two that began with the same number from copies of one file."""
    number: int = 0
    nonce: str = ""

    def __str__(self) -> str:
        return f"{self.number}.{self.nonce}"

    @classmethod
    def read(cls, text: str) -> Term:
        """What a node said; the lowest term where that is none.

        Raises:
            ValueError: it cannot be a term.
        """
        if not text:
            return cls()
        number, dot, nonce = text.partition(".")
        if not dot or not number.isdecimal() or len(number) > 15 or len(nonce) > 32:
            raise ValueError(f"no term: {text[:60]!r}")
        return cls(int(number), nonce)


@dataclass(slots=True)
class Gathering:
    """One term, from its beginning.

    Args:
        term: newer than any that the file knows.
        known: nodes that hold something, by the file.
        began: microseconds of a steady clock.
    """
    term: Term
    known: frozenset[str]
    began: int
    phase: Phase = Phase.GATHERING
    old: bool = False                             # the file was proven to be older than what nodes were told
    told: set[str] = field(default_factory=set)
    until: int = 0
    ended: int = 0

    def __post_init__(self) -> None:
        self.until = self.until or self.began + WINDOW

    def asks(self, node: str, heard: Term, tells: bool, now: int) -> Said:
        """An ask of a node that has last heard of ``heard``, and that tells what it holds or does not."""
        self.look(now)
        if heard != self.term:
            return Said.OVERTAKEN if heard.number >= self.term.number else Said.TELL
        if tells:
            self.told.add(node)
        if node not in self.told:
            return Said.TELL
        return Said.GRANT if self.phase is Phase.LEADING else Said.WAIT

    def proven_old(self, now: int) -> None:
        """A node holds more than the file knows."""
        if not self.old:
            self.old, self.phase, self.until = True, Phase.GATHERING, now + OLD_WINDOW

    def look(self, now: int) -> None:
        """Time."""
        if self.phase is Phase.GATHERING and now >= self.until:
            self.phase, self.ended = Phase.LEADING, now

    def overtaken(self, heard: Term, nonce: str, now: int) -> Gathering:
        """The term after one that the file had not known of."""
        return Gathering(Term(max(heard.number, self.term.number) + 1, nonce), self.known, now, old=True, until=now + OLD_WINDOW)
