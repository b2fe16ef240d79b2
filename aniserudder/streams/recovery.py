"""When a broken stream has its turn to be read again: the storm after a writer's death must not jam the readers.

Every continuation reads its prompt and its text so far anew. Of that extra reading the node allows a rate, a part of what its
own new arrivals have read lately, so that the parts of many nodes add up without their talking. The rate follows how new
arrivals fare: it grows while their first tokens come early within their latency SLO and shrinks when they come late.
A single loss goes on at once; after many, turns are given in the order that the policy says. docs/streams.md weighs the policies.
"""
from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

S = 1_000_000


class Order(Enum):
    """Who is next."""
    AT_ONCE = "at once"        # everybody, now: no scheduling at all
    FIFO = "fifo"              # who broke first
    DEADLINE = "deadline"      # who has least time left
    DENSITY = "density"        # most utility for a token to read
    SAVE_MOST = "save most"    # earliest deadline among those that can be saved together; utility a token decides who cannot


@dataclass(slots=True, frozen=True)
class RecoveryRules:
    """What bounds the extra reading. Rates in tokens a second, times in microseconds."""
    order: Order = Order.SAVE_MOST
    part: float = 0.25           # of the arrivals' own reading, at a throttle of 1
    least_per_s: float = 20_000.0  # that may be read again in any case, by all nodes together
    burst: int = S // 4          # of the rate that may be saved up
    ease: float = 0.45           # part of their SLO in which new arrivals' first tokens come: below, the rate grows
    press: float = 0.7           # above, it shrinks
    least_throttle: float = 0.25
    most_throttle: float = 8.0
    step: int = S // 4           # between changes of the throttle
    again: int = S // 5          # wait of a stream that nothing could take
    hopeless: float = 2.0        # given up at once: who could not be saved even at so many times the rate
    most: int = 2_000            # that may wait for a turn


@dataclass(slots=True, eq=False)
class Broken:
    """One broken stream that waits for its turn. ``key`` is whatever the caller knows it by."""
    key: object
    cost: int                    # tokens to read
    utility: float
    due: int                     # when it is too late to begin reading
    since: int
    not_before: int = 0


@dataclass(slots=True)
class RecoveryCounts:
    """What was counted since the start."""
    broken: int = 0
    turns: int = 0
    hopeless: int = 0
    over_most: int = 0
    extra: int = 0               # tokens


