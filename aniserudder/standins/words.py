"""What stand-in engines write: a text that follows from the prompt alone, so that anybody can say what it has to be.

A greedy engine writes the same text whenever it is asked; one that samples writes another each time. Every fifth word holds a
character of three bytes, so that cuts fall within one.
"""
from __future__ import annotations

from collections.abc import Iterator

import xxhash


def word(salt: str, number: int) -> str:
    """Word ``number`` (from 1) of the text that belongs to ``salt``."""
    mark = xxhash.xxh3_64_intdigest(f"{salt} {number}".encode()) & 0xfff
    return f"w{number}.{mark:03x}{'湖' if number % 5 == 0 else ''} "


def length(last: str, most: int) -> int:
    """Words of the whole answer to a prompt whose last message is ``last``."""
    low = max(1, most // 3)
    return low + xxhash.xxh3_64_intdigest(last.encode()) % (most - low + 1)


def reference(ref: str, last: str, most: int) -> Iterator[str]:
    """The words that a greedy engine answers ``ref`` with."""
    return (word(ref, n) for n in range(1, length(last, most) + 1))


def in_order(text: str) -> bool:
    """Whether the words of a text are numbered from 1 without a gap: what holds of a sampled one too."""
    return [w.partition(".")[0] for w in text.split()] == [f"w{n}" for n in range(1, len(text.split()) + 1)]
