"""Rolling budgets over nodes: whatever is spent within any window of the budget's length stays within it. State machines without I/O.

A lease of a calendar budget is void with its period. One of a rolling budget has to end by itself: what was granted an hour ago and is spent now
counts now. So a grant may be taken for ``width`` = window / 30 after it was asked for, on the node's steady clock, and is void then. The
ledger counts what it granted in a bucket of ``width`` until the bucket's beginning lies window + 2 width back:

    granted at g in [b, b + width), taken before g + width < b + 2 width, so it counts in windows that end before b + 2 width + window.

So what all nodes take in any window is at most the budget, but for overdrafts; it renews two thirtieths of the window late. What is not taken
in time, or was not needed by a sequence whose grant is over, goes back to the ledger by its bucket, and is not counted there any more. Where that is of
several buckets the oldest is named: any window that holds it holds the others too, so none is ever counted too low.
"""
from __future__ import annotations

import time
from bisect import insort
from collections.abc import Callable
from dataclasses import dataclass, field

from .authority import CLOCK_SLACK
from .periods import BUCKETS
from .shares import NO_LOT, SEEN_FOR, Lease, Lot, fair

Key = tuple[str, str, int]  # node, life, bucket


@dataclass(slots=True)
class WindowLease(Lease):
    """A node's side. ``valid``: seconds for which a grant may be taken; ``clock``: steady seconds."""
    valid: float = 1.0
    window: int = 0
    clock: Callable[[], float] = time.monotonic
    grants: list[tuple[float, int, int]] = field(default_factory=list)  # of the room: by when it is over, the ledger's bucket, how much
    log: dict[int, int] = field(default_factory=dict)                   # by bucket: what the ledger granted, less what went back
    back: dict[int, int] = field(default_factory=dict)                  # by bucket: what has to go back
    bucket: int = 0                                                     # of the grant that is being noted

    def take(self, amount: int, now: float) -> bool:
        self._expire()
        if not Lease.take(self, amount, now):
            return False
        self.lot = self._consume(amount)
        return True

    def give(self, amount: int, now: float, lot: Lot = NO_LOT) -> None:
        self._expire()
        before = self.room
        if amount < 0:
            Lease.give(self, amount, now)
            self._consume(-amount)
        elif self.clock() < lot[0] or before < 0:
            Lease.give(self, amount, now)
            self._add(*lot, self.room - max(0, before))
        else:
            self._goes_back(lot[1], amount)
            self.used -= amount

    def ask(self, now: float) -> int:
        """As any lease's, but what is more than it needs is put to what goes back."""
        self._expire()
        wanted = Lease.ask(self, now)
        if wanted >= 0:
            return wanted
        more = -wanted
        self.room -= more
        while more > 0 and self.grants:
            until, bucket, had = self.grants.pop()
            if had > more:
                self.grants.append((until, bucket, had - more))
            self._goes_back(bucket, min(had, more))
            more -= had
        return 0

    def goes_back(self) -> list[tuple[int, int]]:
        """What is to be told to the ledger now: buckets and amounts. If that gets lost they are wasted, and never granted twice."""
        told, self.back = sorted(self.back.items()), {}
        for bucket, amount in told:
            if bucket in self.log:
                self.log[bucket] = max(0, self.log[bucket] - amount)
        return told

    def granted(self, amount: int, left: int, now: float) -> None:
        before = self.room
        Lease.granted(self, amount, left, now)
        self._add(self.asked + self.valid, self.bucket, self.room - max(0, before))
        self._expire()

    def notes(self, bucket: int, amount: int) -> None:
        """Before ``granted``: the ledger granted so much in that bucket of its own."""
        self.bucket = bucket
        self.log[bucket] = self.log.get(bucket, 0) + amount
        over = max(self.log) - self.window - 3 * self.window // BUCKETS
        for old in [b for b in self.log if b < over]:
            del self.log[old]

    def renewed(self) -> None:
        """Nothing of it is renewed at once."""

    def anew(self) -> None:
        Lease.anew(self)
        self.grants.clear()
        self.log.clear()
        self.back.clear()

    def _add(self, until: float, bucket: int, amount: int) -> None:
        if amount > 0:
            insort(self.grants, (until, bucket, amount))

    def _consume(self, amount: int) -> Lot:
        """Takes from the oldest. Returns the lot that it began with; what is taken on the overdraft, as if it were new."""
        first = self.grants[0][:2] if self.grants else (self.clock() + self.valid, 0)
        while amount > 0 and self.grants:
            until, bucket, had = self.grants.pop(0)
            if had > amount:
                self.grants.insert(0, (until, bucket, had - amount))
            amount -= had
        return first

    def _expire(self) -> None:
        now = self.clock()
        while self.grants and self.grants[0][0] <= now:
            _, bucket, amount = self.grants.pop(0)
            self.room -= amount
            self._goes_back(bucket, amount)

    def _goes_back(self, bucket: int, amount: int) -> None:
        if bucket:
            self.back[bucket] = self.back.get(bucket, 0) + amount


