"""The engine list over the platform's discovery: its codec, and the watch that follows it.

The last list stands while discovery is away or cannot be understood: an engine is dropped only when discovery says so.
"""
from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IDelayedCall, IReactorTCP
from twisted.internet.protocol import Factory

from ..core.router import Router
from ..decisions.interface import Availability, RosterRow
from ..wire.client import ClientConnection
from ..wire.connections import Connections

LIST = "/registry/instances"
PHASES = {"SERVING": Availability.RUNNING, "DRAINING": Availability.DRAINING, "DELETED": Availability.GONE}
HOLD_MS = 5_000       # that a watch waits for news; PROTOCOL allows 60,000
ANSWER_S = 1.0        # beyond the hold; the agent stands on the same machine and answers at once, or not at all
AGAIN_S = 0.1         # between tries; a watch goes on within 200 ms of its last answer
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

    Args:
        router: told of every change.
        connections: told where engines listen before the router hears of them.
        address: of the agent.
        on_first: called once, when discovery has answered for the first time.
    """

    def __init__(self, router: Router, connections: Connections, address: tuple[str, int], reactor: IReactorTCP,
                 log: Callable[..., None], on_first: Callable[[], None]) -> None:
        self.router, self.connections, self.address, self.reactor, self.log = router, connections, address, reactor, log
        self.on_first: Callable[[], None] | None = on_first
        self.revision = -1
        self.listed: dict[str, str] = {}  # engine: address
        self.away = False
        self._connection: ClientConnection | None = None
        self._ask: _Ask | None = None
        self._timer: IDelayedCall | None = None
        self._stopped = False

    def start(self, known: News) -> None:
        """Takes up the list that the configuration names, then asks for the present one."""
        self.take(known)
        self.revision = -1  # it may be old: the first call asks for all
        self._connect()

    def stop(self) -> None:
        """Asks no more."""
        self._stopped = True
        self._drop()

    def move(self, address: tuple[str, int]) -> None:
        """Discovery is elsewhere from now on; what is known stands, and the next call goes there."""
        self.address = address
        self._drop()
        self._connect()

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
            if m.since:
                row = RosterRow(row.engine, row.kind, row.zone, row.availability, m.since * 1000, row.size, row.rack)
            rows.append(row)
        self.revision = news.revision
        self.router.roster(rows, news.complete)
        for id in gone:
            self.listed.pop(id, None)
            self.connections.forget(id)

    # One call after another.

    def _connect(self) -> None:
        if self._stopped:
            return
        host, port = self.address
        ask = self._ask = _Ask(self)
        factory = Factory.forProtocol(lambda: ClientConnection(f"{host}:{port}", lambda c: None, lambda c: None))
        factory.noisy = False

        def made(connection: ClientConnection) -> None:
            if self._ask is not ask:
                return connection.drop()
            self._connection = connection
            self._call()

        def not_made(failure: object) -> None:
            if self._ask is ask:
                self._away("no connection")

        endpoint = TCP4ClientEndpoint(self.reactor, host, port, timeout=ANSWER_S)
        endpoint.connect(factory).addCallbacks(made, not_made)

    def _call(self) -> None:
        ask = self._ask = _Ask(self)
        path, wait = (LIST, 0) if self.revision < 0 else (f"{LIST}?from={self.revision}&hold_ms={HOLD_MS}", HOLD_MS / 1000)
        self._timer = self.reactor.callLater(wait + ANSWER_S, lambda: self._ask is ask and self._away("silence"))
        if self._connection is None or not self._connection.ask("GET", path, [], b"", ask):
            self._away("the connection went")

    def _answered(self, status: int, data: bytes) -> None:
        self._ask = None
        if self._timer and self._timer.active():
            self._timer.cancel()
        try:
            if status != 200:
                raise Garbled(f"status {status}")
            news = decode(data)
        except Garbled as wrong:
            self.revision = -1  # changes build on one another: after what cannot be read the whole list is needed
            return self._away(f"an answer cannot be used: {wrong}")
        self.take(news)
        if self.away:
            self.away = False
            self.log("discovery is back", level="info", reason=f"revision {self.revision}")
        first, self.on_first = self.on_first, None
        if first:
            first()
        self._timer = self.reactor.callLater(0, self._next)

    def _next(self) -> None:
        if not self._stopped:
            self._call() if self._connection and self._connection.quiet else self._again(0)

    def _away(self, reason: str) -> None:
        if not self.away:  # one line for all the tries
            self.log("discovery away", level="warning", reason=reason)
        self.away = True
        self._again(AGAIN_S)

    def _again(self, after: float) -> None:
        self._drop()
        if not self._stopped:
            self._timer = self.reactor.callLater(after, self._connect)

    def _drop(self) -> None:
        self._ask = None
        if self._timer and self._timer.active():
            self._timer.cancel()
        connection, self._connection = self._connection, None
        if connection:
            connection.drop()


class _Ask:
    """One call's answer (``wire.client.Exchange``)."""

    __slots__ = ("owner", "status", "data")

    def __init__(self, owner: Discovery) -> None:
        self.owner, self.status, self.data = owner, 0, bytearray()

    def head(self, status: int) -> None:
        self.status = status

    def body(self, data: bytes) -> None:
        self.data += data
        if len(self.data) > LIST_MOST and self.owner._ask is self:
            self.owner._away("an answer is too long")

    def complete(self) -> None:
        if self.owner._ask is self:
            self.owner._answered(self.status, bytes(self.data))

    def lost(self, reason: str, malformed: bool) -> None:
        if self.owner._ask is self:
            self.owner._away(reason)
