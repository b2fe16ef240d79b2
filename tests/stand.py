"""Helpers of the node's tests: a router on a simulated clock, and a reactor thread for tests on real sockets."""
from __future__ import annotations

import threading
from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet import defer, task, threads

from aniserudder.core import Request, Router, Usage
from aniserudder.eventloop import reactor
from aniserudder.decisions.interface import (Availability, Effect, Outcome, Prompt, Role, RosterRow, Settings,
                                             TypeSettings)

MS, S = 1_000, 1_000_000


def settings(**changes: Any) -> Settings:
    def of(name: str, effect: Effect) -> TypeSettings:
        return TypeSettings(name, 1.0, 1500 * MS, 40 * MS, 60 * MS, effect, "all", 5 * S)
    base = dict(nodes=1, zone="east", types=(of("note", Effect.REPEATABLE), of("mark", Effect.TOKENED),
                                             of("post", Effect.ONCE_ONLY)),
                roles={"r": Role.READER, "w": Role.WRITER}, writers_read=True, may_probe=False, may_recall=True,
                report_fields=(), max_attempts=4, max_come_back=S, cold_share=0.3, cold_time=10 * S, fall_multiple=2.5,
                allowances={})
    return Settings(**{**base, **changes})


class FakeEngines:
    """Notes what the router asks for; the test says what becomes of it."""

    def __init__(self) -> None:
        self.did: list[str] = []
        self.sent: list[Any] = []

    def send(self, attempt: Any) -> None:
        state = " with state" if attempt.state else ""
        self.did.append(f"{'read' if attempt.reads else 'write'} {attempt.seq_id}/{attempt.ordinal} at {attempt.engine}{state}")
        self.sent.append(attempt)
        attempt.goes_out()

    def call_off(self, attempt: Any) -> None:
        self.did.append(f"call off {attempt.seq_id}/{attempt.ordinal}")

    def hold(self, attempt: Any, held: bool) -> None:
        self.did.append(f"{'hold' if held else 'release'} {attempt.seq_id}/{attempt.ordinal}")

    def let_go(self, seq_id: str, engine: str, ordinal: int, state: Any) -> None:
        self.did.append(f"let go {seq_id}/{ordinal} at {engine}")

    def probe(self, engine: str, done: Callable[..., None]) -> None:
        self.did.append(f"probe {engine}")


class FakeAnswer:
    """Notes what the client would be told."""

    def __init__(self) -> None:
        self.told: list[str] = []

    def text(self, piece: str) -> None:
        self.told.append(piece)

    def generated(self, reason: str, usage: Usage) -> None:
        self.told.append(f"generated {usage.written}")

    def rejected(self, come_back: int, reason: str) -> None:
        self.told.append(f"rejected, come back in {come_back // MS} ms")

    def aborted(self, reason: str) -> None:
        self.told.append(f"aborted: {reason}")


class Bench:
    """A router with one reader and writers on a simulated clock."""

    def __init__(self, engines: str = "r1 w1 w2", recorder: Any = None, seed: int = 1, streams: Any = None,
                 **changes: Any) -> None:
        self.clock, self.engines = task.Clock(), FakeEngines()
        self.clock.advance(1)
        self.router = Router(settings(**changes), seed, self.engines, self.clock, recorder, streams=streams)
        self.router.roster([RosterRow(n, n[0], "east", Availability.RUNNING, 0, 1.0, 1) for n in engines.split()], True)

    def take(self, id: str, kind: str = "note", whole: bool = False, tokens: int = 3000, journal: Any = None) -> FakeAnswer:
        answer = FakeAnswer()
        self.router.take(id, Request(Prompt(kind, id, "", tokens, 0, 100, 0, 6 * S), {}, whole), answer, journal)
        return answer

    @property
    def last(self) -> Any:
        return self.engines.sent[-1]

    def read(self) -> None:
        """The read that is out ends well."""
        self.clock.advance(0.1)
        self.last.ended(Outcome.READ, Usage(3000), {"block": self.last.ordinal})

    def write(self, pieces: int = 2) -> None:
        """The write that is out ends well."""
        for n in range(pieces):
            self.clock.advance(0.05)
            self.last.text(f"w{n + 1}")
        self.last.ended(Outcome.GENERATED, Usage(3000, 0, pieces))


_started = threading.Event()


def on_loop(scene: Callable[[], Coroutine[Any, Any, Any]], seconds: float = 20) -> Any:
    """Runs a scene on the reactor, which lives in a thread of its own while the tests run."""
    if not _started.is_set():
        threading.Thread(target=lambda: reactor.run(installSignalHandlers=False), daemon=True).start()
        reactor.callFromThread(_started.set)
        _started.wait(5)

    def bounded() -> defer.Deferred[Any]:
        return defer.Deferred.fromCoroutine(scene()).addTimeout(seconds, reactor)
    return threads.blockingCallFromThread(reactor, bounded)


def sleep(seconds: float) -> defer.Deferred[None]:
    return task.deferLater(reactor, seconds, lambda: None)


async def until(true: Callable[[], bool], seconds: float = 8) -> None:
    """Waits for something to be so."""
    end = reactor.seconds() + seconds
    while not true():
        assert reactor.seconds() < end, "it never came to be"
        await sleep(0.01)
