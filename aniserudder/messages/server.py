"""The messages API over HTTP: takes requests, hands them to the router, writes what becomes of them."""
from __future__ import annotations

import math
import os
from collections.abc import Callable
from dataclasses import dataclass, replace

from twisted.internet.interfaces import IReactorTime

from ..admission.door import Refused, Why
from ..core.ports import Request, Usage
from ..core.router import Router
from ..ledger.books import Books, MeteredAnswer
from ..settings.schema import NodeSettings
from ..tenants.keeper import Refusal
from ..wire.server import Bounds, Exchange, ServerFactory
from . import codec
from .gate import REFUSED_S, Gate
from .mapping import Mapping, NoKey
from .vocabulary import Vocabulary

PATH = "/v1/messages"


class ClientAnswer:
    """One client's side of a sequence (``core.ports.Answer``), streamed or whole."""

    __slots__ = ("exchange", "stream", "whole", "pieces", "messages", "estimated", "ticket")

    def __init__(self, messages: Messages, exchange: Exchange, stream: codec.Stream, whole: bool,
                 estimated: int, ticket: object) -> None:
        self.ticket = ticket
        self.messages, self.exchange, self.stream, self.whole = messages, exchange, stream, whole
        self.pieces: list[str] = []
        self.estimated = estimated

    def text(self, piece: str) -> None:
        if self.whole:
            self.pieces.append(piece)
            return
        if not self.exchange.began:
            self._begin()
        self.exchange.write(self.stream.text(piece))

    def generated(self, reason: str, usage: Usage) -> None:
        self.messages.gate.answered(self.ticket)
        self.messages.mapping.estimate.counted(self.estimated, usage.read)
        if self.whole:
            body = codec.whole(self.stream.id, self.stream.model, "".join(self.pieces), reason, usage)
            return self.exchange.reply(200, body, self._names())
        if not self.exchange.began:
            self._begin()
        self.exchange.write(self.stream.generated(reason, usage))
        self.exchange.end()

    def rejected(self, come_back: int, reason: str) -> None:
        self._failed(503, "rejected", reason, come_back)

    def aborted(self, reason: str) -> None:
        self._failed(502, "aborted", reason, 0)

    def _failed(self, status: int, kind: str, reason: str, come_back: int) -> None:
        self.messages.gate.answered(self.ticket)
        millis = math.ceil(come_back / 1000)
        if self.exchange.began:
            self.exchange.write(self.stream.failed(kind, reason, millis))
            return self.exchange.end()
        headers = self._names()
        if come_back:
            headers += [("retry-after", str(math.ceil(come_back / 1_000_000))), ("retry-after-ms", str(millis))]
        self.exchange.reply(status, codec.failure(kind, reason, millis), headers)

    def _begin(self) -> None:
        self.exchange.begin(200, self._names())
        self.exchange.write(self.stream.opened())

    def _names(self) -> list[tuple[str, str]]:
        return [("x-sequence-id", self.stream.id)]


@dataclass(slots=True, eq=False)
class Comer:
    """A request that was let in and is not taken up yet."""
    exchange: Exchange
    request: Request
    ticket: object


