"""HTTP/1.1 connections as a server: bounded in bytes and time, one exchange at a time, with back-pressure.

A connection is IDLE between requests, READING one, BUSY while its answer is owed, and CLOSED. Every change goes
through ``_change``, which also sets the time-out that belongs to the new state.
"""
from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus

import h11
from twisted.internet.interfaces import IDelayedCall, IPushProducer, IReactorTime
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure
from zope.interface import implementer


class At(Enum):
    """States of a connection."""
    IDLE = "idle"
    READING = "reading"
    BUSY = "busy"
    CLOSED = "closed"


@dataclass(slots=True, frozen=True)
class Bounds:
    """What a connection may take: bytes of head and body, seconds for a request and between two, bytes waiting."""
    head: int = 16_384
    body: int = 1_048_576
    request_s: float = 5.0
    idle_s: float = 60.0
    waiting: int = 1_048_576


class Exchange:
    """One request and its answer.

    ``gone`` is called once if the client leaves before the answer is complete, or is cut off because more than
    ``Bounds.waiting`` bytes wait for it.
    """

    __slots__ = ("method", "path", "headers", "body", "gone", "began", "_connection")

    def __init__(self, connection: ServerConnection, head: h11.Request) -> None:
        self.method, self.path = head.method.decode("ascii"), head.target.decode("ascii", "replace")
        self.headers = {k.decode("ascii"): v.decode("latin-1") for k, v in head.headers}
        self.body = bytearray()
        self.gone: Callable[[str], None] | None = None
        self.began = False
        self._connection: ServerConnection | None = connection

    @property
    def open(self) -> bool:
        """Whether an answer can still be given."""
        return self._connection is not None

    @property
    def peer(self) -> str:
        """The other side's address."""
        return self._connection.peer if self._connection else ""

    @property
    def connection(self) -> ServerConnection | None:
        return self._connection

    def reply(self, status: int, body: bytes, headers: list[tuple[str, str]] = (), kind: str = "application/json") -> None:
        """A whole answer."""
        if self._connection:
            self._connection.head(status, [("content-type", kind), ("content-length", str(len(body))), *headers])
            if body:
                self._connection.data(body)
            self.end()

    def begin(self, status: int, headers: list[tuple[str, str]] = (), kind: str = "text/event-stream") -> None:
        """Starts an answer that is sent in pieces."""
        if self._connection:
            self.began = True
            self._connection.head(status, [("content-type", kind), ("cache-control", "no-store"), *headers])

    def write(self, data: bytes) -> None:
        """A piece of the answer."""
        if self._connection:
            self._connection.data(data)

    def end(self) -> None:
        """The answer is complete."""
        connection, self._connection = self._connection, None
        if connection:
            connection.finished()

    def cut(self) -> None:
        """Closes the connection in the middle of things, without a word."""
        connection, self._connection = self._connection, None
        if connection:
            connection.abort()

    def _lost(self, reason: str) -> None:
        self._connection = None
        gone, self.gone = self.gone, None
        if gone:
            gone(reason)


