"""The journal of streams against plain ones: memory for an event, and time to keep one and to give back a tail."""
from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..standins.words import word
from ..streams.journal import Journal


@dataclass(slots=True, frozen=True)
class Row:
    """One way to keep a stream's events."""
    way: str
    bytes_an_event: float
    keep_us: float
    tail_us: float


class Pieces:
    """Plain: a list of the pieces."""

    def __init__(self) -> None:
        self.pieces: list[str] = []

    def add(self, piece: str) -> None:
        self.pieces.append(piece)

    def text(self, since: int) -> str:
        return "".join(self.pieces[since:])


class Events:
    """Plainer: the events as they were written to the client."""

    def __init__(self) -> None:
        self.events: list[bytes] = []

    def add(self, piece: str) -> None:
        self.events.append(b'id: seq-0123456789ab-%d.%d\nevent: content_block_delta\ndata: {"type":"content_block_delta","index":0,'
                           b'"delta":{"type":"text_delta","text":"%s"}}\n\n' % (1, len(self.events), piece.encode()))

    def text(self, since: int) -> bytes:
        return b"".join(self.events[since:])


def rows(streams: int = 200, tokens: int = 1000) -> list[Row]:
    """Each way with the same pieces; every stream's last tenth is given back once."""
    pieces = [word("m", n) for n in range(1, tokens + 1)]
    ways: list[tuple[str, Callable[[], Any]]] = [
        ("journal: one run of bytes and offsets", lambda: Journal("seq-0123456789ab-1")),
        ("list of pieces", Pieces), ("list of events as written", Events)]
    found = []
    for name, make in ways:
        tracemalloc.start()
        kept = [make() for _ in range(streams)]
        for one in kept:
            for piece in pieces:
                one.add(f"{piece[:-1]} ")  # a string of its own, as each comes off a socket
        used = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        fresh, began = [make() for _ in range(streams)], time.perf_counter()
        for one in fresh:
            for piece in pieces:
                one.add(piece)
        middle = time.perf_counter()
        for one in fresh:
            one.text(tokens - tokens // 10)
        end = time.perf_counter()
        found.append(Row(name, used / streams / tokens, (middle - began) / streams / tokens * 1e6, (end - middle) / streams * 1e6))
    return found
