"""The storm after a writer's death: who is read again when, by policy. Simulated time, real routers and decision modules.

Nodes that do not talk route an open-loop stream of sequences to emulated readers (first come first, with kept beginnings) and
writers (one token of every stream a step). One writer dies with all its streams. What is counted: streams it took that were
completed and their utility, their pauses, and how new arrivals fared in the seconds after, against the same time without a death.
"""
from __future__ import annotations

from collections import OrderedDict, deque
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from random import Random
from typing import Any

from ..core import Request, Router, Usage
from ..core.router import Attempt, StreamRules
from ..decisions.interface import Availability, Effect, Outcome, Prompt, Role, RosterRow, Settings, TypeSettings
from ..streams.journal import digest
from ..streams.recovery import Order, RecoveryRules
from ..lab.clock import HeapClock

S = 1_000_000
DEATH, AFTER = 40.0, 6.0            # seconds from the start; and after the death in which arrivals are counted
STEP = 0.4                          # seconds between two tokens of a stream
TYPES = (("draft", 1.0, 1.0), ("story", 3.0, 2.0))  # name, utility, latency SLO in seconds


@dataclass(slots=True, frozen=True)
class Case:
    """One setting. ``load``: part of the readers' capacity that arrivals use. ``keep``: sessions that a reader keeps."""
    name: str
    nodes: int = 1
    load: float = 0.6
    keep: int = 0
    readers: int = 6
    writers: int = 4
    read_per_s: float = 20_000
    deaths: int = 1              # writers that die, a second after each other
    prompt: tuple[int, int] = (800, 4_200)
    output: tuple[int, int] = (50, 150)


CASES = (
    Case("1 node, load 0.6"), Case("1 node, load 0.85", load=0.85), Case("1 node, load 0.6, prompts kept", keep=4_000),
    Case("1 node, load 0.6, three deaths", deaths=3, writers=8), Case("24 nodes, load 0.6", nodes=24), Case("140 nodes, load 0.6", nodes=140),
)


@dataclass(slots=True)
class Found:
    """What a policy did in a case."""
    case: str
    policy: str
    lost: int = 0                # streams that the dead writer took
    saved: int = 0
    utility: float = 0.0         # share of their utility that was saved
    pauses: list[float] = field(default_factory=list)
    fared: list[float] = field(default_factory=list)  # first tokens of arrivals after the death, over their SLO; 9: none
    vain: list[float] = field(default_factory=list)   # waits of those that were given up, seconds
    extra: int = 0
    events: int = 0

    @property
    def waited(self) -> float:
        return sum(self.vain) / max(1, len(self.vain))

    @property
    def in_slo(self) -> float:
        return sum(f <= 1 for f in self.fared) / max(1, len(self.fared))

    def pause(self, part: float) -> float:
        marks = sorted(self.pauses)
        return marks[min(len(marks) - 1, int(part * len(marks)))] if marks else 0.0


class Reader:
    """First come first, from where what it keeps of a session ends."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet, self.name = fleet, name
        self.queue: deque[Attempt] = deque()
        self.kept: OrderedDict[str, int] = OrderedDict()
        self.busy: Attempt | None = None

    def take(self, attempt: Attempt) -> None:
        self.queue.append(attempt)
        if self.busy is None:
            self._next()

    def _next(self) -> None:
        self.busy = self.queue.popleft() if self.queue else None
        if self.busy:
            prompt = self.busy.request.prompt
            found = min(self.kept.get(prompt.session, 0), prompt.tokens - 1)
            self.fleet.clock.callLater(0.002 + (prompt.tokens - found) / self.fleet.case.read_per_s, self._done, found)

    def _done(self, found: int) -> None:
        attempt, prompt = self.busy, self.busy.request.prompt
        self.kept[prompt.session] = prompt.tokens
        self.kept.move_to_end(prompt.session)
        while len(self.kept) > self.fleet.case.keep:
            self.kept.popitem(last=False)
        if not attempt.over:
            if attempt.request.forced:
                self.fleet.found.extra += prompt.tokens - found
            attempt.ended(Outcome.READ, Usage(prompt.tokens, found, 0), {"at": self.name})
        self._next()

    def drop(self, attempt: Attempt) -> None:
        if attempt in self.queue:
            self.queue.remove(attempt)


class Writer:
    """Writes a token of every stream a step."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet, self.name, self.down = fleet, name, False
        self.streams: dict[Attempt, int] = {}   # tokens left

    def take(self, attempt: Attempt) -> None:
        if self.down:
            return attempt.ended(Outcome.NO_ROUTE, reason="dead")
        self.streams[attempt] = attempt.request.prompt.max_output
        self.fleet.clock.callLater(0.03 + 0.02 * self.fleet.jitter.random(), self._token, attempt, True)

    def _token(self, attempt: Attempt, first: bool = False) -> None:
        left = self.streams.get(attempt)
        if left is None or attempt.over:
            self.streams.pop(attempt, None)
            return
        forced = attempt.request.forced
        if first and forced:
            attempt.continues(len(forced), digest(forced.encode()))
        attempt.text("w ")
        if left <= 1:
            del self.streams[attempt]
            return attempt.ended(Outcome.GENERATED, Usage(attempt.request.prompt.tokens, 0, attempt.request.prompt.max_output))
        self.streams[attempt] = left - 1
        self.fleet.clock.callLater(STEP, self._token, attempt)

    def die(self) -> None:
        self.down = True
        streams, self.streams = list(self.streams), {}
        for attempt in streams:
            attempt.ended(Outcome.CUT, reason="dead")


