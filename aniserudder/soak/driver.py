"""Plays one soak: starts the processes, brings the planned faults about, ends everything in order and has the oracle judge.

Times of faults come from the seed; how processes interleave does not, so a seed that failed is played again several times.
"""
from __future__ import annotations

import errno
import heapq
import json
import re
import signal
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from ..core.invariants import Violation
from . import events, plan, scenario
from .abusive_clients import Form
from .control import Slot
from .engine import LostRelease, Untaken
from .events import LINK_CUT, Event, Kind
from .oracle import Breach, HeldTally, Oracle, Rule, Terms
from .plan import Planned
from .scenario import Scenario
from .stage import DRAIN_GRACE_S, LET_GO_S, Stage
from .stalls import StallWatch, late_lines, lines_about

ENGINES = ["r0", "r1", "r2", "w0", "w1", "w2", "m0"]
MIXED_ENGINE = "m0"
NODES = 4
BUSY_MOST = 3             # engines that something befalls at a time
LOOK_S = 0.02             # between looks at the processes
EXPLAINED_MOST = 5        # breaches whose requests' log lines are told
FRONT_NOTICES_S = 0.4     # PROTOCOL: so long after SIGTERM new connections keep coming
FRONT_TAKES_BACK_S = 1.0  # after a node's start
END_S = 3.9    # that an idle node has for ending in order
SERIES_GAP_S = (0.01, 0.05)  # between signals of a series
SERIES = ((signal.SIGHUP, signal.SIGHUP, signal.SIGTERM), (signal.SIGTERM, signal.SIGTERM), (signal.SIGTERM, signal.SIGHUP),
          (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGINT))
PARTITION_S = (1.0, 6.0)  # that a node reaches one engine alone
ISOLATION_S = (0.5, 4.5)  # that it reaches none
HANG_S = (1.0, 4.0)       # that two engines of a role hang together
UNTAKEN_S = (0.02, 0.4)   # that writers take no fetch, until they stand still
WRITERS_HANG_S = (0.5, 2.5)  # that they stand still then
AWAY_S = (1.8, 8.0)       # from a node's kill to its new process
LIST_TAKES_S = (0.3, 5.5)  # of a slow agent for each answer
OLD_ROLE_ENDS_S = (0.05, 0.45)  # behind the change of the list; GROWTH: 0.5 s
ALL_HAVE_HEARD_S = 8.0     # told within 6 s, and the grace of a drain
LONG_DOWN_S = (6.5, 9.0)   # of discovery
READY_WITHIN_S = 10.0      # of a new process
SLOWER = (2.7, 9.9)       # times that a slow engine takes longer
SLOW_S = (11.0, 34.0)     # that it is slow
ABUSE = (Form.SILENT, Form.SHORT_FIELDS, Form.HALF_BODY, Form.SLOW_HEAD, Form.TRAILERS, Form.MIXED, Form.UNKNOWN_PATHS, Form.UNSOUND)
ALL_TERM_GAP_S = 0.6  # between SIGTERMs to one node after the other
WALL_STEPS_S = (3600.0, -3600.0, 7.0, -7.0, 2.5, -2.5)
SYSTEM_ERRORS = (
    (Slot.ACCEPT_ERRNO, Slot.ACCEPT_PART, (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO, errno.EINTR)),
    (Slot.SOCKET_ERRNO, Slot.SOCKET_PART, (errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)),
    (Slot.CONNECT_ERRNO, Slot.CONNECT_PART, (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.EINTR)),
    (Slot.RECEIVE_ERRNO, Slot.RECEIVE_PART, (errno.ETIMEDOUT, errno.EHOSTUNREACH)),
    (Slot.SEND_ERRNO, Slot.SEND_PART, (errno.ENOBUFS, errno.EAGAIN)))
RECEIVE_PART = 0.02  # an error of a read ends the connection: few of them
VIOLATIONS = re.compile(r'"event":"invariant violated"')
TRACEBACK = re.compile(r"Traceback \(most recent call last\)|\"event\":\"decision failed\"")


