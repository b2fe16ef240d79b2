"""Slow start: which sequences go to engines that have just started, so that the sum of all nodes does not overload them.

A cold engine is dealt its part of what a warm one takes, and nothing else. Each node counts up from a phase left to chance, so that
parts add up for any number of nodes.
"""
from __future__ import annotations

import math

from .candidates import EngineIndex
from .interface import Role, RosterRow, Settings
from .pace import FIRST_READ_PACE, READ_OVERHEAD, USUAL_FOR, S
from .state import Engine

COLD_SAFE = 0.7   # part of the fall multiple that is used
MOST_TURNS = 2.0  # sequences that an engine may have saved up


class SlowStart:
    """Deals turns to the cold engines of one node.

    Args:
        settings: share, time and fall multiple of cold engines.
        index: the engines of the node.
    """

    def __init__(self, settings: Settings, index: EngineIndex) -> None:
        self._settings, self._index = settings, index
        self._took: dict[bool, tuple[float, int]] = {}  # by warm readers, and others: sequences per second and size, and when that was noted

    def deal(self, now: int, tokens: int) -> dict[Engine, None]:
        """The cold engines that are due a sequence of so many prompt tokens. With no warm engine of its role one goes by what those took
        before, through the time since it last looked."""
        due: dict[Engine, None] = {}
        for engine in self._index.cold:
            if not self._warm_size(engine):
                passed, engine.looked_at = now - max(engine.looked_at, engine.row.started_at, now - S), now
                self._count_up(now, engine, self._took_before(engine, tokens, passed / S))
            if engine.turn >= 1:
                engine.turn -= 1
                due[engine] = None
        return due

    def taken(self, now: int, row: RosterRow, reads: bool) -> None:
        """A warm engine has read a prompt, or begun an answer: by that cold ones of its role are counted up. What arrives, is
        refused, comes again or is repeated tells nothing of what an engine can take."""
        each = 1 / max(row.size, self._index.warm_sizes[reads])
        rate, at = self._took.get(reads, (0.0, now))
        self._took[reads] = rate * math.exp((at - now) / USUAL_FOR) + each * S / USUAL_FOR, now
        for cold in self._index.cold:
            if (cold.role is Role.READER) is reads:
                self._count_up(now, cold, each)

    def _warm_size(self, engine: Engine) -> float:
        """Of the warm engines of an engine's kind."""
        return self._index.warm_sizes[engine.role is Role.READER]

    def _took_before(self, cold: Engine, tokens: int, seconds: float) -> float:
        """Sequences that a warm engine of size 1 would have taken from this node in such a time. A node that has never seen one goes by
        its first guess of a reader's pace, at other engines by what arrives."""
        reads = cold.role is Role.READER
        rate, at = self._took.get(reads, (0.0, 0))
        if rate:
            return seconds * rate * math.exp((at - max(at, cold.row.started_at)) / USUAL_FOR)
        if reads:
            return seconds * S / FIRST_READ_PACE / (READ_OVERHEAD + tokens) / self._settings.nodes
        return 1 / self._index.sizes[False]

    def _count_up(self, now: int, cold: Engine, taken: float) -> None:
        least = self._settings.cold_share
        safe = max(1.0, COLD_SAFE * self._settings.fall_multiple) * least  # even if not warmed up yet
        part = min(safe, least + (now - cold.row.started_at) / self._settings.cold_time)
        cold.turn = min(MOST_TURNS, cold.turn + part * cold.row.size * taken)
