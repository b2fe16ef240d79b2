"""Helpers of the platform node's tests: raw engines, discovery and clients on loopback, which note every byte that they see."""
from __future__ import annotations

import json
import socket
from collections.abc import Callable
from typing import Any

from aniserudder.eventloop import reactor
from twisted.internet.defer import maybeDeferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol

from aniserudder.platform import config
from aniserudder.platform.node import PlatformNode
from stand import until

SETTINGS = {
    "balancers": 1, "zone": "a", "kinds": ["prefill", "decode", "mixed"],
    "family-info": {"duty-by-kind": ["read", "write", "both"], "self-prefill": True, "let-go-by": 0.3, "token-aim": [0.07, 0.08],
                    "aim-us-per-1000-prompt-tokens": [40000.0, 40000.0]},
    "bounds": {"cancelling": True, "conn-idle": 15.0, "connect-timeout": 0.25, "max-attempts": 3, "retry-after": True,
               "max-retry-after": 0.5},
    "rules": {"cold": 10.0, "cold-share": 0.3, "fall-multiple": 2.5},
    "services": [{"name": "draft", "goal-time": 1.0, "deadline": 3.0, "semantics": "pure", "stream": True, "points": 1.0},
                 {"name": "send", "goal-time": 1.0, "deadline": 3.0, "semantics": "side_effect", "stream": True, "points": 3.0}]}
EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"%b"},"finish_reason":null}]}\n\n'
LAST = (b'data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":2,"prompt_tokens_details":{"cached_tokens":4}}}\n\n'
        b"data: [DONE]\n\n")
HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
STREAM = EVENT % b"one" + EVENT % b"two" + LAST


def chunked(*pieces: bytes) -> bytes:
    return b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in pieces)


WHOLE = HEAD + chunked(EVENT % b"one", EVENT % b"two", LAST) + b"0\r\n\r\n"
READ = b'HTTP/1.1 202 Accepted\r\ncontent-length: 20\r\n\r\n{"cached_tokens":12}'
FULL = b"HTTP/1.1 503 Service Unavailable\r\nnot-started: 1\r\ncontent-length: 0\r\n\r\n"


class Raw(Protocol):
    """One connection; notes what comes in its owner's log."""

    def __init__(self, name: str, log: list[tuple[str, str]], heard: Callable[[Raw, bytes], None]) -> None:
        self.name, self.log, self.heard, self.data, self.over = name, log, heard, b"", False

    def dataReceived(self, data: bytes) -> None:
        self.data += data
        self.log.append((self.name, "data"))
        self.heard(self, data)

    def connectionLost(self, reason: Any = None) -> None:
        self.over = True
        self.log.append((self.name, "closed"))

    def say(self, data: bytes) -> None:
        self.transport.write(data)


class Party:
    """Something that listens and answers each request by ``answer``."""

    def __init__(self, name: str, log: list[tuple[str, str]], answer: Callable[[Raw, bytes], None]) -> None:
        self.name, self.log, self.answer, self.requests, self.connections = name, log, answer, [], []
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = self._build
        self.port = reactor.listenTCP(0, factory, interface="127.0.0.1")
        self.address = f"127.0.0.1:{self.port.getHost().port}"

    def _build(self, addr: Any) -> Raw:
        connection = Raw(self.name, self.log, self._heard)
        self.connections.append(connection)
        return connection

    def _heard(self, connection: Raw, data: bytes) -> None:
        head, end, body = connection.data.partition(b"\r\n\r\n")
        length = next((int(line.split(b":")[1]) for line in head.split(b"\r\n") if line.lower().startswith(b"content-length")), 0)
        if end and len(body) >= length:
            connection.data = body[length:]
            self.requests.append(head + end + body[:length])
            self.answer(connection, self.requests[-1])

    def stop(self) -> None:
        self.port.stopListening()
        for connection in self.connections:
            if connection.transport:
                connection.transport.abortConnection()


class Never:
    """An address where connections never come up: its queue is full, so the system says nothing to who comes."""

    def __init__(self) -> None:
        self.socket = socket.socket()
        self.socket.bind(("127.0.0.1", 0))
        self.socket.listen(0)
        self.address = f"127.0.0.1:{self.socket.getsockname()[1]}"
        self.queue = []
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.socket.getsockname())
            self.queue.append(filler)

    def stop(self) -> None:
        for one in (*self.queue, self.socket):
            one.close()


