"""An open-loop load in a process of its own: ``python -m aniserudder.measure.load`` with one JSON argument.

Each request is timed from when it was due, so a jam is not hidden. Prints one JSON line with its counts and its
HdrHistograms.
"""
from __future__ import annotations

import sys
import time
from random import Random

import msgspec
from hdrh.histogram import HdrHistogram
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory

from ..wire.client import ClientConnection

_encode = msgspec.json.Encoder().encode
LONGEST_US = 60_000_000
WAITS = 30.0  # seconds for the last answers


class Order(msgspec.Struct):
    """What to load: where, how often, how long, with what seed."""
    port: int
    target: str
    rate: float
    seconds: float
    tokens: int
    seed: int


class Result(msgspec.Struct):
    """What was seen; ``took`` in seconds from the first arrival to the last answer, histograms in microseconds."""
    done: int
    failed: int
    took: float
    first: str
    whole: str


class _Ask:
    """One streamed request."""

    __slots__ = ("load", "due", "seen", "status", "tail")

    def __init__(self, load: Load, due: float) -> None:
        self.load, self.due, self.seen, self.status, self.tail = load, due, False, 0, b""

    def head(self, status: int) -> None:
        self.status = status

    def body(self, data: bytes) -> None:
        if not self.seen and (b'"content":"w' in data or b'"text":"w' in data):
            self.seen = True
            self.load.first.record_value(self._took())
        self.tail = (self.tail + data)[-256:]

    def complete(self) -> None:
        good = self.status == 200 and (b"[DONE]" in self.tail or b"message_stop" in self.tail)
        if good:
            self.load.whole.record_value(self._took())
        self.load.one_over(good)

    def lost(self, reason: str, malformed: bool) -> None:
        self.load.one_over(False)

    def _took(self) -> int:
        return max(1, round((time.perf_counter() - self.due) * 1e6))


class Load:
    """Arrivals drawn ahead, asked when due whatever became of those before."""

    def __init__(self, order: Order) -> None:
        from ..eventloop import reactor
        self.reactor, self.order = reactor, order
        chance, at, self.due = Random(order.seed), 0.0, []
        while (at := at + chance.expovariate(order.rate)) < order.seconds:
            self.due.append(at)
        self.done = self.failed = 0
        self.first, self.whole = HdrHistogram(1, LONGEST_US, 3), HdrHistogram(1, LONGEST_US, 3)
        self.idle: list[ClientConnection] = []
        self.began = self.ended = 0.0

    def run(self) -> Result:
        self.reactor.callWhenRunning(self._start)
        self.reactor.callLater(self.order.seconds + WAITS, lambda: self.reactor.running and self.reactor.stop())
        self.reactor.run()
        missing = len(self.due) - self.done - self.failed
        return Result(self.done, self.failed + missing, (self.ended or time.perf_counter()) - self.began,
                      self.first.encode().decode(), self.whole.encode().decode())

    def one_over(self, good: bool) -> None:
        self.done += good
        self.failed += not good
        if self.done + self.failed == len(self.due):
            self.ended = time.perf_counter()
            self.reactor.stop()

    def _start(self) -> None:
        self.began = time.perf_counter()
        for number, at in enumerate(self.due):
            self.reactor.callLater(at, self._ask, number, self.began + at)

    def _ask(self, number: int, due: float) -> None:
        body = {"model": "short", "max_tokens": self.order.tokens, "stream": True, "stream_options": {"include_usage": True},
                "messages": [{"role": "user", "content": f"a short question, number {number} [ref m.0]"}]}
        ask = _Ask(self, due)

        def ready(connection: ClientConnection) -> None:
            if not connection.ask("POST", self.order.target, [], _encode(body), ask):
                ask.lost("", False)

        while self.idle:
            connection = self.idle.pop()
            if connection.transport.connected:
                return ready(connection)
        factory = Factory.forProtocol(lambda: ClientConnection("localhost", self.idle.append, lambda c: None))
        factory.noisy = False
        TCP4ClientEndpoint(self.reactor, "127.0.0.1", self.order.port, timeout=5).connect(factory).addCallbacks(
            ready, lambda failure: ask.lost("", False))


if __name__ == "__main__":
    result = Load(msgspec.json.decode(sys.argv[1], type=Order)).run()
    print(msgspec.json.encode(result).decode())
