"""TCP in simulated time: what Twisted's reactor offers (timers, ``listenTCP``, ``connectTCP``), in memory.

Everything that runs on loopback runs here unchanged, bytes and all: HTTP, pools, listeners, admission, clients. Each process of a
scenario has a ``Process``; killing one resets its connections, closes its ports and lets its timers never run. A connection is two
``Pipe`` ends; what one end writes arrives at the other a latency later, in order. Connects to a closed port are refused after a
round trip, those to a cut one are neither made nor refused.
"""
from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectionDone, ConnectionLost, ConnectionRefusedError, TimeoutError
from twisted.internet.interfaces import IAddress, IProtocol
from twisted.python.failure import Failure

from .clock import Call, HeapClock

BUFFER = 65_536  # bytes under way from one end before its producer is paused


class Network:
    """All ports and connections of a scenario.

    Args:
        latency: seconds one way between two processes, by their names.
    """

    def __init__(self, clock: HeapClock, latency: Callable[[str, str], float]) -> None:
        self.clock, self.latency = clock, latency
        self.ports: dict[int, Port] = {}
        self.cut: set[int] = set()
        self._next = 20_000

    def free_port(self) -> int:
        self._next += 1
        return self._next

    def process(self, name: str) -> Process:
        return Process(self, name)


class Handle:
    """Stands for a socket's handle."""

    def setsockopt(self, *_: object) -> None:
        pass

    def shutdown(self, *_: object) -> None:
        pass

    def recv(self, *_: object) -> bytes:
        """What arrives is handed on at once: nothing waits in here."""
        raise BlockingIOError

    def send(self, data: bytes) -> int:
        """All that is written goes by way of the transport, which keeps the order of the simulated network."""
        raise BlockingIOError


class Timer:
    """A process's timer: it never runs once the process is dead."""

    __slots__ = ("process", "what", "args", "call")

    def __init__(self, process: Process, delay: float, what: Callable[..., Any], args: tuple[Any, ...],
                 keywords: dict[str, Any]) -> None:
        self.process, self.what, self.args = process, (lambda *a: what(*a, **keywords)) if keywords else what, args
        self.call: Call = process.network.clock.callLater(delay, self._run)

    def _run(self) -> None:
        if self.process.alive:
            self.what(*self.args)

    def active(self) -> bool:
        return self.call.active()

    def cancel(self) -> None:
        self.call.cancel()

    def getTime(self) -> float:  # noqa: N802 (Twisted's name)
        return self.call.at


class Process:
    """One process as its code sees the reactor."""

    def __init__(self, network: Network, name: str) -> None:
        self.network, self.name, self.alive = network, name, True
        self.listening: dict[Port, None] = {}
        self.pipes: dict[Pipe, None] = {}

    # Twisted's names.

    def seconds(self) -> float:
        return self.network.clock.seconds()

    def callLater(self, delay: float, what: Callable[..., Any], *args: Any, **keywords: Any) -> Timer:  # noqa: N802
        return Timer(self, max(0.0, delay), what, args, keywords)

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Port:  # noqa: N802
        number = port or self.network.free_port()
        if number in self.network.ports:
            raise OSError(f"port {number} is taken")
        made = self.network.ports[number] = Port(self, number, factory)
        self.listening[made] = None
        factory.doStart()
        return made

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float = 30,  # noqa: N802
                   bindAddress: tuple[str, int] | None = None) -> Connector:
        return Connector(self, port, factory, timeout)

    def getReaders(self) -> list[Port]:  # noqa: N802
        return [p for p in self.listening if p.reading]

    # The scenario's.

    def kill(self) -> None:
        """Dies: peers see their connections reset, ports refuse, nothing in here runs any more."""
        self.alive = False
        for port in list(self.listening):
            port.close()
        for pipe in list(self.pipes):
            pipe.vanish()


class Port:
    """A listening port (``IListeningPort`` as far as it is used)."""

    def __init__(self, process: Process, number: int, factory: Any) -> None:
        self.process = self.reactor = process
        self.number, self.factory = number, factory
        self.connected = self.reading = True
        self._backlog: list[Connector] = []

    def getHost(self) -> IAddress:  # noqa: N802
        return IPv4Address("TCP", "127.0.0.1", self.number)

    def close(self) -> None:
        if self.connected:
            self.connected = self.reading = False
            self.process.network.ports.pop(self.number, None)
            self.process.listening.pop(self, None)
            for connector in self._backlog:
                connector.fail(ConnectionRefusedError())
            self._backlog.clear()

    def stopListening(self) -> None:  # noqa: N802
        self.close()

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        self.close()

    def doRead(self) -> None:  # noqa: N802
        waiting, self._backlog = self._backlog, []
        for connector in waiting:
            connector.accept(self)

    def stopReading(self) -> None:  # noqa: N802
        self.reading = False

    def startReading(self) -> None:  # noqa: N802
        self.reading = True
        self.doRead()

    def arrives(self, connector: Connector) -> None:
        if self.reading:
            connector.accept(self)
        else:
            self._backlog.append(connector)


