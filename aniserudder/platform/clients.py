"""The clients' side of the platform's protocol: takes requests, hands them to the router, writes what becomes of them.

What cannot be read or is no request of this service is answered with an error and never reaches the router. Bodies and
events pass as the bytes they came as.
"""
from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

import msgspec
import xxhash
from twisted.internet.interfaces import IDelayedCall, IListeningPort, IReactorTime

from ..admission.descriptors import Calm, Descriptors
from ..core.ports import Request, Usage
from ..core.router import Router
from ..decisions.interface import Prompt
from ..wire.listening import accepts
from ..wire.connections import NO_DESCRIPTOR
from ..wire.server import At, Bounds, CloseReason, Exchange, ServerConnection, ServerFactory, ServerResources

PATH, READY = "/v1/chat/completions", "/health/ready"
BODY_MOST = 262_144      # PROTOCOL: a body holds 256 KiB at most
READ_MOST = 16_384       # bytes of one connection that are read and written at a time
OPENING_S = 2.4          # DAYS: what says nothing or never ends is closed within 3 s of connecting
IDLE_S = 2.0             # DAYS: a connection with no open request may be closed after this
LINGER_S = 0.5           # for a client's end after ours; it stands in the next room
KEPT_S = 60.0            # and is, where nobody needs the room
FIRST_WORD_S = 0.3       # that a stopping node waits for the first request of a connection that it has accepted
PART_CHANCE_S = 1.0      # nor one that has sent a part of its first request
CHANCE_S = 0.1           # a connection that never had a sequence is not closed to make room before it could ask for one
LONGEST = 3_600_000_000  # microseconds; a deadline beyond that is none
MOST_TOKENS = 10_000_000
ID_MOST = 128
REMEMBERED = 4_096       # ids of requests that are over, by their digests: an id never comes twice
REMEMBERED_BYTES = 160   # that one of them holds
NAME_KEPT = 32           # characters; a longer name stands by its digest
NOT_CONFIRMED = "no engine list is known that may be sent on"
NO_TIME_US = 1         # of a request whose time was over before it was read
LOOK_EVERY = 0.05        # seconds between looks at who may be closed, while room is short
# Not passed on: what concerns one connection alone (RFC 9110, 7.6.1), and what the node writes itself.
OWN_HEADERS = frozenset({"connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te", "trailer",
                         "transfer-encoding", "upgrade", "expect", "host", "content-length", "content-type", "request-id",
                         "request-timeout"})


# Reasons to close a connection that are this side's own; the others are the client's doing.
OWN_WILL = frozenset({CloseReason.IDLE, CloseReason.SHED, CloseReason.STOPPING, CloseReason.LAST_ANSWER})


class NoRequest(Exception):
    """What came is no request of this service: the status that it is answered with, and why."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class _Body(msgspec.Struct):
    """Of a body only that it is a JSON object is looked at: the rest is the engine's."""


_body = msgspec.json.Decoder(_Body)


def _number(text: str, least: float, most: float, what: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not least <= value <= most:  # also for what is not a number
        raise NoRequest(400, f"{what} is no number between {least:g} and {most:g}")
    return value


def short_name(name: str) -> str:
    """A name that clients make up, in a form of bounded length: each is remembered for a while, and so is its length."""
    return name if len(name) <= NAME_KEPT else xxhash.xxh3_128_hexdigest(name.encode())


def digest(id: str) -> int:
    """By which an id is remembered."""
    return xxhash.xxh3_64_intdigest(id.encode())


def prompt_of(headers: dict[str, str], types: Iterable[str]) -> Prompt:
    """What the decision module is told of a request.

    Raises:
        NoRequest: a header is missing or cannot be meant.
    """
    kind = headers.get("request-class", "")
    if kind not in types:
        raise NoRequest(400, "no such request class")
    if "request-timeout" not in headers:
        raise NoRequest(400, "Request-Timeout is missing")
    left = _number(headers["request-timeout"], 1e-6, LONGEST / 1e6, "Request-Timeout")
    info = {}
    for part in headers.get("request-info", "").split(","):
        name, _, value = part.strip().partition("=")
        info[name] = value

    def count(name: str) -> int:
        return round(_number(info.get(name) or "0", 0, MOST_TOKENS, name))
    hint = _number(headers.get("work-hint") or "0", 0, LONGEST, "Work-Hint")
    return Prompt(kind, short_name(headers.get("affinity-key", "")), short_name(info.get("prefix", "")), count("prompt_len"),
                  count("prefix_len"), count("max_out"), round(hint), round(left * 1e6), headers.get("tenant", ""))


def request_of(exchange: Exchange, types: Iterable[str]) -> tuple[str, Request]:
    """A sequence's id and request.

    Raises:
        NoRequest: it is none.
    """
    headers = exchange.headers
    if exchange.path.partition("?")[0] != PATH:
        raise NoRequest(404, f"no such path, allowed: POST {PATH}")
    if exchange.method != "POST":
        raise NoRequest(405, f"allowed: POST {PATH}")
    id = headers.get("request-id", "")
    if not id or len(id) > ID_MOST or not id.isascii() or not id.isprintable() or " " in id or "/" in id:
        raise NoRequest(400, "Request-Id is missing or no id")
    prompt = prompt_of(headers, types)
    body = bytes(exchange.body)
    try:
        _body.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):  # the last: nested too deep
        raise NoRequest(400, "the body is no JSON object") from None
    own = OWN_HEADERS | {name.strip().lower() for name in headers.get("connection", "").split(",")}
    passed = tuple((name, value) for name, value in headers.items() if name not in own)
    return id, Request(prompt, body, target=exchange.path, headers=passed)


