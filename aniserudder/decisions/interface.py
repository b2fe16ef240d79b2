"""What a host hands to the decision module and gets back: settings, vocabulary, state changes.

A host (the simulator's adapter, later the daemon) builds one ``rules.Node`` from ``Settings`` and a seed and
calls a plain method for each thing that happens. Each call returns the state changes made, in order; the host
carries them out and asks ``Node.wake_at`` when to call ``Node.wake`` next. All times are whole microseconds.
Nothing is decided here.
"""
from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Word(Enum):
    """A vocabulary. Its members are single objects and are hashed by identity: decisions look them up hundreds of times a request, and
    Enum's own hash is a call into Python each time. Nothing depends on the order of a set of them."""
    __hash__ = object.__hash__


class Role(Word):
    READER = "reader"
    WRITER = "writer"
    MIXED = "mixed"
    UNKNOWN = "unknown"


class Effect(Word):
    """What a repeat of a sequence would do."""
    REPEATABLE = "repeatable"
    TOKENED = "tokened"
    ONCE_ONLY = "once-only"


class Outcome(Word):
    """How a schedule attempt ended."""
    GENERATED = "generated"
    READ = "read"
    ERROR = "error"
    FULL = "full"
    NO_STATE = "no state"
    TIMED_OUT = "timed out"
    NO_ROUTE = "no route"
    CUT = "cut"
    RECALLED = "recalled"
    NOT_SENT = "not sent"
    EXHAUSTED = "exhausted"  # not sent, and no other engine could be connected to either


class State(Word):
    """The named states of a sequence."""
    NEW = "new"
    READING = "reading"      # a schedule attempt is out at a reader
    READ = "read"            # the read state waits at the reader, no schedule attempt is out
    WRITING = "writing"      # a schedule attempt is out at a writer or mixed engine, no token yet
    STREAMING = "streaming"  # the answer has started
    BROKEN = "broken"        # it stopped after its first token, and may go on elsewhere when the host says so
    GENERATED = "generated"
    REJECTED = "rejected"
    ABORTED = "aborted"
    LEFT = "left"            # the client went first
    CLEARED = "cleared"      # ended earlier, and what was held since has been let go


class Standing(Word):
    """The named states of an engine as this node judges it."""
    TRUSTED = "trusted"
    EJECTED = "ejected"
    ON_TRIAL = "on trial"
    SAMPLED = "sampled"      # not a judgement: its load report is asked for


class Availability(Word):
    RUNNING = "running"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(slots=True, frozen=True)
class TypeSettings:
    name: str
    utility: float
    latency_slo: int
    slo_per_1000_tokens: int
    token_pace: int
    effect: Effect
    repeat_group: str  # tokened: the engines that drop repeats: "all", "zone" or "cell"
    repeat_window: int


@dataclass(slots=True, frozen=True)
class Settings:
    nodes: int
    zone: str
    types: tuple[TypeSettings, ...]
    roles: dict[str, Role]
    writers_read: bool
    may_probe: bool
    may_recall: bool
    report_fields: tuple[str, ...]
    max_attempts: int
    max_come_back: int  # 0: clients are given no come-back time
    cold_share: float
    cold_time: int
    fall_multiple: float
    allowances: dict[str, float]  # customer: sequences a second inside its share, over all nodes
    memory: int = 0               # bytes that the process may hold; 0: not said
    streams_go_on: bool = False   # the host can have a broken stream continued from its text so far


@dataclass(slots=True, frozen=True)
class RosterRow:
    engine: str
    kind: str
    zone: str
    availability: Availability
    started_at: int
    size: float
    rack: int


@dataclass(slots=True, frozen=True)
class Prompt:
    """What a client's sequence tells of itself on arrival."""
    traffic_type: str
    session: str
    shared: str
    tokens: int
    shared_tokens: int
    max_output: int
    hint: int  # rough time of the answer at the type's pace; 0: none
    time_left: int
    customer: str = ""


@dataclass(slots=True, frozen=True)
class SequenceChange:
    """One state change of a sequence, with what a host needs to carry it out."""
    seq: str
    state: State
    engine: str = ""
    ordinal: int = 0
    time_out: int = 0
    come_back: int = 0
    lets_go: bool = False  # what is held for the sequence is let go before this change is carried out
    recalls: bool = False  # the schedule attempt that is out is called off


@dataclass(slots=True, frozen=True)
class EngineChange:
    """One change of what the node thinks of an engine; ``probe`` asks the host to probe it."""
    engine: str
    standing: Standing
    probe: bool = False
    reason: str = ""


Change = SequenceChange | EngineChange


@dataclass(slots=True)
class Report:
    """An engine's own load report: named values, and when it was heard."""
    at: int
    values: dict[str, float] = field(default_factory=dict)
