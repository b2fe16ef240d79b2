"""The form of a scripted day: fleet, nodes, traffic, and troubles at their times. Written in YAML."""
from __future__ import annotations

from importlib import resources
from importlib.resources.abc import Traversable
from pathlib import Path
from typing import Annotated, Any, Literal

import yaml
from pydantic import Field, model_validator

from ..settings import BadSettings, load, load_text
from ..settings.schema import Admission, Name, Part, Recovery, Streams, TenantForm, TrafficType

Seconds = Annotated[float, Field(ge=0, le=7200)]
LOOPBACK_NODES, LOOPBACK_SECONDS = 24, 300  # more of either is for the laboratory
Share = Annotated[float, Field(ge=0, le=1)]
Span = Annotated[list[Annotated[float, Field(ge=0)]], Field(min_length=2, max_length=2)]

Trouble = Literal["balancer_crash", "node_stop", "flush", "hang", "slow", "zone_cut", "preempt", "mass_restart", "pauses",
                  "answer_lost", "give_up", "burst", "heavy_tail", "hot_key", "refuse", "reset_before", "reset_after",
                  "garble", "roster_away", "role_swap", "ledger_crash", "flood",
                  "trickle", "disk_slow", "disk_full", "disk_read_only", "disk_stuck", "frozen", "power_loss",
                  "slow_words", "clock_off", "old_settings", "same_name", "link_silent", "link_slow", "link_reset", "link_cut", "link_never"]


class DayRules(Part):
    """Figures of the rules, as the audit applies them."""
    answer_margin_ms: float = 100
    answer_slack_ms: float = 60
    drain_grace_ms: float = 500
    let_go_ms: float = 300
    seen_slack_ms: float = Field(60, description="what loopback and a busy machine may add to what a rule allows")
    cold_share: Share = 0.3
    cold_ms: float = 4000
    fall_multiple: float = 2.5
    fall_ms: float = 1500


class Engines(Part):
    """Engines of one kind in one zone."""
    kind: Name
    role: Literal["reader", "writer", "mixed"]
    zone: Name
    count: Annotated[int, Field(ge=1, le=100)]
    rack: int = 0
    slots: Annotated[int, Field(ge=1)] = 24
    queue: Annotated[int, Field(ge=0)] = 24
    memory: Annotated[int, Field(ge=1000)] = 120_000
    read_per_s: Annotated[float, Field(gt=0)] = 20_000
    step_ms: Annotated[float, Field(gt=0)] = 20


class TypeTraffic(TrafficType):
    """A traffic type, and what its sequences look like."""
    share: Annotated[float, Field(gt=0)] = 1.0
    prompt_tokens: Span = [150, 600]
    shared_tokens: Span = [300, 1500]
    openings: Annotated[int, Field(ge=1)] = 6
    output_tokens: Span = [10, 30]
    turns: Annotated[float, Field(ge=1)] = 2.0
    streamed: Share = 0.8


class Traffic(Part):
    """Clients and their habits."""
    per_s: Annotated[float, Field(gt=0, le=500)] = 14
    tries: Annotated[int, Field(ge=1, le=10)] = 3
    backoff_ms: Span = [50, 300]
    leaves: Share = 0.02
    try_share: Span = [0.7, 1.0]
    front_notice_ms: float = 1200
    customers: dict[Name, Annotated[float, Field(gt=0)]] = Field({"members": 1.0}, description="their parts of the traffic")
    returns: Share = Field(0.0, description="of the streams: those whose client loses its connection and comes back")
    strangers: Share = Field(0.0, description="of the operations: those whose client shows no key")
    marked: Share = Field(0.0, description="of the operations that are not tokened: those that carry a key of their own")


class Fault(Part):
    """One trouble. What is struck is drawn by the seed from what ``kinds`` and ``zone`` leave."""
    at: Seconds
    trouble: Trouble
    seconds: Seconds = 3
    count: Annotated[int, Field(ge=1)] = 1
    part: Annotated[float, Field(gt=0, le=1)] | None = None
    kinds: list[Name] = Field(default_factory=list)
    zone: str = ""
    rack: int | None = None
    size: Annotated[float, Field(gt=0)] = Field(
        2.0, description="of disk_slow: milliseconds of a flush; of slow_words: seconds; of clock_off: seconds ahead; of old_settings: times the budgets")
    ledger: bool = Field(False, description="of disks, power and frozen processes: the ledger is struck too")
    to: Literal["ledger", "lists"] = Field("ledger", description="of links: from the nodes struck to that process")
    way: Literal["both", "there", "back"] = Field("both", description="of link_silent: in which direction")
    nodes: bool = Field(True, description="of power: nodes are struck")
    ledger_old_s: Seconds = Field(0, description="of power: the ledger's file comes back as it was so long before; 0: as it was")
    lists_old_s: Seconds = Field(0, description="of power: the list server comes back with what it knew so long before, and hears of its engines five seconds later")
    wall_off_s: float = Field(0, description="of power: by how much the wall clocks of those struck are wrong afterwards, either way")
    last: Literal["", "ledger", "lists"] = Field("", description="of power: that one is back two seconds after all others")
    spread_s: Seconds = Field(0, description="of power: it comes back to each process within so long, drawn by the seed")
    share: Share = 0.3
    late_s: Seconds = Field(0.5, description="how late the roster tells of it")