class Client:
    """One sequence (``core.ports.Answer``)."""

    __slots__ = ("fleet", "at", "kind", "first", "heard", "gap", "lost", "broke")

    def __init__(self, fleet: Fleet, kind: tuple[str, float, float]) -> None:
        self.fleet, self.kind = fleet, kind
        self.at = fleet.clock.seconds()
        self.first = self.heard = self.gap = self.broke = 0.0
        self.lost = False

    def text(self, piece: str) -> None:
        now = self.fleet.clock.seconds()
        if not self.first:
            self.first = now
            self._fared((now - self.at) / self.kind[2])
        elif self.lost and self.heard <= self.broke:
            self.gap = max(self.gap, now - self.broke)
        self.heard = now

    def generated(self, reason: str, usage: Usage) -> None:
        if self.lost:
            found = self.fleet.found
            found.saved += 1
            found.utility += self.kind[1]
            found.pauses.append(self.gap)

    def rejected(self, come_back: int, reason: str) -> None:
        self.aborted(reason)

    def aborted(self, reason: str) -> None:
        if not self.first:
            self._fared(9.0)
        elif self.lost:
            self.fleet.found.vain.append(self.fleet.clock.seconds() - self.broke)

    def _fared(self, share: float) -> None:
        if DEATH <= self.at < DEATH + AFTER:
            self.fleet.found.fared.append(share)