class Connector:
    """One connect under way (``IConnector`` as far as it is used)."""

    def __init__(self, process: Process, port: int, factory: Any, timeout: float) -> None:
        self.process, self.number, self.factory, self.over = process, port, factory, False
        factory.doStart()
        factory.startedConnecting(self)
        self._timer = process.callLater(timeout, self.fail, TimeoutError())
        network = process.network
        port_there = network.ports.get(port)
        self._way = network.latency(process.name, port_there.process.name if port_there else "")
        network.clock.callLater(self._way, self._arrives)

    def stopConnecting(self) -> None:  # noqa: N802
        self.fail(ConnectionRefusedError())

    disconnect = stopConnecting

    def getDestination(self) -> IAddress:  # noqa: N802
        return IPv4Address("TCP", "127.0.0.1", self.number)

    def _arrives(self) -> None:
        network = self.process.network
        if self.over or not self.process.alive or self.number in network.cut:
            return  # a cut port is silent: the time-out ends it
        port = network.ports.get(self.number)
        if port is None:
            network.clock.callLater(self._way, self.fail, ConnectionRefusedError())
        else:
            port.arrives(self)

    def accept(self, port: Port) -> None:
        if self.over or not self.process.alive:
            return
        here, there = Pipe(self.process, self._way), Pipe(port.process, self._way)
        here.other, there.other = there, here
        protocol = port.factory.buildProtocol(IPv4Address("TCP", f"10.0.{len(self.process.name) % 250}.1", 1))
        if protocol is None:
            self.process.network.clock.callLater(self._way, self.fail, ConnectionRefusedError())
            return
        there.start(protocol)
        self.process.network.clock.callLater(self._way, self._made, here)

    def _made(self, here: Pipe) -> None:
        if self.over or not self.process.alive:
            return here.vanish()
        self.over = True
        self._timer.cancel()
        protocol = self.factory.buildProtocol(self.getDestination())
        here.start(protocol)

    def fail(self, reason: Exception) -> None:
        if not self.over and self.process.alive:
            self.over = True
            if self._timer.active():
                self._timer.cancel()
            self.factory.clientConnectionFailed(self, Failure(reason))
            self.factory.doStop()


class Pipe:
    """One end of a connection (``ITCPTransport`` as far as it is used)."""

    bufferSize = BUFFER

    def __init__(self, process: Process, way: float) -> None:
        self.process, self.way = process, way
        self.clock = process.network.clock
        self.other: Pipe | None = None
        self.protocol: IProtocol | None = None
        self.connected, self.disconnecting = False, False
        self._producer: Any = None
        self._paused_producer = False
        self._under_way = 0
        self._reading = True
        self._came: list[bytes | Failure] = []   # not read yet, or before there was a protocol

    def start(self, protocol: IProtocol) -> None:
        self.protocol, self.connected = protocol, True
        self.process.pipes[self] = None
        protocol.makeConnection(self)
        self._drain()

    # Twisted's names.

    def write(self, data: bytes) -> None:
        if not self.connected or self.disconnecting or not data:
            return
        self._under_way += len(data)
        self.clock.callLater(self.way, self.other._arrives, data)
        if self._under_way > self.bufferSize and self._producer and not self._paused_producer:
            self._paused_producer = True
            self._producer.pauseProducing()

    def writeSequence(self, data: list[bytes]) -> None:  # noqa: N802
        self.write(b"".join(data))

    def loseConnection(self) -> None:  # noqa: N802
        if self.connected and not self.disconnecting:
            self.disconnecting = True
            self.clock.callLater(self.way, self.other._arrives, Failure(ConnectionDone()))
            self.clock.callLater(0, self._lost, Failure(ConnectionDone()))

    def abortConnection(self) -> None:  # noqa: N802
        if self.connected:
            self.disconnecting = True
            self.clock.callLater(self.way, self.other._arrives, Failure(ConnectionLost()))
            self.clock.callLater(0, self._lost, Failure(ConnectionLost()))

    def registerProducer(self, producer: Any, streaming: bool) -> None:  # noqa: N802
        self._producer = producer
        if not streaming:  # asked for more now, and once all is written: at once, in here
            producer.resumeProducing()
            producer.resumeProducing()

    def unregisterProducer(self) -> None:  # noqa: N802
        self._producer = None

    def pauseProducing(self) -> None:  # noqa: N802
        self._reading = False

    def resumeProducing(self) -> None:  # noqa: N802
        self._reading = True
        self._drain()

    stopReading, startReading = pauseProducing, resumeProducing

    def setTcpNoDelay(self, on: bool) -> None:  # noqa: N802
        pass

    setTcpKeepAlive = setTcpNoDelay

    def getHandle(self) -> Handle:  # noqa: N802
        return Handle()

    def getPeer(self) -> IAddress:  # noqa: N802
        return IPv4Address("TCP", "127.0.0.1", 1)

    getHost = getPeer

    # Arrivals.

    def _arrives(self, what: bytes | Failure) -> None:
        self._came.append(what)
        self._drain()

    def _drain(self) -> None:
        while self._came and self._reading and self.protocol is not None and self.process.alive:
            if not self.connected:
                self._came.clear()
                return
            what = self._came.pop(0)
            if isinstance(what, Failure):
                return self._lost(what)
            self.other._taken(len(what))
            self.protocol.dataReceived(what)

    def _taken(self, count: int) -> None:
        self._under_way -= count
        if self._paused_producer and self._under_way <= self.bufferSize // 4:
            self._paused_producer = False
            if self._producer and self.connected and self.process.alive:
                self._producer.resumeProducing()

    def _lost(self, reason: Failure) -> None:
        if self.connected:
            self.connected = False
            self.process.pipes.pop(self, None)
            if self.process.alive:
                self.protocol.connectionLost(reason)

    def vanish(self) -> None:
        """Its process died: the other end sees a reset."""
        if self.connected:
            self.connected = False
            self.process.pipes.pop(self, None)
        if self.other:
            self.clock.callLater(self.way, self.other._arrives, Failure(ConnectionLost()))
