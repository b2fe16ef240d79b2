"""The log of a node in service: all lines of each request that met trouble, and none of the others below the wanted level.

Lines below that level which name a request are kept for a while. As soon as one of its lines is a warning or worse, those before it are written
with the times at which they came, and all later ones as they come. So a default run tells every attempt, state change, retry, refusal and
release of the requests that somebody will ask about.
"""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

LEVELS = ("debug", "info", "warning", "error")  # the least urgent first
LINES_PER_S = 10  # and three times as many saved up
REQUEST_LINES_PER_S = 100  # the same for lines that name a request
SAVED_S = 3.0
REQUESTS_KEPT = 256  # with lines that were not written
LINES_KEPT = 24  # of one request; the first one stays
WRITTEN_KEPT = 1024  # requests that met trouble, the newest
LAST_EVENT = "sequence ended"  # of a request that met no trouble: its lines are not needed any more

Write = Callable[..., None]


@dataclass(slots=True)
class LineBudget:
    """How many lines may be written; seconds of the injected clock."""

    per_s: float
    at: float
    saved: float = 0.0
    left_out: int = 0

    def __post_init__(self) -> None:
        self.saved = SAVED_S * self.per_s

    def takes(self, now: float) -> bool:
        """Whether one more line may be written; else it is counted as left out."""
        self.saved = min(SAVED_S * self.per_s, self.saved + self.per_s * max(0.0, now - self.at))
        self.at = now
        if self.saved < 1:
            self.left_out += 1
            return False
        self.saved -= 1
        return True


@dataclass(slots=True, frozen=True)
class KeptLine:
    """A line that was not written yet; ``at`` is Unix time in seconds."""

    event: str
    level: str
    at: float
    fields: dict[str, object]


class RequestLog:
    """Called as ``log(event, level=..., **fields)``; a line with a field ``seq`` is one of that request.

    Args:
        write: called as ``write(event, level=..., at=..., **fields)``.
        least: the least urgent level whose lines are all written.
        seconds: the clock that bounds the lines.
        wall: Unix time in seconds.
    """

    def __init__(self, write: Write, least: str, seconds: Callable[[], float], wall: Callable[[], float] = time.time) -> None:
        self._write, self._least, self._seconds, self._wall = write, LEVELS.index(least), seconds, wall
        self._others, self._requests = LineBudget(LINES_PER_S, seconds()), LineBudget(REQUEST_LINES_PER_S, seconds())
        self._kept: OrderedDict[str, list[KeptLine]] = OrderedDict()
        self._in_trouble: OrderedDict[str, None] = OrderedDict()

    def __call__(self, event: str, level: str = "info", **fields: object) -> None:
        request = str(fields.get("seq") or "")
        line = KeptLine(event, level, self._wall(), fields)
        if not request:
            if LEVELS.index(level) >= self._least:
                self._put(line, self._others)
            return
        if LEVELS.index(level) >= LEVELS.index("warning"):
            self._meets_trouble(request)
        if request in self._in_trouble or LEVELS.index(level) >= self._least:
            self._put(line, self._requests)
        elif event == LAST_EVENT:
            self._kept.pop(request, None)
        else:
            self._keep(request, line)

    def _meets_trouble(self, request: str) -> None:
        self._in_trouble[request] = None
        self._in_trouble.move_to_end(request)
        if len(self._in_trouble) > WRITTEN_KEPT:
            self._in_trouble.popitem(last=False)
        for line in self._kept.pop(request, ()):
            self._put(line, self._requests)

    def _keep(self, request: str, line: KeptLine) -> None:
        lines = self._kept.setdefault(request, [])
        lines.append(line)
        if len(lines) > LINES_KEPT:
            del lines[1]
        if len(self._kept) > REQUESTS_KEPT:
            self._kept.popitem(last=False)

    def _put(self, line: KeptLine, budget: LineBudget) -> None:
        """Writes a line, if there is room for it; an error always. What was left out is counted in the next line."""
        if not budget.takes(self._seconds()) and line.level != "error":
            return
        fields = line.fields
        if budget.left_out:
            fields, budget.left_out = {**fields, "left_out": budget.left_out}, 0
        self._write(line.event, level=line.level, at=line.at, **fields)
