"""One persistent HTTP/1.1 connection as a client. h11 knows the protocol, this file the socket.

A connection carries one exchange at a time. Its states are named, and every change goes through ``_change``.
"""
from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol as Shape

import h11
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure


class At(Enum):
    """States of a connection."""
    IDLE = "idle"
    BUSY = "busy"      # a request's bytes are written and its answer is not complete
    CLOSED = "closed"


class Exchange(Shape):
    """What one request's answer is told to."""

    def head(self, status: int) -> None: ...

    def body(self, data: bytes) -> None: ...

    def complete(self) -> None: ...

    def lost(self, reason: str, malformed: bool) -> None:
        """The connection went before the answer was complete; ``malformed``: the server broke HTTP."""


class ClientConnection(Protocol):
    """Speaks HTTP/1.1 as a client."""

    noisy = False

    def __init__(self, host: str, on_free: Callable[[ClientConnection], None],
                 on_gone: Callable[[ClientConnection], None]) -> None:
        self.host, self.state = host, At.IDLE
        self.place: object = None  # whose connection it is; set by its owner
        self._on_free, self._on_gone = on_free, on_gone
        self._http = h11.Connection(h11.CLIENT)
        self._exchange: Exchange | None = None

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)

    def ask(self, method: str, path: str, headers: list[tuple[str, str]], body: bytes, exchange: Exchange) -> bool:
        """Writes a request. False: the connection was no longer open and no byte was written."""
        if self.state is not At.IDLE or not self.transport.connected or self.transport.disconnecting:
            return False
        self._exchange = exchange
        self._change(At.BUSY)
        head = h11.Request(method=method, target=path, headers=[
            ("host", self.host), *headers, ("content-type", "application/json"), ("content-length", str(len(body)))])
        self.transport.write(self._http.send(head) + (self._http.send(h11.Data(data=body)) if body else b"")
                             + self._http.send(h11.EndOfMessage()))
        return True

    def drop(self) -> None:
        """Closes at once; the exchange hears nothing more."""
        self._exchange = None
        if self.state is not At.CLOSED:
            self._change(At.CLOSED)
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        if self.state is At.CLOSED:
            return
        if self.state is At.IDLE:  # a server that speaks unasked is not to be trusted with the next answer
            return self.drop()
        try:
            self._http.receive_data(data)
            self._advance()
        except h11.RemoteProtocolError as wrong:
            self._broke(f"no HTTP: {wrong}", True)

    def _advance(self) -> None:
        while self.state is At.BUSY:
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            exchange = self._exchange
            match event:
                case h11.Response():
                    exchange.head(event.status_code)
                case h11.Data():
                    exchange.body(bytes(event.data))
                case h11.EndOfMessage():
                    self._exchange = None
                    reusable = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
                    if reusable:
                        self._http.start_next_cycle()
                        self._change(At.IDLE)
                    exchange.complete()
                    if reusable and self.state is At.IDLE:
                        self._on_free(self)
                    elif not reusable:
                        self.drop()
                case h11.ConnectionClosed():
                    return

    def connectionLost(self, reason: Failure) -> None:
        was = self.state
        if was is not At.CLOSED:
            if was is At.BUSY:
                try:  # an answer without a length ends with the connection
                    self._http.receive_data(b"")
                    self._advance()
                except h11.RemoteProtocolError:
                    pass
            self._broke(f"connection lost: {reason.value.__class__.__name__}", False)
        self._on_gone(self)

    def _broke(self, reason: str, malformed: bool) -> None:
        exchange, self._exchange = self._exchange, None
        if self.state is not At.CLOSED:
            self._change(At.CLOSED)
            self.transport.abortConnection()
        if exchange:
            exchange.lost(reason, malformed)

    def _change(self, state: At) -> None:
        self.state = state
