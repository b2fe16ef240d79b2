"""What the soak's helper processes share: a specification, commands on standard input, an event log, and requests read from bytes.

Requests are read here by hand and not by ``wire``: an oracle that shares its parser with the program would share its faults.
"""
from __future__ import annotations

import json
import os
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.stdio import StandardIO
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure

from ..eventloop import reactor
from .events import EventLog

HOST_VARIABLE = "SOAK_HOST"
HOST = os.environ.get(HOST_VARIABLE, "127.0.0.1")


@dataclass(slots=True, frozen=True)
class HttpRequest:
    """A whole request; names of headers in lower case."""
    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class RequestReader(Protocol):
    """A server's connection: tells each whole request, and its own end.

    Args:
        on_request: called as ``on_request(connection, request)``.
        on_closed: called once.
    """

    noisy = False

    def __init__(self, on_request: Callable[[RequestReader, HttpRequest], None], on_closed: Callable[[RequestReader], None]) -> None:
        self._on_request, self._on_closed, self._data = on_request, on_closed, b""
        self.closed = self.was_reset = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        self._data += data
        while True:
            head, end, rest = self._data.partition(b"\r\n\r\n")
            if not end:
                return
            first, *lines = head.decode("latin-1").split("\r\n")
            headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
            length = int(headers.get("content-length", 0))
            if len(rest) < length:
                return
            self._data = rest[length:]
            method, target, _ = first.split(" ")
            self._on_request(self, HttpRequest(method, target, headers, rest[:length]))

    def connectionLost(self, reason: Failure) -> None:
        self.closed = True
        self.was_reset = not reason.check(ConnectionDone)
        self._on_closed(self)

    def say(self, data: bytes) -> None:
        """Writes, if the connection is still there."""
        if not self.closed:
            self.transport.write(data)


def listen(port: int, build: Callable[[], Protocol], backlog: int = 256) -> Any:
    """A listener at a port of loopback."""
    factory = Factory()
    factory.noisy = False
    factory.buildProtocol = lambda address: build()
    return reactor.listenTCP(port, factory, backlog=backlog, interface=HOST)


class _Commands(LineOnlyReceiver):
    """Commands as lines of JSON; the end of standard input ends the process."""

    delimiter = b"\n"

    def __init__(self, obey: Callable[[dict[str, Any]], None]) -> None:
        self._obey = obey

    def lineReceived(self, line: bytes) -> None:
        self._obey(json.loads(line))

    def connectionLost(self, reason: Failure) -> None:
        if reactor.running:
            reactor.stop()


def run(build: Callable[[dict[str, Any], EventLog, Random], Any]) -> None:
    """Runs a helper until its standard input ends. ``build(specification, log, chance)`` returns what has ``obey(command)``."""
    specification = json.loads(sys.argv[1])
    name = specification["name"]
    log = EventLog(Path(specification["folder"]) / f"{name}.events", name)
    helper = build(specification, log, Random(f"{specification['seed']} {name}"))
    StandardIO(_Commands(helper.obey))
    reactor.run(installSignalHandlers=False)


__all__ = ["HOST", "HOST_VARIABLE", "HttpRequest", "IAddress", "RequestReader", "listen", "reactor", "run"]
