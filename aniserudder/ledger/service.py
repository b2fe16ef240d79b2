"""The ledger service: takes entries from all nodes and leads their leases. HTTP on loopback, one process.

``POST /v1/lease``: ``{"node", "life", "term", "asks": [{"budget", "most", "begin", "wanted", "used"}], "returns": [...]}`` is
answered with grants and the ledger's term. A node that names another term is told to tell first what it holds (``say: tell``);
while a term is young, nothing is granted yet (``say: wait``): ``recovery/gather.py``. A grant is on disk before it is told; the file
is written by a lane of its own, so that a slow disk delays no other answer. ``POST /v1/entries``: a ``Shipment``, answered with how
far its node's entries are here. ``POST /v1/claim``: a ``claims.Claim``, answered with a ``claims.Answer``. ``GET /v1/status``: the
term, what is out of each budget, and how many operations are claimed.
"""
from __future__ import annotations

import os
import time
from collections.abc import Callable

import msgspec
from twisted.internet.interfaces import IListeningPort, IReactorTCP

from ..durable import Inline, Kind, Lane
from ..recovery.gather import Gathering, Phase, Said, Term
from ..tenants.shares import Grantor
from ..wire.server import Bounds, Exchange, ServerFactory
from . import claims
from .claims import Claim
from .entries import Shipment
from .store import Flushed, LeaseRow, Missing, Store


class Ask(msgspec.Struct):
    """One node's wish for one budget. ``begin`` names the period, as the budget's own calendar has it."""
    budget: str
    most: int
    begin: int
    wanted: int
    used: int


class Hold(msgspec.Struct):
    """What one life of a node was granted of one budget, and what it has heard to be out of it in all."""
    budget: str
    begin: int
    life: str
    leased: int
    out: int = 0


class Asks(msgspec.Struct):
    """``term``: as last heard. ``tells``: ``holds`` is all that the node was granted, in this life and in former ones that it knows of,
    and ``last`` the number of its newest entry."""
    node: str
    life: str
    asks: list[Ask] = []
    returns: list[Ask] = []
    term: str = ""
    tells: bool = False
    holds: list[Hold] = []
    last: int = 0


class Grant(msgspec.Struct):
    budget: str
    begin: int
    granted: int
    left: int
    out: int = 0


class Reply(msgspec.Struct):
    """``say``: "tell", "wait" or empty. ``upto``: how far this file has the node's entries, where it was proven to be old; else -1."""
    grants: list[Grant] = []
    term: str = ""
    say: str = ""
    upto: int = -1


CLOCK_SLACK = 5_000_000  # microseconds by which a node's clock may be ahead when a period turns
_asks, _shipment = msgspec.json.Decoder(Asks).decode, msgspec.json.Decoder(Shipment).decode
_claim = msgspec.json.Decoder(Claim).decode
_encode = msgspec.json.Encoder().encode


