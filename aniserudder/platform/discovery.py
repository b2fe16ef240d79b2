"""The engine list over the platform's discovery: its codec, and the watch that follows it.

The last list stands while discovery is away or cannot be understood: an engine is dropped only when discovery says so.
"""
from __future__ import annotations

import math
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
from twisted.internet.interfaces import IDelayedCall, IReactorTCP

from ..admission.memory import MemoryBudget, Purpose
from ..core.router import Router
from ..core.start_times import StartTimes
from ..decisions.interface import Availability, RosterRow
from ..wire.client import ClientConnection, connect_tcp
from ..wire.connections import Connections

LIST = "/registry/instances"
PHASES = {"SERVING": Availability.RUNNING, "DRAINING": Availability.DRAINING, "DELETED": Availability.GONE}
TOLD_S = 6.0          # a change counts as told so long after discovery had it, whatever fell silent meanwhile
HOLD_MS = 2_000       # that a watch waits for news; PROTOCOL allows 60,000
ANSWER_S = 0.8        # beyond the hold; the agent stands on the same machine and answers at once, or not at all
PATIENT_S, PATIENT_EVERY = TOLD_S, 4  # one try at a time, of so many, waits for so long: the agent may be slow, and not gone
WATCH_SLOWER_S = 1.9  # that a watch of a slow agent is given beyond its hold before whole lists are asked for
BESIDE_S = 0.1        # that a watch's answer is waited for beyond its hold before another watch is opened beside it
WATCHES_MOST = 5      # at a time: each waits for its answer as long as a change in its hold is not overdue
SLOWER, QUICKER = 1.5, 0.8  # what is expected of the next answer: times what a slow one took; and how that is forgotten
TRIES_IN_GRACE = 4    # while nothing answers: so many tries in the time in which a drain has to be heeded
LATEST_S = 0.05       # a loop that is later than this has not come to what the kernel holds
LIST_MOST = 8_388_608  # bytes of an answer


class Garbled(ValueError):
    """An answer that is no list; nothing of it is used."""


@dataclass(slots=True, frozen=True)
class Member:
    """One engine as listed; ``since`` is its last start in milliseconds since 1970, 0 for long ago."""
    id: str
    address: str
    row: RosterRow
    since: int


@dataclass(slots=True, frozen=True)
class News:
    """Changes of the list, or the whole of it."""
    revision: int
    complete: bool
    members: tuple[Member, ...]


def decode(data: bytes) -> News:
    """Reads an answer of discovery.

    Raises:
        Garbled: it is none.
    """
    try:
        return read(msgspec.json.decode(data))
    except (msgspec.DecodeError, KeyError, TypeError, ValueError, AttributeError) as wrong:
        raise Garbled(f"{type(wrong).__name__}: {wrong}") from None


def read(data: dict[str, Any]) -> News:
    """A list from its JSON.

    Raises:
        KeyError, TypeError, ValueError, AttributeError: it is none.
    """
    revision, complete = data["revision"], data["complete"]
    if not isinstance(revision, int) or not isinstance(complete, bool):
        raise ValueError("revision or complete is of another kind")
    return News(revision, complete, tuple(_member(m) for m in data["members"]))


def _member(m: dict[str, Any]) -> Member:
    address, phase = m["host_port"], PHASES[m["phase"]]
    host, _, port = address.rpartition(":")
    if not isinstance(m["id"], str) or not m["id"] or not host or not port.isdigit() or int(port) > 65_535:
        raise ValueError("an engine without id or address")
    since = int(m.get("up_since_ms") or 0)
    row = RosterRow(m["id"], str(m.get("flavor", "")), str(m.get("locality", "")), phase, 0,
                    float(m.get("size") or 1.0), int(m.get("cell", -1)))
    return Member(m["id"], address, row, since)


