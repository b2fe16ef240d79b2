"""Who says what counts of a budget: how much, for which period, and what time it is. Decisions without I/O, at the ledger.

Nodes read budgets from files of their own, and each has a clock. What one node says is evidence, never the rule: a file that is older than the
others', or a clock that is wrong, must not lift a budget, begin a period for all or end one. What counts is, in this order:

1. what the ledger's own settings say, where they name the budget;
2. what more than half of the nodes say that were heard within ``HEARD_FOR``;
3. without a majority, what counted before, as long as one of them still says it;
4. else the least that any of them says.

So of N nodes that are heard, fewer than N / 2 that are wrong change nothing, however wrong they are.
"""
from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from .periods import Period, start_of

S = 1_000_000
HEARD_FOR = 10.0          # seconds on a steady clock for which a node's word counts
CLOCK_SLACK = 5 * S       # by which clocks may differ without being called wrong
NODES_MOST = 10_000       # whose words are kept


@dataclass(slots=True, frozen=True, order=True)
class Form:
    """How much a budget is and how it renews. Times in microseconds, but for the zone's offset."""
    most: int
    period: Period = field(default=Period.MONTH, compare=True)
    window: int = 0          # of a rolling one
    offset_minutes: int = 0

    @classmethod
    def read(cls, most: int, period: str, window: int, offset_minutes: int) -> Form:
        """As a node says it.

        Raises:
            ValueError: it is no form of a budget.
        """
        if most < 0 or not -840 <= offset_minutes <= 840 or window < 0 or period == Period.ROLLING.value and window < S:
            raise ValueError(f"no budget: {most} for {period[:20]!r}, {window} us, {offset_minutes} min")
        kind = Period(period)
        return cls(most, kind, window if kind is Period.ROLLING else 0, 0 if kind is Period.ROLLING else offset_minutes)

    def begin(self, wall: int) -> int:
        """When the calendar period began that holds a time; a rolling budget has none."""
        return 0 if self.period is Period.ROLLING else start_of(self.period, wall, self.offset_minutes)


@dataclass(slots=True)
class Authority:
    """One budget. ``fixed``: what the ledger's own settings say."""
    fixed: Form | None = None
    counts: Form | None = None
    said: dict[str, tuple[Form, float]] = field(default_factory=dict)  # by node: what, and when
    changes: int = 0

    def heard(self, node: str, form: Form, now: float) -> None:
        """A node's word. Its newest one counts."""
        self.said.pop(node, None)
        self.said[node] = form, now
        if len(self.said) > NODES_MOST:
            del self.said[next(iter(self.said))]
        self.look(now)

    def look(self, now: float) -> Form | None:
        """What counts now."""
        while self.said and now - next(iter(self.said.values()))[1] > HEARD_FOR:
            del self.said[next(iter(self.said))]
        found = self.fixed or self._found()
        if found != self.counts:
            self.changes += self.counts is not None
            self.counts = found
        return found

    def _found(self) -> Form | None:
        votes = Counter(form for form, _ in self.said.values())
        if not votes:
            return self.counts
        form, count = votes.most_common(1)[0]
        if 2 * count > len(self.said):
            return form
        if self.counts in votes:
            return self.counts
        return min(votes, key=lambda f: (f.most, f.period.value, f.window, f.offset_minutes))

    def dissent(self) -> int:
        """How many nodes say something else than what counts."""
        return sum(form != self.counts for form, _ in self.said.values())


@dataclass(slots=True)
class Clock:
    """What time it is, by the ledger's clock and by those of the nodes that were heard: the median of all.

    Nodes' clocks are kept by a steady one, so that the ledger's own, should it jump, is outvoted from that moment on. The median of N + 1
    clocks is off by more than ``CLOCK_SLACK`` only where half of them are.
    """
    at: dict[str, tuple[int, float]] = field(default_factory=dict)  # by node: its clock less the steady one, and when heard

    def heard(self, node: str, wall: int, now: float) -> None:
        """A node said what time it has. ``now``: steady seconds."""
        self.at.pop(node, None)
        self.at[node] = wall - round(now * S), now
        if len(self.at) > NODES_MOST:
            del self.at[next(iter(self.at))]

    def correction(self, own: int, now: float) -> int:
        """What has to be added to the ledger's own clock; 0 while it is among the right ones."""
        while self.at and now - next(iter(self.at.values()))[1] > HEARD_FOR:
            del self.at[next(iter(self.at))]
        if len(self.at) < 2:  # of two that differ nobody knows which is wrong: the ledger's own stands
            return 0
        steady = round(now * S)
        ahead = sorted([0, *(base + steady - own for base, _ in self.at.values())])
        middle = ahead[(len(ahead) - 1) // 2], ahead[len(ahead) // 2]
        near = min(middle, key=abs)  # of an even number the one nearer to the ledger's own
        return near if abs(near) > CLOCK_SLACK else 0


@dataclass(slots=True)
class Hand:
    """A node's side: what time it is for budgets, as the ledger said it, on a steady clock: a jump of the node's own clock moves nothing."""
    base: int | None = None      # the ledger's clock less the steady one; None: it was never heard

    def heard(self, wall: int, sent: float, came: float) -> None:
        """The ledger said what time it was between the sending of an ask and the coming of its answer, both in steady seconds. Believed only
        where it says more than the way of the answer leaves open."""
        found, doubt = wall - round((sent + came) / 2 * S), round((came - sent) / 2 * S)
        if self.base is None or abs(found - self.base) > doubt + S // 10:
            self.base = found

    def time(self, own: int, now: float) -> int:
        """Microseconds. ``own``: the node's own wall clock."""
        return own if self.base is None else self.base + round(now * S)
