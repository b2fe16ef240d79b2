"""Run-time check of slow start: what one node sends to an engine that has just started, against its part of what that engine may get.

The check follows attempts and the list alone and shares no state with the decision module, which deals cold engines their turns. It is
counted over an engine's whole cold time and never corrects anything.
"""
from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from ..decisions.interface import Availability, Role, RosterRow, Settings

FEW = 30  # STANDING: below so many calls the allowance for chance is three roots and three, from there two roots and two


@dataclass(slots=True)
class _ColdEngine:
    """One start of one engine; ``work`` and ``moment`` are the sums of its kind when it was heard of."""
    started_at: int
    size: float
    work: float
    moment: float
    sent: int = 0


class SlowStartMonitor:
    """Counts the calls that go to cold engines.

    Args:
        settings: share, time and fall multiple of cold engines, and the roles of kinds.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._rows: dict[str, RosterRow] = {}
        self._cold: dict[str, _ColdEngine] = {}
        self._warm_sizes = {True: 0.0, False: 0.0}
        # What one warm engine of size 1 took, summed up, and the same times when it did (microseconds), for readers and for others.
        self._work = {True: 0.0, False: 0.0}
        self._moment = {True: 0.0, False: 0.0}

    def roster(self, rows: Iterable[RosterRow], complete: bool, now: int) -> None:
        """The engine list changed."""
        rows = list(rows)
        if complete:
            named = {row.engine for row in rows}
            for engine in [engine for engine in self._rows if engine not in named]:
                self._forget(engine)
        for row in rows:
            self._forget(row.engine, keep=row.started_at)
            if row.availability is not Availability.RUNNING:
                continue
            self._rows[row.engine] = row
            reads = self._reads(row)
            if not self._is_cold(row, now):
                self._cold.pop(row.engine, None)
                self._warm_sizes[reads] += row.size
            elif row.engine not in self._cold:
                self._cold[row.engine] = _ColdEngine(row.started_at, row.size, self._work[reads], self._moment[reads])

    def _forget(self, engine: str, keep: int = -1) -> None:
        row = self._rows.pop(engine, None)
        cold = self._cold.get(engine)
        if cold and cold.started_at != keep:
            del self._cold[engine]
        elif row and not cold:
            self._warm_sizes[self._reads(row)] -= row.size

    def _reads(self, row: RosterRow) -> bool:
        return self._settings.roles.get(row.kind) is Role.READER

    def _is_cold(self, row: RosterRow, now: int) -> bool:
        return 0 < row.started_at and now - row.started_at < self._settings.cold_time

    def taken(self, engine: str, now: int) -> None:
        """An engine has read a prompt, or begun an answer."""
        row = self._rows.get(engine)
        if row is None or engine in self._cold:
            return
        reads = self._reads(row)
        each = 1 / max(row.size, self._warm_sizes[reads])
        self._work[reads] += each
        self._moment[reads] += each * now

    def sent(self, engine: str, now: int) -> float:
        """A call goes out. Returns by how much the calls to this start exceed what it may get; 0 where they do not, or where no
        warm engine of its kind tells what that is."""
        cold, row = self._cold.get(engine), self._rows.get(engine)
        if cold is None or row is None:
            return 0.0
        if not self._is_cold(row, now):
            del self._cold[engine]
            self._warm_sizes[self._reads(row)] += row.size
            return 0.0
        cold.sent += 1
        if self._warm_sizes[self._reads(row)] < row.size:
            return 0.0
        return max(0.0, cold.sent - self._allowed(cold, self._reads(row)))

    def _allowed(self, cold: _ColdEngine, reads: bool) -> float:
        """Calls that this node may have sent: its part of the fall multiple of what the engine can take while it warms up, and chance."""
        work, moment = self._work[reads] - cold.work, self._moment[reads] - cold.moment
        warming = (moment - cold.started_at * work) / self._settings.cold_time  # the part of a warm engine that it has become, times work
        usual = self._settings.fall_multiple * cold.size * (self._settings.cold_share * work + warming)
        usual = max(0.0, usual)
        roots = 3 if usual < FEW else 2
        return usual + roots * math.sqrt(usual) + roots
