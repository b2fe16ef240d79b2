"""Clients that stand in for real ones: open-loop arrivals, impatience, retries as their traffic type allows.

A client goes by a plain front layer, which goes on naming a dead node for a while. One operation (``Op``) may take
several tries; each try is a sequence of its own, known by the ``ref`` that stands in its prompt.
"""
from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IDelayedCall, IReactorTCP
from twisted.internet.protocol import Factory

from ..messages.vocabulary import Event, Vocabulary
from ..wire.client import At, ClientConnection
from .witness import Witness
from .words import in_order, reference

AWAY = 1.0     # seconds that a node is left out once the front layer has noticed that it is dead
BACK = 0.2     # seconds that a client needs to come back
RETURN_MS = 2000
LINGER = 0.25  # seconds that a client watches its connection after the final answer
_encode, _decode = msgspec.json.Encoder().encode, msgspec.json.Decoder(dict[str, Any]).decode


@dataclass(slots=True)
class Op:
    """What one client wants, drawn ahead. Times in seconds from the start of the day unless the name says else."""
    number: int
    at: float
    zone: str
    type: str
    effect: str
    session: str
    system: str
    messages: list[dict[str, str]]
    max_tokens: int
    slo_us: int
    abandon_us: int
    tries: int
    streamed: bool
    node_draw: float                 # which of the zone's nodes
    leave_after_s: float = 0.0       # goes so long after the first piece of text; 0: stays
    backoff_s: float = 0.1
    customer: str = "members"
    customer_key: str = ""
    key: str = ""                    # marks repeats of a tokened operation
    window_s: float = 0.0            # tokened: for so long repeats are dropped
    asked_at: float = 0.0            # when its first try went out, on the reactor's clock
    comes_again: bool = False        # its key stands for it at any node: it is tried again whatever became of it
    away_after_s: float = 0.0        # loses its connection so long after the first piece of text, and comes back


@dataclass(slots=True)
class NodeSeat:
    """A node as the front layer sees it."""
    name: str
    zone: str
    host: str
    port: int
    dead_since: float = -1.0         # on the reactor's clock; below 0: it answers


class Front:
    """Spreads clients over the nodes of their zone; goes on naming a dead one for ``notice_s``, then leaves it out
    for ``AWAY`` and tries it again."""

    def __init__(self, reactor: IReactorTCP, seats: list[NodeSeat], notice_s: float) -> None:
        self.reactor, self.seats, self.notice_s = reactor, seats, notice_s

    def choose(self, zone: str, draw: float, turn: int) -> NodeSeat:
        good = [s for s in self.seats if not self._left_out(s)] or self.seats
        near = [s for s in good if s.zone == zone] or good
        return near[(int(draw * 1_000_000) + turn) % len(near)]

    def failed(self, seat: NodeSeat) -> None:
        """A client could not connect to it."""
        now = self.reactor.seconds()
        if seat.dead_since < 0 or now - seat.dead_since >= self.notice_s + AWAY:
            seat.dead_since = now

    def _left_out(self, seat: NodeSeat) -> bool:
        return seat.dead_since >= 0 and self.notice_s <= self.reactor.seconds() - seat.dead_since < self.notice_s + AWAY


class _Watched(ClientConnection):
    """Tells of bytes that come when none are owed."""

    unasked: Callable[[int], None] = staticmethod(lambda count: None)

    def dataReceived(self, data: bytes) -> None:
        if self.state is At.IDLE:
            self.unasked(len(data))
        super().dataReceived(data)


