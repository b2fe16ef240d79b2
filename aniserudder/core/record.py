"""The decision record: every call into the decision module, with its arguments and all that it answered.

A record is lines of JSON. The first names its form, the settings and the seed; each further line is one call.
``replay`` plays the calls into a fresh node and compares, so what a node decided in the night can be stepped through
the next morning. Encoding and checking are msgspec's.
"""
from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any, BinaryIO, Protocol

import msgspec

from ..decisions.interface import Change, EngineChange, Outcome, Prompt, Report, RosterRow, SequenceChange, Settings
from ..decisions.rules import Node

FORM = "aniserudder decisions 1"


class Unequal(Exception):
    """A replayed call answered something else than the record says, or the record cannot be read."""


class Head(msgspec.Struct):
    form: str
    settings: Settings
    seed: int
    node: str = ""


class RosterCall(msgspec.Struct, tag="roster", tag_field="call"):
    at: int
    rows: list[RosterRow]
    complete: bool


class ArrivedCall(msgspec.Struct, tag="arrived", tag_field="call"):
    at: int
    seq: str
    prompt: Prompt


class StartedCall(msgspec.Struct, tag="started", tag_field="call"):
    at: int
    seq: str
    ordinal: int


class EndedCall(msgspec.Struct, tag="ended", tag_field="call"):
    at: int
    seq: str
    ordinal: int
    outcome: Outcome
    kept: int
    final: bool
    report: Report | None


class LeftCall(msgspec.Struct, tag="left", tag_field="call"):
    at: int
    seq: str


class GoesOnCall(msgspec.Struct, tag="goes on", tag_field="call"):
    at: int
    seq: str
    prompt: Prompt | None


class TricklesCall(msgspec.Struct, tag="trickles", tag_field="call"):
    at: int
    seq: str
    ordinal: int


class ProbedCall(msgspec.Struct, tag="probed", tag_field="call"):
    at: int
    engine: str
    good: bool
    report: Report | None


class WakeCall(msgspec.Struct, tag="wake", tag_field="call"):
    at: int


Call = (RosterCall | ArrivedCall | StartedCall | EndedCall | LeftCall | GoesOnCall | TricklesCall | ProbedCall
        | WakeCall)


class Entry(msgspec.Struct):
    """One call, the changes that it returned, and when the node wants to be woken (0: not)."""
    did: Call
    seqs: list[SequenceChange]
    engines: list[EngineChange]
    wake_at: int


def make(node: Node, call: Call) -> list[Change]:
    """Makes one call into a node: the only place where calls meet the module."""
    match call:
        case ArrivedCall():
            return node.arrived(call.at, call.seq, call.prompt)
        case StartedCall():
            return node.started(call.at, call.seq, call.ordinal)
        case EndedCall():
            return node.ended(call.at, call.seq, call.ordinal, call.outcome, call.kept, call.final, call.report)
        case LeftCall():
            return node.client_left(call.at, call.seq)
        case GoesOnCall():
            return node.goes_on(call.at, call.seq, call.prompt)
        case TricklesCall():
            return node.trickles(call.at, call.seq, call.ordinal)
        case RosterCall():
            return node.roster(call.at, call.rows, call.complete)
        case ProbedCall():
            return node.probed(call.at, call.engine, call.good, call.report)
        case WakeCall():
            return node.wake(call.at)


def entry(call: Call, changes: list[Change], wake_at: int) -> Entry:
    """Changes of sequences and of engines are independent of each other and kept apart by type."""
    return Entry(call, [c for c in changes if isinstance(c, SequenceChange)],
                 [c for c in changes if isinstance(c, EngineChange)], wake_at)


class Recorder(Protocol):
    """Where a router's record goes."""

    def head(self, settings: Settings, seed: int, node: str) -> None: ...

    def note(self, call: Call, changes: list[Change], wake_at: int) -> None: ...


class NoRecord:
    """Keeps nothing."""

    def head(self, settings: Settings, seed: int, node: str) -> None:
        pass

    def note(self, call: Call, changes: list[Change], wake_at: int) -> None:
        pass


class Record:
    """Writes lines to a binary file."""

    def __init__(self, out: BinaryIO) -> None:
        self._out, self._encoder = out, msgspec.json.Encoder()

    def head(self, settings: Settings, seed: int, node: str) -> None:
        self._line(Head(FORM, settings, seed, node))

    def note(self, call: Call, changes: list[Change], wake_at: int) -> None:
        self._line(entry(call, changes, wake_at))

    def _line(self, value: Any) -> None:
        self._out.write(self._encoder.encode(value) + b"\n")


@dataclass(slots=True)
class Replayed:
    """What a replay went through."""
    node: str
    calls: int = 0
    sequences: int = 0
    torn: bool = False  # the last line was cut off, as a kill leaves it


def read(lines: Iterable[bytes]) -> Iterator[Head | Entry]:
    """Head, then entries. A last line without its end is passed over: a killed node leaves one."""
    head, one = msgspec.json.Decoder(Head), msgspec.json.Decoder(Entry)
    for number, line in enumerate(lines, 1):
        if not line.endswith(b"\n"):
            return
        try:
            yield (head if number == 1 else one).decode(line)
        except msgspec.DecodeError as wrong:
            raise Unequal(f"line {number}: {wrong}") from None


def replay(lines: Iterable[bytes]) -> Replayed:
    """Plays a record into a fresh node.

    Raises:
        Unequal: at the first line that differs, with what stands there and what was decided now.
    """
    entries = read(lines)
    first = next(entries, None)
    if not isinstance(first, Head) or first.form != FORM:
        raise Unequal(f"line 1: not a record of the form {FORM!r}")
    node, done = Node(first.settings, first.seed), Replayed(first.node)
    for number, kept in enumerate(entries, 2):
        assert isinstance(kept, Entry)
        now = entry(kept.did, make(node, kept.did), node.wake_at)
        if now != kept:
            raise Unequal(f"line {number}: recorded {_say(kept)}, decided now {_say(now)}")
        done.calls += 1
        done.sequences += isinstance(kept.did, ArrivedCall)
    return done


def _say(one: Entry) -> str:
    body = msgspec.to_builtins(one)
    return msgspec.json.encode({k: body[k] for k in ("seqs", "engines", "wake_at")}).decode()
