"""Plays a rehearsal's day in simulated time: the same plan, troubles, stand-ins, clients and audit, real nodes in one process."""
from __future__ import annotations

import gc
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from twisted.internet.defer import Deferred, succeed

from ..daemon import RunningNode
from ..durable import Ground
from ..decisions.rules import Node
from ..rehearsal.day import Day, Fault
from ..rehearsal.plan import Plan
from ..rehearsal.stage import HOLDS_SETTLE, Ran, Stage
from ..settings import NodeSettings, load
from ..standins.client import NodeSeat
from ..standins.engine import StandinEngine
from ..standins.listener import Listener
from .clock import HeapClock
from .network import Network, Process

NEAR, FAR = 0.0002, 0.002   # seconds one way: on the machine, as on loopback; between zones, where a lab is told to
START_S = 0.5               # that a node needs to come up


class LabListener(Listener):
    """A listener whose cut is the network's."""

    def cut(self) -> Deferred[None]:
        self.cut_off = True
        self.reactor.network.cut.add(self.port)
        for connection in self.factory.connections:
            connection.freeze(self.reactor.seconds())
        return succeed(None)

    def heal(self) -> None:
        self.cut_off = False
        self.reactor.network.cut.discard(self.port)
        for connection in list(self.factory.connections):
            if connection.frozen_at is not None:
                connection.thaw(self.reactor.seconds())
        self.open()


@dataclass(slots=True)
class LabNode:
    """A node of the lab: its process and what runs in it."""
    process: Process
    running: RunningNode
    killed: bool = False


class LabStage(Stage):
    """One day on a simulated clock.

    Engines, roster and clients run in the process ``world``, each node in one of its own.

    Args:
        records: nodes keep decision records, which are replayed at the end.
        policy: the decision node; another than the module's is for comparison, and keeps no record.
    """

    def __init__(self, day: Day, plan: Plan, seed: int, folder: Path, say: Callable[[str], None], records: bool,
                 policy: type[Node] = Node) -> None:
        self.over = False
        self.records, self.policy = records and policy is Node, policy
        self.clock = HeapClock(1_000_000.0)
        self.wall = self.clock.seconds
        self.network = Network(self.clock, lambda one, other: NEAR)
        self.world = self.network.process("world")
        self.nodes: dict[str, LabNode] = {}
        self.refused = [d for d in ("flood", "ledger_crash") if any(f.trouble == d for f in day.troubles)]
        super().__init__(self.world, day, plan, seed, folder, say)
        for seat in self.seats:
            seat.port = self.network.free_port()

    def make_engine(self, *args: object) -> StandinEngine:
        return StandinEngine(*args, listener=LabListener, wall=self.clock.seconds)

    def play(self) -> Deferred[Ran]:
        done: Deferred[Ran] = Deferred()
        for seat in self.seats:
            self._spawn(seat)
        self.world.callLater(1.0, self._begin, done)
        return done

    def _spawn(self, seat: NodeSeat) -> None:
        if self.over:
            return  # a node that was killed just before the end does not come back
        self.witness.note("node_started", node=seat.name)
        process = self.network.process(seat.name)
        settings = load(str(self._settings(seat)), NodeSettings)
        if not self.records:
            settings = settings.model_copy(update={"record": "", "roster": settings.roster.model_copy(update={"last_list": ""})})
        node = RunningNode(settings, process, lambda event, **fields: None, f"{seat.name}x{len(self.nodes)}".replace("-", ""),
                           ground=Ground(wall=self.clock.seconds, boot="lab", at_once=True))
        if self.policy is not Node:
            router = node.router
            router.node = self.policy(router.node.settings, self.plan.seeds[seat.name])
        self.nodes[seat.name] = LabNode(process, node)
        process.callLater(START_S, node.start)

    def _kill(self, name: str, seconds: float) -> None:
        node = self.nodes[name]
        if not node.killed:
            node.killed = True
            self.witness.note("node_killed", node=name)
            node.running.close_record()
            node.process.kill()
            self.witness.note("node_ended", node=name, code=-9, killed=True)
        self._back(name, seconds)

    def _stop_one(self, name: str, seconds: float) -> None:
        self._stop_node(name).addCallback(lambda _: self._back(name, seconds))

    def _stop_node(self, name: str) -> Deferred[None]:
        node = self.nodes[name]
        self.witness.note("node_stopping", node=name)

        def ended(_: object) -> None:
            self.witness.note("node_ended", node=name, code=0, killed=False)
            node.killed = True
            node.process.kill()
        return node.running.stop().addCallback(ended)

    def _stop_nodes(self, done: Deferred[Ran]) -> None:
        self.over = True
        waiting = {name for name, node in self.nodes.items() if not node.killed}
        if not waiting:
            self.world.callLater(HOLDS_SETTLE, self._finish, done)

        def ended(_: object, name: str) -> None:
            waiting.discard(name)
            if not waiting:
                self.world.callLater(HOLDS_SETTLE, self._finish, done)
        for name in sorted(waiting):
            self._stop_node(name).addCallback(ended, name)

    def _flood(self, seat: NodeSeat, fault: Fault, number: int) -> None:
        raise RuntimeError("the lab has no flood: rehearse it")


@dataclass(slots=True)
class Played:
    """A day of the lab, and what it took."""
    ran: Ran
    simulated: float   # seconds
    took: float
    events: int

    @property
    def speed(self) -> float:
        """Simulated over real time."""
        return self.simulated / self.took


def run(day: Day, plan: Plan, seed: int, folder: Path, say: Callable[[str], None],
        records: bool = True, policy: type[Node] = Node) -> Played:
    """Plays a day; as long as it takes."""
    began = time.perf_counter()
    folder.mkdir(parents=True, exist_ok=True)
    stage = LabStage(day, plan, seed, folder, say, records, policy)
    ran: list[Ran] = []
    stage.play().addCallback(ran.append)
    start, events = stage.clock.seconds(), 0
    limit = start + day.seconds + 120
    gc.collect()
    gc.freeze()
    while not ran and stage.clock.seconds() < limit:
        events += stage.clock.run(stage.clock.seconds() + 1.0)
    if not ran:
        ran.append(Ran(stage.witness.lines, exits={}, trouble="the day did not come to its end"))
    return Played(ran[0], stage.clock.seconds() - start, time.perf_counter() - began, events)