class Site:
    """A node with raw engines. ``engines``: name and what it does with a request; the name's first letter is its role."""

    def __init__(self, engines: dict[str, Callable[[Raw, bytes], None]], **settings: Any) -> None:
        self.log: list[tuple[str, str]] = []
        self.lines: list[str] = []
        self.engines = {n: Party(n, self.log, self._answering(a)) for n, a in engines.items()}
        self.deleted: list[tuple[str, str]] = []
        self.watches: list[Raw] = []
        self.discovery = Party("discovery", self.log, self._discovers)
        self.revision, self.clients = 1, []
        self.conf = {"name": "n1", "listen": "127.0.0.1:0", "discovery": self.discovery.address, "seed": "1f",
                     "limits": {"sockets": 256}, "known": self.listed(), "settings": {**SETTINGS, **settings}}
        self.node = PlatformNode(config.decode(self.conf), reactor, lambda event, **fields: self.lines.append(
            f"{event} {fields.get('reason', '')}"))

    def _answering(self, answer: Callable[[Raw, bytes], None]) -> Callable[[Raw, bytes], None]:
        def heard(connection: Raw, request: bytes) -> None:
            if request.startswith(b"DELETE"):
                self.deleted.append((connection.name, request.split(b" ")[1].rpartition(b"/")[2].decode()))
                return connection.say(b"HTTP/1.1 204 No Content\r\n\r\n")
            answer(connection, request)
        return heard

    def member(self, name: str, phase: str = "SERVING", since: int = 0) -> dict[str, Any]:
        return {"id": name, "host_port": self.engines[name].address, "locality": "a", "cell": 1, "phase": phase, "size": 1.0,
                "flavor": {"r": "prefill", "w": "decode", "m": "mixed"}[name[0]], "up_since_ms": since}

    def listed(self, *members: dict[str, Any], complete: bool = True) -> dict[str, Any]:
        return {"revision": self.revision, "complete": complete, "members": list(members) or [self.member(n) for n in self.engines]}

    def _discovers(self, connection: Raw, request: bytes) -> None:
        if b"?from=" in request:
            self.watches.append(connection)
        else:
            self.tell(self.listed(), connection)

    def tell(self, news: Any, connection: Raw | None = None) -> None:
        body = news if isinstance(news, bytes) else json.dumps(news).encode()
        (connection or self.watches.pop()).say(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body))

    async def up(self) -> Site:
        self.node.start()
        await until(lambda: self.node.clients.ready and self.watches)
        return self

    async def client(self, data: bytes = b"", at: tuple[str, int] | None = None) -> Raw:
        factory = Factory()
        factory.noisy = False
        client = Raw("client", self.log, lambda c, d: None)
        factory.buildProtocol = lambda addr: client
        await TCP4ClientEndpoint(reactor, *(at or self.node.address)).connect(factory)
        self.clients.append(client)
        if data:
            client.say(data)
        return client

    async def close(self) -> None:
        self.node.discovery.stop()
        self.node.engines.close()
        if self.node._port:  # it ran in this process
            await maybeDeferred(self.node._port.stopListening)
        for client in self.clients:
            client.transport.abortConnection()
        for party in (self.discovery, *self.engines.values()):
            party.stop()


def ask(id: str = "a1", kind: str = "draft", left: str = "1.0", body: bytes = b'{"model":"x","stream":true}', extra: str = "",
        length: str = "", info: str = "prompt_len=900,max_out=80") -> bytes:
    """A client's request."""
    head = (f"POST /v1/chat/completions?v=2 HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {id}\r\nRequest-Class: {kind}\r\n"
            f"Affinity-Key: k1\r\nRequest-Timeout: {left}\r\nRequest-Info: {info}\r\n{extra}"
            f"Content-Length: {length or len(body)}\r\n\r\n")
    return head.encode() + body


def body_of(answer: bytes) -> bytes:
    """What the chunks of an answer hold."""
    rest, whole = answer.partition(b"\r\n\r\n")[2], b""
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        whole, rest = whole + rest[:int(size, 16)], rest[int(size, 16) + 2:]
    return whole
