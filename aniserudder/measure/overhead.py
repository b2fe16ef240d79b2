"""The same load straight at stand-in engines and through one node, side by side in one run.

Stand-ins, the node and the load each have a process of their own. Arrivals are open-loop: each is timed from when it
was due, so a jam is not hidden. Both paths use a mixed engine that reads by itself, so that the work is the same.
"""
from __future__ import annotations

import os
import resource
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import msgspec
import yaml
from hdrh.histogram import HdrHistogram
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import Factory

from ..rehearsal.stage import _free_port as free_port
from ..wire.client import ClientConnection

_encode = msgspec.json.Encoder().encode
LONGEST_US = 60_000_000


@dataclass(slots=True)
class Path_:
    """One of the two ways, and what was seen on it."""
    name: str
    port: int
    target: str
    done: int = 0
    failed: int = 0
    first: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, LONGEST_US, 3))
    whole: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, LONGEST_US, 3))
    idle: list[ClientConnection] = field(default_factory=list)


class _Ask:
    """One streamed request, timed from when it was due."""

    __slots__ = ("load", "path", "due", "seen", "status", "tail", "connection")

    def __init__(self, load: Load, path: Path_, due: float) -> None:
        self.load, self.path, self.due, self.seen, self.status, self.tail = load, path, due, False, 0, b""

    def head(self, status: int) -> None:
        self.status = status

    def body(self, data: bytes) -> None:
        if not self.seen and (b'"content":"w' in data or b'"text":"w' in data):
            self.seen = True
            self.path.first.record_value(self._took())
        self.tail = (self.tail + data)[-256:]

    def complete(self) -> None:
        good = self.status == 200 and (b"[DONE]" in self.tail or b"message_stop" in self.tail)
        if good:
            self.path.whole.record_value(self._took())
        self.path.done += good
        self.path.failed += not good
        self.load.one_over()

    def lost(self, reason: str, malformed: bool) -> None:
        self.path.failed += 1
        self.load.one_over()

    def _took(self) -> int:
        return max(1, round((time.perf_counter() - self.due) * 1e6))


class Load:
    """Open-loop arrivals over both paths in turn."""

    def __init__(self, reactor: IReactorTCP, paths: list[Path_], rate: float, seconds: float, tokens: int,
                 seed: int, done: Callable[[], None]) -> None:
        self.reactor, self.paths, self.tokens, self.done = reactor, paths, tokens, done
        chance, at, self.due = Random(seed), 0.0, []
        while (at := at + chance.expovariate(rate)) < seconds:
            self.due.append(at)
        self.over, self.total = 0, len(self.due) * len(paths)
        self.began = 0.0

    def start(self) -> None:
        self.began = time.perf_counter()
        for at in self.due:
            for path in self.paths:
                self.reactor.callLater(at, self._ask, path, self.began + at)

    def one_over(self) -> None:
        self.over += 1
        if self.over == self.total:
            self.done()

    def _ask(self, path: Path_, due: float) -> None:
        body = {"model": "short", "max_tokens": self.tokens, "stream": True,
                "messages": [{"role": "user", "content": f"a short question, number {self.over} [ref m.0]"}]}
        if path.name == "direct":
            body["stream_options"] = {"include_usage": True}
        ask = _Ask(self, path, due)

        def ready(connection: ClientConnection) -> None:
            if not connection.ask("POST", path.target, [], _encode(body), ask):
                ask.lost("", False)

        while path.idle:
            connection = path.idle.pop()
            if connection.transport.connected:
                return ready(connection)
        factory = Factory.forProtocol(lambda: ClientConnection("localhost", path.idle.append, lambda c: None))
        factory.noisy = False
        TCP4ClientEndpoint(self.reactor, "127.0.0.1", path.port, timeout=5).connect(factory).addCallbacks(
            ready, lambda failure: ask.lost("", False))


@dataclass(slots=True)
class Measured:
    """Both paths' figures. Times in microseconds."""
    rate: float
    seconds: float
    tokens: int
    direct: Path_
    routed: Path_
    cpu_us: float      # of the node, for one sequence
    took: float        # seconds from the first arrival to the last answer
    node_exit: int = 0

    def added(self, percentile: float) -> float:
        """Time that the node adds to the first token, in milliseconds."""
        return (self.routed.first.get_value_at_percentile(percentile)
                - self.direct.first.get_value_at_percentile(percentile)) / 1000


def overhead(rate: float, seconds: float, tokens: int, seed: int, profile: str = "") -> Measured:
    """Measures. Runs the reactor of this process, once in its life.

    Args:
        rate: sequences a second on each path.
        profile: a file for the node's cProfile figures; empty: none.
    """
    from twisted.internet import reactor
    with tempfile.TemporaryDirectory(prefix="measure-") as name:
        folder = Path(name)
        ports = {"engine": free_port(), "direct": free_port(), "node": free_port()}
        children = [_standin(ports["engine"]), _standin(ports["direct"])]
        node = _node(folder, ports, profile)
        try:
            for port in ports.values():
                _wait(port)
            before = _cpu(node.pid)
            paths = [Path_("direct", ports["direct"], "/v1/chat/completions"),
                     Path_("routed", ports["node"], "/v1/messages")]
            load = Load(reactor, paths, rate, seconds, tokens, seed, lambda: reactor.callLater(0.1, reactor.stop))
            reactor.callWhenRunning(load.start)
            reactor.callLater(seconds + 30, lambda: reactor.running and reactor.stop())
            reactor.run()
            took = time.perf_counter() - load.began - 0.1
            cpu = _cpu(node.pid) - before
        finally:
            for child in [node, *children]:
                child.send_signal(signal.SIGTERM)
            for child in [node, *children]:
                child.wait(10)
    return Measured(rate, seconds, tokens, paths[0], paths[1], cpu * 1e6 / max(1, paths[1].done), took,
                    node.returncode)


def _standin(port: int) -> subprocess.Popen[bytes]:
    return subprocess.Popen([sys.executable, "-m", "aniserudder", "standin", "engine", "--role", "mixed", "--port",
                             str(port), "--slots", "4000", "--queue", "4000", "--memory", "100000000",
                             "--step-ms", "5", "--read-per-s", "2000000", "--quiet"])


def _node(folder: Path, ports: dict[str, int], profile: str) -> subprocess.Popen[bytes]:
    settings = folder / "node.yaml"
    settings.write_text(yaml.safe_dump({
        "node": "measured", "zone": "here", "seed": 1, "log_level": "error",
        "messages": {"listen": {"port": ports["node"]}, "default_type": "short"},
        "kinds": {"mixed": {"role": "mixed"}},
        "types": {"short": {"effect": "repeatable", "latency_slo_ms": 5000, "abandon_ms": 20000}},
        "roster": {"rows": [{"engine": "m1", "address": f"127.0.0.1:{ports['engine']}", "kind": "mixed",
                             "zone": "here"}]}}))
    command = [sys.executable, *(["-m", "cProfile", "-o", profile] if profile else []),
               "-m", "aniserudder", "serve", str(settings)]
    return subprocess.Popen(command)


def _wait(port: int) -> None:
    import socket
    until = time.monotonic() + 15
    while time.monotonic() < until:
        with socket.socket() as probe:
            if probe.connect_ex(("127.0.0.1", port)) == 0:
                return
        time.sleep(0.05)
    raise TimeoutError(f"nothing listens on port {port}")


def _cpu(pid: int) -> float:
    """Seconds of processor time that a process has used."""
    if pid == os.getpid():
        used = resource.getrusage(resource.RUSAGE_SELF)
        return used.ru_utime + used.ru_stime
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
