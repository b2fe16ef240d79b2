"""What a soak's machine did to its processes: moments in which a node, or the driver itself, got no processor.

A broken rule is told together with them, so that a late node can be told from a late machine. They excuse nothing: the oracle does not see
them.
"""
from __future__ import annotations

import json
import time
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from .processor_share import ProcessorTime

STALL_S = 0.1           # a wait from which it is kept
KEPT_MOST = 1_000
TOLD_MOST = 30
LINES_OF_REQUEST_MOST = 40
DRIVER = "driver"
LATE_FIGURES = '"level":"warning","event":"figures"'
LATE_LINE_CHARACTERS = 260


@dataclass(frozen=True, slots=True)
class Stall:
    """A process got no processor.

    Attributes:
        at: when this was seen, seconds of the monotonic clock.
        process: a node's name, or ``DRIVER``.
        seconds: that it waited since the look before.
    """

    at: float
    process: str
    seconds: float

    def line(self) -> str:
        """For a person."""
        return f"{self.process} waited {self.seconds:.2f} s for a processor, seen at {self.at:.3f}"


class StallWatch:
    """Looks at the nodes' processes and at the time between its own looks."""

    def __init__(self) -> None:
        self.stalls: list[Stall] = []
        self._before: dict[int, ProcessorTime] = {}
        self._due = 0.0

    def look(self, nodes: Mapping[str, int], interval_s: float) -> None:
        """Takes a look; the next is meant to follow within the interval.

        Args:
            nodes: process ids by name.
            interval_s: seconds.
        """
        now = time.monotonic()
        if self._due and now > self._due + STALL_S:
            self._keep(Stall(now, DRIVER, now - self._due))
        self._due = now + interval_s
        for name, pid in nodes.items():
            told = ProcessorTime.of(pid)
            before = self._before.get(pid, ProcessorTime())
            if told.waited_s - before.waited_s > STALL_S:
                self._keep(Stall(now, name, told.waited_s - before.waited_s))
            self._before[pid] = told

    def lines(self) -> list[str]:
        """The longest stalls in the order of time, for a person."""
        longest = sorted(self.stalls, key=lambda stall: stall.seconds, reverse=True)[:TOLD_MOST]
        told = [stall.line() for stall in sorted(longest, key=lambda stall: stall.at)]
        return told or [f"no process waited over {STALL_S} s for a processor"]

    def _keep(self, stall: Stall) -> None:
        if len(self.stalls) < KEPT_MOST:
            self.stalls.append(stall)


def lines_about(request: str, logs: Mapping[str, Path]) -> list[str]:
    """What nodes logged of a request, by node; of many lines the last."""
    told = []
    for node, path in logs.items():
        for line in path.read_text().splitlines():
            if request in line and _is_about(request, line):
                told.append(f"{node}: {line}")
    return told[-LINES_OF_REQUEST_MOST:]


def late_lines(logs: Mapping[str, Path]) -> list[str]:
    """Where nodes logged that their loop came late."""
    return [f"{node}: {line[:LATE_LINE_CHARACTERS]}" for node, path in logs.items() for line in path.read_text().splitlines()
            if LATE_FIGURES in line][:TOLD_MOST]


def _is_about(request: str, line: str) -> bool:
    try:
        told = json.loads(line)
    except ValueError:
        return False
    return isinstance(told, dict) and told.get("seq") == request