@dataclass(slots=True, frozen=True)
class Early:
    """A request that came while the list may not be sent on: by an old one it could go where it may not."""
    exchange: Exchange
    request: Request
    came: float
    timer: IDelayedCall


class StreamAnswer:
    """One client's side of a sequence (``core.ports.Answer``)."""

    __slots__ = ("clients", "exchange", "id")

    def __init__(self, clients: Clients, exchange: Exchange, id: str) -> None:
        self.clients, self.exchange, self.id = clients, exchange, id

    def text(self, piece: bytes) -> None:
        if not self.exchange.began:
            self.exchange.begin(200)
        self.exchange.write(piece)

    def generated(self, reason: str, usage: Usage) -> None:
        self.clients.over(self.id)
        self.exchange.end()

    def rejected(self, come_back: int, reason: str) -> None:
        self.clients.over(self.id)
        self.clients.fail(self.exchange, 503, reason, come_back)

    def aborted(self, reason: str) -> None:
        """Before the first event an error; after it the connection ends without the last chunk."""
        self.clients.over(self.id)
        if self.exchange.began:
            self.exchange.break_off()  # what was passed on gets out: a client that never got a byte was not answered
        else:
            self.clients.fail(self.exchange, 502, reason)


class Clients:
    """The server side for one router; also its own gate (``wire.server.Gate``).

    Args:
        router: takes the sequences.
        types: traffic types that settings name.
        descriptors: of the process, as shared out.
        log: of the node.
        resources: of the process: memory, turns of the loop.
    """

    def __init__(self, router: Router, types: Iterable[str], descriptors: Descriptors, clock: IReactorTime,
                 log: Callable[..., None], resources: ServerResources) -> None:
        self.router, self.types, self.descriptors, self.clock, self.log = router, frozenset(types), descriptors, clock, log
        bounds = Bounds(body=BODY_MOST, request_s=OPENING_S, idle_s=KEPT_S, first_s=OPENING_S, opening_s=OPENING_S,
                        waiting=BODY_MOST, linger_s=LINGER_S, paced=True, read=READ_MOST)
        self.factory = ServerFactory(clock, bounds, self._asked, self, resources=resources)
        self.factory.on_closing = self._closing
        resources.patience = self._patience
        self.ready = self.stopping = False
        self.turned_away = self.shed = 0
        self.may_take: Callable[[int], bool] = lambda now: True  # whether the engine list allows it, at microseconds of the router's clock
        self.can_forward: Callable[[], bool] = lambda: True  # whether there is a connection to engines for one more request
        self.port: IListeningPort | None = None
        self._early: dict[str, Early] = {}  # came while the list may not be sent on
        self._over: dict[int, None] = {}
        self._look: IDelayedCall | None = None

    @property
    def reading(self) -> bool:
        """Whether a request has come in part, or waits for its turn; each is bounded in time."""
        return any(c.state is At.READING for c in self.factory.connections)

    @property
    def expected(self) -> bool:
        """Whether a connection has only just been accepted, so that its first request may be on the way."""
        since = self.clock.seconds() - FIRST_WORD_S
        return any(c.silent and c.state is At.IDLE and c.opened_at > since for c in self.factory.connections)

    def stop(self) -> None:
        """Takes no new sequence: who comes is told, and each connection ends after its answer. Idle ones go now."""
        self.ready, self.stopping = False, True
        for id, one in list(self._early.items()):
            self._refuse(id, one.exchange, "the node is stopping")
        self.factory.resources.pace.stop()
        self.factory.last_answers()
        for connection in list(self.factory.connections):
            if connection.refused_already or connection.state is At.IDLE and not connection.silent:
                connection.stop()  # one with unread bytes has asked: it is answered first

    # Requests.

    def _asked(self, exchange: Exchange) -> None:
        if exchange.path == READY and exchange.method in ("GET", "HEAD"):
            return exchange.reply(200 if self.ready else 503, b"")
        try:
            id, request = request_of(exchange, self.types)
            request = self._with_time_left(exchange, request)
            if id in self.router.flights or digest(id) in self._over or id in self._early:
                raise NoRequest(409, "this Request-Id has come before")
        except NoRequest as wrong:
            self.turned_away += 1
            self.log("request turned away", level="info", seq=exchange.headers.get("request-id", "")[:ID_MOST], reason=str(wrong))
            return self.fail(exchange, wrong.status, str(wrong))
        exchange.body = bytearray()  # the request holds it
        connection = exchange.connection
        exchange.gone = lambda reason: self._left(id, connection.ended_at)
        exchange.connection.ticket = exchange.connection  # no stranger any more
        if self.stopping:
            self._refuse(id, exchange, "the node is stopping")
        elif request.prompt.time_left <= NO_TIME_US:  # a decision on it would make those behind it late as well
            self._refuse(id, exchange, "its time was over before it was read")
        elif not self._takes:
            self._early[id] = Early(exchange, request, self.clock.seconds(), self.clock.callLater(
                request.prompt.time_left / 1e6, self._refuse, id, exchange, NOT_CONFIRMED))
        elif not self.can_forward():
            self._refuse(id, exchange, NO_DESCRIPTOR)
        else:
            self.router.take(id, request, StreamAnswer(self, exchange, id))

    @property
    def _takes(self) -> bool:
        """Whether requests go to the router at once; else they wait for a list that may be sent on."""
        return self.ready and self.may_take(self.router.now())

    def _patience(self, exchange: Exchange) -> float:
        """Seconds that the client of a request waits from now on, as far as it tells."""
        told = exchange.headers.get("request-timeout", "")
        try:
            seconds = float(told)
        except ValueError:
            return 0.0
        return max(0.0, seconds - (self.clock.seconds() - exchange.arrived_at)) if 0 < seconds < LONGEST / 1e6 else 0.0

    def _with_time_left(self, exchange: Exchange, request: Request) -> Request:
        """A request that waited for the answers before it has that much less time."""
        waited = round((self.clock.seconds() - exchange.arrived_at) * 1e6)
        self.router.lag.request_lay(exchange.lay_s)
        if waited <= 0:
            return request
        return replace(request, prompt=replace(request.prompt, time_left=max(NO_TIME_US, request.prompt.time_left - waited)))

    def open(self) -> None:
        """The node is ready."""
        self.ready = True
        self.resume()

    def resume(self) -> None:
        """Takes up what has waited for a list that may be sent on, with the time that is left of it."""
        if not self._takes:
            return
        early, self._early = self._early, {}
        for id, one in early.items():
            one.timer.cancel()
            waited = round((self.clock.seconds() - one.came) * 1e6)
            prompt = replace(one.request.prompt, time_left=max(1, one.request.prompt.time_left - waited))
            self.router.take(id, replace(one.request, prompt=prompt), StreamAnswer(self, one.exchange, id))

    def _refuse(self, id: str, exchange: Exchange, reason: str) -> None:
        """Not taken, and never sent on."""
        self._forget_early(id)
        self.turned_away += 1
        self.over(id)
        self.log("request refused", level="warning", seq=id, reason=reason)
        self.fail(exchange, 503, reason)

    def _forget_early(self, id: str) -> bool:
        one = self._early.pop(id, None)
        if one and one.timer.active():
            one.timer.cancel()
        return one is not None

    def here(self, id: str) -> bool:
        """Whether a sequence's client has not ended its connection, as far as the kernel knows."""
        connection = self.router.flights[id].answer.exchange.connection
        return connection is not None and not connection.left

    def over(self, id: str) -> None:
        """A sequence has its final answer, or its client left."""
        self._over[digest(id)] = None
        if len(self._over) > REMEMBERED:
            del self._over[next(iter(self._over))]

    @property
    def remembered_bytes(self) -> int:
        """Memory that the ids of requests that are over hold."""
        return REMEMBERED_BYTES * len(self._over)

    def _left(self, id: str, ended_at: float | None) -> None:
        self.over(id)
        if not self._forget_early(id):
            self.router.client_left(id, None if ended_at is None else round(ended_at * 1e6))

    def fail(self, exchange: Exchange, status: int, reason: str, come_back: int = 0) -> None:
        """A final answer before any event. ``come_back`` in microseconds, 0: no advice."""
        body = msgspec.json.encode({"error": {"message": reason}})
        exchange.reply(status, body, [("retry-after", f"{come_back / 1e6:.3f}")] if come_back else [])

    # Connections: room is made by closing those that say nothing, then those that have been idle for longest.

    def comes(self, address: str) -> tuple[object, object]:
        return None, None

    @property
    def room(self) -> int:
        """Connections that there is room for."""
        return max(1, self.descriptors.most_clients - len(self.factory.connections))

    def opened(self, connection: ServerConnection) -> None:
        self._note()

    def gone(self, connection: ServerConnection) -> None:
        self._note()

    def exhausted(self) -> None:
        """A descriptor was asked for, and there was none."""
        self.descriptors.exhausted()
        self._calm(Calm.SHUT)

    def accept_again(self) -> None:
        """After a pause: the listener takes connections again, if there is room."""
        self._note()

    def _closing(self, connection: ServerConnection, reason: CloseReason, owed: int) -> None:
        """A connection ends; by this side's own will none may while an answer is owed on it."""
        if owed and reason in OWN_WILL:
            self.router.invariants.closed_unanswered(reason.value, owed)
        if owed:
            self.log("connection closed", level="warning", reason=f"{reason.value}; {owed} requests unanswered")

    def _note(self) -> None:
        self._calm(self.descriptors.note("clients", len(self.factory.connections)))

    def _calm(self, state: Calm) -> None:
        if state is not Calm.OPEN and (self._look is None or not self._look.active()):
            self._look = self.clock.callLater(LOOK_EVERY, self._note)
            self._shed()  # not for each connection that comes or goes: it looks at all of them
        if accepts(self.port, state is not Calm.SHUT) and state is Calm.SHUT:
            self.log("not accepting", level="warning", reason=f"{self.composition()}, of {self.descriptors.most_clients}")

    def composition(self) -> str:
        """Client connections by what they do. Strangers never had a sequence."""
        here = self.factory.connections
        strangers = sum(c.ticket is None for c in here)
        states = ", ".join(f"{sum(c.state is state for c in here)} {state.value}" for state in At)
        return f"{len(here)} client connections ({strangers} strangers; {states})"

    def _shed(self) -> None:
        """Who has been idle for longest goes first, as far as room is wanted. While nobody is accepted, strangers give way too: all that ask
        nothing since their chance, as the usual clients stand in one queue with whoever connects by the hundreds, and those that have
        sent a part of a request for long. Whose bytes the loop has not come to yet has spoken."""
        now, shut = self.clock.seconds(), self.descriptors.state is Calm.SHUT
        wanted = self.descriptors.room()
        strangers = [c for c in self._idle(now, CHANCE_S) if c.ticket is None] if shut else []
        known = [c for c in self._idle(now, IDLE_S) if c.ticket is not None]
        known.sort(key=lambda c: c.idle_since)
        for connection in strangers + known[:max(0, wanted - len(strangers))]:
            self.shed += 1
            connection.shed()
        if shut and wanted > len(strangers) + len(known):
            self._shed_readers(now, wanted - len(strangers) - len(known))

    def _idle(self, now: float, for_s: float) -> list[ServerConnection]:
        return [c for c in self.factory.connections if c.state is At.IDLE and now - c.idle_since >= for_s and not c.unread]

    def _shed_readers(self, now: float, wanted: int) -> None:
        """Strangers whose first request has not come whole in a time in which a slow sound client sends it."""
        slow = [c for c in self.factory.connections if c.silent and c.state is At.READING and not c.refused_already and now - c.opened_at >= PART_CHANCE_S]
        slow.sort(key=lambda c: c.opened_at)
        for connection in slow[:wanted]:
            self.shed += 1
            connection.shed_part()
