"""What a node remembers, grouped by how long it lives. Nothing is decided here."""
from __future__ import annotations

from dataclasses import dataclass, field

from .interface import Report, Role, RosterRow, Standing, State, Prompt


@dataclass(slots=True, eq=False)
class Engine:
    """Lives as long as the node knows the engine."""
    id: str
    row: RosterRow
    role: Role
    place: int = 0               # its hash, by which the engines of a role stand on a ring
    listed: bool = True
    long: bool = False           # a reader of the lane of long reads
    gone_at: int = 0             # since when it is unlisted with nothing out there; 0: it is not
    standing: Standing = Standing.TRUSTED
    failures: int = 0            # in a row
    pause: int = 0               # length of the present ejection
    ejected_at: int = 0
    eject_until: int = 0
    last_good: int = 0
    reading: int = 0             # own prompt tokens out to be read
    streams: int = 0             # own schedule attempts and streams at a writer or mixed engine
    read_wait: float = 0.0       # observed wait for each own token ahead
    read_at: int = 0             # when that was last seen
    stream_pace: float = 0.0     # observed stream time over the expected one; 0: not seen
    kept: dict[str, tuple[int, int]] = field(default_factory=dict)  # key: (tokens, noted at)
    out: dict[Attempt, None] = field(default_factory=dict)
    turn: float = 0.0            # while cold: grows to 1, then one sequence is sent
    looked_at: int = 0           # while all of its role are cold: when it was last counted up
    report: Report | None = None
    sent_since: int = 0
    probed_at: int = 0
    probing: bool = False


@dataclass(slots=True, eq=False)
class Attempt:
    """Lives for one schedule attempt. What it means is settled when it is sent: its engine may be listed in another role or place since.

    Attributes:
        row: the engine as it was listed then.
        role: the engine's role then.
    """
    seq: Sequence
    engine: Engine
    row: RosterRow
    role: Role
    ordinal: int
    sent_at: int
    reads: int                   # prompt tokens that the engine has to read
    believed: int                # tokens believed kept there
    queue: int                   # own tokens outstanding there when it was sent, these included
    started_at: int = 0

    @property
    def is_read(self) -> bool:
        """Whether it only reads: it has no effect and begins no answer."""
        return self.role is Role.READER


@dataclass(slots=True, eq=False)
class Sequence:
    """Lives from its arrival until it is answered and nothing of it is out or held."""
    id: str
    prompt: Prompt
    row: TypeRow
    arrived: int
    slo_at: int
    abandon_at: int
    output: int
    state: State = State.NEW
    attempts: list[Attempt] = field(default_factory=list)
    out: Attempt | None = None
    reader: Engine | None = None  # where the read state waits, or was last made
    held: bool = False           # a read state is thought to wait for a writer
    pinned: bool = False         # something may be held for it somewhere
    may_have_run: Attempt | None = None
    cluster: Cluster | None = None
    local: bool = False
    over_share: bool = False
    long: bool = False           # of the lane of long reads
    homes: list[Engine] = field(default_factory=list)  # presumed to keep its shared beginning
    tried: list[Engine] = field(default_factory=list)
    turns: dict[Engine, None] = field(default_factory=dict)  # cold engines that are due this sequence
    broke: int = 0               # schedule attempts made when its stream last broke; 0: it never did


@dataclass(slots=True, eq=False)
class TypeRow:
    """One traffic type; only what the module reads."""
    name: str
    utility: float
    slo: int
    slo_per_1000: int
    pace: int
    effect: object
    group: str
    window: int
    mean_stream: float = 0.0
    best_stream: float = 0.0     # lowest mean seen
    streams: int = 0


@dataclass(slots=True, eq=False)
class Cluster:
    """One group of sequences and what was measured of its two paths."""
    centre: list[float]
    local: bool
    tries: dict[bool, float] = field(default_factory=lambda: {True: 0.0, False: 0.0})
    wins: dict[bool, float] = field(default_factory=lambda: {True: 0.0, False: 0.0})
