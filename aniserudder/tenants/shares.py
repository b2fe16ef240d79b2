"""How a budget holds over nodes that do not talk: what one node may grant of it. Pure state machines.

Three ways were weighed (docs/tenants.md has the figures); ``Leases`` is what nodes run.

- ``FixedPart``: each node has the budget by the number of nodes.
- ``FollowedPart``: each node has the budget by its share of what all spent, as the ledger last said; late by design.
- ``Leases``: the ledger grants parts on demand, and never more than the budget in all.
"""
from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

LEASE_PART = 0.5     # of a node's part of what is left, even or by its use: what one lease may be at most
LEAST_PART = 0.0005  # of the budget: a lease is not cut below that
HORIZON = 1.0        # seconds of its own use that a node holds ahead
USUAL = 5.0          # seconds over which the use is noted by which a node holds ahead
AHEAD_PART = 10.0    # what it holds beyond that is at most so many times its part of what the ledger has left
RATE_OVER = 0.25     # seconds over which use is noted
LATE_STEP = 0.3      # weight of the newest in how late the ledger answers
FADE = 0.98          # what is left of the largest reservation after each
SPENT_PAUSE = 1.0    # seconds between asks once the ledger has said that nothing is left
SEEN_FOR = 10.0      # seconds that a node counts among those that share


Lot = tuple[float, int]    # of a rolling budget: by when a grant is over, in steady seconds, and the ledger's bucket of it
NO_LOT: Lot = (0.0, 0)


def fair(wanted: int, left: int, most: int, part: float) -> int:
    """What one lease may be, for a node with that part of what all need."""
    return max(0, min(wanted, max(round(LEASE_PART * left * part), round(LEAST_PART * most), 1), left))


class Part(Protocol):
    """What one node may grant of one budget. ``lot``: what the last taken amount came from."""
    lot: Lot

    def take(self, amount: int, now: float) -> bool:
        """Takes an amount for a reservation, whole or not at all."""

    def give(self, amount: int, now: float, lot: Lot = NO_LOT) -> None:
        """Gives back what a reservation did not need; a negative amount is an overrun that already happened. ``lot``: as it was when
        that was taken."""


@dataclass(slots=True)
class FixedPart:
    """The budget by the number of nodes. Overspend: none but overruns. Falsely refused: whatever is uneven."""
    room: int
    lot: Lot = NO_LOT

    def take(self, amount: int, now: float) -> bool:
        if amount > self.room:
            return False
        self.room -= amount
        return True

    def give(self, amount: int, now: float, lot: Lot = NO_LOT) -> None:
        self.room += amount


@dataclass(slots=True)
class FollowedPart:
    """The budget by this node's share of what all spent, as last heard. Overspend: shares that moved since."""
    most: int
    nodes: int
    own: int = 0
    all_spent: int = 0       # as last heard
    own_then: int = 0        # own spending when that was said
    lot: Lot = NO_LOT

    def heard(self, all_spent: int, own_then: int) -> None:
        self.all_spent, self.own_then = all_spent, own_then

    def take(self, amount: int, now: float) -> bool:
        share = max(self.own_then / self.all_spent, 0.2 / self.nodes) if self.all_spent else 1 / self.nodes
        if self.own + amount > self.own_then + share * (self.most - self.all_spent):
            return False
        self.own += amount
        return True

    def give(self, amount: int, now: float, lot: Lot = NO_LOT) -> None:
        self.own -= amount


