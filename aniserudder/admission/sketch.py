"""Heavy hitters in bounded memory: Space-Saving (Metwally and others, 2005) with counts that fade.

The heaviest ``size`` keys are kept. A new key takes the place of the lightest and inherits its count as its error, so a count is never too
low and at most ``total / size`` too high. Counts fade by half each ``half_s``, done by letting new events weigh more.
"""
from __future__ import annotations

import heapq
import math


class HeavyHitters:
    """Counts of the heaviest keys."""

    __slots__ = ("size", "half_s", "total", "_counts", "_heap", "_began")

    def __init__(self, size: int, half_s: float) -> None:
        self.size, self.half_s, self.total = size, half_s, 0.0
        self._counts: dict[bytes, list[float]] = {}       # key: [weighed count, error]
        self._heap: list[tuple[float, bytes]] = []        # lightest first; entries may be out of date
        self._began = 0.0

    def add(self, key: bytes, now: float) -> float:
        """Counts an event and returns the key's count, faded to now."""
        weight = self._weight(now)
        self.total += weight
        known = self._counts.get(key)
        if known is None:
            error = 0.0
            if len(self._counts) >= self.size:
                error = self._drop_lightest()
            known = self._counts[key] = [error, error]
            heapq.heappush(self._heap, (error, key))
        known[0] += weight
        return known[0] / weight

    def count(self, key: bytes, now: float) -> float:
        """A key's count, faded to now; 0 where it is not among the heaviest."""
        known = self._counts.get(key)
        return known[0] / self._weight(now) if known else 0.0

    def sure(self, key: bytes, now: float) -> float:
        """What of the count is the key's own for certain."""
        known = self._counts.get(key)
        return (known[0] - known[1]) / self._weight(now) if known else 0.0

    def top(self, most: int, now: float) -> list[tuple[bytes, float]]:
        weight = self._weight(now)
        return [(k, c[0] / weight) for k, c in heapq.nlargest(most, self._counts.items(), key=lambda i: (i[1][0], i[0]))]

    def __len__(self) -> int:
        return len(self._counts)

    def _weight(self, now: float) -> float:
        power = (now - self._began) / self.half_s
        if power > 200:  # before the weights overflow all are scaled down
            scale = 2.0 ** -power
            for known in self._counts.values():
                known[0] *= scale
                known[1] *= scale
            self._heap = [(c[0], k) for k, c in self._counts.items()]
            heapq.heapify(self._heap)
            self.total *= scale
            self._began, power = now, 0.0
        return math.pow(2.0, max(0.0, power))

    def _drop_lightest(self) -> float:
        while True:
            count, key = heapq.heappop(self._heap)
            known = self._counts.get(key)
            if known is None:
                continue
            if known[0] > count:  # it has grown since it was put there
                heapq.heappush(self._heap, (known[0], key))
                continue
            del self._counts[key]
            return known[0]
