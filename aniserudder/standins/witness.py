"""Writes down what stand-ins see at their sockets, on one clock: the record that ``rehearsal.audit`` judges by.

A line is a JSON object with ``at`` (whole microseconds since the record began), ``what`` and the fields that belong
to it; docs/rehearsal.md lists them.
"""
from __future__ import annotations

from typing import Any, BinaryIO

import msgspec
from twisted.internet.interfaces import IReactorTime


LOOK_EVERY = 0.02  # seconds between looks at whether this process itself is late
LATE = 0.02        # seconds of lateness that are worth a line


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

    def watch_itself(self) -> None:
        """From now on says when its own process was too busy to look: what it saw then is stamped that much late."""
        due = self.clock.seconds() + LOOK_EVERY

        def look() -> None:
            late = self.clock.seconds() - due
            if late > LATE:
                self.note("stalled", us=round(late * 1_000_000))
            self.watch_itself()
        self.clock.callLater(LOOK_EVERY, look)
