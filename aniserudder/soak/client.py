"""A client process of the soak: many clients that ask, leave early, write slowly, stop half way, rest, or send what cannot be read."""
from __future__ import annotations

import time
from dataclasses import dataclass
from enum import Enum, auto
from random import Random
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure

from .events import KEPT, EventLog, Kind
from .helper import HOST, reactor, run

BODY = b'{"model":"chat","stream":true,"messages":[{"role":"user","content":"hello"}]}'
LAST_CHUNK = b"0\r\n\r\n"
CROSSING_S = 0.1    # a kept connection that ends so soon behind a request was ended before the node read it
LEAVE_WITHIN_S = 0.6
PAUSE_S = 0.25      # mean pause of a client between requests
REST_S = 20.0       # that a resting client waits for the node to end its connection


class Manner(Enum):
    """How a client behaves with one request."""
    USUAL = auto()
    LEAVES = auto()
    SLOW_WRITER = auto()
    STOPS_HALF_WAY = auto()
    UNREADABLE = auto()
    PIPELINES = auto()
    RESTS = auto()


# How often each is drawn.
PARTS = {
    Manner.USUAL: 0.72,
    Manner.LEAVES: 0.12,
    Manner.SLOW_WRITER: 0.06,
    Manner.STOPS_HALF_WAY: 0.03,
    Manner.UNREADABLE: 0.03,
    Manner.PIPELINES: 0.02,
    Manner.RESTS: 0.02,
}


@dataclass(slots=True)
class Asked:
    """One request whose answer is awaited."""
    id: str
    kind: str
    timeout: float
    kept: bool             # on a connection that had carried another
    sent_at: float = 0.0
    began: bool = False


class Connection(Protocol):
    """One client's connection to a node."""

    noisy = False

    def __init__(self, client: VirtualClient, node: str) -> None:
        self.client, self.node, self.data, self.used, self.over = client, node, b"", False, False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.client.connected(self)

    def dataReceived(self, data: bytes) -> None:
        self.data += data
        self.client.heard(self)

    def connectionLost(self, reason: Failure) -> None:
        self.over = True
        self.client.lost(self)


