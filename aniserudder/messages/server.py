"""The messages API over HTTP: takes requests, hands them to the router, writes what becomes of them."""
from __future__ import annotations

import math
import os
from collections.abc import Callable

from twisted.internet.interfaces import IReactorTime

from ..core.ports import Usage
from ..core.router import Router
from ..ledger.books import Books, MeteredAnswer
from ..settings.schema import NodeSettings
from ..tenants.keeper import Refusal
from ..wire.server import Bounds, Exchange, ServerFactory
from . import codec
from .mapping import Mapping, NoKey
from .vocabulary import Vocabulary

PATH = "/v1/messages"


class ClientAnswer:
    """One client's side of a sequence (``core.ports.Answer``), streamed or whole."""

    __slots__ = ("exchange", "stream", "whole", "pieces", "messages", "estimated")

    def __init__(self, messages: Messages, exchange: Exchange, stream: codec.Stream, whole: bool,
                 estimated: int) -> None:
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


class Messages:
    """The server side of the messages API for one router.

    Args:
        settings: of the node.
        router: takes the sequences.
        clock: for the bounds on clients' time.
        log: of the node.
        boot: names this start of the node in sequence ids, which never come twice.
        books: reserve and bill; None: nobody is billed and no budget is kept.
    """

    def __init__(self, settings: NodeSettings, router: Router, clock: IReactorTime, log: Callable[..., None],
                 boot: str = "", books: Books | None = None) -> None:
        self.books = books
        self.settings, self.router, self.log = settings, router, log
        self.mapping = Mapping(settings)
        self.words = Vocabulary(settings.messages.event_names)
        self.boot = boot or os.urandom(6).hex()
        self.stopping = False
        self.turned_away = 0  # requests that were never taken
        limits = settings.limits
        bounds = Bounds(limits.header_bytes, limits.body_bytes, limits.request_ms / 1000, limits.client_idle_ms / 1000,
                        limits.client_buffer_bytes)
        self.factory = ServerFactory(clock, bounds, self._asked)
        self._count = 0

    def stop(self) -> None:
        """Takes no new sequence; those taken are answered, and whoever comes is told."""
        self.stopping = True
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
        if len(self.router.flights) >= self.settings.limits.in_flight:
            return self._turn_away(exchange, 503, "rejected", "the node holds all it may", come_back)
        try:
            asked = codec.decode(bytes(exchange.body))
            request = self.mapping.request(asked, exchange.headers)
        except codec.BadRequest as wrong:
            return self._turn_away(exchange, 400, "bad_request", str(wrong))
        except NoKey as wrong:
            return self._turn_away(exchange, 401, "no_key", str(wrong))
        self._count += 1
        id = f"seq-{self.boot}-{self._count}"
        answer = ClientAnswer(self, exchange, codec.Stream(id, asked.model, self.words), request.whole,
                              request.prompt.tokens)
        exchange.body = bytearray()  # the request holds what is needed of it
        if self.books:
            refusal = self.books.reserve(id, request)
            if refusal:
                return self._refuse(exchange, refusal)
            answer = MeteredAnswer(self.books, answer, id)
        exchange.gone = lambda reason: self._left(id)
        self.router.take(id, request, answer)

    def _left(self, id: str) -> None:
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