class LedgerService:
    """The service's sockets and its grantors, one for each budget's present period.

    Args:
        lane: writes ``store``, which nobody else may touch while it does.
        nonce: tells this start apart from others of copies of the file.
        wall: microseconds since 1970.

    Raises:
        LedgerFull: its term could not be written.
    """

    def __init__(self, reactor: IReactorTCP, store: Store, log: Callable[..., None],
                 lane: Lane | Inline | None = None, nonce: str = "",
                 wall: Callable[[], int] = lambda: time.time_ns() // 1000) -> None:
        self.wall = wall
        self.reactor, self.store, self.log = reactor, store, log
        self.lane = lane or Inline(store.group)
        self.grantors: dict[str, tuple[int, Grantor]] = {}
        for budget, begin, node, life, leased, used, over in store.leases():
            known = self.grantors.get(budget)
            if known and known[0] > begin:
                continue  # of a period that was over when its successor could not be written
            if known is None or known[0] < begin:
                known = self.grantors[budget] = begin, Grantor(0)
            known[1].load(node, life, leased, used, over)
        holders = frozenset(node for _, grantor in self.grantors.values() for node, held in grantor.held.items() if held.leased)
        self.gathering = Gathering(Term(store.new_term(), nonce or os.urandom(4).hex()), holders, self._now())
        self.settling = claims.Settling(self._now())
        self.behind: dict[str, tuple[int, int]] = {}  # nodes that have told in this term: entries still to be shipped, and until when they are waited for
        self.factory = ServerFactory(reactor, Bounds(16_384, 8_388_608, 10, 60, 8_388_608), self._asked)
        self._port: IListeningPort | None = None

    def start(self, host: str, port: int) -> tuple[str, int]:
        self._port = self.reactor.listenTCP(port, self.factory, interface=host)
        at = self._port.getHost()
        self.log("ledger listening", level="info", reason=f"{at.host}:{at.port}, {self.store.last} entries")
        return at.host, at.port

    def stop(self) -> None:
        if self._port:
            self._port.stopListening()
        self.factory.stop()
        self.lane.close(self.store.close)

    def lease(self, asks: Asks, now: float, told: Callable[[Reply, Exception | None], None]) -> None:
        """Answers asks; what it grants is written, and flushed, before ``told`` hears of it. What could not be written, or was not
        in time, is taken back: nobody was told of it.

        Raises:
            ValueError: the term that it names is none.
        """
        rows, dropped, grants, before = [], [], [], self.gathering.phase
        said = self.gathering.asks(asks.node, Term.read(asks.term), asks.tells, self._now())
        if said is Said.OVERTAKEN:
            return self._overtaken(asks, told)
        if before is Phase.GATHERING and self.gathering.phase is Phase.LEADING:
            self.log("ledger leads", level="info", reason=f"term {self.gathering.term}: {len(self.gathering.told)} nodes have told, "
                     f"{len(self.gathering.known - self.gathering.told)} known ones have not")
        if said is Said.TELL:
            return told(Reply(term=str(self.gathering.term), say="tell"), None)
        if asks.tells:
            self.behind[asks.node] = asks.last, self._now() + claims.CATCH_UP
            rows += self._take_up(asks)
            said = self.gathering.asks(asks.node, self.gathering.term, False, self._now())
        for ask in asks.returns:
            begin, grantor = self._grantor(ask.budget)
            if begin == ask.begin:
                grantor.give_back(asks.node, asks.life, ask.wanted)
                rows += self._rows(ask.budget, begin, grantor, asks.node)
        for ask in asks.asks if said is Said.GRANT else ():
            begin, grantor = self._grantor(ask.budget)
            if ask.begin > self.wall() + CLOCK_SLACK:  # a node whose clock is ahead must not end the period of all others
                grants.append(Grant(ask.budget, ask.begin, 0, 0))
                continue
            if ask.begin > begin:  # the first node to ask in a new period begins it
                begin, grantor = ask.begin, Grantor(ask.most)
                self.grantors[ask.budget] = begin, grantor
                dropped.append(ask.budget)
            elif ask.begin < begin:  # a node whose clock lags, or stepped back: that period is over
                grants.append(Grant(ask.budget, ask.begin, 0, 0))
                continue
            grantor.most = ask.most
            granted, left = grantor.ask(asks.node, asks.life, ask.wanted, ask.used, now)
            grants.append(Grant(ask.budget, begin, granted, left, grantor.out))
            rows += self._rows(ask.budget, begin, grantor, asks.node)

        def written(upto: int | None, problem: Exception | None) -> None:
            if asks.tells and upto is not None:
                self._caught_up(asks.node, upto)
            if problem:
                for grant in grants:
                    begin, grantor = self._grantor(grant.budget)
                    if begin == grant.begin:
                        grantor.take_back(asks.node, asks.life, grant.granted)
            old = self.gathering.old and upto is not None
            told(Reply(grants, str(self.gathering.term), "wait" if said is Said.WAIT else "", upto if old else -1), problem)

        def write(store: Store) -> int | None:
            store.keep_leases(rows, dropped)
            return store.shipped(asks.node) if asks.tells else None
        if rows or dropped or asks.tells:
            self.lane.put(Kind.LEASES, Flushed(write), written)
        else:
            written(None, None)

    def claim(self, ask: Claim, told: Callable[[claims.Answer | None, Exception | None], None]) -> None:
        """Answers an ask for an operation; what it grants is flushed before ``told`` hears of it."""
        now = self._now()
        self.gathering.look(now)
        self.behind = {node: (last, until) for node, (last, until) in self.behind.items() if until > now}
        if self.gathering.phase is Phase.GATHERING or self.behind:
            return told(claims.Answer(claims.Said.WAIT), None)
        settled = self.settling.asks(ask.mark, now)

        def written(answer: claims.Answer | None, problem: Exception | None) -> None:
            may_send = problem is not None or answer.said is claims.Said.GO  # one that is late may be written all the same
            self.settling.answered(ask.mark, may_send, self._now())
            told(answer, problem)
        self.lane.put(Kind.LEASES, Flushed(lambda store: store.claim(ask, settled, self.wall())), written)

    def _take_up(self, asks: Asks) -> list[LeaseRow]:
        """What a node proves to hold. Returns what is to be written of it."""
        rows = []
        for hold in asks.holds:
            begin, grantor = self._grantor(hold.budget)
            if hold.begin > self.wall() + CLOCK_SLACK:
                continue
            if hold.begin > begin:  # granted in a period that this file has not seen
                begin, grantor = hold.begin, Grantor(grantor.most)
                self.grantors[hold.budget] = begin, grantor
            elif hold.begin < begin:
                continue
            more = grantor.prove(asks.node, hold.life, hold.leased, asks.life)
            grantor.heard_out(hold.out)
            if more:
                self.log("ledger was old", level="warning", reason=f"{asks.node} holds {more} more of {hold.budget} than the file says")
                self.gathering.proven_old(self._now())
            rows += self._rows(hold.budget, begin, grantor, asks.node)
        return rows

    def _overtaken(self, asks: Asks, told: Callable[[Reply, Exception | None], None]) -> None:
        """A node has heard of a term that this file does not know: it is an old copy, or there are two ledgers."""
        heard = Term.read(asks.term)
        self.log("ledger was old", level="warning", reason=f"{asks.node} has heard of term {heard}, this one is {self.gathering.term}")
        for _, grantor in self.grantors.values():
            grantor.rebase()
        self.settling, self.behind = claims.Settling(self._now()), {}  # claims that this file does not know may be recent
        self.gathering = self.gathering.overtaken(heard, os.urandom(4).hex(), self._now())
        reply = Reply(term=str(self.gathering.term), say="tell")
        self.lane.put(Kind.LEASES, Flushed(lambda store: store.new_term(heard.number)), lambda _, problem: told(reply, problem))

    def _now(self) -> int:
        return round(self.reactor.seconds() * 1e6)

    def _grantor(self, budget: str) -> tuple[int, Grantor]:
        return self.grantors.setdefault(budget, (0, Grantor(0)))

    @staticmethod
    def _rows(budget: str, begin: int, grantor: Grantor, node: str) -> list[LeaseRow]:
        rows = [(budget, begin, node, life, leased, leased, True) for (of, life), leased in grantor.ended.items() if of == node]
        mine = grantor.held.get(node)
        return [*rows, (budget, begin, node, mine.life, mine.leased, mine.used, False)] if mine else rows

    def _asked(self, exchange: Exchange) -> None:
        try:
            match exchange.path:
                case "/v1/lease":
                    self.lease(_asks(bytes(exchange.body)), self.reactor.seconds(),
                               lambda reply, problem: self._answer(exchange, reply, problem))
                case "/v1/entries":
                    sent = _shipment(bytes(exchange.body))
                    rows = [(r.number, bytes(r.body)) for r in sent.rows]
                    self.lane.put(Kind.SHIPPED, lambda store: store.receive(sent.node, sent.after, rows),
                                  lambda upto, problem: self._received(exchange, sent.node, upto, problem))
                case "/v1/claim":
                    self.claim(_claim(bytes(exchange.body)), lambda answer, problem: self._answer(exchange, answer, problem))
                case "/v1/status":
                    exchange.reply(200, _encode(self.status()))
                case _:
                    exchange.reply(404, b'{"error":"no such path"}')
        except (msgspec.DecodeError, ValueError) as wrong:
            exchange.reply(400, _encode({"error": str(wrong)[:300]}))

    def _received(self, exchange: Exchange, node: str, upto: int | None, problem: Exception | None) -> None:
        if problem is None:
            self._caught_up(node, upto)
        self._answer(exchange, {"upto": upto}, problem)

    def _caught_up(self, node: str, upto: int) -> None:
        if node in self.behind and upto >= self.behind[node][0]:
            del self.behind[node]

    def status(self) -> dict[str, object]:
        """Which term leads, and what is out of each budget."""
        term = self.gathering
        term.look(self._now())
        rows = []
        for budget, (begin, grantor) in sorted(self.grantors.items()):
            held, ended = sum(h.leased for h in grantor.held.values()), sum(grantor.ended.values())
            rows.append({"budget": budget, "begin": begin, "most": grantor.most, "out": grantor.out, "held": held, "ended": ended,
                         "hearsay": grantor.out - held - ended})
        return {"term": str(term.term), "phase": term.phase.value, "old": term.old, "told": len(term.told), "budgets": rows,
                "claims": len(self.settling.recent), "behind": sorted(self.behind)}

    def _answer(self, exchange: Exchange, said: Reply | claims.Answer | dict[str, int], problem: Exception | None) -> None:
        match problem:
            case None:
                exchange.reply(200, _encode(said))
            case Missing():  # this file is older than what the node remembers: it was restored
                self.log("entries are missing", level="warning", reason=str(problem))
                exchange.reply(409, _encode({"upto": problem.upto}))
            case ValueError() | msgspec.MsgspecError():
                exchange.reply(400, _encode({"error": str(problem)[:300]}))
            case _:
                self.log("ledger cannot be written", level="error", reason=str(problem))
                exchange.reply(507, _encode({"error": str(problem)}))
