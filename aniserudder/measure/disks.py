"""What a disk costs a node that has to have entries on it before it sends: lanes of their own against writes on the reactor's
thread, side by side in one run, by the time that a flush takes and by the rate of sequences."""
from __future__ import annotations

import signal
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

from ..standins import disk
from ..wire.text import free_port
from .load import Order
from .overhead import Way, load, node_settings, standin, wait_for, way


@dataclass(slots=True)
class Cell:
    """Both ways at one flush and one rate."""
    flush_ms: float
    rate: float
    lanes: Way
    at_once: Way


def disks(flushes: list[float], rates: list[float], seconds: float, seed: int) -> list[Cell]:
    """Measures cell by cell; both ways of a cell run at the same time."""
    return [_cell(flush, rate, seconds, seed) for flush in flushes for rate in rates]


def _cell(flush_ms: float, rate: float, seconds: float, seed: int) -> Cell:
    with tempfile.TemporaryDirectory(prefix="measure-") as name:
        children, loads = [], []
        try:
            for at_once in (False, True):
                folder = Path(name) / str(at_once)
                folder.mkdir()
                ports = {"engine": free_port(), "node": free_port()}
                script = folder / "disk"
                disk.play(script, disk.Script(flush_ms=flush_ms, at_once=at_once))
                settings = node_settings(folder, ports, {"ledger": {
                    "path": str(folder / "ledger"), "durability": "power", "patience_ms": 2000}})
                children += [standin(ports["engine"]), subprocess.Popen(
                    [sys.executable, "-m", "aniserudder.standins.disk", str(script), "serve", str(settings)])]
                for port in ports.values():
                    wait_for(port)
                loads.append(Order(ports["node"], "/v1/messages", rate, seconds, 4, seed))
            lanes, at_once = (way(running) for running in [load(order) for order in loads])
        finally:
            for child in children:
                child.send_signal(signal.SIGTERM)
            for child in children:
                try:
                    child.wait(15)
                except subprocess.TimeoutExpired:  # one that drowns in its disk
                    child.kill()
    return Cell(flush_ms, rate, lanes, at_once)
