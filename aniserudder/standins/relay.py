"""A link between two processes that can be bad: it falls silent in one direction or both, is slow, resets, is cut after some bytes, or
lets no new connection come up. One relay stands for one directed pair: whoever asks connects to it in place of whom it asks.

Silent means what a broken network does: bytes are taken and nothing comes of them, no end is told; when the link heals they flow on.
"""
from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure


CUT_S = 0.02  # seconds from the last bytes before a cut to the reset


@dataclass(slots=True)
class Bad:
    """What is wrong with a link at the moment."""
    there: bool = False        # silent from whoever asks to whom it asks
    back: bool = False         # silent the other way
    slow_s: float = 0.0        # mean delay of each piece, drawn from an exponential distribution; order is kept
    never: bool = False        # new connections do not come up: they are accepted by nobody
    cut_after: int = 0         # bytes there, after which a connection is reset; 0: never


class _End(Protocol):
    """One side of a relayed connection."""

    def __init__(self, pair: _Pair, there: bool) -> None:
        self.pair, self.there = pair, there

    def connectionMade(self) -> None:
        self.pair.up(self)

    def dataReceived(self, data: bytes) -> None:
        self.pair.carry(self.there, data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.pair.lost(self.there)


class _Pair:
    """One relayed connection."""

    def __init__(self, relay: Relay) -> None:
        self.relay = relay
        self.ends: dict[bool, _End] = {}           # True: the end at whoever asks
        self.kept: dict[bool, deque[bytes]] = {True: deque(), False: deque()}
        self.due: dict[bool, float] = {True: 0.0, False: 0.0}
        self.passed, self.over = 0, False
        self.closing: set[bool] = set()

    def up(self, end: _End) -> None:
        self.ends[end.there] = end
        if end.there:
            endpoint = TCP4ClientEndpoint(self.relay.reactor, *self.relay.target, timeout=2)
            endpoint.connect(Factory.forProtocol(lambda: _End(self, False))).addErrback(lambda failure: self.reset())
        else:
            self.flow(True)

    def carry(self, there: bool, data: bytes) -> None:
        """A piece from the end at whoever asks (``there``), or from the other."""
        self.kept[there].append(data)
        bad, reactor = self.relay.bad, self.relay.reactor
        delay = self.relay.chance.expovariate(1 / bad.slow_s) if bad.slow_s else 0.0
        self.due[there] = max(self.due[there], reactor.seconds() + delay)
        if self.due[there] > reactor.seconds():
            reactor.callLater(self.due[there] - reactor.seconds(), self.flow, there)
        else:
            self.flow(there)

    def flow(self, there: bool) -> None:
        """Passes on what may pass."""
        bad, to = self.relay.bad, self.ends.get(not there)
        if to is None or self.over or (bad.there if there else bad.back) or self.relay.reactor.seconds() < self.due[there] - 1e-6:
            return
        while self.kept[there]:
            data = self.kept[there].popleft()
            self.relay.bytes += len(data)
            if there and bad.cut_after and self.passed + len(data) > bad.cut_after:
                to.transport.write(data[:bad.cut_after - self.passed])
                self.over = True
                self.relay.reactor.callLater(CUT_S, self.reset)  # after these bytes have gone out
                return
            self.passed += len(data) if there else 0
            to.transport.write(data)
        if there in self.closing:
            to.transport.loseConnection()

    def lost(self, there: bool) -> None:
        """One side ended: the other hears of it as it hears of bytes."""
        self.closing.add(there)
        self.flow(there)
        if len(self.closing) == 2:
            self.over = True
            self.relay.pairs.discard(self)

    def reset(self) -> None:
        self.over = True
        for end in self.ends.values():
            end.transport.abortConnection()
        self.relay.pairs.discard(self)


class Relay:
    """One directed pair of processes.

    Args:
        target: host and port of whom is asked.
        chance: of its delays.
    """

    def __init__(self, reactor: IReactorTCP, target: tuple[str, int], chance: Random) -> None:
        self.reactor, self.target, self.chance = reactor, target, chance
        self.bad, self.pairs, self.bytes = Bad(), set(), 0
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = self._made
        self._port = reactor.listenTCP(0, factory, interface="127.0.0.1", backlog=512)
        self.port: int = self._port.getHost().port

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def _made(self, address: object) -> Protocol:
        if self.bad.never:
            return Protocol()  # it stays, and nobody ever answers there
        pair = _Pair(self)
        self.pairs.add(pair)
        return _End(pair, True)

    def turns(self, bad: Bad, seconds: float, later: Callable[..., object]) -> None:
        """Bad for a while, then well again: what was kept back flows on."""
        self.bad = bad

        def heal() -> None:
            self.bad = Bad()
            for pair in list(self.pairs):
                pair.flow(True)
                pair.flow(False)
        later(seconds, heal)

    def reset(self) -> None:
        """Ends all connections that are there."""
        for pair in list(self.pairs):
            pair.reset()

    def stop(self) -> None:
        self._port.stopListening()
        self.reset()