@dataclass(slots=True)
class Window:
    """The ledger's side, with the calls of a ``Grantor``. ``turn`` says what time it is before any other call.

    ``old`` is what was granted before this term, from the file and from what holders prove; ``floor`` what others heard to be out then.
    """
    most: int
    window: int
    bucket: int = 0
    old: dict[Key, int] = field(default_factory=dict)
    fresh: dict[Key, int] = field(default_factory=dict)
    floor: tuple[int, int] = (0, 0)                          # how much, and in which bucket it was heard
    lives: dict[str, str] = field(default_factory=dict)
    seen: dict[str, float] = field(default_factory=dict)

    @property
    def width(self) -> int:
        return self.window // BUCKETS

    def turn(self, wall: int) -> int:
        """Moves on to the bucket that holds a time. Returns the first bucket that still counts.

        It goes back only where the clock was far ahead: what was granted then counts from now on.
        """
        here = wall // self.width * self.width
        if self.bucket > here + CLOCK_SLACK + self.width:
            for kept in (self.old, self.fresh):
                moved: dict[Key, int] = {}
                for (node, life, bucket), amount in kept.items():
                    key = node, life, min(bucket, here)
                    moved[key] = moved.get(key, 0) + amount
                kept.clear()
                kept.update(moved)
            self.bucket, self.floor = here, (self.floor[0], min(self.floor[1], here))
        self.bucket = max(self.bucket, here)
        first = self.bucket - self.window - 2 * self.width + 1
        for kept in (self.old, self.fresh):
            for key in [k for k in kept if k[2] < first]:
                del kept[key]
        if self.floor[1] < first:
            self.floor = 0, 0
        return first

    @property
    def out(self) -> int:
        return max(sum(self.old.values()), min(self.floor[0], self.most)) + sum(self.fresh.values())

    def of(self, node: str, life: str, bucket: int) -> int:
        """What one life was granted in a bucket."""
        key = node, life, bucket
        return self.old.get(key, 0) + self.fresh.get(key, 0)

    def parts(self) -> tuple[int, int]:
        """What present lives of nodes were granted, and former ones."""
        present = past = 0
        for kept in (self.old, self.fresh):
            for (node, life, _), amount in kept.items():
                present, past = (present + amount, past) if self.lives.get(node) == life else (present, past + amount)
        return present, past

    def load(self, node: str, life: str, bucket: int, amount: int) -> None:
        """What the file says."""
        self.old[node, life, bucket] = amount

    def prove(self, node: str, life: str, bucket: int, amount: int) -> int:
        """What a node says that one of its lives was granted in a bucket. Returns by how much that is more than was known."""
        key = node, life, bucket
        more = max(0, amount - self.old.get(key, 0) - self.fresh.get(key, 0))
        if more:
            self.old[key] = self.old.get(key, 0) + more
        return more

    def heard_out(self, out: int) -> None:
        """A node was told, before this term, that so much was out."""
        self.floor = max(self.floor[0], out), self.bucket

    def rebase(self) -> None:
        """A new term: what the last one granted is something of before."""
        for key, amount in self.fresh.items():
            self.old[key] = self.old.get(key, 0) + amount
        self.floor, self.fresh = (self.out, self.bucket) if self.floor[0] else (0, 0), {}

    def ask(self, node: str, life: str, wanted: int, used: int, now: float) -> tuple[int, int]:
        """Grants what it may. Returns the grant and what is left after it."""
        self.seen[node], self.lives[node] = now, life
        left = self.most - self.out
        sharing = sum(now - at < SEEN_FOR for at in self.seen.values())
        of_all: dict[str, int] = {}
        for kept in (self.old, self.fresh):
            for (one, _, _), amount in kept.items():
                of_all[one] = of_all.get(one, 0) + amount
        grant = fair(wanted, left, self.most, max(1 / sharing, of_all.get(node, 0) / max(1, sum(of_all.values()))))
        if grant:
            key = node, life, self.bucket
            self.fresh[key] = self.fresh.get(key, 0) + grant
        return grant, left - grant

    def take_back(self, node: str, life: str, amount: int) -> None:
        """A grant of which the node was not told: it is the newest."""
        self.give_back(node, life, amount, self.bucket)

    def give_back(self, node: str, life: str, amount: int, bucket: int) -> None:
        """What a life was granted in a bucket and has not taken."""
        key = node, life, bucket
        for kept in (self.fresh, self.old):
            back = min(amount, kept.get(key, 0))
            if back:
                kept[key] -= back
                amount -= back


def rolled(life: str, bucket: int, window: int) -> str:
    """How a life's part of one bucket is named in a file."""
    return f"{life}@{bucket}/{window}"


def rolling(name: str) -> tuple[str, int] | None:
    """The life and the window, of such a name; None: it is a life's own."""
    life, at, rest = name.rpartition("@")
    _, _, window = rest.partition("/")
    return (life, int(window)) if at and window.isdecimal() and int(window) else None
