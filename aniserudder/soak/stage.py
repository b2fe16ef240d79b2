"""The processes of one soak and what can be done to each of them."""
from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from .abusive_clients import ClientLoad, Form, command
from .control import ControlPage
from .engine import wanted_folder
from .events import EventLog, Kind
from .helper import HOST_VARIABLE
from .scenario import Scenario
from .shim import SEED_VARIABLE

READY_S = 10.0
WITHOUT_HANGUP = ["sh", "-c", "trap '' HUP; exec \"$@\"", "sh"]  # as deploy/balancer.toml starts a node
STARTING_S = 1.0     # of the interpreter, before the program's first line
LET_GO_S, DRAIN_GRACE_S = 0.3, 0.5
GOAL_PART = 0.6      # of a class's deadline: its goal for the first token
SERVICES = {"draft": {"semantics": "pure", "points": 1.0},
            "mark": {"semantics": "token", "window": 1.0, "group": "all", "points": 1.0},
            "send": {"semantics": "side_effect", "points": 3.0}}
ROLES = {"r": "read", "w": "write", "m": "both"}
FLAVORS = {"r": "prefill", "w": "decode", "m": "mixed"}


def copies_of(member: dict[str, Any], copies: int) -> list[dict[str, Any]]:
    """An engine as it is listed so many times, under other ids."""
    return [member, *({**member, "id": f"{member['id']}~{number}"} for number in range(1, copies))]


