"""Calls to the discovery agent: one answer each, bounded in time and size, and the set of those that are out."""
from __future__ import annotations

from enum import Enum
from typing import Protocol

from twisted.internet.interfaces import IDelayedCall, IReactorTCP

from ..admission.memory import MEGABYTE, MemoryBudget, Purpose
from ..core.source_silence import LATEST_S
from ..wire.client import ClientConnection, connect_tcp
from .list_codec import Garbled, News
from .list_stream import ListReader

OK = 200
CONNECT_S = 0.8       # the agent stands on the same machine
LIST_MOST = 8_388_608  # bytes of an answer
CALLS_PART = 0.5       # of what peers may hold, for the answers of several calls together; one alone may hold all of it


class Problem(Enum):
    """Why a call came to nothing."""
    SILENCE = "silence"
    NO_CONNECTION = "no connection"
    CONNECTION_LOST = "the connection went"
    STATUS = "the agent has no list to tell"
    UNREADABLE = "an answer cannot be used"
    TOO_LONG = "an answer is too long"


class CallOwner(Protocol):
    """What becomes of a call is told to."""

    def asked(self, call: Call) -> None:
        """Its request has been written."""

    def spoke(self, call: Call) -> None:
        """A part of a good answer has come."""

    def answered(self, call: Call, news: News) -> None:
        """A good answer is complete."""

    def crowded(self, call: Call) -> None:
        """It has come to a part of its answer for which there is no room beside the other calls' answers. It may be dropped."""

    def failed(self, call: Call, problem: Problem, detail: str) -> None:
        """It came to nothing."""


class Call:
    """One call and its answer (``wire.client.Exchange``).

    Args:
        owner: told what becomes of it.
        patience_s: seconds after which it is given up.
        hold_s: seconds of these that the agent may wait for news; 0: it is asked for the whole list.
        beside_silence: whether nothing was answered when it was made.
    """

    __slots__ = ("owner", "reactor", "connection", "status", "received", "began", "patience_s", "hold_s", "beside_silence", "over", "_due",
                 "_timer", "_memory", "_reader")

    def __init__(self, owner: CallOwner, reactor: IReactorTCP, budget: MemoryBudget, patience_s: float, hold_s: float,
                 beside_silence: bool) -> None:
        self.owner, self.reactor, self.status, self.received, self.over = owner, reactor, 0, 0, False
        self.began, self.patience_s, self.hold_s, self.beside_silence = reactor.seconds(), patience_s, hold_s, beside_silence
        self.connection: ClientConnection | None = None
        self._memory = budget.account(Purpose.LISTS)
        self._reader = ListReader()
        self._due = self.began + patience_s
        self._timer: IDelayedCall = reactor.callLater(patience_s, self._silent)

    @property
    def unread(self) -> bool:
        """Whether the kernel holds a part of its answer that the loop has not come to."""
        return self.connection is not None and self.connection.unread

    def ask(self, connection: ClientConnection, path: str) -> None:
        """Writes the request."""
        self.connection = connection
        if not connection.ask("GET", path, [], b"", self):
            return self._fail(Problem.CONNECTION_LOST)
        self.owner.asked(self)

    def head(self, status: int) -> None:
        self.status = status
        if status == OK:
            self.owner.spoke(self)

    def body(self, data: bytes) -> None:
        self.received += len(data)
        if self.status != OK or self.over:
            return
        self.owner.spoke(self)
        try:
            self._reader.feed(data)
        except Garbled as wrong:
            return self._fail(Problem.UNREADABLE, str(wrong))
        self._memory.hold(self._reader.held)
        budget = self._memory.budget
        if budget.held[Purpose.LISTS] > budget.limit * CALLS_PART:
            self.owner.crowded(self)
        if self.received > LIST_MOST or budget.held[Purpose.LISTS] > budget.limit:
            self._fail(Problem.TOO_LONG, self._needed())

    def complete(self) -> None:
        if self.over:
            return
        if self.status != OK:
            return self._fail(Problem.STATUS, f"status {self.status}")
        try:
            news = self._reader.close()
        except Garbled as wrong:
            return self._fail(Problem.UNREADABLE, str(wrong))
        self.owner.answered(self, news)

    def _needed(self) -> str:
        return (f"{self._reader.entries} entries and more in {self.received / MEGABYTE:.1f} MB, for which over "
                f"{self._reader.held / MEGABYTE:.1f} MB are needed and {self._memory.budget.limit / MEGABYTE:.1f} are there")

    def lost(self, reason: str, malformed: bool) -> None:
        self._fail(Problem.UNREADABLE if malformed else Problem.CONNECTION_LOST, reason)

    def no_connection(self) -> None:
        """The agent could not be connected to."""
        self._fail(Problem.NO_CONNECTION)

    def end(self) -> None:
        """Nothing more is heard of this call."""
        self.over = True
        self._memory.release()
        self._reader = ListReader()
        if self._timer.active():
            self._timer.cancel()
        if self.connection:
            self.connection.drop()

    def _fail(self, problem: Problem, detail: str = "") -> None:
        if not self.over:
            self.end()
            self.owner.failed(self, problem, detail)

    def _silent(self) -> None:
        late = self.reactor.seconds() - self._due
        if late > LATEST_S:  # the loop's own fault: first it reads what has come meanwhile
            self._due = self.reactor.seconds()
            self._timer = self.reactor.callLater(0, self._silent)
        else:
            self._fail(Problem.SILENCE)


class Calls:
    """The calls that are out, in the order in which they were made: tries ask for the whole list, watches for what is newer."""

    def __init__(self, owner: CallOwner, reactor: IReactorTCP, budget: MemoryBudget) -> None:
        self._owner, self._reactor, self._budget = owner, reactor, budget
        self._out: dict[Call, None] = {}

    @property
    def tries(self) -> list[Call]:
        """Those for the whole list."""
        return [call for call in self._out if not call.hold_s]

    @property
    def watches(self) -> list[Call]:
        """Those that may wait for news."""
        return [call for call in self._out if call.hold_s]

    @property
    def unread(self) -> bool:
        """Whether the kernel holds a part of an answer that the loop has not come to."""
        return any(call.unread for call in self._out)

    def new(self, patience_s: float, hold_s: float, beside_silence: bool) -> Call:
        """A call that has still to be asked."""
        call = Call(self._owner, self._reactor, self._budget, patience_s, hold_s, beside_silence)
        self._out[call] = None
        return call

    def connect(self, call: Call, address: tuple[str, int], path: str) -> None:
        """Asks over a connection of its own."""
        host, port = address

        def build() -> ClientConnection:
            return ClientConnection(f"{host}:{port}", lambda c: None, lambda c: None)

        def made(connection: ClientConnection) -> None:
            if call.over:
                return connection.drop()
            call.ask(connection, path)

        connecting = connect_tcp(self._reactor, host, port, build, CONNECT_S)
        connecting.addCallbacks(made, lambda failure: call.no_connection())

    def answered(self, call: Call) -> ClientConnection | None:
        """Takes a call out, and hands over the connection on which it was answered."""
        connection, call.connection = call.connection, None
        self.drop(call)
        return connection

    def drop(self, *calls: Call) -> None:
        """Gives calls up."""
        for call in calls:
            self._out.pop(call, None)
            call.end()

    def drop_all(self) -> None:
        """Gives all calls up."""
        self.drop(*list(self._out))
