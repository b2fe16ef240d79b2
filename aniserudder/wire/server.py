"""HTTP/1.1 connections as a server: bounded in bytes and time, one exchange at a time, with back-pressure.

A connection is IDLE between requests, READING one, BUSY while its answer is owed, and CLOSED. Every change goes
through ``_change``, which also sets the time-out that belongs to the new state.
"""
from __future__ import annotations

import socket
from collections import Counter, deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum
from typing import Protocol as Shape

import httptools
from twisted.internet.interfaces import IDelayedCall, IHalfCloseableProtocol, IPushProducer, IReactorTime
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from ..admission.memory import Account, MemoryBudget, Purpose
from ..admission.turns import RefusalPace, Spender, TurnQueue
from . import text
from .tcp_info import data_age, end_age

SHED_LINGER_S = 0.001  # between the end of sending and the close of a connection whose descriptor is wanted
CONNECTION_BYTES = 6_144  # of objects and buffers that each connection holds
REQUEST_BYTES, FIELD_BYTES = 1_024, 256  # of objects that a request holds, and each field of its head
BODY_SLACK = 1.6          # that a body which comes in part holds for each of its bytes, as its buffer grows ahead of it
TAKEN_BYTES = 24_576      # of objects that one under way holds besides, its connection to an engine among them
TRANSPORT_BYTES = 65_536  # that wait in a transport before it pauses, unless told otherwise
FRAMING_PER_BYTE = 8  # bytes around one of a body, in the smallest chunks
AHEAD = 4  # whole requests that a client may send before it is answered


class At(Enum):
    """States of a connection."""
    IDLE = "idle"
    READING = "reading"
    BUSY = "busy"
    CLOSED = "closed"


class CloseReason(Enum):
    """Why a connection was closed; the first reason counts."""
    CLIENT_LEFT = "the client left"
    SLOW_READER = "the client reads too slowly"
    MALFORMED = "what came cannot be read"
    LAST_ANSWER = "its last answer was given"
    INCOMPLETE_ANSWER = "its answer broke off"
    IDLE = "it was idle for too long"
    SHED = "its descriptor was needed"
    STOPPING = "the server stops"
    CUT_OFF = "cut off"
    NO_MEMORY = "memory was needed for others"
    FAILED = "its request could not be handled"


@dataclass(slots=True, frozen=True)
class Bounds:
    """What a connection may take: bytes of head and body, seconds for a request, between two and before the
    first, bytes waiting."""
    head: int = 16_384     # and of the trailer section behind a body
    body: int = 1_048_576
    request_s: float = 5.0
    idle_s: float = 60.0
    first_s: float = 0.0   # until a fresh connection begins its first request; 0: as between two
    waiting: int = 1_048_576
    send_buffer: int = 0   # bytes of the kernel's send buffer, and as many of our own; 0: as the system has it
    opening_s: float = 0.0  # from connecting until its first request is whole; 0: bounded by the others alone
    linger_s: float = 0.0  # for the client's end after ours, reading on; 0: closed at once, over whatever is unread
    paced: bool = False    # answers to what cannot be taken wait while many of them go out
    fields: int = 100      # of a head
    read: int = 0          # bytes that are read and written at a time, and wait in the transport before it pauses; 0: as it has them


class Exchange:
    """One request and its answer.

    ``gone`` is called once if the client leaves before the answer is complete, or is cut off because more than
    ``Bounds.waiting`` bytes wait for it. ``room`` is called whenever the connection has sent all that waited.
    """

    __slots__ = ("method", "path", "headers", "body", "gone", "room", "began", "old", "last", "arrived_at", "lay_s", "memory", "_connection", "_last")

    def __init__(self, connection: ServerConnection) -> None:
        self.method = self.path = ""
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.old = self.last = False  # HTTP/1.0; the client wants no further exchange
        self.gone: Callable[[str], None] | None = None
        self.room: Callable[[], None] | None = None
        self.began = False
        self.lay_s = 0.0       # seconds that its last byte lay unread
        self.arrived_at = 0.0  # seconds of the server's clock; when its last byte came to this system
        self.memory: Account = connection.budget.account(Purpose.REQUESTS)  # until it is answered
        self._connection: ServerConnection | None = connection
        self._last: ServerConnection | None = None

    @property
    def open(self) -> bool:
        """Whether an answer can still be given."""
        return self._connection is not None

    @property
    def roomy(self) -> bool:
        """Whether the connection takes more at the moment, without keeping it in memory."""
        return self._connection is not None and not self._connection.paused

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
        self.memory.release()
        if connection:
            self._last = connection
            connection.finished()

    def close_soon(self) -> None:
        """After ``end``: the connection is not used again, and closes once what is written got out."""
        if self._last:
            self._last.stop()

    def break_off(self) -> None:
        """Ends the connection behind what was written, without the answer's end."""
        connection, self._connection = self._connection, None
        self.memory.release()
        if connection:
            connection.break_off()

    def cut(self) -> None:
        """Closes the connection in the middle of things, without a word."""
        connection, self._connection = self._connection, None
        self.memory.release()
        if connection:
            connection.abort()

    def _lost(self, reason: str) -> None:
        self._connection = None
        self.memory.release()
        gone, self.gone = self.gone, None
        if gone:
            gone(reason)


