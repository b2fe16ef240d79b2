"""Small calls to engines: their answers, and the load report that one of them may carry."""
from __future__ import annotations

from collections.abc import Callable

EVENT_MOST = 65_536  # bytes of one event, and of the answer of a read
SMALL_MOST = 4_096   # bytes that are kept of the answer to a small call


class ControlCall:
    """A small call's answer (``wire.client.Exchange``); status 0: it did not come off."""

    __slots__ = ("done", "status", "data", "over")

    def __init__(self, done: Callable[[int, bytes], None]) -> None:
        self.done, self.status, self.data, self.over = done, 0, b"", False

    def head(self, status: int) -> None:
        self.status = status

    def body(self, data: bytes) -> None:
        self.data += data[:SMALL_MOST - len(self.data)]

    def complete(self) -> None:
        self.finish(self.status)

    def lost(self, reason: str, malformed: bool) -> None:
        self.finish(0)

    def finish(self, status: int) -> None:
        if not self.over:
            self.over = True
            self.done(status, self.data)


def report_of(body: bytes) -> dict[str, float]:
    """A load report, ``name=value`` by name; what cannot be read of it is left out."""
    values: dict[str, float] = {}
    for part in body.decode("latin-1").replace(";", ",").replace("\n", ",").split(","):
        name, _, value = part.strip().partition("=")
        try:
            values[name.strip()] = float(value)
        except ValueError:
            continue
    return values