@implementer(IPushProducer)
class ServerConnection(Protocol):
    """Speaks HTTP/1.1 as a server and hands whole requests to ``handle``."""

    noisy = False

    def __init__(self, clock: IReactorTime, bounds: Bounds, handle: Callable[[Exchange], None],
                 on_gone: Callable[[ServerConnection], None]) -> None:
        self.clock, self.bounds, self.handle, self.on_gone = clock, bounds, handle, on_gone
        self.state, self.closing, self.peer = At.IDLE, False, ""
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=bounds.head)
        self._exchange: Exchange | None = None
        self._timer: IDelayedCall | None = None
        self._waiting: list[bytes] = []
        self._waits = 0
        self._paused = False

    # The socket.

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.peer = self.transport.getPeer().host
        self._change(At.IDLE)

    def dataReceived(self, data: bytes) -> None:
        if self.state is At.CLOSED:
            return
        if self.state is At.IDLE:
            self._change(At.READING)
        try:
            self._http.receive_data(data)
            self._advance()
        except h11.RemoteProtocolError as wrong:
            self._refuse(wrong.error_status_hint, str(wrong))

    def connectionLost(self, reason: Failure) -> None:
        self._end("the client left")
        self.on_gone(self)

    def pauseProducing(self) -> None:
        self._paused = True

    def resumeProducing(self) -> None:
        self._paused = False
        waiting, self._waiting, self._waits = self._waiting, [], 0
        if waiting:
            self.transport.write(b"".join(waiting))
        if self.state is At.CLOSED:
            self.transport.loseConnection()

    def stopProducing(self) -> None:
        pass

    # Requests.

    def _advance(self) -> None:
        while self.state is At.READING:
            event = self._http.next_event()
            match event:
                case h11.Request():
                    self._exchange = Exchange(self, event)
                    if int(self._exchange.headers.get("content-length") or 0) > self.bounds.body:
                        return self._refuse(413, f"more than {self.bounds.body} bytes of body")
                    if self._http.they_are_waiting_for_100_continue:
                        self.transport.write(self._http.send(h11.InformationalResponse(status_code=100, headers=[])))
                case h11.Data():
                    self._exchange.body += event.data
                    if len(self._exchange.body) > self.bounds.body:
                        return self._refuse(413, f"more than {self.bounds.body} bytes of body")
                case h11.EndOfMessage():
                    self._change(At.BUSY)
                    self.handle(self._exchange)
                case h11.ConnectionClosed():
                    return self._close()
                case _:  # more data is needed
                    return

    def _refuse(self, status: int, reason: str) -> None:
        """An answer to what is no proper request, and the end of the connection."""
        if self.state is At.BUSY or self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return self.abort()
        if self._exchange:
            self._exchange._connection = None
            self._exchange = None
        text = reason.replace("\\", "'").replace('"', "'")[:200]
        body = b'{"error":{"kind":"bad_request","message":"%s"}}' % text.encode("ascii", "replace")
        try:
            self.head(status, [("content-type", "application/json"), ("content-length", str(len(body))),
                               ("connection", "close")])
            self.data(body)
        except h11.LocalProtocolError:
            return self.abort()
        self._close()

    # Answers.

    def head(self, status: int, headers: list[tuple[str, str]]) -> None:
        if self.closing:
            headers = [*headers, ("connection", "close")]
        reason = HTTPStatus(status).phrase if status in HTTPStatus._value2member_map_ else ""
        self._write(self._http.send(h11.Response(status_code=status, headers=headers, reason=reason)))

    def data(self, data: bytes) -> None:
        self._write(self._http.send(h11.Data(data=data)))

    def finished(self) -> None:
        self._exchange = None
        self._write(self._http.send(h11.EndOfMessage()))
        if self.state is At.CLOSED:
            return
        if self.closing or self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
            return self._close()
        self._http.start_next_cycle()
        self._change(At.IDLE)
        if self._http.trailing_data[0]:  # the next request is here already
            self._change(At.READING)
            self.clock.callLater(0, self._go_on)

    def _go_on(self) -> None:
        try:
            self._advance()
        except h11.RemoteProtocolError as wrong:
            self._refuse(wrong.error_status_hint, str(wrong))

    def _write(self, data: bytes) -> None:
        if not self._paused:
            return self.transport.write(data)
        self._waiting.append(data)
        self._waits += len(data)
        if self._waits > self.bounds.waiting:
            self._end("the client reads too slowly")
            self.transport.abortConnection()

    # Ends.

    def stop(self) -> None:
        """Takes no further request; what is owed is still answered."""
        self.closing = True
        if self.state in (At.IDLE, At.READING):
            self._close()

    def abort(self) -> None:
        self._end("cut off")
        self.transport.abortConnection()

    def _close(self) -> None:
        """Closes in good order: what is written gets out first."""
        self._end("closed")
        if not self._waiting:
            self.transport.unregisterProducer()
            self.transport.loseConnection()

    def _end(self, reason: str) -> None:
        if self.state is not At.CLOSED:
            self._change(At.CLOSED)
            exchange, self._exchange = self._exchange, None
            if exchange:
                exchange._lost(reason)

    def _change(self, state: At) -> None:
        self.state = state
        if self._timer and self._timer.active():
            self._timer.cancel()
        limit = {At.IDLE: self.bounds.idle_s, At.READING: self.bounds.request_s}.get(state)
        self._timer = self.clock.callLater(limit, self._late) if limit else None

    def _late(self) -> None:
        if self.state is At.READING:
            self._refuse(408, f"the request was not complete within {self.bounds.request_s:g} s")
        else:
            self._close()


class ServerFactory(Factory):
    """Makes and counts connections."""

    noisy = False

    def __init__(self, clock: IReactorTime, bounds: Bounds, handle: Callable[[Exchange], None]) -> None:
        self.clock, self.bounds, self.handle = clock, bounds, handle
        self.connections: dict[ServerConnection, None] = {}

    def buildProtocol(self, addr: object) -> ServerConnection:
        connection = ServerConnection(self.clock, self.bounds, self.handle, self._gone)
        self.connections[connection] = None
        return connection

    def _gone(self, connection: ServerConnection) -> None:
        self.connections.pop(connection, None)

    def stop(self) -> None:
        """Closes what is idle; busy connections close after their answer."""
        for connection in list(self.connections):
            connection.stop()