@implementer(IPushProducer, IHalfCloseableProtocol)
class ServerConnection(Protocol):
    """Speaks HTTP/1.1 as a server and hands whole requests to ``handle``, one at a time."""

    noisy = False

    def __init__(self, clock: IReactorTime, bounds: Bounds, handle: Callable[[Exchange], None],
                 on_gone: Callable[[ServerConnection], None],
                 on_closing: Callable[[ServerConnection, CloseReason, int], None], resources: ServerResources) -> None:
        self.budget, self._turns, self._pace, self._log = resources.memory, resources.turns, resources.pace, resources.log
        self._spender, self._patience = Spender(), resources.patience
        self._own = self.budget.account(Purpose.CONNECTIONS)
        self._part = self.budget.account(Purpose.REQUEST_PARTS, self._part_gives_way)
        self._unread = self.budget.account(Purpose.UNREAD_ANSWERS, lambda: self._cut_off(CloseReason.SLOW_READER))
        self.clock, self.bounds, self.handle, self.on_gone, self.on_closing = clock, bounds, handle, on_gone, on_closing
        self.state, self.closing, self.peer = At.IDLE, False, ""
        self.ticket: object = None       # the door's, where there is one
        self.gate: Gate | None = None
        self.refused: object = None      # why the door refused it: its first request is answered so
        self._asked = False
        self.opened_at = self.idle_since = 0.0
        self._parser = httptools.HttpRequestParser(self)
        self._exchange: Exchange | None = None        # whose answer is owed
        self._building: Exchange | None = None        # whose request is being read
        self._whole: deque[Exchange] = deque()        # read while an answer was owed
        self._wrong: tuple[int, str] | None = None    # why the request being read cannot be taken
        self._refusal: tuple[int, str, CloseReason] | None = None  # the same, while answers before it are still owed
        self._queued = False  # the next request waits for its turn
        self._reading_stopped = False
        self._excess = 0       # whole requests beyond those that may wait: each is refused
        self._refused = False  # the last answer waits until it may go out, or is out
        self._answer_now: Callable[[], None] | None = None  # sends the last answer that waits
        self.close_reason: CloseReason | None = None  # None: it is open
        self._head_bytes = 0
        self._framing_bytes = 0          # of the request that is being read: all but its body
        self._fields = 0
        self._chunked = self._bodiless = False
        self._timer: IDelayedCall | None = None
        self._waiting: deque[bytes] = deque()
        self._waits = 0
        self._linger_s = bounds.linger_s
        self.paused = False
        self._looked_again = False       # a time-out has read what lay unread
        self.ended_at: float | None = None  # seconds of the clock; when the client's end came to this system, if that is known

    @property
    def silent(self) -> bool:
        """Whether it never sent a whole request."""
        return not self._asked

    @property
    def unread(self) -> bool:
        """Whether the kernel holds something from the client that the loop has not come to yet."""
        return bool(self._peek())

    @property
    def left(self) -> bool:
        """Whether the kernel holds the client's end and the loop has not come to it yet."""
        return self._peek() == b""

    def _peek(self) -> bytes | None:
        """The next byte that the kernel holds, or its end; None: nothing, or a transport that is no socket."""
        handle = getattr(self.transport, "getHandle", None)
        try:
            return handle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) if handle else None
        except BlockingIOError:
            return None
        except OSError:  # reset, or closed by us
            return b""

    # The socket.

    def connectionMade(self) -> None:
        with suppress(OSError):  # it is of use, not needed
            self.transport.setTcpNoDelay(True)
        self.opened_at = self.idle_since = self.clock.seconds()
        if self.bounds.read:
            self.transport.bufferSize = self.bounds.read
        if self.bounds.send_buffer:  # what a slow client leaves there nobody can take back
            self.transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, self.bounds.send_buffer)
            self.transport.bufferSize = self.bounds.send_buffer
        self.transport.registerProducer(self, True)
        self.peer = self.transport.getPeer().host
        self._own.hold(CONNECTION_BYTES)
        self._change(At.IDLE)
        if self.gate:  # not before there is a transport: it may be shed at once
            self.gate.opened(self)

    def dataReceived(self, data: bytes) -> None:
        if self.state is At.CLOSED or self._refused or self._refusal and not self._excess:
            return
        if self.state is At.IDLE:
            self._change(At.READING)
        self._feed(data)
        if self._wrong:
            return self._refuse(*self._wrong)
        self._part.hold(self._part_bytes)  # which may end this very request
        if self.state is At.READING and self._whole and not self._queued:
            self._queue()

    def _feed(self, data: bytes) -> None:
        if self._building is None or not self._building.method:
            self._head_bytes += len(data)
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._wrong = self._wrong or (400, "no upgrade is offered")
        except httptools.HttpParserError as wrong:
            self._wrong = self._wrong or (400, f"no HTTP: {wrong}")
        if self._head_bytes > self.bounds.head:
            self._wrong = self._wrong or (431, f"more than {self.bounds.head} bytes of headers")
        elif self._framing_bytes > self.bounds.head + FRAMING_PER_BYTE * self._body_bytes:
            self._wrong = self._wrong or (400, "a body whose chunks or trailers have no end")

    def readConnectionLost(self) -> None:
        """The client ended its sending: it has left, or has heard our own end."""
        age = end_age(self.transport.getHandle()) if self.state is not At.CLOSED and hasattr(self.transport, "getHandle") else None
        self.ended_at = None if age is None else self.clock.seconds() - age
        self._end(CloseReason.CLIENT_LEFT)
        self._bound(self.bounds.request_s, self.transport.abortConnection)
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def writeConnectionLost(self) -> None:
        """Our end is on its way behind all that was written. What the client sends meanwhile is read, and goes nowhere: a close
        over unread bytes would reset the connection and take the last answer with it."""
        self._bound(self._linger_s, self.transport.loseConnection)

    def connectionLost(self, reason: Failure) -> None:
        self._end(CloseReason.CLIENT_LEFT)
        if self._timer and self._timer.active():
            self._timer.cancel()
        self.on_gone(self)
        self._let_go()

    def _let_go(self) -> None:
        """Ends what this connection and others hold of one another, so that its memory waits for no collection."""
        for account in (self._own, self._part, self._unread):
            account.release()
            account.gives_way = None
        self._parser = self._building = self._timer = self._answer_now = None

    def pauseProducing(self) -> None:
        self.paused = True

    def resumeProducing(self) -> None:
        self.paused = False
        while self._waiting and not self.paused:
            piece = self._waiting.popleft()
            self._waits -= len(piece)
            self.transport.write(piece)
        self._note_unread()
        if not self.paused and self._exchange and self._exchange.room:
            self._exchange.room()
        if self.state is At.CLOSED and not self._waiting:
            self._end_sending()

    def stopProducing(self) -> None:
        pass

    # The parser.

    @property
    def _part_bytes(self) -> int:
        """What the request that is being read holds in memory."""
        if self._building is None:
            return 0
        return REQUEST_BYTES + FIELD_BYTES * self._fields + min(self._head_bytes, self.bounds.head) + round(BODY_SLACK * len(self._building.body))

    @property
    def _body_bytes(self) -> int:
        return len(self._building.body) if self._building else 0

    def on_message_begin(self) -> None:
        self._building = Exchange(self)
        self._framing_bytes = self._fields = 0

    def on_url(self, url: bytes) -> None:
        self._building.path += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._building.method or self._excess:
            return  # of the trailer section, or of a request that is refused: nobody asks for any
        self._fields += 1
        if self._fields > self.bounds.fields:
            self._wrong = (431, f"more than {self.bounds.fields} header fields")
            raise httptools.HttpParserError  # llhttp reads no further
        self._building.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        building, self._head_bytes = self._building, 0
        building.method = self._parser.get_method().decode("ascii")
        building.old = self._parser.get_http_version() == "1.0"
        told = building.headers.get("content-length", "")
        if told.isdigit() and int(told) > self.bounds.body:
            self._wrong = (413, f"more than {self.bounds.body} bytes of body")
        elif building.headers.get("expect", "").lower() == "100-continue" and self.state is At.READING:
            self.transport.write(text.CONTINUE)

    def on_body(self, data: bytes) -> None:
        if self._excess:
            return  # nobody will want it
        if len(self._building.body) + len(data) > self.bounds.body:
            self._wrong = (413, f"more than {self.bounds.body} bytes of body")
            raise httptools.HttpParserError  # llhttp reads no further
        self._building.body += data
        self._framing_bytes -= len(data)

    def on_message_complete(self) -> None:
        building, self._building = self._building, None
        self._part.release()  # from here on it is held as a whole
        if self.state is At.CLOSED:  # it gave way to others in the midst of this read
            return
        if self._excess or len(self._whole) >= AHEAD:
            self._excess += 1
            self._wrong = (429, f"more than {AHEAD} requests ahead of their answers")
            return
        building.last = not self._parser.should_keep_alive()
        handle = getattr(self.transport, "getHandle", None)
        building.lay_s = data_age(handle()) if handle else 0.0
        building.arrived_at = self.clock.seconds() - building.lay_s
        self._whole.append(building)
        building.memory.hold(REQUEST_BYTES + FIELD_BYTES * self._fields + len(building.body))

    def _queue(self) -> None:
        """The next request waits for its turn."""
        self._queued = True
        self._turns.submit(self._spender, self._take, self._patience(self._whole[0]))
        if self._queued and self.state is not At.CLOSED:
            self._read_on(False)  # what comes behind it waits in the kernel, and wakes nobody

    def _read_on(self, wanted: bool) -> None:
        """Has the transport read, or leave what comes in the kernel."""
        if wanted is self._reading_stopped and self.transport:
            self._reading_stopped = not wanted
            self.transport.resumeProducing() if wanted else self.transport.pauseProducing()

    def _take(self, examined: bool) -> None:
        self._queued = False
        self._read_on(True)
        if self.state is not At.READING or not self._whole:  # it ended while it waited
            return
        self._exchange = exchange = self._whole.popleft()
        self.closing = self.closing or exchange.last or self.refused is not None
        self._asked = True
        self._change(At.BUSY)
        if not examined:
            return self._refuse_exchange(exchange, 503, "more requests come than can be taken up")
        if not exchange.memory.hold(exchange.memory.size + TAKEN_BYTES + len(exchange.body)):  # as much again while it is passed on
            return self._refuse_exchange(exchange, 503, "no memory is left for the request")
        try:
            self.handle(exchange)
        except Exception as failure:  # whatever went wrong, its client is owed an answer
            self._log("request failed", level="error", reason=f"{type(failure).__name__}: {failure}")
            self._failed(exchange)

    def _failed(self, exchange: Exchange) -> None:
        if not exchange.open:
            return
        self.closing = True
        if exchange.began:
            return exchange.break_off()
        self._refuse_exchange(exchange, 500, "the request could not be handled")

    @staticmethod
    def _refuse_exchange(exchange: Exchange, status: int, reason: str) -> None:
        exchange.body = bytearray()
        exchange.reply(status, text.error(reason))

    @property
    def refused_already(self) -> bool:
        """Whether the answer that ends it waits, or is out."""
        return self._refused

    def _part_gives_way(self) -> None:
        """Memory is wanted: the request that has come in part is refused."""
        self._refuse(503, "no memory is left for a request that has come in part", CloseReason.NO_MEMORY)

    def _refuse(self, status: int, reason: str, why: CloseReason = CloseReason.MALFORMED) -> None:
        """An answer to what is no proper request, and the end of the connection. What was asked before is answered first."""
        self.closing = True
        if not self._excess:  # else the next ones are counted
            self._building = None
        self._part.release()
        burst = self._excess and self.state is At.READING  # nothing of it was begun: all of it is refused alike
        if self.state is At.BUSY or self._whole and not burst:
            self._refusal = self._refusal or (status, reason, why)
            if self.state is At.READING and not self._queued:
                self._queue()
            return
        count = max(1, len(self._whole) + self._excess)
        for exchange in self._whole:
            exchange.memory.release()
        self._exchange, self._refused, self._excess = None, True, 0
        self._whole.clear()
        most_s = self.opened_at + self.bounds.opening_s - self.clock.seconds() if self.bounds.paced else 0.0
        delay = self._pace.delay(most_s, count) if most_s > 0 else 0.0
        if delay <= 0:
            return self._answer_refusal(status, reason, why, count)
        self._read_on(False)  # what it sends meanwhile waits in the kernel
        self._answer_now = lambda: self._answer_refusal(status, reason, why, count)
        self._bound(delay, self._answer_now)

    def _answer_refusal(self, status: int, reason: str, why: CloseReason, count: int) -> None:
        if self.state is At.CLOSED:
            return
        self._answer_now = None
        self._write((count - 1) * text.refusal(status, reason, last=False) + text.refusal(status, reason, last=True))
        self._close(why)

    # Answers.

    def head(self, status: int, headers: list[tuple[str, str]]) -> None:
        self._chunked = all(name != "content-length" for name, _ in headers)
        self._bodiless = False
        if self._exchange:
            self._bodiless = self._exchange.method == "HEAD"
            if self._exchange.old:  # such a client knows no chunks: the connection's end is the answer's
                self._chunked, self.closing = False, True
        if self._chunked:
            headers = [*headers, ("transfer-encoding", "chunked")]
        if self.closing and not self._whole:
            headers = [*headers, ("connection", "close")]
        self._write(text.response(status, headers))

    def data(self, data: bytes) -> None:
        if data and not self._bodiless:
            self._write(text.chunk(data) if self._chunked else data)

    def finished(self) -> None:
        self._exchange = None
        if self._chunked and not self._bodiless:
            self._write(text.LAST_CHUNK)
        if self.state is At.CLOSED:
            return
        if self._refusal and not self._whole:
            self.state = At.READING
            return self._refuse(*self._refusal)
        if self.closing and not self._whole:
            return self._close(CloseReason.LAST_ANSWER)
        self._change(At.READING if self._building or self._whole else At.IDLE)
        if self._whole:  # the next request is here already
            self._queue()

    def _write(self, data: bytes) -> None:
        size = self.bounds.read or max(1, len(data))
        for at in range(0, len(data), size):
            piece = data[at:at + size]
            if self.paused:
                self._waiting.append(piece)
                self._waits += len(piece)
            else:
                self.transport.write(piece)
        if self._waits > self.bounds.waiting:
            return self._cut_off(CloseReason.SLOW_READER)
        self._note_unread()

    def _note_unread(self) -> None:
        """What waits for the client, here and in the transport; noting it may end this very connection."""
        if self.paused or self._unread.size:
            self._unread.hold(self._waits + 2 * (self.bounds.read or TRANSPORT_BYTES) if self.paused else 0)

    # Ends.

    def stop(self) -> None:
        """Takes no further request; what is owed is still answered, and what came before this was known is answered too."""
        self.closing = True
        if self._answer_now:
            return self._answer_now()
        if self.state is At.IDLE and not self.unread or self.state is At.READING and not self._whole:
            self._close(CloseReason.STOPPING)

    def shed(self) -> None:
        """Makes room at once: the connection asks nothing, and nothing of its last answer is on the way any more."""
        self.closing = True
        self._close(CloseReason.SHED, SHED_LINGER_S)

    def shed_part(self) -> None:
        """Makes room: the request that has come in part is refused, and what it waits for is not."""
        if not self._refused and not self._whole:
            self._refuse(408, "the request was not complete while others waited to connect", CloseReason.SHED)

    def break_off(self) -> None:
        self._exchange = None
        self._close(CloseReason.INCOMPLETE_ANSWER)

    def abort(self) -> None:
        self._cut_off(CloseReason.CUT_OFF)

    def _cut_off(self, reason: CloseReason) -> None:
        self._waiting.clear()
        self._waits = 0
        self._unread.release()
        self._end(reason)
        self.transport.abortConnection()

    def _close(self, reason: CloseReason, linger_s: float | None = None) -> None:
        """Closes in good order: what is written gets out first, if the client takes it within a request's time."""
        self._end(reason)
        self._linger_s = self.bounds.linger_s if linger_s is None else linger_s
        self._bound(self.bounds.request_s, self.transport.abortConnection)
        if not self._waiting:
            self._end_sending()

    def _bound(self, after: float, then: Callable[[], None]) -> None:
        if self._timer and self._timer.active():
            self._timer.cancel()
        self._timer = self.clock.callLater(after, then)

    def _end_sending(self) -> None:
        """The end goes out now, if all that was written has: what the client sends from here on crosses it. In the loop's next turn
        it would come behind requests that arrived in between, and that were then read for nothing."""
        self.transport.unregisterProducer()
        if not self._linger_s:
            return self.transport.loseConnection()
        self.transport.loseWriteConnection()
        self.transport.doWrite()

    def _end(self, reason: CloseReason) -> None:
        """The one way into ``CLOSED``: whoever owes an answer on it is told why there can be none."""
        if self.state is At.CLOSED:
            return
        self.close_reason = reason
        self._change(At.CLOSED)
        self._read_on(True)  # until the client's end
        exchange, self._exchange = self._exchange, None
        owed = len(self._whole) + (exchange is not None)
        for waiting in self._whole:
            waiting.memory.release()
        self._whole.clear()
        self._part.release()
        self.on_closing(self, reason, owed)
        if exchange:
            exchange._lost(reason.value)

    def _change(self, state: At) -> None:
        self.state, self._looked_again = state, False
        if self._timer and self._timer.active():
            self._timer.cancel()
        if state is At.IDLE:
            self.idle_since = self.clock.seconds()
        bounds, idle, reading = self.bounds, self.bounds.idle_s, self.bounds.request_s
        if not self._asked:
            idle = bounds.first_s or idle
            if bounds.opening_s:
                reading = max(0.001, self.opened_at + bounds.opening_s - self.clock.seconds())
        limit = {At.IDLE: idle, At.READING: reading}.get(state)
        self._timer = self.clock.callLater(limit, self._late) if limit else None

    def _late(self) -> None:
        if self._queued:
            return  # its request is whole, and waits for its turn
        if self.state is At.READING and self.unread and not self._looked_again:
            self._looked_again = True  # the rest may have come in time, and the loop late
            self.transport.doRead()
            if self.state is At.READING and self._looked_again:
                self._late()
        elif self.state is At.READING:
            self._refuse(408, f"the request was not complete within {self.bounds.request_s:g} s")
        elif self.unread:  # it has just begun a request
            self._timer = self.clock.callLater(0, self._late)
        else:
            self._close(CloseReason.IDLE)


