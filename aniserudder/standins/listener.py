"""A listening socket that can be closed, cut off and healed again, at the same port.

Cut off means what a broken network does: connections that are there fall silent both ways without ending, and new
ones are neither made nor refused. The latter is done with a full accept queue, which needs no privileges.
"""
from __future__ import annotations

import socket
from collections.abc import Callable

from twisted.internet.defer import Deferred, maybeDeferred, succeed
from twisted.internet.interfaces import IListeningPort, IReactorCore, IReactorTCP

from ..wire.server import Bounds, Exchange, ServerConnection, ServerFactory
from .ports import PORTS

FILLERS = 4  # connections that fill a queue of length 0


class HeldConnection(ServerConnection):
    """A server connection that can be frozen."""

    frozen_at: float | None = None

    def __init__(self, *args: object) -> None:
        super().__init__(*args)
        self._kept: list[bytes] = []
        self.frozen_at = None
        self.thawed_at = -1.0

    def freeze(self, at: float) -> None:
        self.frozen_at = at
        self.transport.pauseProducing()

    def thaw(self, at: float) -> None:
        self.frozen_at, self.thawed_at = None, at
        kept, self._kept = self._kept, []
        if kept and self.transport.connected:
            self.transport.write(b"".join(kept))
        self.transport.resumeProducing()

    def _write(self, data: bytes) -> None:
        if self.frozen_at is not None:
            self._kept.append(data)
        else:
            super()._write(data)


class Factory(ServerFactory):
    def make(self) -> HeldConnection:
        return HeldConnection(self.clock, self.bounds, self.handle, self._gone, self._closing, self.resources)


class Listener:
    """One port.

    Args:
        reactor: Twisted's.
        handle: gets each whole request.
        host: loopback address; the port is drawn once and kept.
    """

    def __init__(self, reactor: IReactorTCP, handle: Callable[[Exchange], None], host: str = "127.0.0.1",
                 port: int = 0) -> None:
        self.reactor, self.host, self.port = reactor, host, port
        bounds = Bounds(65_536, 16_777_216, 30, 120, 16_777_216)
        self.factory = Factory(reactor, bounds, handle)
        self._port: IListeningPort | None = None
        self._blocked: list[socket.socket] = []
        self.cut_off = False
        self.open()

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    def open(self) -> None:
        """Listens (again)."""
        if self._port is None and not self.cut_off:
            if not self.port and IReactorCore.providedBy(self.reactor):  # a simulated network has ports of its own
                self.port = PORTS.draw()
            self._port = self.reactor.listenTCP(self.port, self.factory, interface=self.host, backlog=512)
            self.port = self._port.getHost().port

    def close(self, reset: bool = True) -> Deferred[None]:
        """Refuses new connections; with ``reset``, those that are there are reset too."""
        port, self._port = self._port, None
        if reset:
            for connection in list(self.factory.connections):
                connection.abort()
        return maybeDeferred(port.stopListening) if port else succeed(None)

    def cut(self) -> Deferred[None]:
        """Cuts it off from whoever uses this port."""
        self.cut_off = True
        for connection in self.factory.connections:
            connection.freeze(self.reactor.seconds())

        def block(_: object) -> None:
            if not self.cut_off:
                return self.open()
            full = socket.socket()
            full.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            full.bind((self.host, self.port))
            full.listen(0)
            self._blocked.append(full)
            for _ in range(FILLERS):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex((self.host, self.port))
                self._blocked.append(filler)
        return self.close(reset=False).addCallback(block)

    def heal(self) -> None:
        """Ends a cut: what was held back flows on."""
        self.cut_off = False
        for blocked in self._blocked:
            blocked.close()
        self._blocked.clear()
        for connection in list(self.factory.connections):
            if connection.frozen_at is not None:
                connection.thaw(self.reactor.seconds())
        self.open()

    def stop(self) -> Deferred[None]:
        """Ends it for good."""
        for blocked in self._blocked:
            blocked.close()
        self._blocked.clear()
        return self.close()
