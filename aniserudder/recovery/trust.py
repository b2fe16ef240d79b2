"""What a process believes of what outlived the one before it: one row for each thing. No I/O.

Two facts decide: whether the machine has been up all the time since (its boot id is the one of then), and how old the thing
is. Where the machine went dark, others may have: engines that the file calls warm may be cold, and what they kept is gone. A
wall clock that went backwards makes an age unknown, which is no reason to believe in a young one.
"""
from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .snapshot import Head

S = 1_000_000


class Thing(Enum):
    """What outlives a process, or could."""
    LIST = "engine list"
    STARTS = "engines' start times"
    BEGINNINGS = "kept beginnings"
    LEARNED = "paces, learned bits and ejections"
    LEASES = "leases of former lives"
    OVERDRAFT = "overdrafts of former lives"
    ATTEMPTS = "attempts that may have run"
    MARKS = "operations that were charged"


class Belief(Enum):
    """How far it is believed."""
    TRUSTED = "trusted"
    UNTIL_CONTRADICTED = "trusted until contradicted"
    ASKED = "asked"
    THROWN_AWAY = "thrown away"


class Since(Enum):
    """What is known of the time between."""
    PROCESS = "the process alone ended"
    DARK = "the machine went dark, or its clock cannot be believed"
    LONG = "it is too old"


@dataclass(slots=True, frozen=True)
class Row:
    """Beliefs by what happened, whom a process asks, and what it assumes when nobody answers."""
    process: Belief
    dark: Belief
    long: Belief
    asks: str
    silent: str

    def after(self, since: Since) -> Belief:
        return {Since.PROCESS: self.process, Since.DARK: self.dark, Since.LONG: self.long}[since]


TRUSTED, UNTIL, ASKED, THROWN = Belief
TABLE = {
    Thing.LIST: Row(UNTIL, UNTIL, THROWN, "the list's source", "it is sent on once that counts as down; without one nothing is taken"),
    Thing.STARTS: Row(UNTIL, ASKED, THROWN, "the list's source", "every engine is cold from now on (rule 4)"),
    Thing.BEGINNINGS: Row(THROWN, THROWN, THROWN, "nobody", "none are kept"),
    Thing.LEARNED: Row(THROWN, THROWN, THROWN, "nobody", "as at a first start"),
    Thing.LEASES: Row(ASKED, ASKED, ASKED, "the ledger, which counts them as used", "nothing of them is used again"),
    Thing.OVERDRAFT: Row(THROWN, THROWN, THROWN, "nobody", "each life has one, bounded by settings"),
    Thing.ATTEMPTS: Row(ASKED, ASKED, ASKED, "the engine that has each", "it may have run; billed as estimated after tell_s"),
    Thing.MARKS: Row(THROWN, THROWN, THROWN, "nobody", "a repeat reserves anew; the bill folds it by its mark"),
}


class Policy(Enum):
    """Of an operator. The first is meant; the others are what it is measured against."""
    WEIGH = "weigh"
    TRUST = "trust"
    WAIT = "wait"


@dataclass(slots=True, frozen=True)
class Limits:
    """Ages in microseconds."""
    fresh: int = 300 * S          # a process that came back within this, on a machine that was up, goes on as before
    oldest: int = 7 * 86_400 * S  # a list older than that names engines that are gone


def since(head: Head | None, boot: str, at: int, limits: Limits) -> Since:
    """What happened between a snapshot and now.

    Args:
        head: of the snapshot; None: it says nothing of itself.
        boot: of the machine, now.
        at: wall clock, now.
    """
    if head is None or at < head.at:
        return Since.DARK
    if at - head.at > limits.oldest:
        return Since.LONG
    return Since.PROCESS if head.boot == boot and boot and at - head.at <= limits.fresh else Since.DARK


@dataclass(slots=True, frozen=True)
class Believed:
    """What a start makes of a kept list."""
    usable: bool
    starts: bool        # start times are taken as they stand; else every engine counts as cold from now on
    reason: str


def of_list(policy: Policy, between: Since) -> Believed:
    """What may be done with a kept list."""
    if policy is Policy.TRUST:
        return Believed(True, True, "trusted as it is")
    usable = TABLE[Thing.LIST].after(between) is not THROWN
    starts = TABLE[Thing.STARTS].after(between) is UNTIL
    return Believed(usable, starts, between.value)


def as_row(thing: Thing) -> tuple[str, ...]:
    """For people."""
    row = TABLE[thing]
    return thing.value, row.process.value, row.dark.value, row.long.value, row.asks, row.silent
