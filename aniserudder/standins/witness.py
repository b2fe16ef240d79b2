"""Writes down what stand-ins see at their sockets, on one clock: the record that ``rehearsal.audit`` judges by.

A line is a JSON object with ``at`` (whole microseconds since the record began), ``what`` and the fields that belong
to it; docs/rehearsal.md lists them.
"""
from __future__ import annotations

from typing import Any, BinaryIO

import msgspec
from twisted.internet.interfaces import IReactorTime


class Witness:
    """One record. Kept in memory, and written on at once where a file is given."""

    def __init__(self, clock: IReactorTime, out: BinaryIO | None = None) -> None:
        self.clock, self.out, self.lines = clock, out, []
        self._began = clock.seconds()
        self._encode = msgspec.json.Encoder().encode

    def now(self) -> int:
        """Microseconds since the record began."""
        return round((self.clock.seconds() - self._began) * 1_000_000)

    def note(self, what: str, **fields: Any) -> None:
        line = {"at": self.now(), "what": what, **fields}
        self.lines.append(line)
        if self.out:
            self.out.write(self._encode(line) + b"\n")
