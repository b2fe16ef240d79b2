"""Which sequence may have an operation's effect: decisions without I/O, for operations that carry a key and must not run twice.

A client whose node died comes again at another one, with the same key. Nobody there knows what became of the first try. So the
ledger keeps a **claim** for each such operation: one sequence may have its effect, and every engine that could have it stands
there, a **place**, before the first byte goes out to that engine.

    FREE -> CLAIMED by a sequence -> (a place is added for each attempt, and taken off where nothing ran) -> over after ``KEEP``

Whoever asks for an operation that another sequence has claimed is told who has it, and since when. A claim is **settled** when its
holder cannot send any more: a holder sends within ``GO_FOR`` of its ask, on its own steady clock, or not at all. Of a
settled claim the places are asked; where each proves that nothing ran, the asker takes the claim over, and the old holder, should it wake
up, gets no place any more. What has run, or may have, is told to the client as such and not run again.

The node's side is ``Claiming``, one for each sequence at the door; ``proof`` reads what an engine says of one place.
"""
from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import msgspec

from ..tenants.billing import KEY_FOR
from .entries import Ended, Entry, Sent, Taken, Told

MS, S = 1_000, 1_000_000
KEEP = KEY_FOR          # a claim is kept for so long after its last place, on wall clocks: as long as a key names the same operation
GO_FOR = 500 * MS       # a holder that was granted a place sends within this of its ask, or not at all
SETTLE = 2 * S          # after a holder's last ask: GO_FOR, the time to connect, and what a busy engine takes to read a request
CATCH_UP = 10 * S       # a new term waits so long for what a node that has told still has to ship
UP_SLACK = 1 * S        # an engine's word on how long it is up is this much too rough to prove anything
NOTHING_RAN = frozenset({"full", "draining", "no_state"})  # an engine's outcomes that prove it
FREED = frozenset({"full", "no state", "no route", "not sent", "never ran"})  # a node's, of an attempt of its own


class Place(msgspec.Struct, frozen=True, array_like=True):
    """An engine that could have had the effect, and the attempt that it would know it by."""
    engine: str
    seq: str
    ordinal: int


class Claim(msgspec.Struct, omit_defaults=True):
    """A sequence's ask. ``engine``: for a place there; without one it asks for the operation alone. ``proven``: these places were
    asked, and each proved that nothing ran. ``at``: the node's wall clock."""
    node: str
    mark: str
    seq: str
    at: int
    engine: str = ""
    ordinal: int = 0
    proven: list[Place] = []


class Row(msgspec.Struct):
    """A claim as it is kept. ``at``: wall clock of the last change. ``places`` may be of other sequences too: of earlier holders, where a
    file was restored and the entries of all come again."""
    seq: str
    node: str
    at: int
    places: list[Place] = []


class Said(Enum):
    GO = "go"
    HELD = "held"       # by another sequence
    WAIT = "wait"       # the ledger has just started and does not know yet


class Answer(msgspec.Struct, omit_defaults=True):
    """``age``: microseconds since the holder's last place; ``settled``: it cannot send any more."""
    said: Said
    node: str = ""
    age: int = 0
    settled: bool = False
    places: list[Place] = []


def decide(row: Row | None, ask: Claim, settled: bool, wall: int) -> tuple[Row | None, Answer]:
    """What becomes of an ask. Returns the row as it is to be kept (None: as it was) and the answer.

    Args:
        settled: the holder cannot send any more.
        wall: the ledger's wall clock. A claim is over only where it and the node's both say so: one wrong clock ends none.
    """
    if row is not None and min(wall, ask.at) - row.at > KEEP:
        row = None
    place = [Place(ask.engine, ask.seq, ask.ordinal)] if ask.engine else []
    if row is None:
        return Row(ask.seq, ask.node, wall, place), Answer(Said.GO)
    if row.seq == ask.seq:
        fresh = [p for p in place if p not in row.places]
        return Row(row.seq, row.node, wall, [*row.places, *fresh]), Answer(Said.GO)
    if settled and set(row.places) <= set(ask.proven):
        return Row(ask.seq, ask.node, wall, place), Answer(Said.GO)
    # A clock that went back makes the age unknown: then no engine has been up for long enough to prove anything.
    age = wall - row.at if wall >= row.at else KEEP
    return None, Answer(Said.HELD, row.node, age, settled, row.places)


@dataclass(slots=True)
class Settling:
    """Which claims may still be made use of by their holders, whoever keeps the file. Times on a steady clock.

    Args:
        began: since when this process keeps it. Holders of before may still send for a while.
    """
    began: int
    recent: OrderedDict[str, int] = field(default_factory=OrderedDict)  # operations: when their holders were last granted anything
    under_way: dict[str, int] = field(default_factory=dict)             # asks that are not answered

    def asks(self, mark: str, now: int) -> bool:
        """An ask is about to be decided. Returns whether a claim that it finds is settled; ``answered`` has to follow."""
        while self.recent and next(iter(self.recent.values())) + SETTLE <= now:
            self.recent.popitem(last=False)
        settled = now >= self.began + SETTLE and mark not in self.recent and not self.under_way.get(mark)
        self.under_way[mark] = self.under_way.get(mark, 0) + 1
        return settled

    def answered(self, mark: str, may_send: bool, now: int) -> None:
        """It was decided; ``may_send``: it was granted, or may have been where that could not be told."""
        self.under_way[mark] -= 1
        if not self.under_way[mark]:
            del self.under_way[mark]
        if may_send:
            self.recent[mark] = now
            self.recent.move_to_end(mark)


