"""The same load straight at stand-in engines and through one node, side by side in one run.

Stand-ins, the node and each load have a process of their own. Both paths use a mixed engine that reads by itself, so
that the engines' work is the same.
"""
from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import msgspec
import yaml
from hdrh.histogram import HdrHistogram

from ..wire.text import free_port
from .load import Order, Result


@dataclass(slots=True)
class Way:
    """One of the two ways, and what was seen on it. Times in microseconds."""
    done: int
    failed: int
    took: float
    first: HdrHistogram
    whole: HdrHistogram


@dataclass(slots=True)
class Measured:
    """Both ways' figures."""
    direct: Way
    routed: Way
    cpu_us: float      # of the node, for one sequence

    def added(self, percentile: float) -> float:
        """Time that the node adds to the first token, in milliseconds."""
        return (self.routed.first.get_value_at_percentile(percentile)
                - self.direct.first.get_value_at_percentile(percentile)) / 1000


def overhead(rate: float, seconds: float, tokens: int, seed: int, profile: str = "", ledger: bool = False) -> Measured:
    """Measures.

    Args:
        rate: sequences a second on each way.
        profile: a file for the node's cProfile figures; empty: none.
        ledger: whether the node keeps a ledger and budgets.
    """
    with tempfile.TemporaryDirectory(prefix="measure-") as name:
        ports = {"engine": free_port(), "direct": free_port(), "node": free_port()}
        children = [standin(ports["engine"]), standin(ports["direct"])]
        node = _node(Path(name), ports, profile, ledger)
        try:
            for port in ports.values():
                wait_for(port)
            before = cpu(node.pid)
            loads = [load(Order(ports["direct"], "/v1/chat/completions", rate, seconds, tokens, seed)),
                     load(Order(ports["node"], "/v1/messages", rate, seconds, tokens, seed))]
            direct, routed = (way(running) for running in loads)
            used = cpu(node.pid) - before
        finally:
            for child in [node, *children]:
                child.send_signal(signal.SIGTERM)
            for child in [node, *children]:
                child.wait(15)
    return Measured(direct, routed, used * 1e6 / max(1, routed.done))


def load(order: Order) -> subprocess.Popen[bytes]:
    return subprocess.Popen([sys.executable, "-m", "aniserudder.measure.load", msgspec.json.encode(order).decode()],
                            stdout=subprocess.PIPE)


def way(running: subprocess.Popen[bytes]) -> Way:
    """What a load saw, when it is over."""
    said, _ = running.communicate(timeout=400)
    got = msgspec.json.decode(said, type=Result)
    return Way(got.done, got.failed, got.took, HdrHistogram.decode(got.first), HdrHistogram.decode(got.whole))


def standin(port: int) -> subprocess.Popen[bytes]:
    return subprocess.Popen([sys.executable, "-m", "aniserudder", "standin", "engine", "--role", "mixed", "--port",
                             str(port), "--slots", "4000", "--queue", "4000", "--memory", "100000000",
                             "--step-ms", "5", "--read-per-s", "2000000", "--quiet"], stderr=subprocess.DEVNULL)


def _node(folder: Path, ports: dict[str, int], profile: str, ledger: bool) -> subprocess.Popen[bytes]:
    settings = node_settings(folder, ports, {"ledger": {"path": str(folder / "ledger")}} if ledger else {})
    command = [sys.executable, *(["-m", "cProfile", "-o", profile] if profile else []),
               "-m", "aniserudder", "serve", str(settings)]
    return subprocess.Popen(command)


def node_settings(folder: Path, ports: dict[str, int], more: dict[str, object]) -> Path:
    """Settings of a node with one engine."""
    settings = folder / "node.yaml"
    settings.write_text(yaml.safe_dump(more | {
        "node": "measured", "zone": "here", "seed": 1, "log_level": "error",
        "messages": {"listen": {"port": ports["node"]}, "default_type": "short"},
        "admission": {"address_connections": 1500, "address_new_per_s": 100_000, "network_connections": 1500,
                      "address_in_flight": 3000},
        "kinds": {"mixed": {"role": "mixed"}},
        "types": {"short": {"effect": "repeatable", "latency_slo_ms": 5000, "abandon_ms": 20000}},
        "roster": {"rows": [{"engine": "m1", "address": f"127.0.0.1:{ports['engine']}", "kind": "mixed",
                             "zone": "here"}]}}))
    return settings


def wait_for(port: int) -> None:
    until = time.monotonic() + 15
    while time.monotonic() < until:
        with socket.socket() as probe:
            if probe.connect_ex(("127.0.0.1", port)) == 0:
                return
        time.sleep(0.05)
    raise TimeoutError(f"nothing listens on port {port}")


def cpu(pid: int) -> float:
    """Seconds of processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
