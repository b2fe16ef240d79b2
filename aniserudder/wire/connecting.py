"""Opens a client's TCP connection, and gives it up when asked to.

Twisted's endpoints do the same, but bring its plugin and standard input modules with them: a megabyte in a process that has few.
"""
from __future__ import annotations

from collections.abc import Callable

from twisted.internet.defer import Deferred, fail
from twisted.internet.error import ConnectingCancelledError
from twisted.internet.interfaces import IAddress, IConnector, IReactorTCP
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from .client import ClientConnection


class _Connecting(ClientFactory):
    """One connection that is being made."""

    noisy = False

    def __init__(self, build: Callable[[], ClientConnection]) -> None:
        self.made: Deferred[ClientConnection] = Deferred(self._give_up)
        self.connector: IConnector | None = None
        self._build = build

    def buildProtocol(self, addr: IAddress) -> ClientConnection | None:
        if self.made.called:  # given up in the meantime
            return None
        connection = self._build()
        connection.on_made = self.made.callback
        return connection

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:
        if not self.made.called:
            self.made.errback(reason)

    def _give_up(self, made: Deferred[ClientConnection]) -> None:
        made.errback(ConnectingCancelledError(self.connector.getDestination()))
        self.connector.stopConnecting()


def connect_tcp(reactor: IReactorTCP, host: str, port: int, build: Callable[[], ClientConnection], timeout_s: float,
                bind: str = "") -> Deferred[ClientConnection]:
    """Connects to an IPv4 address.

    Args:
        reactor: for sockets and time.
        host: dotted address.
        port: of TCP.
        build: makes the protocol, once the connection is there.
        timeout_s: after which it has failed; cancelling the result gives it up at once.
        bind: local address; empty: any.
    """
    connecting = _Connecting(build)
    try:
        connecting.connector = reactor.connectTCP(host, port, connecting, timeout_s, (bind, 0) if bind else None)
    except Exception:  # no socket could be made
        return fail()
    return connecting.made