class Recovery:
    """One node's scheduler.

    Args:
        chance: a bound ``random`` of the instance's chance.
        nodes: that share the engines. One alone begins at once; of many each begins after a time left to chance, as long
            on average as the writer's streams at all of them take: else their first turns alone would be a storm.
    """

    def __init__(self, rules: RecoveryRules, chance: Callable[[], float], now: int = 0, nodes: int = 1) -> None:
        self.rules, self._chance, self.nodes = rules, chance, nodes
        self.waiting: dict[object, Broken] = {}
        self.counts = RecoveryCounts()
        self.throttle = 1.0
        self._read, self._read_at = 0.0, now        # tokens read for new arrivals, fading
        self._share, self._seen = 0.0, 0.0          # how new arrivals fare, and by how many
        self._stepped = now
        self._room, self._room_at = 0.0, now
        self._begun = False

    # What is seen.

    def arrived(self, now: int, tokens: int) -> None:
        """A new sequence of so many prompt tokens was taken."""
        self._fade(now)
        self._read += tokens

    def fared(self, now: int, share: float) -> None:
        """A new sequence had its first token after that part of its SLO, or was turned away (above 1)."""
        weight = 0.2
        self._share += weight * (min(2.0, share) - self._share) if self._seen else min(2.0, share)
        self._seen += 1
        if now - self._stepped >= self.rules.step:
            self._stepped = now
            if self._share > self.rules.press:
                self.throttle = max(self.rules.least_throttle, 0.7 * self.throttle)
            elif self._share < self.rules.ease:
                self.throttle = min(self.rules.most_throttle, self.throttle + 0.5)

    def rate(self, now: int) -> float:
        """Tokens a second that may be read again."""
        self._fade(now)
        return max(self.rules.least_per_s / self.nodes, self.rules.part * self._read) * self.throttle

    # Broken streams.

    def broke(self, now: int, one: Broken, usual: float = 1.0) -> Broken | None:
        """A stream broke. Returns one that is given up for it, where too many wait.

        Args:
            usual: streams of this node that run at one writer, on average.
        """
        self.counts.broken += 1
        if not self.waiting:
            self._fill(now)
            if self.nodes > 1:
                self._room -= self._chance() * min(1.0, usual) * one.cost
        self.waiting[one.key] = one
        if len(self.waiting) > self.rules.most:
            self.counts.over_most += 1
            least = min(self.waiting.values(), key=lambda b: (b.utility / max(1, b.cost), -b.due))
            return self.waiting.pop(least.key)
        return None

    def waits(self, now: int, one: Broken) -> None:
        """Nothing could take it in its turn: it has another a little later."""
        one.not_before = now + self.rules.again
        self.waiting[one.key] = one

    def left(self, key: object) -> None:
        self.waiting.pop(key, None)

    def due(self, now: int) -> tuple[list[Broken], list[Broken]]:
        """Whose turn it is now, in order, and who is given up."""
        lost = [b for b in self.waiting.values() if b.due < now]
        for one in lost:
            del self.waiting[one.key]
        turns: list[Broken] = []
        if self.rules.order is Order.AT_ONCE:
            turns = [b for b in self.waiting.values() if b.not_before <= now]
        else:
            self._fill(now)
            if self._room > 0:
                order, hopeless = self._ordered(now)
                for one in hopeless:
                    del self.waiting[one.key]
                    self.counts.hopeless += 1
                lost += hopeless
                for one in order:
                    if self._room <= 0:
                        break
                    turns.append(one)
                    self._room -= one.cost
        for one in turns:
            del self.waiting[one.key]
            self.counts.turns += 1
            self.counts.extra += one.cost
        return turns, lost

    def wake_at(self, now: int) -> int:
        """When ``due`` is worth another call; 0: nobody waits."""
        if not self.waiting:
            return 0
        soonest = min(b.not_before for b in self.waiting.values())
        debt = math.ceil(-self._room / self.rate(now) * S) + 1 if self._room <= 0 else 0
        return min(max(now + debt, soonest, now + 1), min(b.due for b in self.waiting.values()) + 1)

    # Who is next.

    def _ordered(self, now: int) -> tuple[list[Broken], list[Broken]]:
        ready = [b for b in self.waiting.values() if b.not_before <= now]
        match self.rules.order:
            case Order.FIFO:
                return sorted(ready, key=lambda b: b.since), []
            case Order.DEADLINE:
                return sorted(ready, key=lambda b: b.due), []
            case Order.DENSITY:
                return sorted(ready, key=lambda b: (-b.utility / max(1, b.cost), b.due)), []
        saved, out = saveable(ready, now, self.rate(now))
        if not out:
            return saved, []
        _, hopeless = saveable(ready, now, self.rules.hopeless * self.rate(now))
        without = set(map(id, hopeless))
        # Those in between have their turn when the rate grows or somebody ahead leaves.
        return saved + sorted((b for b in out if id(b) not in without), key=lambda b: b.due), hopeless

    def _fade(self, now: int) -> None:
        self._read *= math.exp((self._read_at - now) / S)  # a mean over about a second, as tokens a second
        self._read_at = now

    def _fill(self, now: int) -> None:
        rate = self.rate(now)
        most = max(1.0, rate * self.rules.burst / S)
        self._room = min(most, self._room + rate * (now - self._room_at) / S) if self._begun else most
        self._room_at, self._begun = now, True


def saveable(ready: list[Broken], now: int, rate: float) -> tuple[list[Broken], list[Broken]]:
    """Parts broken streams into those that can all begin before they are due, in order, and the others.

    Moore and Hodgson's rule with weights: by deadline, and as soon as one would be late, of those so far the one worth least
    is left out; worth once by a token's utility and once by the whole, and the better of the two is kept. Exact where all are
    alike; the tests hold it against trying all.
    """
    parts = [_saveable(ready, now, rate / S, by) for by in (lambda b: b.utility / max(1, b.cost), lambda b: b.utility)]
    return max(parts, key=lambda part: sum(b.utility for b in part[0]))


def _saveable(ready: list[Broken], now: int, rate: float, worth: Callable[[Broken], float]) -> tuple[list[Broken], list[Broken]]:
    saved: list[Broken] = []
    out: list[Broken] = []
    ahead = 0.0  # tokens that are read before the next one begins
    for one in sorted(ready, key=lambda b: (b.due, b.since)):
        saved.append(one)
        ahead += one.cost
        while saved and ahead - saved[-1].cost > max(0.0, (saved[-1].due - now) * rate):
            worst = min(saved, key=lambda b: (worth(b), -b.due))
            saved.remove(worst)
            out.append(worst)
            ahead -= worst.cost
    return saved, out