class Fleet:
    """Nodes, readers, writers and arrivals on one clock (``core.ports.Engines``)."""

    def __init__(self, case: Case, policy: str, seed: int) -> None:
        self.case, self.found = case, Found(case.name, policy)
        self.clock, self.chance = HeapClock(), Random(f"{seed} {case.name}")
        self.jitter = Random(f"{seed} jitter")  # of its own, so that every policy meets the same arrivals
        self.readers = {f"r{n}": Reader(self, f"r{n}") for n in range(case.readers)}
        self.writers = {f"w{n}": Writer(self, f"w{n}") for n in range(case.writers)}
        self.clients: dict[str, Client] = {}
        types = tuple(TypeSettings(name, utility, round(slo * S), 40_000, round(STEP * S), Effect.REPEATABLE, "all", 5 * S)
                      for name, utility, slo in TYPES)
        settings = Settings(
            nodes=case.nodes, zone="here", types=types, roles={"r": Role.READER, "w": Role.WRITER}, writers_read=False,
            may_probe=False, may_recall=True, report_fields=(), max_attempts=8, max_come_back=500_000, cold_share=0.3,
            cold_time=10 * S, fall_multiple=2.5, allowances={}, streams_go_on=policy not in ("none", "no death"))
        rules = StreamRules(4 * S, RecoveryRules(order=Order(policy) if settings.streams_go_on else Order.FIFO))
        self.routers = [Router(settings, seed * 1000 + n, self, self.clock, streams=rules) for n in range(case.nodes)]
        self._tell([*self.readers, *self.writers])
        mean = sum(case.prompt) / 2
        self.per_s = case.load * case.readers * case.read_per_s / mean
        self.count = 0

    def _tell(self, names: list[str]) -> None:
        rows = [RosterRow(n, n[0], "here", Availability.RUNNING, 0, 1.0, 1) for n in names]
        for router in self.routers:
            router.roster(rows, True)

    def play(self) -> Found:
        self._arrive()
        if self.found.policy != "no death":
            for n in range(self.case.deaths):
                self.clock.callLater(DEATH - 1.0 + n, self._death, f"w{n}")
        self.found.events = self.clock.run(DEATH + 65)
        whole = sum(c.kind[1] for c in self.clients.values() if c.lost)
        self.found.utility /= max(1.0, whole)
        return self.found

    def _arrive(self) -> None:
        now = self.clock.seconds()
        if now < DEATH + AFTER + 4:
            self.clock.callLater(self.chance.expovariate(self.per_s), self._arrive)
        self.count += 1
        kind = TYPES[self.chance.random() < 0.3]
        id, client = f"s{self.count}", Client(self, kind)
        self.clients[id] = client
        tokens, output = self.chance.randint(*self.case.prompt), self.chance.randint(*self.case.output)
        prompt = Prompt(kind[0], id, "", tokens, 0, output, 0, 6 * S)
        self.chance.choice(self.routers).take(id, Request(prompt, {}), client)

    def _death(self, name: str) -> None:
        writer = self.writers[name]
        for attempt in writer.streams:
            client = self.clients[attempt.seq_id]
            if client.first and not client.lost:
                client.lost, client.broke = True, self.clock.seconds()
                self.found.lost += 1
        writer.die()
        self.clock.callLater(0.3, self._tell, [*self.readers, *(w for w, it in self.writers.items() if not it.down)])

    # What routers ask.

    def send(self, attempt: Attempt) -> None:
        attempt.goes_out()
        place = self.readers.get(attempt.engine) or self.writers[attempt.engine]
        self.clock.callLater(0.001, lambda: attempt.over or place.take(attempt))

    def call_off(self, attempt: Attempt) -> None:
        if attempt.engine in self.readers:
            self.readers[attempt.engine].drop(attempt)
        else:
            self.writers[attempt.engine].streams.pop(attempt, None)

    def hold(self, attempt: Attempt, held: bool) -> None:
        pass

    def let_go(self, seq_id: str, engine: str, ordinal: int, state: Any) -> None:
        pass

    def probe(self, engine: str, done: Any) -> None:
        done(False, None)


def _one(job: tuple[Case, str, int]) -> Found:
    return Fleet(*job).play()


def table(seeds: list[int], cases: tuple[Case, ...] = CASES, processes: int | None = None) -> list[list[Found]]:
    """By case and policy, the seeds' figures put together."""
    policies = ["no death", "none", *(o.value for o in Order)]
    jobs = [(case, policy, seed) for case in cases for policy in policies for seed in seeds]
    with ProcessPoolExecutor(processes) as pool:
        ran = iter(list(pool.map(_one, jobs)))
    rows: list[list[Found]] = []
    for case in cases:
        row = []
        for policy in policies:
            whole = Found(case.name, policy)
            for _ in seeds:
                one = next(ran)
                whole.lost += one.lost
                whole.saved += one.saved
                whole.utility += one.utility / len(seeds)
                whole.pauses += one.pauses
                whole.fared += one.fared
                whole.vain += one.vain
                whole.extra += one.extra
                whole.events += one.events
            row.append(whole)
        rows.append(row)
    return rows


def plot(rows: list[list[Found]], path: str) -> None:
    """Utility saved against new arrivals within SLO, one panel a case."""
    import matplotlib
    matplotlib.use("Agg")
    from matplotlib import pyplot
    figure, axes = pyplot.subplots(1, len(rows), figsize=(3.4 * len(rows), 3.6), layout="constrained", sharey=True)
    colours = {"at once": "#c0392b", "fifo": "#7f8c8d", "deadline": "#8e6bbf", "density": "#e08e0b", "save most": "#1f6f8b"}
    for axis, row in zip(axes, rows):
        calm = next(f for f in row if f.policy == "no death")
        axis.axhline(100 * calm.in_slo, color="black", lw=0.8, ls=":", label="no death")
        for found in row:
            if found.policy in colours:
                axis.scatter(100 * found.utility, 100 * found.in_slo, s=60, color=colours[found.policy], label=found.policy)
        axis.set_title(row[0].case, fontsize=9)
        axis.set_xlabel("% of lost streams' utility saved", fontsize=8)
        axis.grid(alpha=0.3)
    axes[0].set_ylabel("% of new arrivals within SLO")
    axes[0].legend(fontsize=7)
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
