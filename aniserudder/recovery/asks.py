"""Whom a start asks about engines whose start nobody has confirmed: the engines themselves, within a budget over the fleet. No I/O.

All nodes may come back at once, and every engine would be asked by all of them in the same moment. So each node spreads its asks over
a time that grows with the number of nodes, ``SPACING`` for each, up to ``LONGEST``: an engine meets 1 / ``SPACING`` asks a second of a
fleet of up to ``LONGEST`` / ``SPACING`` nodes, and in a larger one nodes / ``LONGEST``. An engine is asked once, and once more if it did
not answer: it may be coming up itself. What it says can only make it colder than its list says, or warmer than assumed.
"""
from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

S = 1_000_000
SPACING = S // 200   # of asks at one engine by the fleet
LONGEST = 2 * S      # over which asks are spread at most: later the list's source will have said
AGAIN = S            # until the second ask
OLDEST = 30 * 86_400 * S  # an engine that says it is up for longer says nothing worth more than that


@dataclass(slots=True)
class Asks:
    """The asks of one start. Times in microseconds of a steady clock.

    Args:
        nodes: of the fleet.
        chance: of the instance.
    """
    nodes: int
    chance: Random
    open: dict[str, int] = field(default_factory=dict)  # tries left, by engine
    confirmed: dict[str, int] = field(default_factory=dict)  # when it started, by engine
    made: int = 0

    def plan(self, engines: Iterable[str]) -> list[tuple[int, str]]:
        """When to ask which: a delay for each."""
        over = min(LONGEST, self.nodes * SPACING)
        drawn = []
        for engine in engines:
            self.open[engine] = 2
            drawn.append((int(self.chance.random() * over), engine))
        return sorted(drawn)

    def due(self, engine: str) -> bool:
        """Whether it is still worth asking."""
        if self.open.get(engine, 0) <= 0:
            return False
        self.open[engine] -= 1
        self.made += 1
        return True

    def said(self, engine: str, up_s: object, now: int) -> int | None:
        """An engine's answer: for how many seconds it has been up. Returns when it started, or None if that is nothing to go by."""
        if engine not in self.open or isinstance(up_s, bool) or not isinstance(up_s, (int, float)) or not 0 <= up_s < OLDEST / S:
            return None
        self.open.pop(engine)
        self.confirmed[engine] = max(1, now - round(up_s * S))
        return self.confirmed[engine]

    def list_heard(self) -> None:
        """The list's source has spoken: nothing is left to ask."""
        self.open.clear()
