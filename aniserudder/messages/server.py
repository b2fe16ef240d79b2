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
from ..ledger.claimant import Claimant
from ..ledger.claims import Claiming, Stage as Claimed
from ..recovery.ascent import Ascent
from ..settings.schema import NodeSettings, micros
from ..streams.journal import Journal, Shelf
from ..streams.readers import OPENING, ReaderRules, Reading, Refusal as NoReturn, returns
from ..tenants.keeper import Refusal
from ..wire.server import Bounds, Exchange, ServerFactory
from . import codec
from .gate import REFUSED_S, Gate
from .mapping import Mapping, NoKey
from .stream import GONE, ClientStream
from .vocabulary import Vocabulary

PATH = "/v1/messages"
READY = "/v1/ready"
CLAIM_WITHIN = 2_000_000  # microseconds for the ledger, the engines of an earlier try, and the ledger again


class WholeAnswer:
    """One client's side of an answer that it reads when it is complete (``core.ports.Answer``)."""

    __slots__ = ("messages", "exchange", "id", "model", "journal", "estimated", "ticket", "pieces")

    def __init__(self, messages: Messages, exchange: Exchange, id: str, model: str, journal: Journal, estimated: int,
                 ticket: object) -> None:
        self.messages, self.exchange, self.id, self.model = messages, exchange, id, model
        self.journal, self.estimated, self.ticket = journal, estimated, ticket
        self.pieces: list[str] = []

    def text(self, piece: str) -> None:
        self.pieces.append(piece)

    def generated(self, reason: str, usage: Usage) -> None:
        self._over()
        self.messages.mapping.estimate.counted(self.estimated, usage.read)
        body = codec.whole(self.id, self.model, "".join(self.pieces), reason, usage)
        self.exchange.reply(200, body, [("x-sequence-id", self.id)])

    def rejected(self, come_back: int, reason: str) -> None:
        self._over()
        self.messages.failed(self.exchange, self.id, "rejected", reason, come_back)

    def aborted(self, reason: str) -> None:
        self._over()
        self.messages.failed(self.exchange, self.id, "aborted", reason, 0)

    def _over(self) -> None:
        self.messages.gate.answered(self.ticket)
        self.messages.shelf.forget(self.journal)


@dataclass(slots=True, eq=False)
class Comer:
    """A request that was let in and is not taken up yet. ``returns``: microseconds that its client may be away."""
    exchange: Exchange
    request: Request
    ticket: object
    returns: int


