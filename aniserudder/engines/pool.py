"""All engines of one node: where they are, the connections kept to them, and the exchanges that run.

Meets ``core.ports.Engines``. What became of a schedule attempt is told apart by these conditions alone:

=========== ==============================================================================================
no route    no connection within the connect time: refused, unreachable or timed out; or no address is known
not sent    a connection was there and went before a byte of the request was written to it, or this process had no
            descriptor left for one
full        503 or 429 with ``error.code`` full, or 503 draining
no state    409 with ``error.code`` no_state
error       any other status, an error event, an answer that breaks the protocol or is too long
cut         the connection went after the request was written and before the answer was complete, or a started
            stream was silent for the silence limit
read        200 from a reader with transfer parameters
generated   the writer's stream came to its closing event
=========== ==============================================================================================

Timed out and recalled are the library's own: it keeps the time and calls off.
"""
from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.interfaces import IDelayedCall, IReactorTCP

from ..core.ports import Attempt
from ..decisions.interface import Outcome
from ..settings.schema import Limits, Rules
from ..wire.client import ClientConnection
from ..wire.connections import NO_DESCRIPTOR, ConnectionCounts, Connections, Keeping
from . import codec


@dataclass(slots=True)
class PoolCounts(ConnectionCounts):
    """What the pool has counted since it started."""
    releases: int = 0
    releases_lost: int = 0


class Run:
    """One schedule attempt on its connection; an ``Exchange``."""

    __slots__ = ("pool", "attempt", "connection", "status", "stream", "collected", "over", "heard", "watch", "held",
                 "joined")

    def __init__(self, pool: EnginePool, attempt: Attempt) -> None:
        self.pool, self.attempt = pool, attempt
        self.connection: ClientConnection | None = None
        self.status, self.collected, self.over, self.heard = 0, b"", False, 0.0
        self.stream: codec.Stream | None = None
        self.watch: IDelayedCall | None = None
        self.held = self.joined = False

    def head(self, status: int) -> None:
        self.status = status
        if status == 200 and not self.attempt.reads:
            self.stream = codec.Stream(self.pool.limits.line_bytes)

    def body(self, data: bytes) -> None:
        if self.stream is None:
            self.collected += data
            if len(self.collected) > self.pool.limits.line_bytes:
                self.finish(codec.Ended(Outcome.ERROR, reason="the answer is too long"), drop=True)
            return
        self.heard = self.pool.reactor.seconds()
        pieces = self.stream.feed(data)
        if self.stream.continues and not self.joined:
            self.joined = True
            self.attempt.continues(self.stream.continues.at, self.stream.continues.digest)
        for piece in pieces:
            if self.over:
                return
            if self.watch is None:
                self._watch(self.pool.limits.stream_silence_ms / 1000)
            self.attempt.text(piece)
        ended = self.stream.ended
        if ended and not self.over and ended.outcome is not Outcome.GENERATED:
            self.finish(ended, drop=True)

    def complete(self) -> None:
        if self.stream is not None:
            self.finish(self.stream.close())
        elif self.status == 200:
            self.finish(codec.read(self.collected))
        else:
            self.finish(codec.refused(self.status, self.collected))

    def lost(self, reason: str, malformed: bool) -> None:
        if self.stream is not None and self.stream.ended:
            return self.finish(self.stream.ended)  # all was said before the connection went
        self.finish(codec.Ended(Outcome.ERROR if malformed else Outcome.CUT, reason=reason))

    def finish(self, ended: codec.Ended, drop: bool = False) -> None:
        if self.over:
            return
        self.close(drop)
        if self.attempt.reads and ended.outcome in (Outcome.CUT, Outcome.ERROR):
            self.pool.let_go(self.attempt.seq_id, self.attempt.engine, self.attempt.ordinal, None)
        self.attempt.ended(ended.outcome, ended.usage, ended.state, ended.reason)

    def hold(self, held: bool) -> None:
        """Leaves what comes in the kernel's buffers, so that the engine feels it; silence of our own making is none."""
        self.held = held
        transport = self.connection.transport if self.connection else None
        if transport and transport.connected and not transport.disconnecting:
            transport.pauseProducing() if held else transport.resumeProducing()
        self.heard = self.pool.reactor.seconds()

    def close(self, drop: bool) -> None:
        """Nothing more is told of this attempt."""
        if self.held and not drop:
            self.hold(False)  # its connection is used again
        self.over = True
        self.pool.runs.pop(self.attempt, None)
        if self.watch and self.watch.active():
            self.watch.cancel()
        if drop and self.connection:
            self.connection.drop()

    def _watch(self, after: float) -> None:
        self.watch = self.pool.reactor.callLater(after, self._silent)

    def _silent(self) -> None:
        left = self.heard + self.pool.limits.stream_silence_ms / 1000 - self.pool.reactor.seconds()
        if left > 0.001 or self.held:
            return self._watch(max(left, 0.1))
        self.finish(codec.Ended(Outcome.CUT, reason="the stream fell silent"), drop=True)


