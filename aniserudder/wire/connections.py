"""Client connections to many servers: made when needed, kept while idle for a bounded time, bounded in number."""
from __future__ import annotations

import errno
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTCP, IReactorTime
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from .client import ClientConnection, connect_tcp


class Collect:
    """A small exchange whose whole answer is wanted. Status 0: there was none.

    Args:
        most: bytes of the answer that are kept.
    """

    __slots__ = ("done", "status", "data", "most")

    def __init__(self, done: Callable[[int, bytes], None], most: int) -> None:
        self.done, self.status, self.data, self.most = done, 0, b"", most

    def head(self, status: int) -> None:
        self.status = status

    def body(self, data: bytes) -> None:
        self.data = (self.data + data)[:self.most]

    def complete(self) -> None:
        self.done(self.status, self.data)

    def lost(self, reason: str, malformed: bool) -> None:
        self.done(0, b"")



NO_DESCRIPTOR = "no descriptor is left"
LOCAL_TROUBLE = "this system cannot connect"
EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE})
# Of this system, whatever the server does (connect(2), socket(2)): no port, no memory, a signal.
LOCAL_ERRORS = frozenset({errno.EADDRNOTAVAIL, errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM})
TIMED_OUT_LEAST_S = 0.2  # a connect that timed out sooner never waited for its server
NETWORK_PROOF_S = 1.0  # a connection made to another server within this time shows that this system's network is there
CONNECT_BACKSTOP = 4.0  # times the time for a connection, in which the library gives up by itself
LATE_S, LATE_LOOKS, LATE_LOOK_S = 0.02, 3, 0.01  # a limit that runs later than this lets the loop look at its sockets first
AGES = 16              # octaves of milliseconds that a connection may have been idle
HALF_LIFE_S = 20.0     # in which what was seen of an age counts half
RISKY, SEEN = 0.03, 0.5  # an age is risky above this share of resets, if so many were seen


def _nothing() -> None:
    """There is nothing to give up."""


class IdleAges:
    """What became of requests on kept connections, by how long these had been idle.

    Guards against servers, or whatever stands before them, that end idle connections without a word in time: a request on
    such a one is reset, and nobody knows whether it ran. The danger may lie anywhere (some end them a tenth of a second
    after an answer and say so a second later), so each octave is judged by itself; what was seen fades, to be tried again.
    """

    __slots__ = ("good", "reset", "seen_at")

    def __init__(self) -> None:
        self.good, self.reset, self.seen_at = [0.0] * AGES, [0.0] * AGES, [0.0] * AGES

    def note(self, idle: float, good: bool, now: float) -> None:
        """A request on a connection that had been idle for so many seconds was answered, or reset."""
        age = self._age(idle)
        self._fade(age, now)
        (self.good if good else self.reset)[age] += 1

    def risky(self, idle: float, now: float) -> bool:
        """Whether a connection that has been idle for so long had better rest on."""
        age = self._age(idle)
        self._fade(age, now)
        return self.reset[age] > max(SEEN, RISKY * (self.good[age] + self.reset[age]))

    def _fade(self, age: int, now: float) -> None:
        part = 0.5 ** ((now - self.seen_at[age]) / HALF_LIFE_S) if self.reset[age] or self.good[age] else 1.0
        self.good[age], self.reset[age], self.seen_at[age] = self.good[age] * part, self.reset[age] * part, now

    @staticmethod
    def _age(idle: float) -> int:
        return min(AGES - 1, int(math.log2(max(1.0, idle * 1000))))


@dataclass(slots=True, eq=False)
class Place:
    """One server's address and the idle connections to it, longest idle first."""
    engine: str
    host: str
    port: int
    idle: list[tuple[ClientConnection, float]] = field(default_factory=list)  # and since when
    address: str = ""

    def __post_init__(self) -> None:
        self.address = f"{self.host}:{self.port}"


@dataclass(slots=True, frozen=True)
class Keeping:
    """How connections are made and kept: seconds for making one and for keeping an idle one, idle ones of a server,
    connections in all (0: any), bytes of one chunk (0: any), local address (empty: any), seconds that one rests after an
    answer before it is used again: what a server sends behind an answer must not pass for the next one's, connections of those
    in all that are kept for urgent calls, bytes that are read at a time (0: as the reactor has it)."""
    connect_s: float
    idle_s: float
    idle_most: int
    most: int = 0
    chunk_most: int = 0
    bind: str = ""
    settle_s: float = 0.0
    urgent: int = 0
    read_most: int = 0


@dataclass(slots=True)
class ConnectionCounts:
    """What was counted since the start."""
    connects: int = 0
    connect_failures: int = 0
    reused: int = 0
    stale: int = 0  # idle ones that had ended when they were wanted
    distrusted: int = 0  # idle ones closed as their like had fallen silent
    rested: int = 0  # times that idle ones were passed over, as their like had been reset


