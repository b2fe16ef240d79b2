"""The ledger service: takes entries from all nodes and leads their leases. HTTP on loopback, one process.

``POST /v1/lease``: ``{"node", "life", "asks": [{"budget", "most", "begin", "wanted", "used"}], "returns": [...]}`` is answered with grants.
A grant is on disk before it is told. ``POST /v1/entries``: a ``Shipment``, answered with how far its node's entries are here.
"""
from __future__ import annotations

from collections.abc import Callable

import msgspec
from twisted.internet.interfaces import IListeningPort, IReactorTCP

from ..tenants.shares import Grantor, Held
from ..wire.server import Bounds, Exchange, ServerFactory
from .entries import Shipment
from .store import LedgerFull, Missing, Store


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
    """The service's sockets and its grantors, one for each budget's present period."""

    def __init__(self, reactor: IReactorTCP, store: Store, log: Callable[..., None]) -> None:
        self.reactor, self.store, self.log = reactor, store, log
        self.grantors: dict[str, tuple[int, Grantor]] = {}
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
        self.store.close()

    def lease(self, asks: Asks, now: float) -> list[Grant]:
        """Answers asks; what it grants is written first.

        Raises:
            LedgerFull: it could not be written; nothing is granted.
        """
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
        try:
            self.store.keep_leases(rows, dropped)
        except LedgerFull:
            self.grantors.clear()  # as on disk again
            raise
        return grants

    def _grantor(self, budget: str) -> tuple[int, Grantor]:
        found = self.grantors.get(budget)
        if found is None:
            begin, grantor = 0, Grantor(0)
            for begin, node, life, leased, used, closed in self.store.leases(budget):
                if node:
                    grantor.held[node] = Held(leased, used, life)
                else:
                    grantor.closed = closed
            found = self.grantors[budget] = begin, grantor
        return found

    @staticmethod
    def _rows(budget: str, begin: int, grantor: Grantor, node: str) -> list[tuple[str, int, str, str, int, int, int]]:
        mine = grantor.held.get(node, Held())
        return [(budget, begin, node, mine.life, mine.leased, mine.used, 0),
                (budget, begin, "", "", 0, 0, grantor.closed)]

    def _asked(self, exchange: Exchange) -> None:
        try:
            match exchange.path:
                case "/v1/lease":
                    grants = self.lease(_asks(bytes(exchange.body)), self.reactor.seconds())
                    exchange.reply(200, _encode({"grants": grants}))
                case "/v1/entries":
                    sent = _shipment(bytes(exchange.body))
                    status = 200
                    try:
                        upto = self.store.receive(sent.node, sent.after, [(r.number, bytes(r.body)) for r in sent.rows])
                    except Missing as gap:  # this file is older than what the node remembers: it was restored
                        self.log("entries are missing", level="warning", reason=str(gap))
                        status, upto = 409, self.store.shipped(sent.node)
                    exchange.reply(status, _encode({"upto": upto}))
                case _:
                    exchange.reply(404, b'{"error":"no such path"}')
        except (msgspec.DecodeError, ValueError) as wrong:
            exchange.reply(400, _encode({"error": str(wrong)[:300]}))
        except LedgerFull as full:
            self.log("ledger cannot be written", level="error", reason=str(full))
            exchange.reply(507, _encode({"error": str(full)}))
