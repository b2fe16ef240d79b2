"""Engines on a ring by their hash, the same at every node."""
from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator
from hashlib import blake2b

from .state import Engine

Ring = list[tuple[int, str, Engine]]


def point(text: str) -> int:
    """A place on the ring, the same at every node."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def window(ring: Ring, start: int, count: int, low: int = 0, high: int | None = None) -> Iterator[Engine]:
    """So many engines from a point of the ring on, within the positions from ``low`` to ``high``, once around at most."""
    high = len(ring) if high is None else high
    size = high - low
    if size <= 0:
        return
    first = bisect_left(ring, (start, ""), low, high) - low
    for step in range(min(count, size)):
        yield ring[low + (first + step) % size][2]