@dataclass(slots=True)
class Result:
    """What came of one soak."""
    seed: int
    scenario: Scenario
    faults: list[Planned]
    breaches: list[Breach]
    requests: int
    ends: Counter[str]
    attempts: int
    held: HeldTally
    folder: Path
    evidence: list[str] = field(default_factory=list)

    def lines(self) -> list[str]:
        """For a person; with broken rules also what the nodes logged of the requests, and the processes' waits for a processor."""
        kinds = Counter(fault.fault.name.lower() for fault in self.faults)
        said = [f"seed {self.seed}: {self.scenario.line()}",
                f"  {len(self.faults)} faults ({', '.join(f'{name} {count}' for name, count in sorted(kinds.items()))})",
                f"  {self.requests} requests, {self.attempts} attempts, "
                f"{', '.join(f'{end} {count}' for end, count in sorted(self.ends.items()))}",
                f"  {self.held.line()}",
                f"  {len(self.breaches)} rules broken"]
        said += [f"  {breach.rule.name} at {breach.at:.3f} {breach.request}: {breach.detail}" for breach in self.breaches]
        return said + [f"    {line}" for line in self.evidence]


def _between(span: tuple[float, float], draw: float) -> float:
    low, high = span
    return low + (high - low) * draw


class Driver:
    """Brings the faults of one plan about."""

    def __init__(self, folder: Path, seed: int, seconds: float, conditions: Scenario, nodes: int = NODES) -> None:
        self.folder, self.seed, self.seconds, self.scenario = folder, seed, seconds, conditions
        self.stage = Stage(folder, seed, nodes, ENGINES, conditions)
        self.plan = plan.draw(seed, seconds, nodes, len(ENGINES), conditions.profile)
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._restarting: set[str] = set()
        self._busy_engines: set[str] = set()
        self._in_front = set(self.stage.nodes)
        self._partitioned: set[str] = set()
        self._slow_engine = ""
        self._stalls = StallWatch()

    def play(self) -> Result:
        """Runs the soak to its end."""
        try:
            self.stage.up()
            began = time.monotonic()
            for planned in self.plan:
                self._at(began + planned.at, lambda planned=planned: self._begin(planned))
            self._until(began + self.seconds)
            for name in [n for n in self.stage.helpers if n.startswith("clients")]:
                self.stage.helpers[name].tell(stop=True)
            self._until(time.monotonic() + self.scenario.settle_s)
            self.stage.check()
            self._end_nodes()
        finally:
            self.stage.down()
        return self._judge()

    def _at(self, when: float, what: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._due, (when, self._count, what))

    def _after(self, seconds: float, what: Callable[[], None]) -> None:
        self._at(time.monotonic() + seconds, what)

    def _until(self, end: float) -> None:
        while True:
            if self._due and self._due[0][0] <= time.monotonic():
                heapq.heappop(self._due)[2]()
                continue
            now = time.monotonic()
            self.stage.watch_memory()
            self._stalls.look({node: process.pid for node, process in self.stage.processes.items()}, LOOK_S)
            if now >= end:
                return
            time.sleep(max(0.0, min(LOOK_S, end - now)))

    def _end_nodes(self) -> None:
        """Each is told to end and has its time for it."""
        for node in list(self.stage.processes):
            self.stage.end_node(node)
        until = time.monotonic() + max(END_S, self.scenario.kill_after_s)
        while time.monotonic() < until and any(p.poll() is None for p in self.stage.processes.values()):
            time.sleep(0.05)
        for node, process in list(self.stage.processes.items()):
            if process.poll() is None:
                self.stage.log.note(Kind.NODE_STAYS, node=node)
                self.stage.kill_node(node)
        self.stage.reap()

    # Faults.

    def _begin(self, planned: Planned) -> None:
        node, engine = self.stage.nodes[planned.node], ENGINES[planned.engine]
        self.stage.log.note(Kind.FAULT, node=node, engine=engine, text=f"{planned.fault.name.lower()} {planned.lasts:.2f} s")
        getattr(self, f"_{planned.fault.name.lower()}")(planned, node, engine)

    def _node_term(self, planned: Planned, node: str, engine: str) -> None:
        if node in self._restarting:
            return
        self._restarting.add(node)
        self.stage.end_node(node)
        self._after(FRONT_NOTICES_S, lambda: self._front(node, False))
        self._after(self.scenario.kill_after_s, lambda: self._restart(node))

    def _node_signals(self, planned: Planned, node: str, engine: str) -> None:
        """Several signals right behind one another; the first that ends it counts."""
        if node in self._restarting:
            return
        series = SERIES[int(planned.draw * len(SERIES))]
        low, high = SERIES_GAP_S
        gap = low + (high - low) * (planned.draw * 13 % 1)
        ends = next(number for number, one in enumerate(series) if one != signal.SIGHUP)
        for number, one in enumerate(series):
            if number == ends:
                self._after(number * gap, lambda: self._node_term(planned, node, engine))
            else:
                self._after(number * gap, lambda one=one: self.stage.signal(node, one))

    def _all_nodes_term(self, planned: Planned, node: str, engine: str) -> None:
        """A release: one node after the other is told to end, sooner than the one before is back."""
        for number, name in enumerate(self.stage.nodes):
            self._after(number * ALL_TERM_GAP_S, lambda name=name: self._node_term(planned, name, engine))

    def _node_kill(self, planned: Planned, node: str, engine: str) -> None:
        if node not in self._restarting:
            self._restarting.add(node)
            self._restart(node)

    def _restart(self, node: str, away_s: float = 0.3) -> None:
        self.stage.kill_node(node)

        def start() -> None:
            self.stage.start_node(node)
            self._restarting.discard(node)
            self._after(FRONT_TAKES_BACK_S, lambda: self._front(node, node not in self._restarting))
            process = self.stage.processes[node]
            self._after(READY_WITHIN_S, lambda: self.stage.check_ready(node, process))
        self._after(away_s, start)

    def _node_away(self, planned: Planned, node: str, engine: str) -> None:
        """A node is killed, an engine drains in that moment and for long, and the node comes back to an agent that is slow."""
        if node in self._restarting:
            return
        self._restarting.add(node)
        away_s = _between(AWAY_S, planned.draw)
        takes_s = _between(LIST_TAKES_S, planned.draw * 13 % 1)
        self._front(node, False)
        self._restart(node, away_s)
        self._drain(engine, away_s + takes_s + 2.0)
        self._after(away_s - 0.1, lambda: self.stage.helpers["discovery"].tell(slow=takes_s))
        self._after(away_s + takes_s + 1.0, lambda: self.stage.helpers["discovery"].tell(slow=0.0))

    def _front(self, node: str, takes: bool) -> None:
        """Clients' new connections go to the nodes that the front knows of."""
        self._in_front = (self._in_front | {node}) if takes else (self._in_front - {node})
        for name, helper in self.stage.helpers.items():
            if name.startswith("clients"):
                helper.tell(nodes=sorted(self._in_front))

    def _node_pause(self, planned: Planned, node: str, engine: str) -> None:
        if node in self.stage.processes:
            self.stage.pause(node, planned.draw * 0.6)
            self._after(planned.draw * 0.6, lambda: self.stage.resume(node))

    def _node_reload(self, planned: Planned, node: str, engine: str) -> None:
        """A new configuration moves discovery; it may be half written when the signal comes, or follow upon another."""
        if node in self._restarting:
            return
        self.stage.agent_at[node] ^= 1
        self.stage.configure(node, half=planned.draw < 0.4)
        self.stage.signal(node, signal.SIGHUP)
        self.stage.log.note(Kind.NODE_RELOADED, node=node)
        self._after(0.3, lambda: self.stage.configure(node))
        if planned.draw > 0.7:
            self._after(0.05, lambda: self.stage.signal(node, signal.SIGHUP))

    def _wall_step(self, planned: Planned, node: str, engine: str) -> None:
        page = self.stage.pages[node]
        step = WALL_STEPS_S[int(planned.draw * len(WALL_STEPS_S))]
        page.set(Slot.WALL_OFFSET_S, page.get(Slot.WALL_OFFSET_S) + step)

    def _system_calls(self, planned: Planned, node: str, engine: str) -> None:
        errno_slot, part_slot, numbers = SYSTEM_ERRORS[int(planned.draw * len(SYSTEM_ERRORS))]
        number = numbers[int(planned.draw * 997) % len(numbers)]
        page = self.stage.pages[node]
        if errno_slot is Slot.RECEIVE_ERRNO:
            self.stage.log.note(Kind.RECEIVE_FAILS, node=node, value=time.monotonic() + planned.lasts)
        page.set(errno_slot, number)
        page.set(part_slot, RECEIVE_PART if errno_slot is Slot.RECEIVE_ERRNO else 0.3 + 0.6 * (planned.draw * 31 % 1))
        self._after(planned.lasts, lambda: page.set(part_slot, 0.0))

    def _short_calls(self, planned: Planned, node: str, engine: str) -> None:
        page = self.stage.pages[node]
        page.set(Slot.SHORT_PART, 0.2)
        self._after(planned.lasts, lambda: page.set(Slot.SHORT_PART, 0.0))

    def _engine_drain(self, planned: Planned, node: str, engine: str) -> None:
        self._drain(engine, planned.lasts + 1.0)

    def _drain(self, engine: str, lasts: float) -> None:
        """Told at once, as where lists are pushed; its process takes nothing new a little later."""
        if not self._take_engine(engine):
            return
        self.stage.list_engine(engine, "DRAINING")
        self._after(DRAIN_GRACE_S, lambda: self.stage.helpers[engine].tell(draining=True))

        def back() -> None:
            self.stage.helpers[engine].tell(draining=False)
            self.stage.list_engine(engine, "SERVING")
            self._busy_engines.discard(engine)
        self._after(lasts, back)

    def _engine_kill(self, planned: Planned, node: str, engine: str) -> None:
        if not self._take_engine(engine):
            return
        self.stage.kill_engine(engine)

        def back() -> None:
            self._start(engine)
            self._busy_engines.discard(engine)
        self._after(planned.lasts, back)

    def _engine_turns(self, planned: Planned, node: str, engine: str) -> None:
        """The engine of both roles becomes a reader: it reads what comes from now on, and its old process ends a little later, with what it
        had not answered. It becomes what it was behind a drain that all nodes have heard of."""
        if not self._take_engine(MIXED_ENGINE):
            return
        self.stage.turn_engine(MIXED_ENGINE, "r")
        self.stage.list_engine(MIXED_ENGINE, "SERVING")
        self._after(_between(OLD_ROLE_ENDS_S, planned.draw), lambda: self._start_anew(MIXED_ENGINE))
        drains_s = OLD_ROLE_ENDS_S[1] + planned.lasts
        self._after(drains_s, lambda: self.stage.list_engine(MIXED_ENGINE, "DRAINING"))

        def back() -> None:
            self.stage.roles[MIXED_ENGINE] = "m"
            self._start_anew(MIXED_ENGINE)
            self._busy_engines.discard(MIXED_ENGINE)
        self._after(drains_s + ALL_HAVE_HEARD_S, back)

    def _start_anew(self, engine: str) -> None:
        self.stage.kill_engine(engine)
        self._start(engine)

    def _start(self, engine: str) -> None:
        self.stage.start_engine(engine)
        self.stage.since[engine] = round(time.time() * 1000)
        self.stage.list_engine(engine, "SERVING")

    def _engine_hang(self, planned: Planned, node: str, engine: str) -> None:
        if not self._take_engine(engine):
            return
        self.stage.pause(engine, planned.lasts)

        def back() -> None:
            self.stage.resume(engine)
            self._busy_engines.discard(engine)
        self._after(planned.lasts, back)

    def _role_hang(self, planned: Planned, node: str, engine: str) -> None:
        """Two engines of a role stop at the same moment."""
        alike = [name for name in ENGINES if name[0] == engine[0]]
        first = alike.index(engine)
        self._hang([engine, alike[(first + 1) % len(alike)]], _between(HANG_S, planned.draw))

    def _hang(self, names: list[str], lasts: float, at_once: int = BUSY_MOST) -> None:
        taken = [name for name in names if self._take_engine(name, at_once)]
        for name in taken:
            self.stage.pause(name, lasts)

        def back() -> None:
            for name in taken:
                self.stage.resume(name)
                self._busy_engines.discard(name)
        self._after(lasts, back)

    def _engine_fails(self, planned: Planned, node: str, engine: str) -> None:
        self.stage.helpers[engine].tell(failing=0.1 + 0.4 * planned.draw)
        self._after(planned.lasts, lambda: self.stage.helpers[engine].tell(failing=0.0))

    def _engine_slow(self, planned: Planned, node: str, engine: str) -> None:
        """It works several times slower for long; one at a time, and what it has begun goes on."""
        if self._slow_engine:
            return
        self._slow_engine = engine
        self.stage.helpers[engine].tell(slower=_between(SLOWER, planned.draw))

        def back() -> None:
            self.stage.helpers[engine].tell(slower=1.0)
            self._slow_engine = ""
        self._after(_between(SLOW_S, planned.draw * 7 % 1), back)

    def _engine_spoils(self, planned: Planned, node: str, engine: str) -> None:
        """Some of its streams are spoilt by something that keeps coming."""
        self.stage.helpers[engine].tell(spoiling=0.1 + 0.4 * planned.draw)
        self._after(planned.lasts, lambda: self.stage.helpers[engine].tell(spoiling=0.0))

    def _abusive_clients(self, planned: Planned, node: str, engine: str) -> None:
        """Hundreds come to one node, and to whatever is started in its place."""
        form = ABUSE[int(planned.draw * len(ABUSE))]
        self.stage.log.note(Kind.FAULT, node=node, text=f"abusive clients: {form.value}")
        self.stage.abuse(node, form, planned.lasts, self.seed * 1000 + self._count)

    def _fetches_fail(self, planned: Planned, node: str, engine: str) -> None:
        """For a moment writers end each fetch that comes, and never take it; then all or all but one stand still."""
        how = list(Untaken)[int(planned.draw * len(Untaken))]
        self.stage.log.note(Kind.FAULT, text=f"fetches end: {how.value}")
        writers = [name for name in ENGINES if name[0] != "r"]
        self._tell(writers, untaken=how.value)
        left = writers[1:] if planned.draw * 13 % 1 < 0.5 else writers

        def stand_still() -> None:
            self._tell(writers, untaken="")
            self._hang(left, _between(WRITERS_HANG_S, planned.draw * 31 % 1), len(writers))
        self._after(_between(UNTAKEN_S, planned.draw * 7 % 1), stand_still)

    def _releases_fail(self, planned: Planned, node: str, engine: str) -> None:
        """All engines but one read calls that release late, or do not answer them."""
        how = list(LostRelease)[int(planned.draw * len(LostRelease))]
        others = [name for name in ENGINES if name != engine]
        self._tell(others, lost_release=how.value)
        self._after(planned.lasts, lambda: self._tell(others, lost_release=""))

    def _tell(self, engines: list[str], **command: object) -> None:
        for name in engines:
            self.stage.helpers[name].tell(**command)

    def _take_engine(self, engine: str, at_once: int = BUSY_MOST) -> bool:
        """One thing at a time befalls an engine's process; what befalls its links may come beside it."""
        if engine in self._busy_engines or len(self._busy_engines) >= at_once:
            return False
        self._busy_engines.add(engine)
        return True

    def _links(self, do: str, node: str, engine: str, **more: float) -> None:
        for name in ("proxy0", "proxy1"):
            self.stage.helpers[name].tell(do=do, node=node, engine=engine, **more)

    def _link_down(self, node: str, engine: str, lasts: float, how: str = "") -> None:
        self.stage.log.note(Kind.LINK_DOWN, node=node, engine=engine, value=time.monotonic() + lasts, text=how)

    def _link_cut(self, planned: Planned, node: str, engine: str) -> None:
        self._link_down(node, engine, planned.lasts, LINK_CUT)
        self._links("cut", node, engine)
        self._after(planned.lasts, lambda: self._links("heal", node, engine))

    def _node_partitioned(self, planned: Planned, node: str, engine: str) -> None:
        """A node reaches one engine of all."""
        self._cut_off(node, [name for name in ENGINES if name != engine], _between(PARTITION_S, planned.draw))

    def _node_isolated(self, planned: Planned, node: str, engine: str) -> None:
        """A node reaches no engine."""
        self._cut_off(node, ENGINES, _between(ISOLATION_S, planned.draw))

    def _cut_off(self, node: str, engines: list[str], lasts: float) -> None:
        if node in self._partitioned:
            return
        self._partitioned.add(node)
        for engine in engines:
            self._link_down(node, engine, lasts, LINK_CUT)
            self._links("cut", node, engine)

        def heal() -> None:
            self._partitioned.discard(node)
            for engine in engines:
                self._links("heal", node, engine)
        self._after(lasts, heal)

    def _link_silent(self, planned: Planned, node: str, engine: str) -> None:
        """What is open falls silent for good, with no error; new connections are well."""
        nodes = node if planned.draw < 0.6 else "*"
        self._link_down(nodes, engine, planned.lasts)
        self._links("silence", nodes, engine)

    def _link_reset(self, planned: Planned, node: str, engine: str) -> None:
        engine = engine if planned.draw < 0.7 else "*"
        self._link_down(node, engine, 0.2)
        self._links("reset", node, engine)

    def _link_slow(self, planned: Planned, node: str, engine: str) -> None:
        self._link_down(node, engine, planned.lasts + 0.3)
        self._links("delay", node, engine, seconds=0.05 + 0.2 * planned.draw)
        self._after(planned.lasts, lambda: self._links("delay", node, engine, seconds=0.0))

    def _discovery_down(self, planned: Planned, node: str, engine: str) -> None:
        self.stage.set_discovery_down(True)
        self._after(planned.lasts, lambda: self.stage.set_discovery_down(False))

    def _discovery_slow(self, planned: Planned, node: str, engine: str) -> None:
        self.stage.helpers["discovery"].tell(slow=_between(LIST_TAKES_S, planned.draw))
        self._after(planned.lasts, lambda: self.stage.helpers["discovery"].tell(slow=0.0))

    def _discovery_long_down(self, planned: Planned, node: str, engine: str) -> None:
        """For longer than a node waits for a list."""
        self.stage.set_discovery_down(True)
        self._after(_between(LONG_DOWN_S, planned.draw), lambda: self.stage.set_discovery_down(False))

    def _discovery_muted(self, planned: Planned, node: str, engine: str) -> None:
        self.stage.helpers["discovery"].tell(mute=True)

    # The end.

    def _judge(self) -> Result:
        seen = events.read(self.folder)
        terms = Terms(LET_GO_S, DRAIN_GRACE_S, {"mark": 1.0}, frozenset({"send"}))
        oracle = Oracle(seen, terms)
        breaches = oracle.judge()
        breaches += self._node_logs(seen, oracle)
        ends = Counter(event.text or event.kind.value for event in seen if event.kind in (Kind.ANSWERED, Kind.CLOSED, Kind.LEFT))
        return Result(self.seed, self.scenario, self.plan, breaches, sum(e.kind is Kind.SENT for e in seen), ends,
                      sum(e.kind is Kind.ATTEMPT for e in seen), oracle.held, self.folder, self._evidence(breaches))

    def _evidence(self, breaches: list[Breach]) -> list[str]:
        if not breaches:
            return []
        logs = {node: self.stage.node_log(node) for node in self.stage.nodes}
        requests = dict.fromkeys(breach.request for breach in breaches[:EXPLAINED_MOST] if breach.request)
        return self._stalls.lines() + late_lines(logs) + [line for request in requests for line in lines_about(request, logs)]

    def _node_logs(self, seen: list[Event], oracle: Oracle) -> list[Breach]:
        """What nodes say of themselves. A monitor cannot know that its process was stopped, nor that a release arrived whose answer was
        lost or late; the oracle knows both."""
        held = {breach.request for breach in oracle.breaches if breach.rule is Rule.HELD}
        breaches, end = [], seen[-1].at
        for node in self.stage.nodes:
            for line in self.stage.node_log(node).read_text().splitlines():
                if VIOLATIONS.search(line):
                    told = json.loads(line)
                    unproven = told["reason"].startswith(Violation.HELD_TOO_LONG.value) and told["seq"] not in held
                    if unproven or oracle.was_paused(told["seq"]):
                        continue
                    breaches.append(Breach(Rule.MONITOR, end, told["seq"], f"{node}: {told['reason']}"))
                elif TRACEBACK.search(line):
                    breaches.append(Breach(Rule.PROCESS, end, "", f"{node}: {line[:200]}"))
        return breaches


def play(seed: int, seconds: float, folder: Path, conditions: Scenario | None = None) -> Result:
    """Plays one soak in an empty folder; without conditions those of its seed."""
    return Driver(folder, seed, seconds, conditions or scenario.draw(seed)).play()