class Discovery:
    """Follows the list and tells router and connections of it.

    A watch is always out that the agent may answer with a change: one whose hold is over and that was not answered is kept, and another is
    opened beside it, as the agent may be slow and what comes to be known while it answers is not in that answer. While nothing is answered
    at all the agent is being located: whole lists are asked for at a steady pace, each on a connection of its own, until one is answered.
    Nobody waits for a call that may have been lost: what the agent has counts as told at once when it is back, and drains have to be heeded
    in ``grace`` then.

    Args:
        router: told of every change.
        connections: told where engines listen before the router hears of them.
        address: of the agent.
        grace: seconds in which a drain has to be heeded; 0: settings do not say.
        on_first: called once, when discovery has answered for the first time.
        budget: of the process's memory.
        wall: seconds since 1970, the clock on which lists tell engines' starts.
    """

    def __init__(self, router: Router, connections: Connections, address: tuple[str, int], grace: float, reactor: IReactorTCP,
                 log: Callable[..., None], on_first: Callable[[], None], budget: MemoryBudget, wall: Callable[[], float] = time.time) -> None:
        self.router, self.connections, self.address, self.reactor, self.log = router, connections, address, reactor, log
        self.on_first: Callable[[], None] | None = on_first
        self.budget = budget
        self.again = min(ANSWER_S, grace or ANSWER_S) / TRIES_IN_GRACE
        self.start_times = StartTimes(reactor.seconds, wall)
        self.revision = -1
        self.listed: dict[str, str] = {}  # engine: address
        self.away = False
        self._tries = 0  # since an answer came
        self._answer_s = ANSWER_S  # that an answer is waited for beyond a watch's hold
        self._taken_at = -math.inf  # when the last list or change was taken
        self._calls: dict[_Call, None] = {}  # that are out: watches and tries
        self._resting: ClientConnection | None = None  # answered, and asked anew in the next turn
        self._next: IDelayedCall | None = None  # what is done next: a try, or a watch
        self._beside: IDelayedCall | None = None  # the next watch, if none is answered before
        self._stopped = False

    def start(self, known: News) -> None:
        """Takes up the list that the configuration names, which may be old, then asks for the present one."""
        self.take(known)
        self._locate()

    def stop(self) -> None:
        """Asks no more."""
        self._stopped = True
        self._drop()

    def move(self, address: tuple[str, int]) -> None:
        """Discovery is elsewhere from now on; what is known stands, and the next call goes there."""
        self.address = address
        self._drop()
        self._locate()

    def take(self, news: News) -> None:
        """Tells of a list, or of changes."""
        if news.complete:
            named = {m.id for m in news.members}
            gone = [id for id in self.listed if id not in named]
        else:
            gone = [m.id for m in news.members if m.row.availability is Availability.GONE]
        rows = []
        for m in news.members:
            if m.row.availability is not Availability.GONE:
                self.listed[m.id] = m.address
                self.connections.locate(m.id, m.address)
            row = m.row
            if m.since and m.row.availability is not Availability.GONE:
                row = RosterRow(row.engine, row.kind, row.zone, row.availability, self.start_times.resolve(m.id, m.since * 1000), row.size, row.rack)
            rows.append(row)
        self.revision = news.revision
        self.router.roster(rows, news.complete)
        for id in gone:
            self.listed.pop(id, None)
            self.connections.forget(id)
            self.start_times.forget(id)

    # Locating the agent, and one watch after another.

    def _locate(self) -> None:
        """One more try, and the next one soon, whatever becomes of this one."""
        if self._stopped:
            return
        self._next = self.reactor.callLater(self.again, self._locate)
        self._tries += 1
        patient = self._tries % PATIENT_EVERY == 0 and not any(call.patience_s == PATIENT_S for call in self._calls)
        self._connect(_Call(self, PATIENT_S if patient else ANSWER_S), LIST)

    def _connect(self, call: _Call, path: str) -> None:
        """Asks over a connection of its own."""
        self._calls[call] = None
        host, port = self.address

        def build() -> ClientConnection:
            return ClientConnection(f"{host}:{port}", lambda c: None, lambda c: None)

        def made(connection: ClientConnection) -> None:
            if call not in self._calls:
                return connection.drop()
            call.ask(connection, path)

        connecting = connect_tcp(self.reactor, host, port, build, ANSWER_S)  # the agent stands on the same machine
        connecting.addCallbacks(made, lambda failure: call.failed("no connection"))

    def _watch(self, located: bool) -> None:
        """Waits for what is newer than the list at hand, over the connection that has just been answered.

        Args:
            located: whether it was a try: watches that were opened before may have been lost.
        """
        connection, self._resting = self._resting, None
        if not connection.quiet:
            connection.drop()
            return self._locate()
        self._look_for_silence()
        if not located and self._holds():
            return connection.drop()
        call = self._new_watch()
        self._calls[call] = None
        call.ask(connection, self._watch_path)

    @property
    def _watch_path(self) -> str:
        return f"{LIST}?from={self.revision}&hold_ms={HOLD_MS}"

    def _new_watch(self) -> _Call:
        hold_s = HOLD_MS / 1000
        self._cancel(self._beside)
        self._beside = self.reactor.callLater(hold_s + BESIDE_S, self._watch_beside)
        watches = [call for call in self._calls if call.hold_s]
        if len(watches) >= WATCHES_MOST:
            del self._calls[watches[0]]
            watches[0].end()
        return _Call(self, hold_s + TOLD_S, hold_s)

    def _watch_beside(self) -> None:
        """The hold of the newest watch is over, and it was not answered."""
        if not self._stopped:
            self._connect(self._new_watch(), self._watch_path)

    def _holds(self) -> bool:
        """Whether a watch is out whose hold is not over, and that was not opened while nothing was answered."""
        now = self.reactor.seconds()
        return any(now < call.began + call.hold_s and not call.began_away for call in self._calls)

    def _look_for_silence(self) -> None:
        """Begins to locate the agent if nothing is answered for as long as the next answer should take."""
        self._cancel(self._next)
        self._next = self.reactor.callLater(HOLD_MS / 1000 + self._answer_s, self._silent)

    def _silent(self) -> None:
        self._note_away("silence")
        self._locate()

    def answered(self, call: _Call, status: int, data: bytes) -> None:
        """One call has its answer. Tries that are out are given up; watches go on."""
        try:
            if status != 200:
                raise Garbled(f"status {status}")
            news = decode(data)
        except Garbled as wrong:
            return call.failed(f"an answer cannot be used: {wrong}")
        connection, call.connection = call.connection, None
        self._calls.pop(call, None)
        call.end()
        self._drop_tries()
        self._tries = 0
        self._expect(call)
        # Before anything that may fail: a node without a next call would never hear of a change again.
        self._resting = connection
        self._cancel(self._next)
        self._next = self.reactor.callLater(0, self._watch, not call.hold_s)  # not before the answer's bytes have all been read
        if not self._is_stale(call, news) and not self._take_safely(news):
            return
        if self.away:
            self.away = False
            self.log("discovery is back", level="info", reason=f"revision {self.revision}")
        first, self.on_first = self.on_first, None
        if first:
            first()

    def _is_stale(self, call: _Call, news: News) -> bool:
        """Whether another call has told as much or more since this one began. An agent that counts anew is not: nothing was told since."""
        return call.began < self._taken_at and news.revision <= self.revision

    def _take_safely(self, news: News) -> bool:
        try:
            self.take(news)
        except Exception as failure:  # changes build on one another: the whole list is asked for
            self.log("list not taken", level="error", reason=f"{type(failure).__name__}: {failure}")
            self._drop()
            self._next = self.reactor.callLater(self.again, self._locate)
            return False
        self._taken_at = self.reactor.seconds()
        return True

    def _expect(self, call: _Call) -> None:
        """How long the next answer may take, after one that came."""
        took = self.reactor.seconds() - call.began - call.hold_s
        self._answer_s = min(WATCH_SLOWER_S, max(ANSWER_S, QUICKER * self._answer_s, SLOWER * took))

    def lost(self, call: _Call, reason: str) -> None:
        """A call came to nothing. Behind a watch that did the whole list is asked for, as changes build on one another."""
        self._calls.pop(call, None)
        if self._stopped:
            return
        self._note_away(reason)
        if call.hold_s or self._next is None or not self._next.active():
            self._cancel(self._next)
            self._next = self.reactor.callLater(self.again, self._locate)

    def _note_away(self, reason: str) -> None:
        if not self.away:  # one line for all the tries
            self.log("discovery away", level="warning", reason=reason)
        self.away = True

    def _drop_tries(self) -> None:
        tries = [call for call in self._calls if not call.hold_s]
        for call in tries:
            del self._calls[call]
            call.end()

    def _drop(self) -> None:
        self._cancel(self._next)
        self._cancel(self._beside)
        resting, self._resting = self._resting, None
        if resting:
            resting.drop()
        calls, self._calls = self._calls, {}
        for call in calls:
            call.end()

    @staticmethod
    def _cancel(timer: IDelayedCall | None) -> None:
        if timer is not None and timer.active():
            timer.cancel()