class Gate(Shape):
    """What a listener asks before it takes a connection, and tells of it."""

    def comes(self, address: str) -> tuple[object, object] | None: ...

    def opened(self, connection: ServerConnection) -> None: ...

    def gone(self, connection: ServerConnection) -> None: ...


@dataclass(slots=True)
class ServerResources:
    """What the connections of a server share: each process has one of each."""

    memory: MemoryBudget
    turns: TurnQueue
    pace: RefusalPace
    log: Callable[..., None] = lambda event, **fields: None
    patience: Callable[[Exchange], float] = lambda exchange: 0.0  # seconds that a request's client waits from now on; 0: not told


class ServerFactory(Factory):
    """Makes and counts connections. With a gate, those alone that it lets in or wants answered."""

    noisy = False

    def __init__(self, clock: IReactorTime, bounds: Bounds, handle: Callable[[Exchange], None],
                 gate: Gate | None = None, refused: Bounds | None = None, resources: ServerResources | None = None) -> None:
        self.resources = resources or ServerResources(MemoryBudget(), TurnQueue(clock, clock.seconds), RefusalPace(clock))
        self.clock, self.bounds, self.handle, self.gate = clock, bounds, handle, gate
        self.refused_bounds = refused or bounds
        self.connections: dict[ServerConnection, None] = {}
        self.closing = False
        self.closes: Counter[CloseReason] = Counter()
        self.on_closing: Callable[[ServerConnection, CloseReason, int], None] = lambda connection, reason, owed: None

    def buildProtocol(self, addr: object) -> ServerConnection | None:
        let_in = self.gate.comes(addr.host) if self.gate else (None, None)
        if let_in is None:
            return None
        connection = self.make()
        connection.ticket, connection.refused = let_in
        if connection.refused is not None:
            connection.bounds = self.refused_bounds
        connection.closing = self.closing
        self.connections[connection] = None
        connection.gate = self.gate
        return connection

    def make(self) -> ServerConnection:
        return ServerConnection(self.clock, self.bounds, self.handle, self._gone, self._closing, self.resources)

    def _closing(self, connection: ServerConnection, reason: CloseReason, owed: int) -> None:
        """``owed``: requests that were read on it and have no whole answer."""
        self.closes[reason] += 1
        self.on_closing(connection, reason, owed)

    def _gone(self, connection: ServerConnection) -> None:
        if self.connections.pop(connection, False) is None and self.gate:
            self.gate.gone(connection)

    def last_answers(self) -> None:
        """From now on each connection closes after its next answer; none is closed for it."""
        self.closing = True
        for connection in self.connections:
            connection.closing = True

    def stop(self) -> None:
        """Closes what is idle; busy connections close after their answer."""
        self.closing = True
        for connection in list(self.connections):
            connection.stop()
