"""The settings form of a node. Durations are written in milliseconds and handed on in whole microseconds.

Nothing here is a decision: these are facts of a deployment (what its clients and engines promise and allow) and
bounds that its operators set. What the decision module is handed of them is put together in ``decisions_settings``.
"""
from __future__ import annotations

from datetime import date
from decimal import Decimal
from ipaddress import ip_network
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, field_validator, model_validator

from ..decisions.interface import Effect, Role, Settings, TypeSettings

Millis = Annotated[float, Field(ge=0, le=86_400_000)]
Name = Annotated[str, Field(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]
Port = Annotated[int, Field(ge=0, le=65535)]
Count = Annotated[int, Field(ge=1, le=1_000_000)]


def micros(millis: float) -> int:
    """Milliseconds as whole microseconds."""
    return round(millis * 1000)


class Part(BaseModel):
    """A part of the form: unknown keys are errors, values are not guessed from other types."""
    model_config = ConfigDict(extra="forbid", frozen=True)


class Address(Part):
    """Where a socket listens. Loopback unless the operator says otherwise."""
    host: str = "127.0.0.1"
    port: Port = 0


class TrafficType(Part):
    """One traffic type: what its sequences are worth and what a repeat of one would do."""
    utility: Annotated[float, Field(ge=0)] = 1.0
    latency_slo_ms: Millis = 1500
    slo_ms_per_1000_tokens: Millis = 40
    token_pace_ms: Millis = 70
    abandon_ms: Annotated[float, Field(gt=0, le=86_400_000)] = 6000
    abandon_ms_per_1000_tokens: Millis = 80
    effect: Literal["repeatable", "tokened", "once-only"] = "once-only"
    repeat_group: Literal["all", "zone", "cell"] = "all"
    repeat_window_ms: Millis = 5000
    claimed: bool = Field(False, description="of once-only types: an operation with a key runs once, whichever node is asked again")
    models: list[str] = Field(default_factory=list, description="model names that stand for this type")

    @model_validator(mode="after")
    def _claims_fit(self) -> TrafficType:
        if self.claimed and self.effect != "once-only":
            raise ValueError("claimed: allowed for once-only types; engines themselves drop repeats of a tokened one")
        return self


class Customer(Part):
    """A customer: the keys that show it, and how many sequences a second lie inside its share, over all nodes."""
    keys: list[Annotated[str, Field(min_length=8, max_length=256)]] = Field(default_factory=list)
    allowance_per_s: Annotated[float, Field(ge=0)] = 0.0


class EngineKind(Part):
    """What engines of a kind do."""
    role: Literal["reader", "writer", "mixed"]


class Rules(Part):
    """Timing figures of the rules, as the deployment states them."""
    answer_margin_ms: Millis = Field(25, description="final answers are due this long before the client's abandon time")
    let_go_ms: Millis = Field(300, description="a held state is taken or let go within this time")
    cold_share: Annotated[float, Field(ge=0, le=1)] = 0.3
    cold_ms: Millis = 13_000
    fall_multiple: Annotated[float, Field(ge=1)] = 2.5


class Recovery(Part):
    """What a start believes of what its predecessor left, and whom it waits for."""
    policy: Literal["weigh", "trust", "wait"] = Field(
        "weigh", description="trust: all that is on the disk as it is; wait: nothing is taken before list and ledger have answered")
    ask_ms: Millis = Field(3_000, description="for list and ledger to answer; then what was assumed stands")
    read_ms: Millis = Field(1_000, description="for the disk to give back the last list")
    fresh_s: Annotated[float, Field(ge=0)] = Field(
        300, description="within this, on a machine that stayed up, engines count as warm as the last list says")
    oldest_s: Annotated[float, Field(ge=0)] = Field(604_800, description="an older list is not used")


class Limits(Part):
    """Bounds of the node. Each has a counter or a log line of its own, see docs/operate.md."""
    max_attempts: Annotated[int, Field(ge=1, le=32)] = 5
    max_come_back_ms: Millis = Field(500, description="longest come-back time that clients heed; 0: none is told")
    connect_ms: Annotated[float, Field(gt=0)] = 250
    engine_idle_ms: Millis = Field(10_000, description="idle engine connections are closed after this")
    engine_idle_most: Count = Field(64, description="idle connections kept for an engine")
    stream_silence_ms: Annotated[float, Field(gt=0)] = Field(
        15_000, description="a started stream that sends nothing for so long counts as cut")
    line_bytes: Count = Field(262_144, description="longest line or body taken from an engine")
    body_bytes: Count = Field(1_048_576, description="longest request body taken from a client")
    header_bytes: Count = Field(16_384, description="most header bytes taken from a client")
    request_ms: Annotated[float, Field(gt=0)] = Field(
        5_000, description="a client's request has to be complete within this time from its first byte")
    client_idle_ms: Annotated[float, Field(gt=0)] = Field(60_000, description="idle client connections are closed")
    client_buffer_bytes: Count = Field(
        1_048_576, description="what may wait for one slow client; beyond it the sequence is aborted")
    stop_ms: Millis = Field(20_000, description="started streams get this long to finish when the node stops")
    let_go_tries: Annotated[int, Field(ge=1, le=16)] = Field(4, description="tries to deliver one letting go in time")
    let_go_for_ms: Millis = Field(5_000, description="and it is tried on for so long: no longer than readers hold a state")


class Streams(Part):
    """Streams that outlive their writers. Each bound has its counter or log line, see docs/operate-streams.md."""
    resume: Literal["node", "client", "off"] = Field(
        "node", description="who continues a broken stream: the node itself, the client that comes again, or nobody")
    pause_ms: Annotated[float, Field(ge=0, le=60_000)] = Field(4_000, description="longest pause before an honest end")
    journal_bytes: Annotated[int, Field(ge=65_536)] = Field(67_108_864, description="text kept of all streams of the node")
    keep_ms: Millis = Field(10_000, description="what a finished stream's journal is kept for")
    return_ms: Millis = Field(3_000, description="longest wait for a client that said it would return; 0: none may")
    order: Literal["at once", "fifo", "deadline", "density", "save most"] = Field(
        "save most", description="whose turn it is after many streams broke")
    extra_reading: Annotated[float, Field(ge=0, le=1)] = Field(
        0.7, description="reading for broken streams, as a part of what readers have free")
    least_extra: Annotated[float, Field(ge=0, le=1)] = Field(
        0.05, description="and as a part of what they can read, never less than this")
    trickle_times: Annotated[float, Field(ge=2)] = Field(8, description="a stream so many times slower than its peers' is moved")
    trickle_ms: Annotated[float, Field(ge=50)] = Field(700, description="and not before its tokens are so far apart")
    slow_bytes_per_s: Annotated[int, Field(ge=0)] = Field(200, description="least rate of a client for which something waits")
    slow_ms: Annotated[float, Field(gt=0)] = Field(10_000, description="a client that takes nothing for so long is ended")
    hold_bytes: Count = Field(65_536, description="text that waits for one client before its writer is held back")
    send_buffer_bytes: Annotated[int, Field(ge=4_096)] = Field(
        65_536, description="the kernel's send buffer of a client connection: what lies there cannot be taken back")


class Tokens(Part):
    """How prompt tokens are estimated before any engine has counted them."""
    chars_per_token: Annotated[float, Field(gt=0, le=64)] = 4.0
    per_message: Annotated[int, Field(ge=0, le=1000)] = 4
    correction: Annotated[float, Field(ge=0, le=1)] = Field(
        0.05, description="weight of each count reported by an engine in the learned ratio; 0: none is learned")


class Messages(Part):
    """The client side. ``event_names`` gives other names to the events of a stream, see messages/vocabulary.py."""
    listen: Address = Address(port=8080)
    event_names: dict[str, Name] = Field(default_factory=dict)
    default_type: str = Field("", description="traffic type of a request that names none; empty: it is refused")
    keys_needed: bool = Field(False, description="requests without a customer's key are refused")
    max_output: Count = 4096


class Row(Part):
    """One engine of a list given in the settings or in a roster file."""
    engine: Name
    address: Annotated[str, Field(pattern=r"^[0-9A-Za-z.\-:\[\]]+:\d+$")]
    kind: str
    zone: str
    rack: int = -1
    availability: Literal["running", "draining", "gone"] = "running"
    started_at: float = Field(0, ge=0, description="seconds since 1970; 0: long past")
    size: Annotated[float, Field(gt=0)] = 1.0


class RosterSource(Part):
    """Where the engine list comes from: one of a server that streams changes, a watched file, or rows given here."""
    server: str = Field("", description="host:port of a roster server")
    file: str = Field("", description="path of a watched YAML file of rows")
    rows: list[Row] = Field(default_factory=list)
    poll_ms: Annotated[float, Field(ge=10)] = 500
    again_ms: Annotated[float, Field(ge=10)] = Field(500, description="wait before the server is asked again")
    last_list: str = Field("", description="path where the last list is kept, and started from")

    @model_validator(mode="after")
    def _one_source(self) -> RosterSource:
        if sum(map(bool, (self.server, self.file, self.rows))) != 1:
            raise ValueError("exactly one of server, file and rows has to be given")
        return self


class BudgetForm(Part):
    """Tokens of one kind for a period. ``burst`` may be spent beyond it and is owed to the next period's room."""
    tokens: Annotated[int, Field(ge=0)]
    of: Literal["read", "written"]
    period: Literal["hour", "day", "month", "rolling"] = "month"
    rolling_s: Annotated[int, Field(ge=30, le=31 * 86400)] = 86400
    offset_minutes: Annotated[int, Field(ge=-840, le=840)] = 0
    burst: Annotated[int, Field(ge=0)] = 0
    soft: Annotated[float, Field(gt=0, le=1)] = Field(0.8, description="a line is logged when this part is spent")


class TenantForm(Part):
    """One tenant. Its name is a customer's, or one that customers stand under."""
    parent: str = ""
    budgets: list[BudgetForm] = Field(default_factory=list)

    @model_validator(mode="after")
    def _one_of_a_kind(self) -> TenantForm:
        seen = set()
        for b in self.budgets:
            mark = (b.of, b.period, b.rolling_s if b.period == "rolling" else 0)
            if mark in seen:
                raise ValueError(f"two budgets of {b.of} tokens for the same period")
            seen.add(mark)
        return self


class PriceForm(Part):
    """Prices for a million tokens, effective from a day on (UTC)."""
    since: date
    read: Decimal = Decimal(0)
    kept: Decimal = Decimal(0)
    written: Decimal = Decimal(0)
    types: dict[Name, Decimal] = Field(default_factory=dict, description="factors by traffic type")


class Ledger(Part):
    """The node's books. Without a path nothing is kept, and budgets hold for this node's present life alone."""
    path: str = Field("", description="the node's own ledger file")
    service: str = Field("", description="host:port of the ledger service; empty: this node has all budgets for itself")
    durability: Literal["process", "power"] = Field("process", description="what an entry survives before a send goes out")
    patience_ms: Annotated[float, Field(ge=10)] = Field(
        400, description="a send whose entry is not on the disk within this does not go out")
    when_full: Literal["refuse", "serve"] = Field("refuse", description="what becomes of sequences that cannot be written")
    overdraft_tokens: Annotated[int, Field(ge=0)] = Field(
        20_000, description="of each budget, while the ledger service does not answer")
    ahead_s: Annotated[float, Field(ge=0, le=600)] = Field(
        0, description="of its own use a node holds so much of each calendar budget, for when the service is away; what a node that dies holds is lost")
    lease_ms: Annotated[float, Field(ge=10)] = 100
    tell_s: Annotated[float, Field(gt=0)] = Field(3600, description="how long engines are asked what an attempt ran")
    recognise_s: Annotated[float, Field(ge=0)] = Field(
        10, description="a retry without a key is known by its words for so long")
    lost_to: Literal["operator", "tenant"] = Field("operator", description="who bears work lost to failures")


class PrefixRule(Part):
    """Caps for each address of a network, in place of the general ones. 0: no cap."""
    network: str
    connections: Annotated[int, Field(ge=0)] = 0
    new_per_s: Annotated[float, Field(ge=0)] = 0
    in_flight: Annotated[int, Field(ge=0)] = 0

    @field_validator("network")
    @classmethod
    def _is_one(cls, network: str) -> str:
        try:
            ip_network(network, strict=True)
        except ValueError as wrong:
            raise ValueError(f"found {network!r}, allowed: a network as 10.1.0.0/16 ({wrong})") from None
        return network


class Admission(Part):
    """Who may come in. Known clients are those that show a customer's key."""
    connections: Count = Field(2_000, description="open connections of the node")
    reserve_connections: Annotated[int, Field(ge=0)] = Field(500, description="of these, those that strangers never get")
    in_flight: Count = 4_096
    reserve_in_flight: Annotated[int, Field(ge=0)] = 1_024
    address_connections: Count = 64
    address_new_per_s: Annotated[float, Field(gt=0)] = 50
    address_in_flight: Count = 64
    network_connections: Count = Field(512, description="of strangers of one /24 or /64")
    client_connections: Count = 1_000
    client_in_flight: Count = 1_000
    prefixes: list[PrefixRule] = Field(default_factory=list)
    show_ms: Annotated[float, Field(gt=0)] = Field(3_000, description="a fresh connection has to send a request within this")
    chance_ms: Annotated[float, Field(ge=0)] = Field(
        250, description="and is not closed to make room before this")
    penalty_ms: Annotated[float, Field(gt=0)] = Field(500, description="first slowing of an offender; it doubles")
    offences: Annotated[float, Field(gt=0)] = Field(20, description="refusals before an address is slowed")
    friendly_s: Annotated[float, Field(ge=0)] = Field(
        60, description="an address is not slowed for so long after a known client came from it")
    watched: Count = Field(1_024, description="addresses that are watched at once")
    refuse_with: Literal["answer", "reset"] = "answer"
    refusing_most: Annotated[int, Field(ge=0)] = Field(
        128, description="refused connections that are open at once to be answered; more are reset")
    own_descriptors: Annotated[int, Field(ge=16)] = Field(256, description="kept for engines, roster, logs and storage")
    entry_most: Count = Field(256, description="requests that may wait to be taken up")
    entry_per_turn: Count = Field(16, description="requests that are taken up in one turn of the reactor")
    entry_order: Literal["fifo", "lifo", "utility"] = "utility"

    @model_validator(mode="after")
    def _reserves_fit(self) -> Admission:
        if self.reserve_connections >= self.connections:
            raise ValueError("reserve_connections: leaves strangers none of connections")
        if self.reserve_in_flight >= self.in_flight:
            raise ValueError("reserve_in_flight: leaves strangers none of in_flight")
        return self


class NodeSettings(Part):
    """The whole form."""
    node: Name = "node"
    zone: str
    nodes: Count = Field(1, description="nodes in all, among which customers' shares are divided")
    seed: int | None = Field(None, description="of the node's chance; left out: drawn at start")
    bind: str = Field("", description="local address of connections to engines; empty: any")
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    record: str = Field("", description="path of the decision record; empty: none is kept")
    messages: Messages = Messages()
    roster: RosterSource
    kinds: dict[Name, EngineKind] = Field(min_length=1)
    types: dict[Name, TrafficType] = Field(min_length=1)
    customers: dict[Name, Customer] = Field(default_factory=dict)
    tenants: dict[Name, TenantForm] = Field(default_factory=dict, description="by name; a customer's budgets are its tenant's")
    tenants_file: str = Field("", description="a JSON file of more tenants, for trees too large for this one")
    prices: list[PriceForm] = Field(default_factory=list)
    ledger: Ledger = Ledger()
    admission: Admission = Admission()
    rules: Rules = Rules()
    recovery: Recovery = Recovery()
    limits: Limits = Limits()
    streams: Streams = Streams()
    tokens: Tokens = Tokens()
    writers_read: bool = True
    may_recall: bool = True
    may_probe: bool = False
    report_fields: list[Name] = Field(default_factory=list)

    @model_validator(mode="after")
    def _tenants_meet(self) -> NodeSettings:
        for name, tenant in self.tenants.items():
            if tenant.parent and tenant.parent not in self.tenants and not self.tenants_file:
                raise ValueError(f"tenants.{name}.parent: {tenant.parent!r} is none of tenants")
        return self

    @model_validator(mode="after")
    def _claims_are_kept(self) -> NodeSettings:
        if not self.ledger.path and (claimed := [name for name, t in self.types.items() if t.claimed]):
            raise ValueError(f"types.{claimed[0]}.claimed: needs a ledger, ledger.path is missing")
        return self

    @model_validator(mode="after")
    def _names_meet(self) -> NodeSettings:
        if self.messages.default_type and self.messages.default_type not in self.types:
            raise ValueError(f"messages.default_type: {self.messages.default_type!r} is none of types "
                             f"({', '.join(self.types)})")
        keys: dict[str, str] = {}
        for name, customer in self.customers.items():
            for key in customer.keys:
                if keys.setdefault(key, name) != name:
                    raise ValueError(f"customers.{name}.keys: a key stands with {keys[key]!r} too")
        models: dict[str, str] = {}
        for name, row in self.types.items():
            for model in row.models:
                if models.setdefault(model, name) != name:
                    raise ValueError(f"types.{name}.models: {model!r} stands with {models[model]!r} too")
        return self

    def decisions_settings(self) -> Settings:
        """What the decision module is handed. Times in whole microseconds."""
        types = tuple(TypeSettings(name, t.utility, micros(t.latency_slo_ms), micros(t.slo_ms_per_1000_tokens),
                                   micros(t.token_pace_ms), Effect(t.effect), t.repeat_group,
                                   micros(t.repeat_window_ms)) for name, t in self.types.items())
        return Settings(
            nodes=self.nodes, zone=self.zone, types=types,
            roles={name: Role(kind.role) for name, kind in self.kinds.items()},
            writers_read=self.writers_read, may_probe=self.may_probe, may_recall=self.may_recall,
            report_fields=tuple(self.report_fields), max_attempts=self.limits.max_attempts,
            max_come_back=micros(self.limits.max_come_back_ms), cold_share=self.rules.cold_share,
            cold_time=micros(self.rules.cold_ms), fall_multiple=self.rules.fall_multiple,
            allowances={name: c.allowance_per_s for name, c in self.customers.items() if c.allowance_per_s},
            streams_go_on=self.streams.resume == "node")