class _Call:
    """One call and its answer (``wire.client.Exchange``), bounded in time."""

    __slots__ = ("owner", "connection", "status", "data", "began", "patience_s", "hold_s", "due", "timer", "over", "memory", "began_away")

    def __init__(self, owner: Discovery, patience: float, hold_s: float = 0.0) -> None:
        self.owner, self.status, self.data, self.over = owner, 0, bytearray(), False
        self.began, self.patience_s, self.hold_s = owner.reactor.seconds(), patience, hold_s
        self.began_away = owner.away
        self.memory = owner.budget.account(Purpose.LISTS)
        self.connection: ClientConnection | None = None
        self.due = owner.reactor.seconds() + patience
        self.timer = owner.reactor.callLater(patience, self._silent)

    def ask(self, connection: ClientConnection, path: str) -> None:
        self.connection = connection
        if not connection.ask("GET", path, [], b"", self):
            self.failed("the connection went")

    def head(self, status: int) -> None:
        self.status = status

    def body(self, data: bytes) -> None:
        self.data += data
        self.memory.hold(len(self.data))
        if len(self.data) > LIST_MOST or self.memory.budget.held[Purpose.LISTS] > self.memory.budget.limit / 2:
            self.failed("an answer is too long")

    def complete(self) -> None:
        if not self.over:
            self.owner.answered(self, self.status, bytes(self.data))

    def lost(self, reason: str, malformed: bool) -> None:
        self.failed(reason)

    def failed(self, reason: str) -> None:
        if not self.over:
            self.end()
            self.owner.lost(self, reason)

    def end(self) -> None:
        """Nothing more is heard of this call."""
        self.over = True
        self.memory.release()
        self.data.clear()
        if self.timer.active():
            self.timer.cancel()
        if self.connection:
            self.connection.drop()

    def _silent(self) -> None:
        late = self.owner.reactor.seconds() - self.due
        if late > LATEST_S:  # the loop's own fault: first it reads what has come meanwhile
            self.due = self.owner.reactor.seconds()
            self.timer = self.owner.reactor.callLater(0, self._silent)
        else:
            self.failed("silence")