class EnginePool(Connections):
    """The engines of a node, in the project's own protocol (``codec``).

    Args:
        reactor: Twisted's reactor, for sockets and time.
        limits, rules: of the settings.
        node: the name that engines are told.
        bind: local address of the connections; empty: any.
    """

    def __init__(self, reactor: IReactorTCP, limits: Limits, rules: Rules, node: str, bind: str = "",
                 log: Callable[..., None] | None = None) -> None:
        super().__init__(reactor, Keeping(limits.connect_ms / 1000, limits.engine_idle_ms / 1000, limits.engine_idle_most,
                                          bind=bind))
        self.limits, self.rules, self.node = limits, rules, node
        self.log = log or (lambda event, **fields: None)
        self.runs: dict[Attempt, Run] = {}
        self.counts = PoolCounts()
        self.letting_go = 0  # releases on their way

    # What the library asks for.

    def send(self, attempt: Attempt) -> None:
        run = self.runs[attempt] = Run(self, attempt)
        headers, body = codec.request(attempt, self.node)

        def ready(connection: ClientConnection) -> None:
            if run.over:  # called off while the connection was made
                return self.free(connection)
            if attempt.send_by and self.reactor.seconds() * 1e6 > attempt.send_by or not attempt.goes_out():
                self.free(connection)
                return run.finish(codec.Ended(Outcome.NOT_SENT, reason="its time to be sent is over"))
            run.connection = connection
            if not connection.ask("POST", codec.GENERATE, headers, body, run):
                run.finish(codec.Ended(Outcome.NOT_SENT, reason="the connection went before the request"))

        def failed(reason: str) -> None:
            # Without a descriptor of our own nothing was sent, and it tells nothing of the engine.
            ours = reason == NO_DESCRIPTOR
            run.finish(codec.Ended(Outcome.NOT_SENT if ours else Outcome.NO_ROUTE, reason=reason))

        self.connected(attempt.engine, ready, failed)

    def call_off(self, attempt: Attempt) -> None:
        run = self.runs.get(attempt)
        if run:
            run.close(drop=True)
            if attempt.reads and run.connection:  # the engine may have read before it saw the end
                self.let_go(attempt.seq_id, attempt.engine, attempt.ordinal, None)

    def hold(self, attempt: Attempt, held: bool) -> None:
        run = self.runs.get(attempt)
        if run:
            run.hold(held)

    def let_go(self, seq_id: str, engine: str, ordinal: int, state: dict[str, Any] | None) -> None:
        """Delivers a release, tried a few times within the time that rules allow."""
        self.letting_go += 1
        self.counts.releases += 1
        until = self.reactor.seconds() + self.limits.let_go_for_ms / 1000
        self._release(engine, codec.release(seq_id, ordinal, state), seq_id, self.limits.let_go_tries, until)

    def probe(self, engine: str, done: Callable[[bool, dict[str, float] | None], None]) -> None:
        def answered(status: int, body: bytes) -> None:
            values = codec.report(status, body)
            done(values is not None, values)
        self._ask(engine, "GET", codec.STATUS, b"", answered)

    def ask_up(self, engine: str, done: Callable[[object], None]) -> None:
        """Asks an engine for how many seconds it has been up; ``done`` gets what it says, or None."""
        self._ask(engine, "GET", codec.STATUS, b"", lambda status, body: done((codec.report(status, body) or {}).get("up_s")))

    def ask_usage(self, engine: str, seq_id: str, ordinal: int, done: Callable[[bytes | None], None]) -> None:
        """Asks an engine what one attempt ran; ``done`` gets its answer's body, or None where there was none."""
        path = f"{codec.USAGE}?request_id={seq_id}&attempt={ordinal}"
        self._ask(engine, "GET", path, b"", lambda status, body: done(body if status == 200 else None))

    # Connections.

    def _release(self, engine: str, body: bytes, seq_id: str, tries: int, until: float) -> None:
        """Quick tries within the time that rules allow; then, across a cut, slow ones until the reader frees it by itself."""
        def answered(status: int, _: bytes) -> None:
            if status in (200, 204, 404):
                self.letting_go -= 1
            elif tries > 1:
                pause = self.rules.let_go_ms / 1000 / self.limits.let_go_tries
                self.reactor.callLater(pause, self._release, engine, body, seq_id, tries - 1, until)
            elif not self.closed and self.reactor.seconds() < until:
                self.reactor.callLater(self.rules.let_go_ms / 1000, self._release, engine, body, seq_id, 1, until)
            else:
                self.letting_go -= 1
                self.counts.releases_lost += 1
                self.log("letting go was not delivered", level="warning", seq=seq_id, engine=engine)
        self._ask(engine, "POST", codec.RELEASE, body, answered)

    def _ask(self, engine: str, method: str, path: str, body: bytes, done: Callable[[int, bytes], None]) -> None:
        """One small exchange, bounded in time by the connect limit. Status 0: it did not come off."""
        self.ask(engine, method, path, body, self.limits.line_bytes, 2 * self.limits.connect_ms / 1000, done)