def fold(row: Row | None, node: str, entry: Entry) -> Row | None:
    """What an entry of a try makes of its operation's claim; None: none is needed.

    Nodes ship entries in order, and again to a file that was restored, so that a claim which that file had not seen comes back with them.
    An entry that comes twice changes nothing that counts. A place is kept whoever holds the claim by now: entries of several tries may
    come back in any order.
    """
    if isinstance(entry, Taken):
        return row or Row(entry.seq, node, entry.at)
    if row is None:
        return None
    match entry:
        case Sent() if not entry.reads and (place := Place(entry.engine, entry.seq, entry.ordinal)) not in row.places:
            return Row(row.seq, row.node, row.at, [*row.places, place])
        case Told() if entry.outcome in FREED:
            return Row(row.seq, row.node, row.at, [p for p in row.places if (p.seq, p.ordinal) != (entry.seq, entry.ordinal)])
        case Ended() if not row.places and row.seq == entry.seq:
            return None
    return row


class Proof(Enum):
    """What one engine's word is worth."""
    NOTHING_RAN = "nothing ran"
    RUNS = "it runs"
    RAN = "it ran"
    LOST = "the engine has forgotten"
    SILENT = "the engine does not answer"


def proof(said: dict[str, Any] | None, up_s: object, age: int) -> Proof:
    """Of one place.

    Args:
        said: the engine's word on the attempt.
        up_s: for how many seconds it says it has been up; anything else says nothing.
        age: of the claim. An engine that started since may have run what it does not know any more.
    """
    if said is None:
        return Proof.SILENT
    match said.get("state"):
        case "running":
            return Proof.RUNS
        case "over":
            return Proof.NOTHING_RAN if said.get("outcome") in NOTHING_RAN else Proof.RAN
        case "unknown":
            known = isinstance(up_s, (int, float)) and not isinstance(up_s, bool) and up_s * 1e6 > age + UP_SLACK
            return Proof.NOTHING_RAN if known else Proof.LOST
    return Proof.SILENT


class Stage(Enum):
    """Of one sequence at the door."""
    ASKING = "asking the ledger"
    PROVING = "asking engines"
    ASKING_AGAIN = "telling the ledger what they said"
    GO = "go"
    COME_BACK = "come back"    # nothing of this sequence has run, and another try is harmless
    NEVER = "never"            # it ran, or may have: it is not run again


@dataclass(slots=True)
class Claiming:
    """One sequence's way to its operation. Every call is an event; the sequence is at the door until ``over``."""
    mark: str
    seq: str
    stage: Stage = Stage.ASKING
    why: str = ""
    age: int = 0                                        # of the claim that another sequence has
    open: list[Place] = field(default_factory=list)     # places that have not been heard
    proven: list[Place] = field(default_factory=list)

    @property
    def over(self) -> bool:
        return self.stage in (Stage.GO, Stage.COME_BACK, Stage.NEVER)

    def told(self, answer: Answer | None) -> list[Place]:
        """The ledger's answer, or None where it did not come in time. Returns the places that have to be asked now."""
        if self.over:
            return []
        match answer.said if answer else None:
            case Said.GO:
                self._ends(Stage.GO, "")
            case Said.HELD if self.stage is Stage.ASKING and answer.settled and answer.places:
                self.stage, self.age, self.open = Stage.PROVING, answer.age, list(answer.places)
                return list(answer.places)
            case Said.HELD:
                self._ends(Stage.COME_BACK, f"another try of this operation is under way at {answer.node}")
            case Said.WAIT:
                self._ends(Stage.COME_BACK, "the ledger has just started")
            case _:
                self._ends(Stage.COME_BACK, "the ledger does not answer")
        return []

    def heard(self, place: Place, found: Proof) -> bool:
        """What one place proves. True: the ledger is to be asked again, with the proof."""
        if self.stage is not Stage.PROVING or place not in self.open:
            return False
        self.open.remove(place)
        match found:
            case Proof.NOTHING_RAN:
                self.proven.append(place)
                if not self.open:
                    self.stage = Stage.ASKING_AGAIN
                    return True
            case Proof.RUNS:
                self._ends(Stage.COME_BACK, f"an earlier try of this operation runs at {place.engine}")
            case Proof.RAN:
                self._ends(Stage.NEVER, f"this operation ran already, at {place.engine}")
            case Proof.LOST | Proof.SILENT:
                self._ends(Stage.NEVER, f"this operation may have run at {place.engine}: {found.value}")
        return False

    def late(self) -> None:
        """Its client's time is up."""
        if not self.over:
            self._ends(Stage.COME_BACK, f"still {self.stage.value}")

    def _ends(self, stage: Stage, why: str) -> None:
        self.stage, self.why = stage, why