class Messages:
    """The server side of the messages API for one router.

    Args:
        settings: of the node.
        router: takes the sequences.
        clock: for the bounds on clients' time.
        log: of the node.
        boot: names this start of the node in sequence ids, which never come twice.
        books: reserve and bill; None: nobody is billed and no budget is kept.
        engines: how many connections to engines there are.
    """

    def __init__(self, settings: NodeSettings, router: Router, clock: IReactorTime, log: Callable[..., None],
                 boot: str = "", books: Books | None = None, engines: Callable[[], int] = lambda: 0) -> None:
        self.books = books
        self.settings, self.router, self.log = settings, router, log
        self.mapping = Mapping(settings)
        self.words = Vocabulary(settings.messages.event_names)
        self.boot = boot or os.urandom(6).hex()
        self.stopping = False
        self.turned_away = 0  # requests that were never taken
        limits = settings.limits
        rules = settings.admission
        self.gate = Gate(rules, clock, log, self._take_up, self._too_late, engines)
        bounds = Bounds(limits.header_bytes, limits.body_bytes, limits.request_ms / 1000, limits.client_idle_ms / 1000,
                        rules.show_ms / 1000, limits.client_buffer_bytes)
        few = Bounds(limits.header_bytes, limits.body_bytes, REFUSED_S, REFUSED_S, REFUSED_S, 65_536)
        self.factory = ServerFactory(clock, bounds, self._asked, self.gate, few)
        self._count = 0

    def stop(self) -> None:
        """Takes no new sequence; those taken are answered, and whoever comes is told."""
        self.stopping = True
        self.gate.stopping()
        self.factory.last_answers()

    def _asked(self, exchange: Exchange) -> None:
        path = exchange.path.partition("?")[0]
        if path != PATH:
            return self._turn_away(exchange, 404, "bad_request", f"no such path, allowed: POST {PATH}")
        if exchange.method != "POST":
            return self._turn_away(exchange, 405, "bad_request", f"allowed: POST {PATH}", [("allow", "POST")])
        come_back = [("retry-after-ms", str(round(self.settings.limits.max_come_back_ms))), ("retry-after", "1")]
        if self.stopping:
            return self._turn_away(exchange, 503, "rejected", "the node is stopping", come_back)
        connection = exchange.connection
        if connection.refused is not None:
            return self._refuse_at_door(exchange, connection.refused)
        try:
            asked = codec.decode(bytes(exchange.body))
            request = self.mapping.request(asked, exchange.headers)
        except codec.BadRequest as wrong:
            return self._turn_away(exchange, 400, "bad_request", str(wrong))
        except NoKey as wrong:
            return self._turn_away(exchange, 401, "no_key", str(wrong))
        refused = self.gate.asks(connection.ticket, request.prompt.customer)
        if refused:
            return self._refuse_at_door(exchange, refused)
        exchange.body = bytearray()  # the request holds what is needed of it
        comer = Comer(exchange, request, connection.ticket)
        exchange.gone = lambda reason: self._left_waiting(comer)
        row = self.settings.types[request.prompt.traffic_type]
        slo = (row.latency_slo_ms + row.slo_ms_per_1000_tokens * request.prompt.tokens / 1000) / 1000
        self.gate.enter(comer, min(slo, request.prompt.time_left / 1_000_000), row.utility)

    def _take_up(self, comer: Comer, waited: int) -> None:
        """The request's turn: from here on it is a sequence, if its budget lets it."""
        exchange, request = comer.exchange, comer.request
        if waited:
            request = replace(request, prompt=replace(request.prompt, time_left=max(1, request.prompt.time_left - waited)))
        self._count += 1
        id = f"seq-{self.boot}-{self._count}"
        stream = codec.Stream(id, request.model, self.words)
        answer = ClientAnswer(self, exchange, stream, request.whole, request.prompt.tokens, comer.ticket)
        if self.books:
            refusal = self.books.reserve(id, request)
            if refusal:
                self.gate.answered(comer.ticket)
                return self._refuse(exchange, refusal)
            answer = MeteredAnswer(self.books, answer, id)
        exchange.gone = lambda reason: self._left(id, comer.ticket)
        self.router.take(id, request, answer)

    def _too_late(self, comer: Comer) -> None:
        """It waited longer than its time allowed: it never was a sequence."""
        self.gate.answered(comer.ticket)
        come_back = round(self.settings.limits.max_come_back_ms)
        self._turn_away(comer.exchange, 503, "rejected", "the node cannot take it up in time",
                        [("retry-after", "1"), ("retry-after-ms", str(come_back))])

    def _left_waiting(self, comer: Comer) -> None:
        self.gate.leaves(comer)
        self.gate.answered(comer.ticket)

    def _refuse_at_door(self, exchange: Exchange, refused: Refused) -> None:
        """Told, and not taken: 429 where it is the client's own doing, 503 where the node is full."""
        self.turned_away += 1
        status = 503 if refused.why in (Why.NODE, Why.NODE_BUSY, Why.STOPPING) else 429
        millis = math.ceil(refused.come_back * 1000)
        exchange.reply(status, codec.failure("rejected", refused.why.value, millis),
                       [("retry-after", str(math.ceil(refused.come_back))), ("retry-after-ms", str(millis))])

    def _left(self, id: str, ticket: object) -> None:
        self.gate.answered(ticket)
        self.router.client_left(id)
        if self.books:
            self.books.final(id, "left")

    def _refuse(self, exchange: Exchange, refusal: Refusal) -> None:
        """Before any schedule attempt: which budget, what is left of it, and when there is more."""
        self.turned_away += 1
        if refusal.budget == "ledger":
            return exchange.reply(503, codec.failure("rejected", "the ledger cannot be written"), [("retry-after", "5")])
        seconds = max(1, math.ceil(refusal.come_back / 1_000_000))
        self.log("budget refused", level="info", reason=refusal.text())
        exchange.reply(429, codec.over_budget(refusal.text(), refusal.budget, refusal.kind, refusal.wanted,
                                              max(0, refusal.left), refusal.renews // 1_000_000),
                       [("retry-after", str(seconds)), ("retry-after-ms", str(seconds * 1000))])

    def _turn_away(self, exchange: Exchange, status: int, kind: str, reason: str,
                   headers: list[tuple[str, str]] = ()) -> None:
        self.turned_away += 1
        self.log("request turned away", level="info", reason=f"{status} {reason}")
        exchange.reply(status, codec.failure(kind, reason), list(headers))