class Disk(Part):
    """The disk under each node and the ledger."""
    flush_ms: Annotated[float, Field(ge=0, le=1000)] = 0
    durability: Literal["process", "power"] = "process"
    at_once: bool = Field(False, description="the reactor's thread itself writes, as a baseline")


class Day(Part):
    """The whole form."""
    about: str
    like: str = Field("", description="a shipped day whose keys stand where this one gives none")
    seconds: Annotated[float, Field(ge=2, le=7200)] = 30
    zones: Annotated[list[Name], Field(min_length=1)] = ["east", "west"]
    nodes: dict[Name, Annotated[int, Field(ge=1, le=1000)]]
    rules: DayRules = DayRules()
    max_attempts: Annotated[int, Field(ge=1, le=16)] = 5
    event_names: dict[str, Name] = Field(default_factory=dict)
    engines: list[Engines] = Field(min_length=1)
    types: dict[Name, TypeTraffic] = Field(min_length=1)
    traffic: Traffic = Traffic()
    troubles: list[Fault] = Field(default_factory=list)
    ledger: bool = Field(False, description="nodes keep ledgers, and a ledger service runs")
    tenants: dict[Name, TenantForm] = Field(default_factory=dict)
    admission: Admission = Admission()
    streams: Streams = Streams()
    twin: Literal["", "streams", "disk", "recovery", "claims"] = Field(
        "", description="also played without continuation, with writes on the reactor's thread, with other beliefs at a start, or without claims")
    shares: bool = Field(False, description="budgets that run out are held against what engines wrote")
    claims: bool = Field(True, description="nodes are told which types are claimed; else only clients know, as a baseline")
    recovery: Recovery = Recovery()
    overdraft_tokens: Annotated[int, Field(ge=0)] = 20_000
    ahead_s: Seconds = Field(0, description="of its own use that a node holds of a budget")
    links: bool = Field(False, description="a relay stands between each node and the ledger, and the list server")
    disk: Disk | None = Field(None, description="a stand-in's; left out: the machine's")
    descriptors: Annotated[int, Field(ge=64)] = Field(4096, description="limit of each node's process")

    @model_validator(mode="after")
    def _names_meet(self) -> Day:
        kinds = {e.kind for e in self.engines}
        for zone in [*self.nodes, *(e.zone for e in self.engines), *(t.zone for t in self.troubles if t.zone)]:
            if zone not in self.zones:
                raise ValueError(f"zone {zone!r} is none of zones ({', '.join(self.zones)})")
        for fault in self.troubles:
            for kind in fault.kinds:
                if kind not in kinds:
                    raise ValueError(f"troubles: kind {kind!r} is none of engines' ({', '.join(sorted(kinds))})")
            if fault.trouble.startswith(("disk_", "power_", "clock_")) and self.disk is None:
                raise ValueError(f"troubles: {fault.trouble} needs a stand-in's disk: disk is missing")
            if fault.trouble.startswith("link_") and not self.links:
                raise ValueError(f"troubles: {fault.trouble} needs relays: links is missing")
            if fault.ledger_old_s and not self.ledger:
                raise ValueError(f"troubles: ledger_old_s at {fault.at:g} s needs a ledger")
            if fault.at >= self.seconds:
                raise ValueError(f"troubles: {fault.trouble} at {fault.at:g} s lies past the day's end")
        return self


def shipped() -> dict[str, str]:
    """The days that come with the program: name and what they are about."""
    folder = resources.files(__package__) / "days"
    names = sorted(p.name.removesuffix(".yaml") for p in folder.iterdir() if p.name.endswith(".yaml"))
    return {name: find(name).about for name in names}


def find(name: str) -> Day:
    """A shipped day by its name, or one by the path of its file.

    Raises:
        BadSettings: there is none, or it cannot be used.
    """
    if "/" not in name and _inside(name).is_file():
        return load_text(_inside(name).read_text(encoding="utf-8"), f"{name}.yaml", Day, _like)
    if not Path(name).exists():
        raise BadSettings([f"{name}: neither a shipped day (see --list) nor a file"])
    return load(name, Day, _like)


def _inside(name: str) -> Traversable:
    return resources.files(__package__) / "days" / f"{name}.yaml"


def _like(data: dict[str, Any]) -> dict[str, Any]:
    base = data.get("like")
    if not base:
        return {}
    if not isinstance(base, str) or "/" in base or not _inside(base).is_file():
        raise BadSettings([f"like: {base!r} is no shipped day (see --list)"])
    kept = yaml.safe_load(_inside(base).read_text(encoding="utf-8"))
    return _like(kept) | kept
