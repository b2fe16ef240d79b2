"""How much a node remembers by the names that clients make up: entries, from the memory that the process may hold.

A bound for each engine is none for all of them: what is remembered of all engines together is bounded here, and the oldest gives way.
"""
from __future__ import annotations

from collections.abc import Collection
from heapq import nsmallest

from .state import Engine

ENTRY_BYTES = 256        # of one kept beginning at one engine, its name included
MEMORY_PART = 16         # of the process's memory, that all of them may hold
ENTRIES_LEAST, ENTRIES_MOST = 1_024, 65_536
FORGETS_PART = 8         # of the entries go at a time


class Remembered:
    """Bounds the beginnings that engines are thought to keep.

    Args:
        memory: bytes that the process may hold; 0: not said.
    """

    def __init__(self, memory: int) -> None:
        told = memory // MEMORY_PART // ENTRY_BYTES if memory else ENTRIES_MOST
        self.most = max(ENTRIES_LEAST, min(ENTRIES_MOST, told))
        self.names_most = self.most // 4  # of a table by name alone
        self.entries = 0                  # at most; those of engines that forgot are counted until the next look

    def added(self, engines: Collection[Engine]) -> None:
        """One more beginning was noted."""
        self.entries += 1
        if self.entries <= self.most:
            return
        self.entries = sum(len(engine.kept) for engine in engines)
        if self.entries > self.most - self.most // FORGETS_PART:
            self._forget(engines)

    def _forget(self, engines: Collection[Engine]) -> None:
        all_noted = ((at, engine.id, key, engine) for engine in engines for key, (_, at) in engine.kept.items())
        for _, _, key, engine in nsmallest(self.most // FORGETS_PART, all_noted, key=lambda noted: noted[:3]):
            del engine.kept[key]
            self.entries -= 1
