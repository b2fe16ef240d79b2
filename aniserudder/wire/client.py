"""One persistent HTTP/1.1 connection as a client, and how it is opened. llhttp reads the protocol, this file has the socket.

A connection carries one exchange at a time. Its states are named, and every change goes through ``_change``. It is opened without Twisted's
endpoints: they bring its plugin and standard input modules with them, a megabyte in a process that has few.
"""
from __future__ import annotations

import socket
from collections.abc import Callable
from contextlib import suppress
from enum import Enum
from typing import Protocol as Shape

import httptools
from twisted.internet.defer import Deferred, fail
from twisted.internet.error import ConnectingCancelledError
from twisted.internet.interfaces import IAddress, IConnector, IPullProducer, IReactorTCP
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from . import text
from .chunked import BadChunk, ChunkedBody
from .tcp_info import data_age, unacknowledged_bytes

HEAD_MOST = 16_384  # bytes of an answer's head, and of those of interim answers before it
FIELDS_MOST = 100   # of one head


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


class AnswerWatcher(Shape):
    """What is told how an answer begins."""

    def answer_begins(self) -> None:
        """Its first byte came, behind any interim answers."""

    def interim_answer(self) -> None:
        """What had begun was an interim answer (status 1xx)."""


@implementer(IPullProducer)
class ClientConnection(Protocol):
    """Speaks HTTP/1.1 as a client.

    Args:
        host: the name told to the server.
        on_free: told when an answer is complete and the connection may be used again.
        on_gone: told once, when the connection is closed.
        chunk_most: bytes of one chunk of an answer; a longer one breaks HTTP. 0: any.
        read_most: bytes that are read at a time. 0: as the reactor has it.
    """

    noisy = False

    def __init__(self, host: str, on_free: Callable[[ClientConnection], None],
                 on_gone: Callable[[ClientConnection], None], chunk_most: int = 0, read_most: int = 0) -> None:
        self.host, self.state = host, At.IDLE
        self.place: object = None  # whose connection it is; set by its owner
        self.rested = -1.0         # seconds that it had been idle when it was last taken up; -1: it is fresh
        self.flushed = True        # the kernel has taken every byte of the request
        self._written = False
        self.headers: dict[bytes, bytes] = {}  # of the answer that is being read, names in lower case
        self._chunk_most, self._read_most = chunk_most, read_most
        self._chunks: ChunkedBody | None = None  # the body that is being read, where it comes in chunks
        self._keeps_alive = False  # the answer's head allows another exchange behind it
        self._on_free, self._on_gone = on_free, on_gone
        self._parser = httptools.HttpResponseParser(self)
        self._exchange: Exchange | None = None
        self._watcher: AnswerWatcher | None = None
        self._begun = False        # bytes of an answer came, behind any interim ones
        self._head_bytes = -1      # of a head that is being read; -1: none is
        self._measured = False     # the answer's length is told by its head
        self._status = self._fields = 0
        self._spoke_unasked = False
        self.on_made: Callable[[ClientConnection], None] = lambda connection: None  # told once, when it is open

    def connectionMade(self) -> None:
        with suppress(OSError):  # it is of use, not needed
            self.transport.setTcpNoDelay(True)
        if self._read_most:
            self.transport.bufferSize = self._read_most
        self.on_made(self)

    # What the transport asks of whoever has more to write (``IPullProducer``): when the last byte has left.

    def resumeProducing(self) -> None:
        if self._written:
            self.flushed = True
            self.transport.unregisterProducer()
        self._written = True

    def stopProducing(self) -> None:
        pass

    @property
    def data_age_s(self) -> float:
        """Seconds since the newest bytes from the server came to this system, whether or not they were read then."""
        handle = getattr(self.transport, "getHandle", None)
        return data_age(handle()) if handle and self.transport.connected else 0.0

    @property
    def unacknowledged(self) -> bool:
        """Whether bytes that were written have not reached the server's machine; False where the system does not tell."""
        handle = getattr(self.transport, "getHandle", None)
        return bool(handle and self.transport.connected and unacknowledged_bytes(handle()))

    @property
    def unread(self) -> bool:
        """Whether the kernel holds bytes from the server that the loop has not come to yet."""
        try:
            return bool(self.transport.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except (OSError, AttributeError):
            return False

    def read_now(self) -> bool:
        """Reads what lies unread, ahead of whatever the loop would come to first. Whether there was something."""
        unread = self.unread
        if unread:
            self.transport.doRead()
        return unread

    @property
    def quiet(self) -> bool:
        """Whether the kernel holds nothing from the server: no end that the loop has not seen yet, and no bytes
        that nobody asked for."""
        if self.state is not At.IDLE or not self.transport.connected or self.transport.disconnecting:
            return False
        try:
            self.transport.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def ask(
        self,
        method: str,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
        exchange: Exchange,
        watcher: AnswerWatcher | None = None,
    ) -> bool:
        """Writes a request. ``watcher`` is told how its answer begins. False: the connection was no longer open and no byte was written."""
        if self.state is not At.IDLE or not self.transport.connected or self.transport.disconnecting:
            return False
        self._exchange, self._head_bytes, self._watcher, self._begun = exchange, 0, watcher, False
        self._status, self._measured = 0, False  # the answer before must not pass for this one's if the connection goes
        if self._chunks:  # llhttp has not seen the end of that body
            self._chunks, self._parser = None, httptools.HttpResponseParser(self)
        self._change(At.BUSY)
        self.flushed = self._written = False
        data = text.request(method, path, self.host, headers, body)
        rest = data[self._send_now(data):]
        if not rest:
            self.flushed = True
            return True
        self.transport.write(rest)
        self.transport.registerProducer(self, False)  # asks for more at once, and again when all has been written
        return True

    def _send_now(self, data: bytes) -> int:
        """Hands a request to the kernel at once and returns how many of its bytes that took.

        The transport would write in the loop's next turn, behind all other events of this one. By then the client may have left,
        the engine may drain, and the time that the request states may be over. Nothing waits in the transport: a connection
        that is asked has sent all that was written to it before.
        """
        handle = getattr(self.transport, "getHandle", None)
        if handle is None:
            return 0
        try:
            return handle().send(data)
        except OSError:  # full, or broken: the transport finds out and tells
            return 0

    def drop(self) -> None:
        """Closes at once; the exchange hears nothing more.

        The transport closes its socket only in the loop's next turn, when what is written after this call is out already:
        a request given up would still stand open beside its successor, or beside its client's answer. So the end of
        sending goes out here and now.
        """
        self._exchange = None
        if self.state is not At.CLOSED:
            busy = self.state is At.BUSY
            self._change(At.CLOSED)
            if busy and self.transport.connected:
                try:
                    self.transport.getHandle().shutdown(socket.SHUT_WR)
                except OSError:  # it went by itself
                    pass
            self.transport.abortConnection()

    # The socket.

    def dataReceived(self, data: bytes) -> None:
        if self.state is At.CLOSED:
            return
        if self.state is At.IDLE:  # a server that speaks unasked is not to be trusted with the next answer
            return self.drop()
        self._answer_begins()
        try:
            self._read(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, BadChunk) as wrong:
            return self._broke(f"no HTTP: {wrong}", True)
        if self._spoke_unasked:
            self.drop()
        elif self.state is At.IDLE:  # not before: bytes behind the answer would pass for the next one's
            self._on_free(self)

    def _answer_begins(self) -> None:
        if not self._begun and self._watcher is not None and self._exchange is not None:
            self._begun = True
            self._watcher.answer_begins()

    def _read(self, data: bytes) -> None:
        """Reads the head line by line, so that the body's first byte is known, and then the body."""
        while data and self.state is At.BUSY:
            if self._chunks:
                data = self._read_chunks(data)
            elif self._head_bytes >= 0:
                line, end, data = data.partition(b"\n")
                self._parser.feed_data(line + end)
                self._count_head(len(line) + len(end))
            else:
                self._parser.feed_data(data)
                data = b""
        if data and self.state is At.IDLE:
            self._spoke_unasked = True

    def _count_head(self, size: int) -> None:
        if self._head_bytes >= 0 and self.state is At.BUSY:
            self._head_bytes += size
            if self._head_bytes > HEAD_MOST:
                self._broke("the answer's head is too long", True)

    def _read_chunks(self, data: bytes) -> bytes:
        """Takes the next piece of a body in chunks. Returns what has not been read of the data."""
        piece, rest = self._chunks.feed(data)
        if piece and self._exchange:
            self._exchange.body(piece)
        elif self._chunks.complete and self._exchange:
            self._complete(self._keeps_alive)
        return rest

    def connectionLost(self, reason: Failure) -> None:
        if self.state is At.BUSY and self._status and not self._measured:
            self._complete(False)  # an answer without a length ends with the connection
        elif self.state is not At.CLOSED:
            self._broke(f"connection lost: {reason.value.__class__.__name__}", False)
        self._on_gone(self)
        self._parser = self._chunks = None  # parser and connection hold one another: neither waits for a collection

    # The parser.

    def on_message_begin(self) -> None:
        self._status, self._measured = 0, False
        self.headers, self._fields = {}, 0
        self._spoke_unasked = self._spoke_unasked or self._exchange is None

    def on_header(self, name: bytes, value: bytes) -> None:
        self._fields += 1
        if self._fields > FIELDS_MOST:
            raise httptools.HttpParserError("too many fields")
        name = name.lower()
        self.headers[name] = value
        if name in (b"content-length", b"transfer-encoding"):
            self._measured = True

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        if status >= 200 and self._exchange:
            self._head_bytes, self._status = -1, status
            if self.headers.get(b"transfer-encoding", b"").lower().endswith(b"chunked"):
                self._chunks, self._keeps_alive = ChunkedBody(self._chunk_most), self._parser.should_keep_alive()
            self._exchange.head(status)
        elif self._watcher and self._exchange:
            self._begun = False
            self._watcher.interim_answer()

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
            self._change(At.IDLE if reusable and self.flushed else At.CLOSED)
        exchange.complete()
        if self.state is At.CLOSED and self.transport.connected:
            self.transport.loseConnection() if self.flushed else self.transport.abortConnection()

    def _broke(self, reason: str, malformed: bool) -> None:
        exchange, self._exchange = self._exchange, None
        if self.state is not At.CLOSED:
            self._change(At.CLOSED)
            self.transport.abortConnection()
        if exchange:
            exchange.lost(reason, malformed)

    def _change(self, state: At) -> None:
        self.state = state


class _Connecting(ClientFactory):
    """One connection that is being made."""

    noisy = False

    def __init__(self, build: Callable[[], ClientConnection]) -> None:
        self.made: Deferred[ClientConnection] = Deferred(self._give_up)
        self.connector: IConnector | None = None
        self._build = build

    def buildProtocol(self, addr: IAddress) -> ClientConnection | None:
        if self.made.called:  # given up in the meantime
            return None
        connection = self._build()
        connection.on_made = self.made.callback
        return connection

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:
        if not self.made.called:
            self.made.errback(reason)

    def _give_up(self, made: Deferred[ClientConnection]) -> None:
        made.errback(ConnectingCancelledError(self.connector.getDestination()))
        self.connector.stopConnecting()


def connect_tcp(reactor: IReactorTCP, host: str, port: int, build: Callable[[], ClientConnection], timeout_s: float,
                bind: str = "") -> Deferred[ClientConnection]:
    """Connects to an IPv4 address.

    Args:
        reactor: for sockets and time.
        host: dotted address.
        port: of TCP.
        build: makes the protocol, once the connection is there.
        timeout_s: after which it has failed; cancelling the result gives it up at once.
        bind: local address; empty: any.
    """
    connecting = _Connecting(build)
    try:
        connecting.connector = reactor.connectTCP(host, port, connecting, timeout_s, (bind, 0) if bind else None)
    except Exception:  # no socket could be made
        return fail()
    return connecting.made