@dataclass(slots=True, eq=False)
class Kept:
    """A stream as long as its journal is kept."""
    stream: ClientStream
    request: Request
    tries: int = 1               # sequences that it took so far


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
                 boot: str = "", books: Books | None = None, engines: Callable[[], int] = lambda: 0, ascent: Ascent | None = None) -> None:
        self.books, self.ascent = books, ascent
        self.settings, self.router, self.log = settings, router, log
        self.mapping = Mapping(settings)
        self.words = Vocabulary(settings.messages.event_names)
        self.boot = boot or os.urandom(6).hex()
        self.stopping = False
        self.turned_away = 0  # requests that were never taken
        limits = settings.limits
        rules = settings.admission
        self.gate = Gate(rules, clock, log, self._take_up, self._too_late, engines)
        streams = settings.streams
        bounds = Bounds(limits.header_bytes, limits.body_bytes, limits.request_ms / 1000, limits.client_idle_ms / 1000,
                        rules.show_ms / 1000, limits.client_buffer_bytes, streams.send_buffer_bytes)
        few = Bounds(limits.header_bytes, limits.body_bytes, REFUSED_S, REFUSED_S, REFUSED_S, 65_536)
        self.factory = ServerFactory(clock, bounds, self._asked, self.gate, few)
        self._count = 0
        self.clock = clock
        self.shelf = Shelf(streams.journal_bytes, micros(streams.keep_ms))
        self.reading = ReaderRules(streams.hold_bytes, micros(streams.slow_ms), streams.slow_bytes_per_s)
        self.streams: dict[str, Kept] = {}  # by id, as long as their journals are kept
        self.returned = 0      # clients that came back to a stream
        self.slow = 0          # streams ended because their client read too slowly

    def stop(self) -> None:
        """Takes no new sequence; those taken are answered, and whoever comes is told."""
        self.stopping = True
        self.gate.stopping()
        self.factory.last_answers()

    def _asked(self, exchange: Exchange) -> None:
        path = exchange.path.partition("?")[0]
        if path.startswith(f"{PATH}/") and exchange.method == "GET":
            return self._returns(exchange, path.removeprefix(f"{PATH}/"))
        if path == READY and exchange.method == "GET":
            return self._ready(exchange)
        if path != PATH:
            return self._turn_away(exchange, 404, "bad_request", f"no such path, allowed: POST {PATH}")
        if exchange.method != "POST":
            return self._turn_away(exchange, 405, "bad_request", f"allowed: POST {PATH}", [("allow", "POST")])
        come_back = [("retry-after-ms", str(round(self.settings.limits.max_come_back_ms))), ("retry-after", "1")]
        if self.stopping:
            return self._turn_away(exchange, 503, "rejected", "the node is stopping", come_back)
        if self.ascent and not self.ascent.takes(self.router.now()):
            wait = self.ascent.come_back(0)
            return self._turn_away(exchange, 503, "rejected", f"the node is {self.ascent.stage.value}", [
                ("retry-after-ms", str(math.ceil(wait / 1000))), ("retry-after", "1")])
        connection = exchange.connection
        if connection.refused is not None:
            return self._refuse_at_door(exchange, connection.refused)
        try:
            asked = codec.decode(bytes(exchange.body))
            request = self.mapping.request(asked, exchange.headers)
            returns_within = self.mapping.returns(exchange.headers)
        except codec.BadRequest as wrong:
            return self._turn_away(exchange, 400, "bad_request", str(wrong))
        except NoKey as wrong:
            return self._turn_away(exchange, 401, "no_key", str(wrong))
        refused = self.gate.asks(connection.ticket, request.prompt.customer)
        if refused:
            return self._refuse_at_door(exchange, refused)
        exchange.body = bytearray()  # the request holds what is needed of it
        comer = Comer(exchange, request, connection.ticket, returns_within)
        exchange.gone = lambda reason: self._left_waiting(comer)
        row = self.settings.types[request.prompt.traffic_type]
        slo = (row.latency_slo_ms + row.slo_ms_per_1000_tokens * request.prompt.tokens / 1000) / 1000
        self.gate.enter(comer, min(slo, request.prompt.time_left / 1_000_000), row.utility)

    def _take_up(self, comer: Comer, waited: int) -> None:
        """The request's turn: from here on it is a sequence, if its budget lets it."""
        exchange, request = comer.exchange, comer.request
        if waited:
            request = _later(request, waited)
        self._count += 1
        id = f"seq-{self.boot}-{self._count}"
        if request.claimed and self.books and self.books.claims:
            return self._claim(id, comer, request, self.books.claims)
        self._begin(id, id, exchange, request, comer.ticket, comer.returns)

    def _claim(self, id: str, comer: Comer, request: Request, claimant: Claimant) -> None:
        """An operation that must not run twice: it is a sequence once it is granted to this one."""
        exchange, began = comer.exchange, round(self.clock.seconds() * 1_000_000)

        def told(one: Claiming) -> None:
            if one.stage is Claimed.GO and not self.stopping:
                past = round(self.clock.seconds() * 1_000_000) - began
                return self._begin(id, id, exchange, _later(request, past), comer.ticket, comer.returns)
            self.gate.answered(comer.ticket)
            self.turned_away += 1
            self.log("operation not taken", level="info", seq=id, reason=one.why or "the node is stopping")
            if one.stage is Claimed.NEVER:
                return self.failed(exchange, id, "aborted", one.why, 0)
            self.failed(exchange, id, "rejected", one.why or "the node is stopping", micros(self.settings.limits.max_come_back_ms))

        def left(reason: str) -> None:
            claimant.leaves(one)
            self.gate.answered(comer.ticket)
        exchange.gone = left
        one = claimant.claim(request.mark, id, min(request.prompt.time_left, CLAIM_WITHIN), told)

    def _begin(self, id: str, sequence: str, exchange: Exchange, request: Request, ticket: object, returns: int,
               again: Kept | None = None, after: int = 0) -> None:
        """A sequence of stream ``id``; its first, or one that goes on behind a journal."""
        if self.books:
            refusal = self.books.reserve(sequence, request)
            if refusal:
                self.gate.answered(ticket)
                return self._refuse(exchange, refusal)
        now = round(self.clock.seconds() * 1_000_000)
        journal = again.stream.journal if again else self.shelf.open(id, request.prompt.customer, now)
        if request.whole:
            answer = WholeAnswer(self, exchange, id, request.model, journal, request.prompt.tokens, ticket)
            exchange.gone = lambda reason: self._left(sequence, ticket, journal)
        else:
            writer = codec.Stream(id, request.model, self.words)
            answer = ClientStream(self, self.clock, exchange, journal, writer, sequence, self.reading, returns,
                                  request.prompt.tokens, ticket, after)
            self.streams[id] = Kept(answer, request, again.tries + 1 if again else 1)
            if again:
                answer.attach(exchange, after, ticket)
            if len(self.streams) > 2 * len(self.shelf) + 100:
                self.streams = {n: k for n, k in self.streams.items() if self.shelf.find(n)}
        if self.books:
            answer = MeteredAnswer(self.books, answer, sequence)
        self.router.take(sequence, request, answer, journal)

    def _ready(self, exchange: Exchange) -> None:
        """``GET /v1/ready``: 200 while sequences are taken, and where the instance is on its way there."""
        ascent, now = self.ascent, round(self.clock.seconds() * 1_000_000)
        good = not self.stopping and (not ascent or ascent.takes(now))
        said = {"ready": good, "node": self.settings.node, "stage": "stopping" if self.stopping else ascent.stage.value if ascent else "serving",
                "engines": sum(e.listed for e in self.router.node.engines.values()), "term": self.books.term if self.books else "", "name_taken": bool(self.books and self.books.over)}
        if ascent:
            said |= {"for_s": round((now - ascent.since) / 1_000_000, 1), "heard": ascent.heard, "turned_away": ascent.turned_away}
        exchange.reply(200 if good else 503, codec.msgspec.json.encode(said))

    # Clients that return.

    def _returns(self, exchange: Exchange, id: str) -> None:
        """``GET /v1/messages/<stream>`` with ``Last-Event-ID``: goes on after that event."""
        connection = exchange.connection
        if connection.refused is not None:
            return self._refuse_at_door(exchange, connection.refused)
        self.shelf.tick(round(self.clock.seconds() * 1_000_000))
        try:
            customer = self.mapping.customer(exchange.headers)
            after = returns(id, exchange.headers.get("last-event-id"), customer, self.boot, self.shelf.find(id))
        except NoKey as wrong:
            return self._turn_away(exchange, 401, "no_key", str(wrong))
        except NoReturn as wrong:
            return self._turn_away(exchange, wrong.status, "bad_request", str(wrong))
        kept = self.streams.get(id)
        if kept is None:
            return self._turn_away(exchange, 404, "bad_request", "no such stream is kept for this key")
        refused = self.gate.asks(connection.ticket, customer)
        if refused:
            return self._refuse_at_door(exchange, refused)
        self.returned += 1
        stream, journal = kept.stream, kept.stream.journal
        resumes = (self.settings.streams.resume == "client" and journal.final is not None and journal.final.kind == "aborted"
                   and journal.final.reason not in GONE and journal.pieces > 0 and not self.stopping
                   and self.settings.types[kept.request.prompt.traffic_type].effect == "repeatable")
        if resumes:
            return self._resume(exchange, id, kept, after)
        stream.attach(exchange, after, connection.ticket)
        if stream.state is Reading.OVER:
            self.gate.answered(connection.ticket)

    def _resume(self, exchange: Exchange, id: str, kept: Kept, after: int) -> None:
        """The client comes again to a stream that broke: it goes on behind the text so far, as a sequence of its own."""
        journal, asked = kept.stream.journal, kept.request
        fresh = journal.pieces - asked.forced_tokens
        prompt = replace(asked.prompt, tokens=asked.prompt.tokens + fresh,
                         max_output=max(1, asked.prompt.max_output - fresh))
        request = replace(asked, prompt=prompt, forced=journal.text(), forced_tokens=journal.pieces)
        journal.reopen()
        self._begin(id, f"{id}.{kept.tries}", exchange, request, exchange.connection.ticket, kept.stream.returns, kept,
                    min(after, OPENING + journal.pieces))

    # What streams ask (``stream.Owner``).

    def answered(self, stream: ClientStream) -> None:
        self.gate.answered(stream.ticket)
        final = stream.journal.final
        if final.kind == "generated":
            self.mapping.estimate.counted(stream.estimated, final.read)
        if not stream.journal.owner:
            self.shelf.forget(stream.journal)

    def refused(self, exchange: Exchange, kind: str, reason: str, come_back: int) -> None:
        self.failed(exchange, "", kind, reason, come_back)

    def hold(self, id: str, held: bool) -> None:
        self.router.hold(id, held)

    def gave_up(self, stream: ClientStream, reason: str) -> None:
        """``reason`` empty: its client left."""
        self.slow += bool(reason)
        if reason:
            self.log("client too slow", level="warning", seq=stream.sequence, reason=reason)
        self.gate.answered(stream.ticket)
        self.router.client_left(stream.sequence)
        if self.books:
            self.books.final(stream.sequence, "aborted" if reason else "left")

    def failed(self, exchange: Exchange, id: str, kind: str, reason: str, come_back: int) -> None:
        """A final answer that comes before any text: 503 for rejected, 502 for aborted."""
        if come_back and kind == "rejected" and self.ascent:
            come_back = self.ascent.come_back(come_back)
        millis = math.ceil(come_back / 1000)
        headers = [("x-sequence-id", id)] if id else []
        if come_back:
            headers += [("retry-after", str(math.ceil(come_back / 1_000_000))), ("retry-after-ms", str(millis))]
        exchange.reply(503 if kind == "rejected" else 502, codec.failure(kind, reason, millis), headers)

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

    def _left(self, id: str, ticket: object, journal: Journal) -> None:
        self.gate.answered(ticket)
        self.shelf.forget(journal)
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


def _later(request: Request, past: int) -> Request:
    """The request when so many microseconds of its time have passed."""
    return replace(request, prompt=replace(request.prompt, time_left=max(1, request.prompt.time_left - past)))