class VirtualClient:
    """Asks one request after the other."""

    def __init__(self, owner: Clients, number: int) -> None:
        self.owner, self.number, self.count = owner, number, 0
        self.connection: Connection | None = None
        self.asked: Asked | None = None
        self.manner = Manner.USUAL
        self.behind: Asked | None = None  # was sent behind a request whose answer is awaited
        self.fresh_tries = 0
        reactor.callLater(owner.chance.uniform(0, 1), self.next)

    def next(self) -> None:
        """Begins the next request."""
        if self.owner.stopped:
            return
        chance = self.owner.chance
        self.manner = chance.choices(list(PARTS), list(PARTS.values()))[0]
        kind = chance.choice(list(self.owner.kinds))
        self.count += 1
        id = f"{self.owner.name}-{self.number}-{self.count}"
        self.asked = Asked(id, kind, self.owner.kinds[kind] * chance.uniform(0.7, 1.0), self.connection is not None)
        if self.connection:
            return self._ask()
        self._connect()

    def _connect(self) -> None:
        if not self.owner.nodes:  # the front has no node to send anybody to
            return reactor.callLater(0.1, self._again) and None
        node = self.owner.chance.choice(self.owner.nodes)
        factory = ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda address: Connection(self, node)
        factory.clientConnectionFailed = lambda connector, reason: reactor.callLater(0.1, self._again)
        factory.clientConnectionLost = lambda connector, reason: None
        reactor.connectTCP(HOST, self.owner.ports[node], factory, timeout=1)

    def _again(self) -> None:
        if not self.owner.stopped:
            self._connect()

    def connected(self, connection: Connection) -> None:
        self.connection = connection
        if self.asked:
            self.asked.kept = False
            self._ask()

    def _ask(self) -> None:
        asked, connection = self.asked, self.connection
        data = self._request(asked)
        connection.data = b""
        match self.manner:
            case Manner.UNREADABLE:
                connection.transport.write(b"GIBBERISH\x00\x01 no protocol\r\n\r\n")
                return self._abandon(3.0)
            case Manner.STOPS_HALF_WAY:
                connection.transport.write(data[:len(data) // 2])
                return self._abandon(4.0)
            case Manner.SLOW_WRITER:
                third = len(data) // 3
                for part in range(3):
                    end = None if part == 2 else (part + 1) * third
                    reactor.callLater(0.1 * part, self._write_part, connection, asked, data[part * third:end], part == 2)
            case Manner.PIPELINES:
                self._sent(connection, asked, data)
                self.behind = Asked(f"{asked.id}-2", asked.kind, asked.timeout, False)
                connection.transport.write(self._request(self.behind))
            case _:
                self._sent(connection, asked, data)
        if self.manner is Manner.LEAVES:
            reactor.callLater(self.owner.chance.uniform(0, LEAVE_WITHIN_S), self._leave, connection, asked)

    def _write_part(self, connection: Connection, asked: Asked, data: bytes, last: bool) -> None:
        if connection.over or self.asked is not asked:
            return
        if last:
            return self._sent(connection, asked, data)
        connection.transport.write(data)

    def _sent(self, connection: Connection, asked: Asked, data: bytes) -> None:
        connection.transport.write(data)
        connection.used = True
        asked.sent_at = time.monotonic()
        self.owner.log.note(Kind.SENT, request=asked.id, node=connection.node, value=asked.timeout, text=asked.kind)

    def _request(self, asked: Asked) -> bytes:
        head = (f"POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {asked.id}\r\nRequest-Class: {asked.kind}\r\n"
                f"Affinity-Key: {asked.id}\r\nRequest-Timeout: {asked.timeout:.3f}\r\nRequest-Info: prompt_len={self.owner.prompt_tokens},max_out=60\r\n"
                f"Content-Length: {len(BODY)}\r\n\r\n")
        return head.encode() + BODY

    def _abandon(self, seconds: float) -> None:
        """Nothing was asked that is owed an answer: goes on with another connection later."""
        connection, self.connection, self.asked = self.connection, None, None
        connection.client = _Nobody()
        reactor.callLater(seconds, connection.transport.abortConnection)
        self._pause()

    def _leave(self, connection: Connection, asked: Asked) -> None:
        if self.asked is not asked or connection.over:
            return
        self.asked = self.connection = None
        connection.client = _Nobody()
        if self.owner.chance.random() < 0.5:
            connection.transport.abortConnection()
        else:
            connection.transport.loseConnection()
        self.owner.log.note(Kind.LEFT, request=asked.id, node=connection.node)
        self._pause()

    def heard(self, connection: Connection) -> None:
        """Bytes of an answer."""
        asked = self.asked
        if asked is None or not asked.sent_at:
            return
        head, end, body = connection.data.partition(b"\r\n\r\n")
        if not end:
            return
        status = int(head.split(b" ")[1])
        if status == 200:
            if not asked.began:
                asked.began = True
                self.owner.log.note(Kind.STREAM_BEGAN, request=asked.id, node=connection.node)
            whole, done, rest = body.partition(LAST_CHUNK)
            if done and b"[DONE]" in whole:
                connection.data = rest
                self._answered(connection, "200")
        elif len(body) >= _length(head):
            connection.data = body[_length(head):]
            self._answered(connection, str(status))

    def _answered(self, connection: Connection, text: str) -> None:
        self.owner.log.note(Kind.ANSWERED, request=self.asked.id, node=connection.node, text=text)
        self.asked, self.behind, behind = None, None, self.behind
        if behind and not connection.over:  # its time runs from now: the answers come in order
            self.asked, behind.sent_at = behind, time.monotonic()
            self.owner.log.note(Kind.SENT, request=behind.id, node=connection.node, value=behind.timeout, text=behind.kind)
            return self.heard(connection)
        if self.manner is Manner.RESTS:
            return reactor.callLater(REST_S, self.next) and None
        self._pause()

    def lost(self, connection: Connection) -> None:
        """The connection ended."""
        self.connection = None
        asked = self.asked
        if asked is None:
            return
        if not asked.sent_at:
            return self._connect()  # before its last byte was written: nothing was asked
        if asked.began:
            self.owner.log.note(Kind.ANSWERED, request=asked.id, node=connection.node, text="broken")
        else:
            crossed = asked.kept and time.monotonic() - asked.sent_at < CROSSING_S
            self.owner.log.note(Kind.CLOSED, request=asked.id, node=connection.node, text=KEPT if crossed else "")
        self.asked = self.behind = None
        self._pause()

    def _pause(self) -> None:
        reactor.callLater(self.owner.chance.expovariate(1 / PAUSE_S), self.next)


class _Nobody:
    """Whom a connection tells that its client has turned away from."""

    def heard(self, connection: Connection) -> None:
        pass

    lost = connected = heard


def _length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0


class Clients:
    """The clients of one process.

    Args:
        specification: ``ports`` (node: port), ``count``, ``kinds`` (class: deadline in seconds), ``prompt_tokens`` (of each request).
    """

    def __init__(self, specification: dict[str, Any], log: EventLog, chance: Random) -> None:
        self.name, self.log, self.chance, self.kinds = specification["name"], log, chance, specification["kinds"]
        self.ports, self.stopped, self.prompt_tokens = specification["ports"], False, specification["prompt_tokens"]
        self.nodes = sorted(self.ports)
        self.all = [VirtualClient(self, number) for number in range(specification["count"])]

    def obey(self, command: dict[str, Any]) -> None:
        """``{"stop": true}``: no further requests; ``{"nodes": [...]}``: those that the front knows of."""
        self.stopped = command.get("stop", self.stopped)
        self.nodes = command.get("nodes", self.nodes)


if __name__ == "__main__":
    run(Clients)