@dataclass(slots=True)
class Lease:
    """A node's side of the leases on one budget. Times in seconds, on any steady clock.

    It holds what it uses in ``HORIZON`` seconds and twice the ledger's delay, or two of its largest reservations; with ``ahead`` up to so
    many seconds of it, for when the ledger is away, while that has much left. It returns what is more: what lies idle at one node is refused at another, so the less is
    left, the less is held. ``overdraft`` may be used while no lease comes; it is paid back from the next one. So a node
    without a ledger goes on for that much, and all nodes together overspend by at most the nodes times it.
    """
    overdraft: int
    room: int = 0            # granted and not taken
    used: int = 0            # taken less given back, since the period began
    wanted: int = 0          # asked for and not answered; 0: nothing is asked
    spent_out: bool = False  # the ledger has said that nothing is left
    largest: float = 0.0     # reservation, lately
    rate: float = 0.0        # tokens a second, lately
    usual: float = 0.0       # tokens a second, over a longer time
    born: float = 0.0        # when that was first noted
    noted: float = -1.0      # when the rate was last noted
    since: int = 0           # taken since then
    pause: float = -1.0      # not asked again before; of a budget that is spent little comes back
    asked: float = 0.0       # when
    late: float = 0.0        # how long the ledger takes to answer, lately
    ahead: float = 0.0       # seconds of its own use, as an operator has it
    spare: float = 0.0       # of what the ledger has left for all, this node's part, when last heard
    lot: Lot = NO_LOT

    def take(self, amount: int, now: float) -> bool:
        self.largest = max(self.largest, amount)
        if amount > self.room + (0 if self.spent_out else self.overdraft):
            return False
        self.room -= amount
        self.used += amount
        self.since += amount
        return True

    def give(self, amount: int, now: float, lot: Lot = NO_LOT) -> None:
        self.room += amount
        self.used -= amount

    def ask(self, now: float) -> int:
        """How much to ask the ledger for now; below 0: how much to return; 0: nothing. What is asked for counts as asked until
        ``granted``."""
        if self.noted < 0:
            self.noted = self.born = now
        past = now - self.noted
        if past >= RATE_OVER:
            self.rate += (self.since / past - self.rate) * min(1.0, past / HORIZON)
            self.usual += (self.since / past - self.usual) * min(1.0, past / min(USUAL, now - self.born))
            self.largest *= FADE
            self.noted, self.since = now, 0
        # A ledger that answers late is asked for as much more as is used meanwhile.
        least = max(2 * self.largest, (HORIZON + 2 * self.late) * self.rate)
        target = round(max(least, min(self.ahead * self.usual, AHEAD_PART * self.spare)))
        if self.wanted:
            return 0
        if self.room > 2 * target + 1 and not self.spent_out:
            return target - self.room
        if self.room * 2 >= target and self.room > 0 or now < self.pause:
            return 0
        self.wanted, self.asked = max(1, target - self.room), now
        return self.wanted

    @property
    def leased(self) -> int:
        """What the ledger granted of this period and has not got back."""
        return max(0, self.room + self.used)

    def returned(self, amount: int) -> None:
        """So much goes back to the ledger."""
        self.room -= amount

    def granted(self, amount: int, left: int, now: float) -> None:
        """The ledger's answer; ``left`` is what remains for all after it."""
        self.wanted = 0
        took = now - self.asked
        self.late += (LATE_STEP if self.late else 1.0) * (took - self.late)
        self.room += amount
        self.spent_out = amount == 0 and left <= 0
        self.pause = now + SPENT_PAUSE if self.spent_out else -1.0

    def heard(self, left: int, part: float) -> None:
        """What the ledger has left for all, and this node's part of what all need."""
        self.spare = max(0, left) * part

    def unanswered(self) -> None:
        """The ledger did not answer."""
        self.wanted = 0

    def anew(self) -> None:
        """A new life of this process: what the last one held counts as used; what it overdrew is still owed."""
        self.room, self.used, self.wanted = min(0, self.room), 0, 0

    def renewed(self) -> None:
        """A new period: what was leased of the old one is void, what was overdrawn of it is not carried over."""
        self.room, self.used, self.spent_out, self.wanted, self.pause = 0, 0, False, 0, -1.0


@dataclass(slots=True)
class Held:
    """What one node has of one budget, at the ledger."""
    leased: int = 0
    used: int = 0
    life: str = ""


