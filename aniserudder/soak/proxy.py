"""The fault proxy between nodes and engines: one link for each pair, which may be cut, silent, slow or reset."""
from __future__ import annotations

import re
import socket
from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from .events import EventLog, Kind
from .helper import HOST, listen, reactor, run

BACKLOG = 16  # of a link's listener; a cut link's queue is filled, so that new connections never come up


PASSED_MOST = 16_384  # bytes in which a head is looked for
REQUEST_ID = re.compile(rb"POST /v1/[^\r]*\r\n(?:[^\r]+\r\n)*?request-id: ([^\r]+)\r\n", re.IGNORECASE)


class Side(Protocol):
    """One of a forwarded connection's two ends."""

    noisy = False

    def __init__(self, link: Link) -> None:
        self.link, self.other, self.waiting, self.silent, self.over = link, None, b"", False, False
        self.passed = b""  # handed on, behind the last head

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        if not self.silent:
            reactor.callLater(self.link.delay_s, self._forward, data)

    def _forward(self, data: bytes) -> None:
        if self.silent:
            return
        if self.other is None or not self.other.connected:
            self.waiting += data
        elif not self.other.over:
            self.other.transport.write(data)
            self.forwarded(data)

    def forwarded(self, data: bytes) -> None:
        """Bytes were handed on."""

    def connectionLost(self, reason: Failure) -> None:
        self.over = True
        self.link.sides.pop(self, None)
        if self.other and self.other.connected and not self.other.over and not self.silent:
            reactor.callLater(self.link.delay_s, self.other.transport.abortConnection if not reason.check() else self.other.transport.loseConnection)


class Inner(Side):
    """A node's end: connects to the engine when it is there."""

    first = True  # nothing came on it yet

    def dataReceived(self, data: bytes) -> None:
        """Notes the first request as it comes: this system acknowledges it to the node, as a network that is cut or loses it later would not."""
        if self.first:
            self.first = False
            found = REQUEST_ID.search(data)
            if found:
                self.link.note(Kind.TAKEN, found[1].decode())
        super().dataReceived(data)

    def connectionMade(self) -> None:
        super().connectionMade()
        self.link.sides[self] = None
        outer = Side(self.link)
        self.other, outer.other = outer, self
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda address: outer
        factory.startedConnecting = lambda connector: None
        factory.clientConnectionFailed = lambda connector, reason: self.transport.abortConnection()
        factory.clientConnectionLost = lambda connector, reason: None
        outer.connectionMade = lambda: self._reached(outer)
        reactor.connectTCP(HOST, self.link.target, factory, timeout=1)

    def forwarded(self, data: bytes) -> None:
        """Notes the request whose head is whole with these bytes: a node's system may have sent it in pieces."""
        self.passed = (self.passed + data)[-PASSED_MOST:]
        found = REQUEST_ID.search(self.passed)
        if found:
            self.passed = self.passed[found.end():]
            self.link.note(Kind.FORWARDED, found[1].decode())

    def _reached(self, outer: Side) -> None:
        outer.transport.setTcpNoDelay(True)
        self.link.sides[outer] = None
        if self.over:
            return outer.transport.abortConnection()
        waiting, self.waiting = self.waiting, b""
        if waiting and not self.silent:
            outer.transport.write(waiting)
            self.forwarded(waiting)


class Link:
    """One node's way to one engine. ``note`` is told the id of each request that is handed on, and of the first one as it comes."""

    def __init__(self, port: int, target: int, note: Callable[[Kind, str], None]) -> None:
        self.note = note
        self.target, self.delay_s, self.sides = target, 0.0, {}
        self.port = listen(port, lambda: Inner(self), BACKLOG)
        self._fillers: list[socket.socket] = []
        self._address = (HOST, port)

    def silence(self) -> None:
        """What is open says nothing more, either way, with no error."""
        for side in self.sides:
            side.silent = True

    def reset(self) -> None:
        """What is open is reset."""
        for side in list(self.sides):
            side.transport.abortConnection()

    def cut(self) -> None:
        """What is open falls silent, and nothing new comes up."""
        self.silence()
        self.port.stopReading()
        for _ in range(BACKLOG + 2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._address)
            self._fillers.append(filler)

    def heal(self) -> None:
        """What fell silent is reset, and new connections come up."""
        for side in list(self.sides):
            if side.silent:
                side.transport.abortConnection()
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self.port.startReading()


class Proxy:
    """All links of some nodes.

    Args:
        specification: ``links``, a list of node, engine, port and the engine's port.
    """

    def __init__(self, specification: dict[str, Any], log: EventLog, chance: Random) -> None:
        def noting(node: str, engine: str) -> Callable[[Kind, str], None]:
            return lambda kind, request: log.note(kind, request=request, node=node, engine=engine) and None
        self.links = {(node, engine): Link(port, target, noting(node, engine))
                      for node, engine, port, target in specification["links"]}

    def obey(self, command: dict[str, Any]) -> None:
        """``{"do": "cut", "node": "n1", "engine": "*"}``; also heal, silence, reset, and delay with ``seconds``."""
        for (node, engine), link in self.links.items():
            if command["node"] in (node, "*") and command["engine"] in (engine, "*"):
                if command["do"] == "delay":
                    link.delay_s = command["seconds"]
                else:
                    getattr(link, command["do"])()


if __name__ == "__main__":
    run(Proxy)
