"""When a broken stream has its turn to be read again: the storm after a writer's death must not jam the readers.

Every continuation reads its prompt and its text so far anew. Of that extra reading the node allows a rate: its part of what the
readers have free, which it tells from their number, the pace of an idle one and what it lately had read itself, times the nodes.
The parts add up without the nodes' talking. How new arrivals fare corrects the rate: their first tokens have to come within their
latency SLO. A single loss goes on at once; after many, turns are given in the order that the policy says, until the pause that a
client is left with is over. Of many nodes none sees more than a few of the streams that a writer took with it: each then reckons
from the streams it has seen itself how many denser ones there are at all nodes, and lets those go first. docs/streams.md weighs
the policies.
"""
from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

S = 1_000_000
READ_FOR = 5 * S   # what a node had read is a mean over about such a time, or longer for one of many
SAMPLE = 256       # arrivals by which a stream of many nodes is ranked
SPREAD = 4 * S     # of its rate a node of many may have saved up so much: it has few turns, and each is a whole prompt


class Order(Enum):
    """Who is next."""
    AT_ONCE = "at once"        # everybody, now: no scheduling at all
    FIFO = "fifo"              # who broke first
    DEADLINE = "deadline"      # who has least time left
    DENSITY = "density"        # most utility for a token to read
    SAVE_MOST = "save most"    # of those that can be saved together the densest that makes no other of them late


@dataclass(slots=True, frozen=True)
class RecoveryRules:
    """What bounds the extra reading. Rates in tokens a second, times in microseconds."""
    order: Order = Order.SAVE_MOST
    part: float = 0.6            # of what readers have free
    least: float = 0.05          # of what they can read: never less, or a full fleet would save none
    burst: int = S // 10         # of the rate that may be saved up
    ease: float = 0.4            # part of their SLO in which new arrivals' first tokens come: below, the rate grows
    press: float = 0.6           # above, it shrinks
    least_throttle: float = 0.1
    step: int = S // 5           # between changes of the throttle
    again: int = S // 5          # wait of a stream that nothing could take
    hopeless: float = 2.0        # given up at once: who could not be saved even at so many times the rate
    judge: int = S // 2          # and not before it has waited so long: what readers have kept shows only then
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
    extra: int = 0               # tokens that readers read anew


