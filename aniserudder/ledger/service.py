"""The ledger service: takes entries from all nodes and leads their leases. HTTP on loopback, one process.

``POST /v1/lease``: ``{"node", "life", "asks": [{"budget", "most", "begin", "wanted", "used"}], "returns": [...]}`` is answered with grants.
A grant is on disk before it is told; the file is written by a lane of its own, so that a slow disk delays no other answer. ``POST /v1/entries``: a ``Shipment``, answered with how far its node's entries are here.
"""
from __future__ import annotations

from collections.abc import Callable

import msgspec
from twisted.internet.interfaces import IListeningPort, IReactorTCP

from ..durable import Inline, Kind, Lane
from ..tenants.shares import Grantor, Held
from ..wire.server import Bounds, Exchange, ServerFactory
from .entries import Shipment
from .store import Missing, Store


class Ask(msgspec.Struct):
    """One node's wish for one budget. ``begin`` names the period, as the budget's own calendar has it."""
    budget: str
    most: int
    begin: int
    wanted: int
    used: int


class Asks(msgspec.Struct):
    node: str
    life: str
    asks: list[Ask] = []
    returns: list[Ask] = []


class Grant(msgspec.Struct):
    budget: str
    begin: int
    granted: int
    left: int


_asks, _shipment = msgspec.json.Decoder(Asks).decode, msgspec.json.Decoder(Shipment).decode
_encode = msgspec.json.Encoder().encode


class LedgerService:
    """The service's sockets and its grantors, one for each budget's present period.

    Args:
        lane: writes ``store``, which nobody else may touch while it does.
    """

    def __init__(self, reactor: IReactorTCP, store: Store, log: Callable[..., None],
                 lane: Lane | Inline | None = None) -> None:
        self.reactor, self.store, self.log = reactor, store, log
        self.lane = lane or Inline(store.group)
        self.grantors: dict[str, tuple[int, Grantor]] = {}
        for budget, begin, node, life, leased, used, closed in store.leases():
            known = self.grantors.get(budget)
            if known and known[0] > begin:
                continue  # of a period that was over when its successor could not be written
            if known is None or known[0] < begin:
                known = self.grantors[budget] = begin, Grantor(0)
            grantor = known[1]
            if node:
                grantor.held[node] = Held(leased, used, life)
            else:
                grantor.closed = closed
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

    def lease(self, asks: Asks, now: float, told: Callable[[list[Grant], Exception | None], None]) -> None:
        """Answers asks; what it grants is written before ``told`` hears of it. What could not be written, or was not in
        time, is taken back: nobody was told of it."""
        rows, dropped, grants = [], [], []
        for ask in asks.returns:
            begin, grantor = self._grantor(ask.budget)
            if begin == ask.begin:
                grantor.give_back(asks.node, asks.life, ask.wanted)
                rows += self._rows(ask.budget, begin, grantor, asks.node)
        for ask in asks.asks:
            begin, grantor = self._grantor(ask.budget)
            if ask.begin > begin:  # the first node to ask in a new period begins it
                begin, grantor = ask.begin, Grantor(ask.most)
                self.grantors[ask.budget] = begin, grantor
                dropped.append(ask.budget)
            elif ask.begin < begin:  # a node whose clock lags, or stepped back: that period is over
                grants.append(Grant(ask.budget, ask.begin, 0, 0))
                continue
            grantor.most = ask.most
            granted, left = grantor.ask(asks.node, asks.life, ask.wanted, ask.used, now)
            grants.append(Grant(ask.budget, begin, granted, left))
            rows += self._rows(ask.budget, begin, grantor, asks.node)

        def written(_: None, problem: Exception | None) -> None:
            if problem:
                for grant in grants:
                    begin, grantor = self._grantor(grant.budget)
                    if begin == grant.begin:
                        grantor.take_back(asks.node, asks.life, grant.granted)
            told(grants, problem)
        self.lane.put(Kind.LEASES, lambda store: store.keep_leases(rows, dropped), written)

    def _grantor(self, budget: str) -> tuple[int, Grantor]:
        return self.grantors.setdefault(budget, (0, Grantor(0)))

    @staticmethod
    def _rows(budget: str, begin: int, grantor: Grantor, node: str) -> list[tuple[str, int, str, str, int, int, int]]:
        mine = grantor.held.get(node, Held())
        return [(budget, begin, node, mine.life, mine.leased, mine.used, 0),
                (budget, begin, "", "", 0, 0, grantor.closed)]

    def _asked(self, exchange: Exchange) -> None:
        try:
            match exchange.path:
                case "/v1/lease":
                    self.lease(_asks(bytes(exchange.body)), self.reactor.seconds(),
                               lambda grants, problem: self._answer(exchange, {"grants": grants}, problem))
                case "/v1/entries":
                    sent = _shipment(bytes(exchange.body))
                    rows = [(r.number, bytes(r.body)) for r in sent.rows]
                    self.lane.put(Kind.SHIPPED, lambda store: store.receive(sent.node, sent.after, rows),
                                  lambda upto, problem: self._answer(exchange, {"upto": upto}, problem))
                case _:
                    exchange.reply(404, b'{"error":"no such path"}')
        except (msgspec.DecodeError, ValueError) as wrong:
            exchange.reply(400, _encode({"error": str(wrong)[:300]}))

    def _answer(self, exchange: Exchange, said: dict[str, object], problem: Exception | None) -> None:
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
