"""Calls to engines that carry no body, bounded in time: releases, questions, load reports."""

from __future__ import annotations

import math
from collections.abc import Callable

from ..wire.client import ClientConnection
from ..wire.connections import Connections
from .attempt_exchange import ControlCall


class SmallCall:
    """One call. ``done`` or ``not_made`` is called once, unless it is called off.

    Args:
        connections: to engines.
        engine: that is called.
        method: of HTTP.
        path: on that engine.
        done: called with status and body; status 0: no answer came.
        not_made: called with the reason if there is no connection; without it ``done`` is.
    """

    def __init__(
        self,
        connections: Connections,
        engine: str,
        method: str,
        path: str,
        done: Callable[[int, bytes], None],
        not_made: Callable[[str], None] | None = None,
    ) -> None:
        self._connections, self._engine, self._method, self._path = connections, engine, method, path
        self._done, self._not_made = done, not_made
        self._exchange = ControlCall(self._over)
        self._connection: ClientConnection | None = None
        self._asked_at = connections.reactor.seconds()
        self._give_up: Callable[[], None] = lambda: None

    def begin(self, patience_s: float, idle_most_s: float = math.inf) -> SmallCall:
        """Sends it.

        Args:
            patience_s: in which the answer has to come.
            idle_most_s: a kept connection that has been idle for longer is left for others.
        """
        self._timer = self._connections.reactor.callLater(patience_s, self._late)
        is_release = self._method == "DELETE"
        self._give_up = self._connections.connected(self._engine, self._ready, self._failed, idle_most_s, urgent=is_release)
        return self

    def call_off(self) -> None:
        """Nobody wants its answer any more."""
        if not self._exchange.over:
            self._end()
            if self._connection is None:
                self._give_up()
            else:
                self._connection.drop()

    def read_now(self) -> bool:
        """Reads what the kernel holds of its answer and the loop has not come to. Whether there was something."""
        return self._connection is not None and not self._exchange.over and self._connection.read_now()

    def _end(self) -> None:
        self._exchange.over = True
        if self._timer.active():
            self._timer.cancel()

    def _over(self, status: int, body: bytes) -> None:
        self._end()
        self._done(status, body)

    def _late(self) -> None:
        self._exchange.finish(0)
        if self._connection is not None:
            self._connection.drop()
            if self._connection.rested >= 0:  # others that were kept as long may have fallen silent with it
                self._connections.distrust(self._engine, self._asked_at)

    def _ready(self, connection: ClientConnection) -> None:
        if self._exchange.over:
            return self._connections.put_back(connection)
        self._connection = connection
        if not connection.ask(self._method, self._path, [], b"", self._exchange):
            self._exchange.finish(0)

    def _failed(self, reason: str) -> None:
        if self._not_made is None or self._exchange.over:
            return self._exchange.finish(0)
        self._end()
        self._not_made(reason)
