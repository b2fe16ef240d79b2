"""One persistent HTTP/1.1 connection as a client. llhttp reads the protocol, this file has the socket.

A connection carries one exchange at a time. Its states are named, and every change goes through ``_change``.
"""
from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol as Shape

import httptools
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from . import text

HEAD_MOST = 65_536  # bytes of an answer's head


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
        self._parser = httptools.HttpResponseParser(self)
        self._exchange: Exchange | None = None
        self._head_bytes = -1      # of a head that is being read; -1: none is
        self._measured = False     # the answer's length is told by its head
        self._status = 0
        self._spoke_unasked = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)

    def ask(self, method: str, path: str, headers: list[tuple[str, str]], body: bytes, exchange: Exchange) -> bool:
        """Writes a request. False: the connection was no longer open and no byte was written."""
        if self.state is not At.IDLE or not self.transport.connected or self.transport.disconnecting:
            return False
        self._exchange, self._head_bytes = exchange, 0
        self._change(At.BUSY)
        self.transport.write(text.request(method, path, self.host, headers, body))
        return True

    def drop(self) -> None:
        """Closes at once; the exchange hears nothing more."""
        self._exchange = None
        if self.state is not At.CLOSED:
            self._change(At.CLOSED)
            self.transport.abortConnection()

    # The socket.

    def dataReceived(self, data: bytes) -> None:
        if self.state is At.CLOSED:
            return
        if self.state is At.IDLE:  # a server that speaks unasked is not to be trusted with the next answer
            return self.drop()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as wrong:
            return self._broke(f"no HTTP: {wrong}", True)
        if self._head_bytes >= 0:
            self._head_bytes += len(data)
            if self._head_bytes > HEAD_MOST:
                self._broke("the answer's head is too long", True)
        if self._spoke_unasked:
            self.drop()

    def connectionLost(self, reason: Failure) -> None:
        if self.state is At.BUSY and self._status and not self._measured:
            self._complete(False)  # an answer without a length ends with the connection
        elif self.state is not At.CLOSED:
            self._broke(f"connection lost: {reason.value.__class__.__name__}", False)
        self._on_gone(self)

    # The parser.

    def on_message_begin(self) -> None:
        self._status, self._measured = 0, False
        self._spoke_unasked = self._spoke_unasked or self._exchange is None

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self._measured = True

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        if status >= 200 and self._exchange:
            self._head_bytes, self._status = -1, status
            self._exchange.head(status)

    def on_body(self, data: bytes) -> None:
        if self._exchange:
            self._exchange.body(data)

    def on_message_complete(self) -> None:
        if self._status and self._exchange:
            self._complete(self._parser.should_keep_alive())

    # Ends.

    def _complete(self, reusable: bool) -> None:
        exchange, self._exchange = self._exchange, None
        if self.state is At.BUSY:
            self._change(At.IDLE if reusable else At.CLOSED)
        exchange.complete()
        if self.state is At.IDLE:
            self._on_free(self)
        elif self.transport.connected:
            self.transport.loseConnection()

    def _broke(self, reason: str, malformed: bool) -> None:
        exchange, self._exchange = self._exchange, None
        if self.state is not At.CLOSED:
            self._change(At.CLOSED)
            self.transport.abortConnection()
        if exchange:
            exchange.lost(reason, malformed)

    def _change(self, state: At) -> None:
        self.state = state