class ConnectLimit:
    """Bounds the time in which a connection has to come up.

    A loop that comes late runs its timers before it asks the kernel which connections came up meanwhile: a limit that is itself late
    gives it some more turns first.

    Args:
        reactor: for time.
        seconds: that the connection may take.
        give_up: called when they are over.
    """

    __slots__ = ("over", "_reactor", "_give_up", "_due", "_looks", "_timer")

    def __init__(self, reactor: IReactorTime, seconds: float, give_up: Callable[[], None]) -> None:
        self.over, self._reactor, self._give_up, self._looks = False, reactor, give_up, 0
        self._due = reactor.seconds() + seconds
        self._timer = reactor.callLater(seconds, self._is_due)

    def _is_due(self) -> None:
        if self._reactor.seconds() - self._due > LATE_S and self._looks < LATE_LOOKS:
            self._looks += 1
            self._due = self._reactor.seconds()
            self._timer = self._reactor.callLater(LATE_LOOK_S, self._is_due)
            return
        self.over = True
        self._give_up()

    def cancel(self) -> None:
        """The connection came up, or failed."""
        if self._timer.active():
            self._timer.cancel()


class Connections:
    """Connections to servers by name.

    Args:
        reactor: Twisted's reactor, for sockets and time.
        keeping: how they are made and kept.
    """

    def __init__(self, reactor: IReactorTCP, keeping: Keeping) -> None:
        self.reactor, self.keeping = reactor, keeping
        self.places: dict[str, Place] = {}
        self.counts = ConnectionCounts()
        self.idle_ages = IdleAges()
        self._resting: dict[Place, None] = {}  # with idle connections, and some that had them
        self.open = 0        # connections that are open or being made
        self._last_made: tuple[str, float] = ("", -math.inf)  # the server last connected to, and when
        self.on_exhausted: Callable[[], None] = lambda: None  # told when there was no descriptor for a connection
        self.closed = False

    def locate(self, engine: str, address: str) -> None:
        """Says where a server listens, as host:port. One that moved gets new connections."""
        host, _, port = address.rpartition(":")
        place = self.places.get(engine)
        if place is None or (place.host, place.port) != (host.strip("[]"), int(port)):
            if place:
                self.shut(place)
            self.places[engine] = Place(engine, host.strip("[]"), int(port))

    def forget(self, engine: str) -> None:
        """The server is gone for good."""
        place = self.places.pop(engine, None)
        if place:
            self.shut(place)

    def connected(self, engine: str, ready: Callable[[ClientConnection], None], failed: Callable[[str], None],
                  idle_most_s: float = math.inf, urgent: bool = False) -> Callable[[], None]:
        """Calls ``ready`` with a connection that nobody uses, or ``failed`` with why there is none. Returns what gives up one that is being
        made, so that ``failed`` is called now.

        ``idle_most_s``: a kept connection that has been idle for longer is left for others. ``urgent``: the call may take one of the
        connections that are set aside.
        """
        place = self.places.get(engine)
        if place is None:
            failed("no address is known")
            return _nothing
        kept = self.kept(place, idle_most_s)
        if kept:
            self.counts.reused += 1
            ready(kept)
            return _nothing
        if self._is_full(urgent) and not self._make_room():
            failed(NO_DESCRIPTOR)
            return _nothing
        self.counts.connects += 1
        self.open += 1
        asked_at = self.reactor.seconds()

        def made(connection: ClientConnection) -> None:
            limit.cancel()
            connection.place = place
            self._last_made = engine, self.reactor.seconds()
            ready(connection)

        def not_made(failure: Failure) -> None:
            limit.cancel()
            self.counts.connect_failures += 1
            self.open -= 1
            number = getattr(failure.value, "osError", None) or getattr(failure.value, "errno", None)
            if number in EXHAUSTED:
                self.on_exhausted()
                return failed(NO_DESCRIPTOR)
            if self._is_local(number, engine, self.reactor.seconds() - asked_at):
                return failed(LOCAL_TROUBLE)
            failed(f"no connection: {'TimeoutError' if limit.over else failure.value.__class__.__name__}")

        connecting = self._connect(place)
        limit = ConnectLimit(self.reactor, self.keeping.connect_s, connecting.cancel)
        connecting.addCallbacks(made, not_made)
        return connecting.cancel

    def _connect(self, place: Place) -> Deferred[ClientConnection]:
        def build() -> ClientConnection:
            return ClientConnection(f"{place.host}:{place.port}", self.free, self._gone, self.keeping.chunk_most,
                                    self.keeping.read_most)

        timeout_s = CONNECT_BACKSTOP * self.keeping.connect_s
        if place.host.replace(".", "").isdigit():
            return connect_tcp(self.reactor, place.host, place.port, build, timeout_s, self.keeping.bind)
        from twisted.internet.endpoints import HostnameEndpoint  # large, and of no use where addresses are numbers
        factory = Factory.forProtocol(build)
        factory.noisy = False
        bind = (self.keeping.bind, 0) if self.keeping.bind else None
        return HostnameEndpoint(self.reactor, place.host, place.port, timeout=timeout_s, bindAddress=bind).connect(factory)

    def _is_local(self, number: int | None, server: str, took_s: float) -> bool:
        """Whether a connection failed for a reason of this system, so that it tells nothing of the server. A network that is
        unreachable is the server's while others have just been reached."""
        if number == errno.ETIMEDOUT:
            return took_s < TIMED_OUT_LEAST_S
        if number == errno.ENETUNREACH:
            last, at = self._last_made
            return last in ("", server) or self.reactor.seconds() - at > NETWORK_PROOF_S
        return number in LOCAL_ERRORS

    def ask(self, name: str, method: str, path: str, body: bytes, most: int, within: float,
            done: Callable[[int, bytes], None]) -> None:
        """One small exchange within so many seconds. ``done`` is called once; status 0: it did not come off."""
        over, made = False, None

        def finish(status: int, data: bytes) -> None:
            nonlocal over
            if not over:
                over = True
                timer.active() and timer.cancel()
                done(status, data)

        def late() -> None:
            if made:
                made.drop()
            finish(0, b"")

        timer = self.reactor.callLater(within, late)

        def ready(connection: ClientConnection) -> None:
            nonlocal made
            if over:
                return self.free(connection)
            made = connection
            if not connection.ask(method, path, [], body, Collect(finish, most)):
                finish(0, b"")

        self.connected(name, ready, lambda reason: finish(0, b""))

    def kept(self, place: Place, idle_most_s: float = math.inf) -> ClientConnection | None:
        """An idle connection that can still be used, newest first; what cannot is closed."""
        now = self.reactor.seconds()
        for at in range(len(place.idle) - 1, -1, -1):
            connection, since = place.idle[at]
            connection.rested = now - since
            if connection.rested < self.keeping.settle_s:
                continue
            if connection.rested > idle_most_s:
                return None
            if connection.rested < self.keeping.idle_s and connection.quiet:
                if self.idle_ages.risky(connection.rested, now):
                    self.counts.rested += 1
                    continue
                del place.idle[at]
                return connection
            del place.idle[at]
            self.counts.stale += 1
            connection.drop()
        return None

    def proven(self, but: str = "") -> str:
        """The server whose kept connection was used last, of those that have settled, leaving one out; empty: there is none."""
        latest = self.reactor.seconds() - self.keeping.settle_s
        settled = [(since, place.engine) for place in self._resting if place.engine != but for _, since in place.idle if since <= latest]
        return max(settled, default=(0.0, ""))[1]

    def fared(self, connection: ClientConnection, good: bool) -> None:
        """A request on a connection was answered, or reset before a byte of its answer. Fresh ones tell nothing."""
        if connection.rested >= 0:
            self.idle_ages.note(connection.rested, good, self.reactor.seconds())

    def free(self, connection: ClientConnection) -> None:
        """A connection that nobody uses any more."""
        place: Place = connection.place
        if self.closed or self.places.get(place.engine) is not place or len(place.idle) >= self.keeping.idle_most:
            return connection.drop()
        now = self.reactor.seconds()
        oldest = now - self.keeping.idle_s
        while place.idle and place.idle[0][1] < oldest:
            place.idle.pop(0)[0].drop()
        place.idle.append((connection, now))
        self._resting[place] = None

    def put_back(self, connection: ClientConnection) -> None:
        """A connection that was taken and not used: nothing came over it."""
        Connections.free(self, connection)

    def distrust(self, engine: str, since: float) -> None:
        """A request on a kept connection got no byte of an answer. Others that have been idle from before it was sent may have
        fallen silent with it, with no error: they are not used again."""
        place = self.places.get(engine)
        if place is None:
            return
        doubtful = [connection for connection, idle_since in place.idle if idle_since <= since]
        place.idle = [(connection, idle_since) for connection, idle_since in place.idle if idle_since > since]
        for connection in doubtful:
            self.counts.distrusted += 1
            connection.drop()

    def sweep(self) -> None:
        """Closes what has been idle for too long, also where nothing comes by."""
        oldest = self.reactor.seconds() - self.keeping.idle_s
        for place in self._resting:
            while place.idle and place.idle[0][1] < oldest:
                place.idle.pop(0)[0].drop()

    def _is_full(self, urgent: bool) -> bool:
        most = self.keeping.most - (0 if urgent else self.keeping.urgent)
        return bool(self.keeping.most) and self.open >= most

    @property
    def has_room(self) -> bool:
        """Whether a call that is not urgent can have a connection: a new one, or one that is kept."""
        return not self._is_full(urgent=False) or self._has_idle()

    def _has_idle(self) -> bool:
        self._resting = {place: None for place in self._resting if place.idle}
        return bool(self._resting)

    def _make_room(self) -> bool:
        """Closes the connection that has been idle for longest."""
        if not self._has_idle():
            return False
        min(self._resting, key=lambda place: place.idle[0][1]).idle.pop(0)[0].drop()
        return True

    def _gone(self, connection: ClientConnection) -> None:
        place: Place | None = connection.place
        self.open -= 1
        if place and place.idle:
            place.idle = [(c, since) for c, since in place.idle if c is not connection]

    @staticmethod
    def shut(place: Place) -> None:
        """Closes a server's idle connections."""
        idle, place.idle = place.idle, []
        for connection, _ in idle:
            connection.drop()

    def close(self) -> None:
        """Closes what is idle and takes no connection back."""
        self.closed = True
        for place in self.places.values():
            self.shut(place)
