"""A roster server that stands in for a real one: streams the engine list and its changes, as late as told to."""
from __future__ import annotations

import time
from collections.abc import Callable

from twisted.internet.interfaces import IReactorTCP

from ..roster import codec
from ..settings.schema import Row
from ..wire.server import Exchange
from .listener import Listener
from .witness import Witness


class StandinRoster:
    """One list for all nodes.

    Args:
        rows: by engine; the address is filled in for the zone of the node that asks.
        address: gives an engine's address as a node (by its name) reaches it.
        wall: the clock that it tells, on which engines' starts are told too.
    """

    def __init__(self, reactor: IReactorTCP, rows: list[Row], witness: Witness,
                 address: Callable[[str, str], str], port: int = 0, wall: Callable[[], float] = time.time) -> None:
        self.wall = wall
        self.reactor, self.witness, self.address = reactor, witness, address
        self.rows = {r.engine: r for r in rows}
        self.epoch = 1
        self.streams: dict[Exchange, str] = {}
        self.listener = Listener(reactor, self._asked, port=port)

    def change(self, engine: str, late_s: float = 0.0, **fields: object) -> None:
        """Changes a row, and tells all nodes ``late_s`` later."""
        self.reactor.callLater(late_s, self._changed, engine, fields)

    def away(self, seconds: float) -> None:
        """Gone for a while: streams are reset, connections refused."""
        self.listener.close()
        self.reactor.callLater(seconds, self.listener.open)

    def stop(self) -> None:
        self.listener.stop()

    def _changed(self, engine: str, fields: dict[str, object]) -> None:
        self.epoch += 1
        row = self.rows[engine] = self.rows[engine].model_copy(update=fields)
        for exchange, node in list(self.streams.items()):
            self._tell(exchange, node, False, [row])
        if row.availability == "gone":
            del self.rows[engine]

    def _asked(self, exchange: Exchange) -> None:
        path, _, query = exchange.path.partition("?")
        if path != "/v1/roster":
            return exchange.reply(404, b"{}")
        node = dict(p.partition("=")[::2] for p in query.split("&")).get("node", "")
        exchange.begin(200, kind="application/x-ndjson")
        exchange.gone = lambda reason: self.streams.pop(exchange, None)
        self.streams[exchange] = node
        self._tell(exchange, node, True, list(self.rows.values()))

    def _tell(self, exchange: Exchange, node: str, complete: bool, rows: list[Row]) -> None:
        placed = tuple(r.model_copy(update={"address": self.address(r.engine, node)}) for r in rows)
        for row in placed:
            self.witness.note("told", node=node, engine=row.engine, availability=row.availability,
                              started_at=row.started_at)
        if complete:
            self.witness.note("told_all", node=node, engines=[r.engine for r in placed])
        exchange.write(codec.encode(codec.News(self.epoch, complete, placed, self.wall() if complete else 0.0)))