@dataclass(slots=True, eq=False)
class Try:
    """One try of an operation: an ``Exchange`` of the client's connection."""
    clients: Clients
    op: Op
    number: int
    seat: NodeSeat
    connection: _Watched | None = None
    status: int = 0
    collected: bytes = b""
    rest: bytes = b""
    event: str = ""
    text: list[str] = field(default_factory=list)
    final: str = ""
    over: bool = False
    give_up: IDelayedCall | None = None
    leave: IDelayedCall | None = None
    after: bool = False              # something came after the final answer
    last_id: str = ""
    heard: float = 0.0               # when the last piece of text came
    gap: float = 0.0                 # longest time between two of them
    back: bool = False

    @property
    def ref(self) -> str:
        return f"op{self.op.number}.{self.number}"

    @property
    def asks_for(self) -> str:
        """Its last message."""
        return f"{self.op.messages[-1]['content']} [ref {self.ref}]"

    # Exchange

    def head(self, status: int) -> None:
        self.status = status
        if self.back and status != 200:
            self._over("lost")  # it was told that it might come back

    def body(self, data: bytes) -> None:
        if self.over and not self.final:
            return
        if self.final:
            return self._extra(len(data))
        if self.status != 200 or not self.op.streamed:
            self.collected += data
            return
        lines = (self.rest + data).split(b"\n")
        self.rest = lines.pop()
        for line in lines:
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode()
            elif line.startswith(b"event:"):
                self.event = line[6:].strip().decode()
            elif line.startswith(b"data:"):
                if self.final:
                    self._extra(len(line))
                else:
                    self._said(_decode(line[5:]))

    def complete(self) -> None:
        if self.final or self.over:
            return
        if self.status == 200 and not self.op.streamed:
            self._whole()
        elif self.status == 200:
            self._over("lost")  # the stream ended without its final event
        else:
            self._refused()

    def lost(self, reason: str, malformed: bool) -> None:
        if not self.over:
            self._over("malformed" if malformed else "lost")

    # What it means

    def _said(self, body: dict[str, Any]) -> None:
        words = self.clients.words
        if self.event == words[Event.TEXT]:
            now = self.clients.reactor.seconds()
            if not self.text:
                self._first()
            else:
                self.gap = max(self.gap, now - self.heard)
            self.heard = now
            self.text.append(body["delta"]["text"])
        elif self.event == words[Event.GENERATED]:
            self._answered("generated")
        elif self.event == words[Event.FAILED]:
            self._answered(body["error"]["kind"], body["error"].get("retry_after_ms", 0))

    def _first(self) -> None:
        self.clients.witness.note("first", ref=self.ref)
        if self.give_up and self.give_up.active() and self.op.streamed:
            self.give_up.cancel()
        if self.op.leave_after_s:
            self.leave = self.clients.reactor.callLater(self.op.leave_after_s, self._leave)
        elif self.op.away_after_s and self.op.streamed and not self.back:
            self.leave = self.clients.reactor.callLater(self.op.away_after_s, self._away)

    def _whole(self) -> None:
        body = _decode(self.collected)
        self.text = [body["content"][0]["text"]]
        self._first()
        self._answered("generated")

    def _refused(self) -> None:
        try:
            error = _decode(self.collected)["error"]
        except (msgspec.DecodeError, KeyError):
            return self._over("malformed")
        self._answered(error["kind"], error.get("retry_after_ms", 0))

    def _answered(self, kind: str, come_back_ms: float = 0) -> None:
        self.final = kind
        text, op = "".join(self.text), self.op
        wanted = list(reference(self.ref, self.asks_for, op.max_tokens))
        due = "".join(wanted if kind == "generated" else wanted[:len(text.split())])
        had, all_due = Counter(text.split()), Counter(due.split())
        self.clients.witness.note("answered", ref=self.ref, kind=kind, status=self.status, in_order=in_order(text),
                                  words=len(text.split()), alike=text == due, missing=(all_due - had).total(),
                                  doubled=(had - all_due).total(), gap_us=round(self.gap * 1e6),
                                  come_back_us=round(come_back_ms * 1000))
        self._finish()
        self.clients.reactor.callLater(LINGER, self._close)
        self.clients.next_try(self, kind, come_back_ms / 1000)

    def _extra(self, count: int) -> None:
        if not self.after:
            self.after = True
            self.clients.witness.note("extra", ref=self.ref, bytes=count)

    def _over(self, how: str) -> None:
        """It ended without a final answer."""
        self.clients.witness.note(how, ref=self.ref)
        self._finish()
        self._close()
        self.clients.next_try(self, how, 0)

    def _leave(self) -> None:
        if not self.over:
            self.clients.witness.note("left", ref=self.ref)
            self._finish()
            self._close()
            self.clients.next_try(self, "left", 0)

    def _away(self) -> None:
        """Its connection is lost; a little later it asks for what it lacks."""
        if not self.over and self.last_id:
            self.clients.witness.note("away", ref=self.ref)
            self.back = True
            self._close()
            self.clients.reactor.callLater(BACK, self.clients.come_back, self)

    def _gave_up(self) -> None:
        """Its time is up and nothing has come."""
        if not self.over:
            self._over("gave_up")

    def _finish(self) -> None:
        self.over = True
        for timer in (self.give_up, self.leave):
            if timer and timer.active():
                timer.cancel()

    def _close(self) -> None:
        if self.connection:
            self.connection.unasked = lambda count: None
            self.connection.drop()