@dataclass(slots=True)
class Grantor:
    """The ledger's side of the leases on one budget, for one period.

    ``most`` is never exceeded by what is leased in all: with leases of L(i) and overdrafts of d at N nodes, all spend at
    most sum L(i) + N d <= most + N d, plus overruns of reservations that were estimated too low.

    What was leased before this term of the ledger is known from its file and from what holders prove, ``old``; what others have
    heard to be out in all, ``floor``, may be more than that. What this term leases, less what it gets back, is ``fresh``.
    So ``out`` is max(old, floor) + fresh, and never less than what nodes hold of which anybody knows.
    """
    most: int
    held: dict[str, Held] = field(default_factory=dict)          # the newest life of each node
    ended: dict[tuple[str, str], int] = field(default_factory=dict)  # leased in lives that are over, and taken as used
    seen: dict[str, float] = field(default_factory=dict)
    old: int = 0
    floor: int = 0
    fresh: int = 0

    @property
    def out(self) -> int:
        return max(self.old, min(self.floor, self.most)) + self.fresh

    def load(self, node: str, life: str, leased: int, used: int, over: bool) -> None:
        """What the file says of one life."""
        if over:
            self.ended[node, life] = leased
        else:
            self.held[node] = Held(leased, used, life)
        self.old += leased

    def prove(self, node: str, life: str, leased: int, now_life: str) -> int:
        """What a node says that one of its lives was granted. Returns by how much that is more than was known."""
        mine = self.held.get(node)
        if life == now_life and (mine is None or mine.life != life):
            self._new_life(node, life)
            mine = self.held[node]
        if mine is not None and mine.life == life:
            more = max(0, leased - mine.leased - self.ended.get((node, life), 0))
            mine.leased += more
        else:
            more = max(0, leased - self.ended.get((node, life), 0))
            self.ended[node, life] = self.ended.get((node, life), 0) + more
        self.old += more
        return more

    def heard_out(self, out: int) -> None:
        """A node was told, before this term, that so much was out in all."""
        self.floor = max(self.floor, out)

    def parts(self) -> tuple[int, int]:
        """What present lives of nodes hold, and what former ones were granted."""
        return sum(h.leased for h in self.held.values()), sum(self.ended.values())

    def rebase(self) -> None:
        """A new term begins in which what the last one leased is something of before."""
        self.floor = max(self.old, self.floor) + self.fresh
        self.old, self.fresh = self.old + self.fresh, 0

    def _new_life(self, node: str, life: str) -> None:
        """What the last life took of its lease nobody knows: it counts as used."""
        mine = self.held.get(node)
        if mine is not None:
            self.ended[node, mine.life] = self.ended.get((node, mine.life), 0) + mine.leased
        self.held[node] = Held(life=life)

    def ask(self, node: str, life: str, wanted: int, used: int, now: float) -> tuple[int, int]:
        """Grants what it may. Returns the grant and what is left after it."""
        self.seen[node] = now
        mine = self.held.get(node)
        if mine is None or mine.life != life:
            self._new_life(node, life)
            mine = self.held[node]
        mine.used = max(mine.used, used)
        left = self.most - self.out
        grant = fair(wanted, left, self.most, self.part(node, now))
        mine.leased += grant
        self.fresh += grant
        return grant, self.most - self.out

    def part(self, node: str, now: float) -> float:
        """A node's part of what is left. A busy one needs more than an even part: it gets by its part of what all have used."""
        sharing = sum(now - at < SEEN_FOR for at in self.seen.values())
        mine = self.held.get(node)
        return max(1 / max(1, sharing), (mine.used if mine else 0) / max(1, sum(h.used for h in self.held.values())))

    def take_back(self, node: str, life: str, amount: int) -> None:
        """A grant of which the node was not told."""
        mine = self.held.get(node)
        if mine and mine.life == life:
            mine.leased -= amount
        elif (node, life) in self.ended:
            self.ended[node, life] -= amount
        self.fresh -= amount

    def give_back(self, node: str, life: str, amount: int) -> None:
        """A node that stops in order returns what it has not taken."""
        mine = self.held.get(node)
        if mine and mine.life == life:
            back = max(0, min(amount, mine.leased - mine.used))
            mine.leased -= back
            self.fresh -= back
