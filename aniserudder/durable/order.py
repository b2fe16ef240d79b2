"""Which write comes next, and what becomes of those that wait: a state machine without I/O.

A lane holds the writes of one file, or of files that may wait for one another. Writes are carried out in the order in which
they came, all that wait at a time as one group (one flush for all of them). Whoever waits is told exactly once: that it is
on the disk, that it failed, or, after ``patience``, that it is late. A late write may still reach the disk; whoever was told
has to live with either.

What a disk that is full, slow or dead does to each kind stands in ``POLICIES``; nothing of it stalls a node.
"""
from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

MS = 1_000
S = 1_000_000


class Full(Exception):
    """So many writes wait already that one more is not taken."""


class Late(Exception):
    """The disk has not answered in time. The write may still come."""


class Superseded(Exception):
    """A newer write of the same name took its place."""


class Kind(Enum):
    """Kinds of what is kept."""
    ENTRIES = "entries"    # of a node's ledger: a send waits for its entry
    SHIPPED = "shipped"    # what the ledger service takes up from nodes, and how far it has them
    LEASES = "leases"      # of the ledger service: a grant waits for its row
    LIST = "list"          # the last engine list
    LEARNED = "learned"    # snapshots of what a node knows
    RECORD = "record"      # decision records
    READING = "reading"    # a file that is looked at


@dataclass(slots=True, frozen=True)
class Policy:
    """What holds for a kind. ``patience`` in microseconds, 0: as long as it takes."""
    most: int              # that may wait in a lane; one more is refused
    patience: int
    newest: bool = False   # of those of one name only the newest is worth writing
    group: int = 256       # that go together at most


POLICIES = {
    # A client stands behind each of these: a disk that takes longer is told as one that cannot be written.
    Kind.ENTRIES: Policy(8_192, 400 * MS),
    # Nodes ask again after two seconds; until then a grant that is not on the disk must not be told.
    Kind.LEASES: Policy(2_048, 1_500 * MS),
    Kind.SHIPPED: Policy(256, 1_500 * MS),
    # Nobody waits for these, and an older one is worth nothing beside a newer.
    Kind.LIST: Policy(16, 0, newest=True),
    Kind.LEARNED: Policy(4_096, 0, newest=True),
    # A record with a gap cannot be replayed: rather it ends.
    Kind.RECORD: Policy(65_536, 0, group=4_096),
    Kind.READING: Policy(16, 0, newest=True),
}


class State(Enum):
    """Of a lane, as its owner may ask before it takes on work that will have to be written."""
    IDLE = "idle"
    BUSY = "busy"
    SLOW = "slow"      # a write that is under way or waits is past its patience
    FAILING = "failing"  # the last group could not be written
    CLOSED = "closed"


Told = Callable[[Any, Exception | None], None]


@dataclass(slots=True, eq=False)
class Write:
    """One write: what to do, and who waits for it."""
    kind: Kind
    name: str
    work: Any
    told: Told | None
    at: int                # when it was asked for
    patience: int          # 0: as long as it takes
    settled: bool = False  # whoever waits was told

    def due(self) -> int:
        """When it is late; 0: never."""
        return self.at + self.patience if self.patience else 0


class Queue:
    """The writes of one lane. Times in whole microseconds of any steady clock."""

    def __init__(self) -> None:
        self.waiting: deque[Write] = deque()
        self.under_way: list[Write] = []
        self.failing = ""        # why the last group failed
        self.lags = False        # somebody was told that a write is late, and no group has ended since
        self.closed = False
        self.groups = self.done = self.failed = self.late = self.refused = 0
        self.slowest = 0         # of a group, from its beginning to its end
        self._began = 0
        self._counts: dict[Kind, int] = {}

    def put(self, write: Write) -> Write | None:
        """Takes a write; returns the one whose place it takes, who is to be told so.

        Raises:
            Full: it is not taken.
        """
        policy = POLICIES[write.kind]
        if self.closed:
            raise Full("the lane is closed")
        if policy.newest:
            for place, old in enumerate(self.waiting):
                if old.kind is write.kind and old.name == write.name:
                    self.waiting[place] = write
                    return old
        count = self._counts.get(write.kind, 0)
        if count >= policy.most:
            self.refused += 1
            raise Full(f"{count} writes of {write.kind.value} wait already")
        self._counts[write.kind] = count + 1
        self.waiting.append(write)
        return None

    def take(self, now: int) -> list[Write]:
        """The next group, in order; empty while one is under way or nothing waits."""
        if self.under_way or not self.waiting:
            return []
        while self.waiting and len(self.under_way) < POLICIES[self.waiting[0].kind].group:
            write = self.waiting.popleft()
            self._counts[write.kind] -= 1
            self.under_way.append(write)
        self._began = now
        self.groups += 1
        return self.under_way

    def over(self, errors: list[Exception | None], now: int) -> list[Write]:
        """The group ended. Returns its writes, for whoever is not told yet."""
        ended, self.under_way, self.lags = self.under_way, [], False
        self.slowest = max(self.slowest, now - self._began)
        bad = [e for e in errors if isinstance(e, OSError) or getattr(e, "of_the_disk", False)]
        self.failing = str(bad[0]) if bad else ""
        self.failed += sum(e is not None for e in errors)
        self.done += sum(e is None for e in errors)
        return ended

    def expired(self, now: int) -> list[Write]:
        """Writes whose patience is over and who were not told yet; they count as told from here on."""
        found = [w for w in (*self.under_way, *self.waiting) if not w.settled and w.told and 0 < w.due() <= now]
        for write in found:
            write.settled = True
        self.late += len(found)
        self.lags = self.lags or bool(found)
        return found

    def next_due(self) -> int:
        """When ``expired`` has to be asked next; 0: not."""
        return min((w.due() for w in (*self.under_way, *self.waiting) if not w.settled and w.told and w.due()), default=0)

    def state(self, now: int) -> State:
        if self.closed:
            return State.CLOSED
        oldest = self.under_way[0] if self.under_way else self.waiting[0] if self.waiting else None
        if oldest is None:
            return State.FAILING if self.failing else State.IDLE
        if self.lags or 0 < oldest.due() <= now:
            return State.SLOW
        return State.FAILING if self.failing else State.BUSY