def free_ports(host: str, count: int) -> list[int]:
    """Ports that were free a moment ago, each another."""
    held = [socket.create_server((host, 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports


def settings(nodes: int, deadlines: dict[str, float]) -> dict[str, Any]:
    """What each node is told of its deployment."""
    services = [{"name": name, "goal-time": GOAL_PART * deadlines[name], "deadline": deadlines[name], "stream": True, **service}
                for name, service in SERVICES.items()]
    return {"balancers": nodes, "zone": "a", "kinds": ["prefill", "decode", "mixed"],
            "family-info": {"duty-by-kind": ["read", "write", "both"], "self-prefill": True, "let-go-by": LET_GO_S, "token-aim": [0.07] * 3,
                            "aim-us-per-1000-prompt-tokens": [40000.0] * 3},
            "bounds": {"cancelling": True, "conn-idle": 15.0, "connect-timeout": 0.25, "max-attempts": 4, "retry-after": True,
                       "max-retry-after": 0.5},
            "rules": {"cold": 3.0, "cold-share": 0.3, "fall-multiple": 2.5, "drain-grace": DRAIN_GRACE_S}, "services": services}


def anonymous_mb(pid: int) -> float:
    """Anonymous memory of a process at this moment; 0: it has ended."""
    try:
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


@dataclass(slots=True)
class Helper:
    """A helper process, which obeys lines on its standard input."""
    process: subprocess.Popen[bytes]

    def tell(self, **command: Any) -> None:
        """Sends one command; one to a process that is gone is lost."""
        try:
            self.process.stdin.write(json.dumps(command).encode() + b"\n")
            self.process.stdin.flush()
        except (BrokenPipeError, OSError):
            pass


def _survives_hangup(pid: int) -> bool:
    """Whether a process ignores or handles SIGHUP at this moment (proc(5), ``status``)."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return False
    masks = [int(line.split()[1], 16) for line in lines if line.startswith(("SigIgn:", "SigCgt:"))]
    return any(mask >> signal.SIGHUP - 1 & 1 for mask in masks)


class Stage:
    """Starts, stops and harms the processes of a soak.

    Args:
        folder: for logs, configurations and read states; has to be empty.
        seed: of all helpers.
        nodes: how many.
        engines: their names; the first letter is the role: r, w or m.
        scenario: deadlines, copies of engines in the list, clients.
    """

    def __init__(self, folder: Path, seed: int, nodes: int, engines: list[str], scenario: Scenario) -> None:
        self.folder, self.seed, self.log = folder, seed, EventLog(folder / "driver.events", "driver")
        self.host = f"127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}.1"  # soaks beside each other share no port
        self._environment = {**os.environ, HOST_VARIABLE: self.host}
        self.nodes, self.engines = [f"n{i}" for i in range(nodes)], engines
        pairs = [(node, engine) for node in self.nodes for engine in engines]
        ports = iter(free_ports(self.host, len(self.nodes) * 3 + len(engines) + len(pairs)))
        self.ports = {name: next(ports) for name in (*self.nodes, *engines)}
        self.agents = {node: [next(ports), next(ports)] for node in self.nodes}
        self.agent_at = dict.fromkeys(self.nodes, 0)
        self.links = {pair: next(ports) for pair in pairs}
        self.states = folder / "states"
        wanted_folder(self.states).mkdir(parents=True)
        self.pages = {node: ControlPage(folder / f"{node}.page") for node in self.nodes}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}  # nodes that run
        self.helpers: dict[str, Helper] = {}
        self.abusive: list[subprocess.Popen[bytes]] = []
        self.roles = {engine: engine[0] for engine in engines}
        self.since: dict[str, int] = dict.fromkeys(engines, 0)
        self.discovery_is_down = False
        self.phases = dict.fromkeys(engines, "SERVING")
        self.told_phases = dict(self.phases)  # what nodes can have heard: nothing new while discovery is down
        self.known = {node: self._members() for node in self.nodes}  # the list as each node's last process had it
        self.scenario = scenario
        self._started_at: dict[str, float] = {}
        self._termed_at: dict[str, float] = {}
        self._log_began: dict[str, int] = {}  # characters of its log before its last start
        self._starts = 0

    # Starting.

    def up(self) -> None:
        """Starts everything and waits until all nodes are ready.

        Raises:
            RuntimeError: a node is not ready in time.
        """
        for engine in self.engines:
            self.start_engine(engine)
        members = [self.member(engine) for engine in self.engines]
        addresses = {node: {engine: f"{self.host}:{self.links[node, engine]}" for engine in self.engines} for node in self.nodes}
        self._help("discovery", "discovery", ports=self.agents, members=members, addresses=addresses,
                   copies=self.scenario.copies)
        for number in (0, 1):
            links = [(n, e, port, self.ports[e]) for (n, e), port in self.links.items() if self.nodes.index(n) % 2 == number]
            self._help(f"proxy{number}", "proxy", links=links)
        for node in self.nodes:
            self.start_node(node)
        until = time.monotonic() + READY_S
        while not all('"ready"' in self.node_log(node).read_text() for node in self.nodes):
            if time.monotonic() > until:
                raise RuntimeError("nodes are not ready in time")
            time.sleep(0.05)
        count, each = self.scenario.clients
        ports = {node: self.ports[node] for node in self.nodes}
        for number in range(count):
            self._help(f"clients{number}", "client", ports=ports, count=each, kinds=self.scenario.deadlines,
                       prompt_tokens=self.scenario.prompt_tokens)
        if self.scenario.crowd:
            self._help("clients-idle", "crowd", ports=ports, count=self.scenario.crowd)

    def _help(self, name: str, module: str, **specification: Any) -> None:
        told = json.dumps({"name": name, "folder": str(self.folder), "seed": self.seed, **specification})
        errors = (self.folder / f"{name}.errors").open("ab")
        process = subprocess.Popen([sys.executable, "-m", f"{__package__}.{module}", told], stdin=subprocess.PIPE, stderr=errors,
                                   env=self._environment)
        self.helpers[name] = Helper(process)

    def member(self, engine: str, phase: str = "SERVING") -> dict[str, Any]:
        """An engine as listed."""
        return {"id": engine, "locality": "a", "flavor": FLAVORS[self.roles[engine]], "cell": 1, "phase": phase, "size": 1.0,
                "up_since_ms": self.since[engine]}

    def _members(self) -> list[dict[str, Any]]:
        """The list as nodes can have heard it."""
        return [self.member(engine, self.told_phases[engine]) for engine in self.engines]

    def start_engine(self, engine: str) -> None:
        self._help(engine, "engine", role=ROLES[self.roles[engine]], port=self.ports[engine], states=str(self.states),
                   habits=asdict(self.scenario.habits))

    def node_log(self, node: str) -> Path:
        return self.folder / f"{node}.log"

    def configure(self, node: str, half: bool = False) -> None:
        """Writes a node's configuration, in place; ``half``: only the first part of it."""
        known = {"revision": 0, "complete": True, "members": [
            copy for member in self.known[node]
            for copy in copies_of({**member, "host_port": f"{self.host}:{self.links[node, member['id']]}"}, self.scenario.copies)]}
        text = json.dumps({
            "name": node, "listen": f"{self.host}:{self.ports[node]}", "discovery": f"{self.host}:{self.agents[node][self.agent_at[node]]}",
            "seed": f"{self.seed + self._starts:x}", "limits": {"sockets": self.scenario.descriptors, "memory_mb": self.scenario.memory_mb}, "known": known, "settings": settings(len(self.nodes), self.scenario.deadlines)})
        (self.folder / f"{node}.json").write_text(text[:len(text) // 2] if half else text)

    def start_node(self, node: str) -> None:
        self._starts += 1
        self._log_began[node] = len(self.node_log(node).read_text()) if self.node_log(node).exists() else 0
        self.configure(node)
        environment = {**self._environment, "NODE_CONFIG": str(self.folder / f"{node}.json"), "NODE_LOG_LEVEL": "debug",
                       SEED_VARIABLE: str(self.seed + self._starts)}
        command = [*WITHOUT_HANGUP, sys.executable, "-m", f"{__package__}.shim", str(self.folder / f"{node}.page"), "node"]
        self.processes[node] = subprocess.Popen(command, env=environment, stderr=self.node_log(node).open("ab"))
        self._started_at[node] = time.monotonic()
        self.log.note(Kind.NODE_UP, node=node)

    # Nodes.

    def end_node(self, node: str) -> None:
        """SIGTERM; the caller kills it when its time is up."""
        self.log.note(Kind.NODE_TERM, node=node)
        self._termed_at[node] = time.monotonic()
        self.processes[node].send_signal(signal.SIGTERM)

    def signal(self, node: str, number: signal.Signals) -> None:
        """Any signal, to a node that still runs. No SIGHUP before its shell has come to where it ignores it."""
        process = self.processes.get(node)
        if process and process.poll() is None and (number != signal.SIGHUP or _survives_hangup(process.pid)):
            process.send_signal(number)

    def kill_node(self, node: str) -> None:
        process = self.processes.pop(node)
        self.known[node] = self._members()
        if process.poll() is None:
            self.log.note(Kind.NODE_KILLED, node=node)
            process.kill()
            process.wait()
            self.log.note(Kind.NODE_GONE, node=node)
        else:
            self._note_end(node, process.returncode)

    def watch_memory(self) -> None:
        """Ends a node that holds more than it may, as its platform does."""
        for node, process in self.processes.items():
            held = anonymous_mb(process.pid)
            if held > self.scenario.memory_mb and process.poll() is None:
                self.log.note(Kind.NODE_ENDED, node=node, value=-signal.SIGKILL, text=f"killed: it held {held:.1f} MB")
                process.kill()

    def _note_end(self, node: str, code: int) -> None:
        """A process that was told to end before it could heed signals ends by the system's default: it had taken nothing."""
        early = code == -signal.SIGTERM and self._termed_at.get(node, 0.0) - self._started_at[node] < STARTING_S
        if code and not early:
            self.log.note(Kind.NODE_ENDED, node=node, value=code, text="by itself")

    def reap(self) -> None:
        """Notes nodes that have ended by themselves."""
        for node, process in self.processes.items():
            if process.poll() is not None:
                self._note_end(node, process.returncode)

    def check_ready(self, node: str, process: subprocess.Popen[bytes]) -> None:
        """Notes a node whose process runs, was not told to end, and has not said that it is ready."""
        if self.processes.get(node) is not process or process.poll() is not None or self._termed_at.get(node, 0.0) > self._started_at[node]:
            return
        if '"ready"' not in self.node_log(node).read_text()[self._log_began[node]:]:
            self.log.note(Kind.NODE_UNREADY, node=node)

    def pause(self, name: str, seconds: float) -> None:
        """SIGSTOP to a node or an engine; ``resume`` lets it run on."""
        is_node = name in self.nodes
        process = self.processes[name] if is_node else self.helpers[name].process
        fields = {"node": name} if is_node else {"engine": name}
        self.log.note(Kind.NODE_PAUSED if is_node else Kind.ENGINE_PAUSED, value=time.monotonic() + seconds + 0.05, **fields)
        process.send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        process = self.processes.get(name) or (self.helpers[name].process if name in self.helpers else None)
        if process and process.poll() is None:
            process.send_signal(signal.SIGCONT)

    # Engines.

    def kill_engine(self, engine: str) -> None:
        """Its process is gone, and what it held."""
        self.log.note(Kind.ENGINE_DOWN, engine=engine)
        process = self.helpers[engine].process
        process.kill()
        process.wait()
        for wanted in wanted_folder(self.states).glob(f"*.{engine}.*"):
            wanted.unlink(missing_ok=True)

    def list_engine(self, engine: str, phase: str) -> None:
        self.helpers["discovery"].tell(set=self.member(engine, phase))
        self.phases[engine] = phase
        if not self.discovery_is_down:
            self.told_phases = dict(self.phases)

    def turn_engine(self, engine: str, role: str) -> None:
        """Another role, a key of ``ROLES``: its process works so from now on, and so does the next one."""
        self.roles[engine] = role
        self.helpers[engine].tell(role=ROLES[role])

    def set_discovery_down(self, down: bool) -> None:
        """While it is down its agents say nothing; what they get at its return they tell at once."""
        self.helpers["discovery"].tell(down=down)
        self.discovery_is_down = down
        if not down:
            self.told_phases = dict(self.phases)

    # The end.

    def check(self) -> None:
        """Whether all helpers that should run do.

        Raises:
            RuntimeError: one has ended by itself, so what was seen says nothing.
        """
        for name, helper in self.helpers.items():
            if helper.process.poll() not in (None, -signal.SIGKILL):
                raise RuntimeError(f"{name} has ended: {(self.folder / f'{name}.errors').read_text()[-500:]}")

    def abuse(self, node: str, form: Form, seconds: float, seed: int) -> None:
        """Abusive clients come to a node for a while."""
        load = ClientLoad(form.value, self.host, self.ports[node], self.scenario.abusive_clients, seconds, seed)
        errors = (self.folder / "abusive.errors").open("ab")
        self.abusive.append(subprocess.Popen(command(load), stdout=subprocess.DEVNULL, stderr=errors, env=self._environment))

    def down(self) -> None:
        """Ends everything that was started."""
        for process in self.abusive:
            process.kill()
            process.wait()
        for helper in self.helpers.values():
            helper.process.send_signal(signal.SIGCONT)
        for process in (*self.processes.values(), *(helper.process for helper in self.helpers.values())):
            process.kill()
            process.wait()