class Clients:
    """All clients of a day.

    Args:
        slack_us: how long after its abandon time a client still looks for its answer, so that a late one is seen.
    """

    def __init__(self, reactor: IReactorTCP, front: Front, witness: Witness, slack_us: int,
                 words: Vocabulary | None = None) -> None:
        self.reactor, self.front, self.witness, self.slack_us = reactor, front, witness, slack_us
        self.words = words or Vocabulary()
        self.open = 0       # operations that are not over
        self.arrived = 0

    def arrive(self, op: Op) -> None:
        """An operation's first try, now."""
        self.arrived += 1
        self.open += 1
        self._try(op, 0)

    def next_try(self, done: Try, how: str, come_back: float) -> None:
        """Whether a client comes again after a try ended that way, and when."""
        op = done.op
        harmless = how in ("rejected", "unreachable")  # over budget is not: it would be refused again
        # A once-only operation is tried again only when it is known not to have run.
        again = harmless or how in ("aborted", "lost", "left") and op.effect != "once-only"
        again = again or op.comes_again and how in ("aborted", "lost", "left", "gave_up")
        # A tokened one has to be through before engines forget its mark.
        if op.effect == "tokened" and not harmless:
            ends = self.reactor.seconds() + op.backoff_s + op.abandon_us / 1e6
            again = again and ends < op.asked_at + op.window_s
        if not again or done.number + 1 >= op.tries or op.leave_after_s and how == "left" and op.effect == "tokened":
            self.open -= 1
            return
        self.reactor.callLater(max(come_back, op.backoff_s), self._try, op, done.number + 1)

    def _try(self, op: Op, number: int) -> None:
        seat = self.front.choose(op.zone, op.node_draw, number)
        one = Try(self, op, number, seat)
        self._connect(one).addCallbacks(lambda c: self._connected(one, c), lambda failure: self._unreachable(one))

    def come_back(self, one: Try) -> None:
        """A client whose connection was lost asks the same node for the events that it lacks."""
        one.rest, one.event, one.status = b"", "", 0

        def connected(connection: _Watched) -> None:
            one.connection, connection.unasked = connection, one._extra
            self.witness.note("back", ref=one.ref)
            headers = [("x-api-key", one.op.customer_key), ("last-event-id", one.last_id)]
            stream = one.last_id.rpartition(".")[0]
            if not connection.ask("GET", f"/v1/messages/{stream}", headers, b"", one):
                one._over("lost")
        self._connect(one).addCallbacks(connected, lambda failure: one._over("lost"))

    def _connect(self, one: Try) -> Deferred[_Watched]:
        seat = one.seat
        factory = Factory.forProtocol(lambda: _Watched(f"{seat.host}:{seat.port}", lambda c: None, lambda c: None))
        factory.noisy = False
        return TCP4ClientEndpoint(self.reactor, seat.host, seat.port, timeout=0.5).connect(factory)

    def _unreachable(self, one: Try) -> None:
        self.front.failed(one.seat)
        self.witness.note("unreachable", ref=one.ref, node=one.seat.name)
        self.next_try(one, "unreachable", 0)

    def _connected(self, one: Try, connection: _Watched) -> None:
        op = one.op
        op.asked_at = op.asked_at or self.reactor.seconds()
        one.connection, connection.unasked = connection, one._extra
        one.seat.dead_since = -1.0
        messages = [*op.messages[:-1], {"role": "user", "content": one.asks_for}]
        body = {"model": op.type, "max_tokens": op.max_tokens, "stream": op.streamed, "system": op.system,
                "messages": messages, "metadata": {"session_id": op.session}}
        headers = [("x-abandon-after-ms", f"{op.abandon_us / 1000:g}")]
        if op.customer_key:
            headers.append(("x-api-key", op.customer_key))
        if op.key:
            headers.append(("idempotency-key", op.key))
        if op.away_after_s:
            headers.append(("x-return-within-ms", str(RETURN_MS)))
        self.witness.note("asked", ref=one.ref, op=op.number, node=one.seat.name, type=op.type, effect=op.effect,
                          abandon_us=op.abandon_us, slo_us=op.slo_us, streamed=op.streamed, key=op.key,
                          customer=op.customer)
        one.give_up = self.reactor.callLater((op.abandon_us + self.slack_us) / 1e6, one._gave_up)
        if not connection.ask("POST", "/v1/messages", headers, _encode(body), one):
            one._over("lost")
