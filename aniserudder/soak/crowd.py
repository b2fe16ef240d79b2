"""A process of the soak that holds many idle connections open: most ask whether the node is ready, once, and stay."""
from __future__ import annotations

from random import Random
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure

from .events import EventLog
from .helper import HOST, reactor, run

ASKS_PART = 0.8          # of the connections ask once; the others never say a word
COMES_WITHIN_S = 1.0     # after its last connection ended
ASK = b"GET /health/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n"


class IdleConnection(Protocol):
    """Asks once or never, and waits to be closed."""

    noisy = False

    def __init__(self, crowd: Crowd) -> None:
        self.crowd = crowd

    def connectionMade(self) -> None:
        if self.crowd.chance.random() < ASKS_PART:
            self.transport.write(ASK)

    def connectionLost(self, reason: Failure) -> None:
        self.crowd.later()


class Crowd:
    """Keeps so many connections open.

    Args:
        specification: ``ports`` (node: port) and ``count``.
    """

    def __init__(self, specification: dict[str, Any], log: EventLog, chance: Random) -> None:
        self.ports, self.chance = specification["ports"], chance
        self.nodes, self.stopped = sorted(self.ports), False
        for _ in range(specification["count"]):
            self.later()

    def obey(self, command: dict[str, Any]) -> None:
        """``{"stop": true}``: connects no more; ``{"nodes": [...]}``: those that the front knows of."""
        self.stopped = command.get("stop", self.stopped)
        self.nodes = command.get("nodes", self.nodes)

    def later(self) -> None:
        """One more connection soon."""
        if not self.stopped:
            reactor.callLater(self.chance.uniform(0.1, COMES_WITHIN_S), self._connect)

    def _connect(self) -> None:
        if self.stopped:
            return
        if not self.nodes:  # the front has no node to send anybody to
            return self.later()
        factory = ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda address: IdleConnection(self)
        factory.clientConnectionFailed = lambda connector, reason: self.later()
        factory.clientConnectionLost = lambda connector, reason: None
        reactor.connectTCP(HOST, self.ports[self.chance.choice(self.nodes)], factory, timeout=1)


if __name__ == "__main__":
    run(Crowd)