class Recovery:
    """One node's scheduler.

    Args:
        nodes: that share the engines.
    """

    def __init__(self, rules: RecoveryRules, now: int = 0, nodes: int = 1) -> None:
        self.rules, self.nodes = rules, nodes
        self._read_for = READ_FOR * min(12, max(1, nodes // 4))  # a node of many sees little in a short time
        self._like: deque[tuple[float, int]] = deque(maxlen=SAMPLE)  # density and tokens of the last arrivals
        self.waiting: dict[object, Broken] = {}
        self.counts = RecoveryCounts()
        self.throttle = 1.0
        self.capacity = 0.0    # tokens a second that all readers together can read
        self._read, self._read_at = 0.0, now        # tokens that new arrivals had to have read, fading
        self._fresh = 1.0      # of their tokens, those that readers had not kept
        self._share, self._seen = 0.0, 0.0          # how new arrivals fare, and by how many
        self._stepped = now
        self._room, self._room_at = 0.0, now
        self._begun = False
        self.anew = 1.0        # of the tokens of a continuation, those that readers had not kept

    # What is seen.

    def arrived(self, now: int, tokens: int, utility: float) -> None:
        """A new sequence of so many prompt tokens came. What arrives counts, not what was read: the latter shrinks when readers
        are busy with continuations, and would make room for more of them."""
        self._fade(now)
        self._read += tokens * self._fresh
        self._like.append((utility / max(1, tokens), tokens))

    def read(self, tokens: int, anew: int) -> None:
        """Of a new sequence's prompt so many tokens were read anew."""
        self._fresh += 0.05 * (min(1.0, anew / max(1, tokens)) - self._fresh)

    def fared(self, now: int, share: float) -> None:
        """A new sequence had its first token after that part of its SLO, or was turned away (above 1)."""
        weight = 0.2
        self._share += weight * (min(2.0, share) - self._share) if self._seen else min(2.0, share)
        self._seen += 1
        if now - self._stepped >= self.rules.step:
            self._stepped = now
            if self._share > self.rules.press:
                self.throttle = max(self.rules.least_throttle, 0.6 * self.throttle)
            elif self._share < self.rules.ease:
                self.throttle = min(1.0, self.throttle + 0.1)

    def told(self, cost: int, read: int) -> None:
        """A continuation of ``cost`` tokens was read, ``read`` of them anew: what readers had kept is given back."""
        self._room += max(0, self._estimate(cost) - read)
        self.anew += 0.1 * (min(1.0, read / max(1, cost)) - self.anew)
        self.counts.extra += read

    def _estimate(self, cost: int) -> float:
        return max(1.0, cost * self.anew)

    def rate(self, now: int) -> float:
        """Tokens a second that this node may have read again."""
        self._fade(now)
        free = self.capacity / self.nodes - self._read * S / self._read_for
        return max(1.0, self.rules.least * self.capacity / self.nodes, self.rules.part * free) * self.throttle

    # Broken streams.

    def broke(self, now: int, one: Broken, capacity: float, usual: float = 1.0) -> Broken | None:
        """A stream broke. Returns one that is given up for it, where too many wait.

        Args:
            capacity: tokens a second that all readers together can read.
            usual: streams of this node that run at one writer, on average.
        """
        self.counts.broken += 1
        self.capacity = capacity
        if self.nodes > 1 and self.rules.order in (Order.DENSITY, Order.SAVE_MOST):
            one.not_before = now + round(usual * self._denser(one) / self.rate(now) * S)
        self.waiting[one.key] = one
        if len(self.waiting) > self.rules.most:
            self.counts.over_most += 1
            least = min(self.waiting.values(), key=lambda b: (b.utility / max(1, b.cost), -b.due))
            return self.waiting.pop(least.key)
        return None

    def _denser(self, one: Broken) -> float:
        """Tokens of a usual stream, times the part of all tokens that belong to denser streams than this one."""
        if not self._like:
            return 0.0
        density = one.utility / max(1, one.cost)
        ahead = sum(tokens for other, tokens in self._like if other > density)
        return self.anew * ahead / len(self._like)

    def alone(self, now: int, key: object) -> None:
        """Its writer lives: this stream alone was lost, and no storm is to be expected."""
        one = self.waiting.get(key)
        if one:
            one.not_before = min(one.not_before, now)

    def waits(self, now: int, one: Broken) -> None:
        """Nothing could take it in its turn: it has another a little later."""
        one.not_before = now + self.rules.again
        self.waiting[one.key] = one
        self._room += self._estimate(one.cost)  # nothing was read

    def left(self, key: object) -> None:
        self.waiting.pop(key, None)

    def due(self, now: int) -> tuple[list[Broken], list[Broken]]:
        """Whose turn it is now, in order, and who is given up."""
        lost = [b for b in self.waiting.values() if b.due < max(now, b.not_before)]
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
                while order and self._room > 0:
                    turns.append(order.pop(0))
                    self._room -= self._estimate(turns[-1].cost)
                    if self.rules.order is Order.SAVE_MOST:
                        order = densest_first(order, now, self.rate(now) / max(0.02, self.anew))
        for one in turns:
            del self.waiting[one.key]
            self.counts.turns += 1
        return turns, lost

    def wake_at(self, now: int) -> int:
        """When ``due`` is worth another call; 0: nobody waits."""
        if not self.waiting:
            return 0
        soonest = min(b.not_before for b in self.waiting.values())
        debt = math.ceil(-self._room / self.rate(now) * S) + 1 if self._room <= 0 else 0
        return min(max(now + debt, soonest, now + 1), min(b.due if b.not_before <= b.due else now for b in self.waiting.values()) + 1)

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
        rate = self.rate(now) / max(0.02, self.anew)
        saved, out = saveable(ready, now, rate)
        if not out:
            return densest_first(saved, now, rate), []
        _, hopeless = saveable(ready, now, self.rules.hopeless * rate)
        left_out = set(map(id, out))  # more rate may choose others: none is lost that can be saved at this one
        hopeless = [b for b in hopeless if id(b) in left_out and now - b.since >= self.rules.judge]
        without = set(map(id, hopeless))
        saved = densest_first(saved, now, rate)
        # Those in between have their turn when the rate grows or somebody ahead leaves.
        return saved + sorted((b for b in out if id(b) not in without), key=lambda b: b.due), hopeless

    def _fade(self, now: int) -> None:
        self._read *= math.exp((self._read_at - now) / self._read_for)
        self._read_at = now

    def _fill(self, now: int) -> None:
        rate = self.rate(now)
        most = max(1.0, rate * (SPREAD if self.nodes > 1 else self.rules.burst) / S)
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


def densest_first(saved: list[Broken], now: int, rate: float) -> list[Broken]:
    """Of those that can all be saved: first the one with the most utility a token that makes none of the others late. What the
    rate will be is a guess, and what is read first is sure. The rest follows by deadline."""
    ahead, slack = 0.0, math.inf   # the least room of all that are due before
    best: Broken | None = None
    for one in saved:
        if one.cost <= slack and (best is None or one.utility / max(1, one.cost) > best.utility / max(1, best.cost)):
            best = one
        slack = min(slack, (one.due - now) * rate / S - ahead)
        ahead += one.cost
    return [best, *(b for b in saved if b is not best)] if best else saved


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
