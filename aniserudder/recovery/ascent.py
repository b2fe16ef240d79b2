"""How an instance comes back: a state machine without I/O, from dark to serving.

Each step is bounded in time but one: without any engine there is nobody to send to, and whoever comes is told at once when to
come again. No step needs another node, a leader or the ledger for it to be safe: what is missing makes it slower, as cold engines
and an overdraft are, and never wrong.

    DARK -> READING_BACK -> LOCATING -> ASKING -> WARMING -> SERVING

``READING_BACK``: the kept list is on its way from the disk; a disk that does not answer is done without. ``LOCATING``: no list
is known. ``ASKING``: one is, and the list's source and the ledger have not said yet what has changed: a list that
may not be sent on (``core/list_confirmation.py``) keeps an instance there. ``WARMING``: engines count as cold,
be it that they are or that nobody said otherwise.
"""
from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from random import Random

from ..core.list_confirmation import ListConfirmation
from .trust import Policy

S = 1_000_000


class Stage(Enum):
    """Of an instance."""
    DARK = "dark"
    READING_BACK = "reading back"
    LOCATING = "locating"
    ASKING = "asking"
    WARMING = "warming"
    SERVING = "serving"


@dataclass(slots=True, frozen=True)
class Bounds:
    """Times in microseconds."""
    read: int = 1 * S       # for the disk
    ask: int = 3 * S        # for the list's source and the ledger
    warm: int = 10 * S      # that an engine is cold
    again: int = S // 8     # before that nobody who is turned away is told to come
    longest: int = S // 2   # and after that nobody would heed it


@dataclass(slots=True)
class Ascent:
    """One start of one instance. Every call is an event; ``stage`` follows from them alone.

    Args:
        ledger: whether one is to be heard.
        began: microseconds of a steady clock.
        chance: of the instance.
        confirmation: of the list.
    """
    policy: Policy
    bounds: Bounds
    ledger: bool
    began: int
    chance: Random
    confirmation: ListConfirmation
    stage: Stage = Stage.DARK
    since: int = 0
    listed: bool = False      # engines are known
    heard: bool = False       # the list's source has said what holds
    told: bool = False        # the ledger has answered in its present term
    cold_until: int = 0
    steps: list[tuple[int, Stage]] = field(default_factory=list)
    turned_away: int = 0

    def start(self, now: int) -> None:
        """The disk is asked."""
        self._to(Stage.READING_BACK, now)

    def read(self, usable: bool, cold: bool, now: int) -> None:
        """The disk has answered: whether a list is known now, and whether its engines count as cold."""
        self.listed = self.listed or usable
        if usable and cold and not self.heard:
            self.cold_until = now + self.bounds.warm
        if self.stage is Stage.READING_BACK:
            self._to(Stage.LOCATING, now)
        self.look(now)

    def list_heard(self, engines: int, coldest: int, now: int) -> None:
        """The list's source has said what holds. ``coldest``: when the last of the engines will be warm."""
        self.heard, self.listed = True, self.listed or engines > 0
        self.cold_until = coldest
        self.look(now)

    def engines_told(self, coldest: int, now: int) -> None:
        """All engines that were asked have said themselves since when they are up."""
        if not self.heard:
            self.cold_until = min(self.cold_until, coldest)
        self.look(now)

    def ledger_told(self, now: int) -> None:
        """The ledger has answered."""
        self.told = True
        self.look(now)

    def look(self, now: int) -> None:
        """Goes on as far as is known, or as time has run."""
        if self.stage is Stage.READING_BACK and (self.heard or now - self.since >= self.bounds.read):
            self._to(Stage.LOCATING, now)
        if self.stage is Stage.LOCATING and self.listed:
            self._to(Stage.ASKING, now)
        if self.stage is Stage.ASKING and (self.policy is Policy.TRUST or self._answered() or self._waited(now)):
            self._to(Stage.WARMING, now)
        if self.stage is Stage.WARMING and (self.policy is Policy.TRUST or now >= self.cold_until):
            self._to(Stage.SERVING, now)

    def due(self, now: int) -> int:
        """When ``look`` has to be called next; 0: only when something is heard."""
        match self.stage:
            case Stage.READING_BACK:
                return self.since + self.bounds.read
            case Stage.ASKING if self.policy is not Policy.WAIT:
                return max(self.since + self.bounds.ask, self.confirmation.down_at if self.confirmation.awaited else 0)
            case Stage.WARMING:
                return max(now + 1, self.cold_until)
        return 0

    def takes(self, now: int) -> bool:
        """Whether sequences are taken: with engines known and a list that may be sent on, also before the ledger has answered, unless the
        policy is to wait."""
        if self.policy is Policy.WAIT and self.stage is Stage.ASKING:
            return False
        return self.stage in (Stage.ASKING, Stage.WARMING, Stage.SERVING) and self.may_send(now)

    def may_send(self, now: int) -> bool:
        """Whether the list at hand may be sent on; the policy to trust takes a kept one as it is."""
        return self.policy is Policy.TRUST or self.confirmation.permits(now)

    def come_back(self, advice: int) -> int:
        """When somebody who is turned away is told to come again: spread, so that the knock of the dark does not return as one
        wave. Once it serves, the advice stands as it is."""
        if self.stage is Stage.SERVING:
            return advice
        self.turned_away += 1
        least = max(advice, self.bounds.again)
        return least + int(self.chance.random() * max(0, self.bounds.longest - least))

    def _answered(self) -> bool:
        return self.heard and (self.told or not self.ledger)

    def _waited(self, now: int) -> bool:
        return self.policy is not Policy.WAIT and now - self.since >= self.bounds.ask and self.may_send(now)

    def _to(self, stage: Stage, now: int) -> None:
        self.stage, self.since = stage, now
        self.steps.append((now - self.began, stage))
