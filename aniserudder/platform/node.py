"""One node on the operators' platform: configuration in, sockets open, signals heeded, an ordered stop.

Everything is told by the environment; see ``docs/operate-platform.md``. Nothing is decided here.
"""
from __future__ import annotations

import errno
import gc
import os
import resource
import signal
import sys
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from twisted.internet.defer import Deferred
from twisted.internet.error import CannotListenError
from twisted.internet.interfaces import IDelayedCall, IListeningPort, IReactorTCP

from .. import logs
from ..admission.descriptors import Descriptors
from ..admission.memory import MemoryBudget, Purpose
from ..admission.turns import RefusalPace, TurnQueue
from ..core.router import Router
from ..decisions.interface import Role
from ..wire.listening import SYSTEM, Acceptor
from ..wire.server import ServerResources
from . import config
from .clients import LINGER_S, OPENING_S, Clients
from .discovery import Discovery
from .engines import PlatformEngines
from .list_codec import EMPTY
from .process_memory import MemoryGauge, return_freed_memory, trim
from .request_log import LEVELS, RequestLog
from .signals import Signals

LEVEL = "NODE_LOG_LEVEL"   # variable: debug, info, warning or error
CLIENTS_PART = 0.55        # of all descriptors
ENGINES_LESS = 24          # descriptors beside clients' and engines': discovery, listener, log, the reactor's own
LAST_COMERS_S = 0.6        # DEPLOY: for 0.4 s after SIGTERM new connections keep coming
QUIET_S = OPENING_S + LINGER_S  # that a stopping node waits for last bytes to leave: each connection is bounded by that
LOOK_S = 0.05              # between looks at what a stopping node still owes
FIGURES_S = 5.0            # between lines of figures
LOOK_FOR_HELD_S = 1.0      # between the monitor's looks for what was never released
LATE_S, LATE_EVERY_S = 0.25, 0.1  # a loop that is later than this is told
RELOAD_AGAIN_S, RELOAD_FOR_S = 0.1, 2.0  # a file that cannot be used may be half written: so long it is read again
DOOR_HELD_S = 1.5          # that a stopping node's listener waits for a system that refuses to accept
FOLLOW_MOST_S = 140.0      # that a stopping node follows given-up attempts behind its last sequence, unless SIGKILL comes
RELEASE_MOST_S = 30.0      # that it stays for a release that no engine has confirmed, where nothing else may come
LISTEN_AGAIN_S, LISTEN_FOR_S = 0.1, 10.0  # an address may still be the last process's, and memory short for a moment
LISTEN_ERRORS = SYSTEM | {errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EINTR}
CROWD_BYTES = 1 << 20      # that peers held, and hold no more, before memory is given back
RECORD_BYTES = 1_536       # of a reservation that is followed, and of what the monitor knows of its request
LATE_BYTES = 1_024         # of an attempt that was given up before that, and of what the monitor knows of it


class PlatformNode:
    """Opens everything on ``start`` and closes it in order on ``stop``.

    Args:
        conf: the configuration.
        reactor: for sockets and time.
        log: called as ``log(event, level=..., **fields)``.
    """

    def __init__(self, conf: config.Config, reactor: IReactorTCP, log: Callable[..., None]) -> None:
        self.conf, self.reactor, self.log = conf, reactor, log
        self.memory = MemoryGauge(conf.memory)
        limit = min(conf.descriptors, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        own = limit - round(CLIENTS_PART * limit)
        self.budget = MemoryBudget(conf.memory, self.memory.sample())
        self.engines = PlatformEngines(reactor, conf.facts, max(8, own - ENGINES_LESS), log, self.budget)
        self.router = Router(conf.settings, conf.seed, self.engines, reactor, log=log, name=conf.name)
        self.resources = ServerResources(self.budget, TurnQueue(reactor), RefusalPace(reactor), log)
        self.clients = Clients(self.router, (t.name for t in conf.settings.types), Descriptors(limit, own), reactor, log, self.resources)
        self.engines.on_exhausted = self.clients.exhausted
        self.clients.can_forward = lambda: self.engines.has_room
        self.router.client_here = self.clients.here
        self.router.read_answer = self.engines.read_answer
        self.engines.reservations.is_over = lambda request: request not in self.router.flights
        self.engines.invariants, self.engines.lag = self.router.invariants, self.router.lag
        self.discovery = Discovery(self.router, self.engines, conf.discovery, conf.facts.drain_grace / 1e6, reactor, log,
                                   self._ready, self.clients.resume, self.budget)
        self.router.list_permits, self.clients.may_take = self.discovery.may_send, self.discovery.may_take
        self._tables = self.budget.account(Purpose.TABLES)
        self._port: IListeningPort | None = None
        self._acceptor: Acceptor | None = None
        self._door_until = 0.0  # seconds; a stopping node's listener closes then, whoever waits
        self._last_sequence_at = 0.0  # seconds; when a stopping node had one last
        self._stopping = False
        self._reload_again: IDelayedCall | None = None
        self._reload_problem = ""  # as it was told last
        self._most_held = 0  # bytes that peers held at most since memory was given back last
        self.stopped: Deferred[None] = Deferred()

    def start(self) -> None:
        """Listens, and asks discovery; ready once that has answered, or counts as down.

        Raises:
            twisted.internet.error.CannotListenError: the address cannot be had.
        """
        self._port = self.clients.port = self._listen()
        self._acceptor = Acceptor(self._port, lambda: self.clients.room, self.clients.accept_again)
        known, self.conf = self.conf.known, replace(self.conf, known=EMPTY)  # not held beside what is made of it
        self.discovery.start(known)
        self.reactor.callLater(LATE_EVERY_S, self._late, self.reactor.seconds() + LATE_EVERY_S)
        self.reactor.callLater(FIGURES_S, self._figures)
        self.reactor.callLater(LOOK_FOR_HELD_S, self._look_for_held)

    def _look_for_held(self) -> None:
        self.reactor.callLater(LOOK_FOR_HELD_S, self._look_for_held)
        self.engines.look_for_held()

    def _listen(self) -> IListeningPort:
        """The listener. Before the reactor runs there is nothing else to do, so it is waited for here, as long as a start may take.

        Raises:
            twisted.internet.error.CannotListenError: the address cannot be had.
        """
        host, port = self.conf.listen
        until, said = time.monotonic() + LISTEN_FOR_S, False
        while True:
            try:
                return self.reactor.listenTCP(port, self.clients.factory, interface=host, backlog=1024)
            except CannotListenError as problem:
                refused = problem
            except OSError as problem:  # Twisted makes the socket outside its own error handling
                refused = CannotListenError(host, port, problem)
            if refused.socketError.errno not in LISTEN_ERRORS or time.monotonic() > until:
                raise refused
            if not said:
                self.log("cannot listen yet", level="warning", reason=f"{host}:{port}: {refused.socketError.strerror}")
            said = True
            time.sleep(LISTEN_AGAIN_S)

    @property
    def address(self) -> tuple[str, int]:
        """Where clients are taken."""
        at = self._port.getHost()
        return at.host, at.port

    def reload(self, path: Path) -> None:
        """Reads the configuration anew. Discovery's address is taken over at once; other settings hold from the next start.
        A file that cannot be used changes nothing; it is read again for a while, as it may have been half written."""
        if self._reload_again and self._reload_again.active():
            self._reload_again.cancel()
        self._reload(path, self.reactor.seconds() + RELOAD_FOR_S)

    def _reload(self, path: Path, until: float) -> None:
        try:
            fresh = config.read(path)
        except config.BadConfig as wrong:
            if str(wrong) != self._reload_problem:
                self._reload_problem = str(wrong)
                self.log("reload refused", level="error", reason=str(wrong))
            if self.reactor.seconds() < until and not self._stopping:
                self._reload_again = self.reactor.callLater(RELOAD_AGAIN_S, self._reload, path, until)
            return
        self._reload_problem = ""
        if fresh.settings != self.conf.settings:
            self.log("settings hold from the next start", level="warning", reason=str(path))
        if fresh.discovery != self.discovery.address:
            self.discovery.move(fresh.discovery)
        self.log("reloaded", level="info", reason=f"discovery {fresh.discovery[0]}:{fresh.discovery[1]}")

    def stop(self) -> Deferred[None]:
        """Takes no new sequence, answers those taken, lets go of what is held. ``stopped`` fires when all is done."""
        if not self._stopping:
            self._stopping = True
            self.log("stopping", level="info", reason=f"{len(self.router.flights)} sequences are here")
            self.clients.stop()
            self._door_until = self.reactor.seconds() + LAST_COMERS_S + DOOR_HELD_S
            self._last_sequence_at = self.reactor.seconds()
            self.reactor.callLater(LAST_COMERS_S, self._close_door)
        return self.stopped

    def _close_door(self) -> None:
        if not self._acceptor.drain() and self.reactor.seconds() < self._door_until:
            self.reactor.callLater(LOOK_S, self._close_door)
            return
        self._port.stopListening()
        self._wait()

    def _wait(self) -> None:
        if self.router.flights:
            self._last_sequence_at = self.reactor.seconds()
        if self.router.flights or self.clients.reading or self.clients.expected or self._releases_states:
            self.reactor.callLater(LOOK_S, self._wait)
            return
        reservations = self.engines.reservations
        if not reservations.is_settled:
            unreleased, followed = len(reservations.releases), reservations.followed
            self.log("ends before all is let go", level="warning", reason=f"{unreleased} releases, {followed} given-up attempts that may go on")
        self.clients.factory.stop()
        self.discovery.stop()
        self.engines.close()
        self._leave(self.reactor.seconds() + QUIET_S)

    @property
    def _releases_states(self) -> bool:
        """Whether anything is held, or may come to be held, that nobody but this process would release."""
        reservations, quiet_s = self.engines.reservations, self.reactor.seconds() - self._last_sequence_at
        if reservations.is_settled:
            return False
        return quiet_s < (FOLLOW_MOST_S if reservations.followed else RELEASE_MOST_S)

    def _leave(self, until: float) -> None:
        if self.clients.factory.connections and self.reactor.seconds() < until:
            self.reactor.callLater(LOOK_S, self._leave, until)
            return
        self.engines.look_for_held()
        self.log("guards", level="error" if self.router.invariants.total else "info", reason=self._guards())
        self.log("stopped", level="info", reason=f"{self.router.counts.taken} sequences were taken")
        self.stopped.callback(None)

    def _ready(self) -> None:
        if not self._stopping and not self.clients.ready:
            self.clients.open()
            gc.collect()
            gc.freeze()  # what is here now stays: no collection need look at it again
            if not self.clients.factory.connections:  # else a part of what is held is theirs
                self.budget.own_is(self.memory.sample())
            self.log("ready", level="info", reason=f"{len(self.discovery.listed)} engines, {self.memory.line()}")

    def _late(self, due: float) -> None:
        self.reactor.callLater(LATE_EVERY_S, self._late, self.reactor.seconds() + LATE_EVERY_S)
        late = self.reactor.seconds() - due
        self.memory.sample()
        self._give_back()
        self._tables.hold(self.clients.remembered_bytes + self.router.node.remembered_bytes
                          + RECORD_BYTES * len(self.engines.reservations.records) + LATE_BYTES * len(self.engines.reservations.late))
        if self.discovery.start_times.sample():
            self.log("wall clock stepped", level="warning", reason=f"{self.discovery.start_times.steps} offsets seen so far")
        self.router.lag.loop_late(late)

    def _give_back(self) -> None:
        """Once a crowd has gone, what it has left behind goes back to the system."""
        most_held = max(self._most_held, self.budget.total)
        has_gone = most_held - self.budget.total > CROWD_BYTES and self.budget.total < most_held / 2
        self._most_held = self.budget.total if has_gone else most_held
        if has_gone:
            gc.collect()
            trim()

    def _figures(self) -> None:
        """What the node holds, and what it believes its engines hold of it."""
        self.reactor.callLater(FIGURES_S, self._figures)
        self.engines.sweep()
        believed = sum(e.streams for e in self.router.node.engines.values())
        reads = sum(len(e.out) for e in self.router.node.engines.values() if e.role is Role.READER)
        runs = [r.attempt.reads for r in self.engines.runs.values()]
        counts = self.router.counts
        level = "warning" if self.router.lag.loop_s > LATE_S else "info"
        self.log("figures", level=level, reason=(
            f"{self.router.lag.line()}, {self.memory.line()}, {self.budget.line()}, {self.resources.turns.line()}, {self.clients.composition()}, engine "
            f"connections {self.engines.open}, sequences {len(self.router.flights)}, reads {reads} believed {sum(runs)} out, streams "
            f"{believed} believed {len(runs) - sum(runs)} out; taken {counts.taken}, generated {counts.generated}, rejected "
            f"{counts.rejected}, aborted {counts.aborted}, left {counts.left}, turned away {self.clients.turned_away}, shed "
            f"{self.clients.shed}, connects {self.engines.counts.connects} of them failed {self.engines.counts.connect_failures}, "
            f"reused {self.engines.counts.reused}, stale {self.engines.counts.stale}, rested {self.engines.counts.rested}, releases lost {self.engines.releases_lost}, "
            f"repeated {self.engines.reservations.repeated}, engines asked {self.engines.reservations.questions}, late {self.engines.reservations.late.sent}, reservations {len(self.engines.reservations.records)} of them with given-up "
            f"attempts {self.engines.reservations.followed}, dropped {self.engines.reservations.dropped}"))
        self.log("guards", level="error" if self.router.invariants.total else "info", reason=self._guards())

    def _guards(self) -> str:
        """What the guards permitted and denied, how attempts ended, why connections closed; rules broken, if any."""
        router = self.router
        parts = [f"violations {router.invariants.total}", f"permitted {router.guard.permitted}", f"retries {router.counts.retries}"]
        parts += [f"denied as {denial.name.lower()} {count}" for denial, count in router.guard.denials.items()]
        parts += [f"ended {outcome.value} {count}" for outcome, count in router.counts.outcomes.items()]
        parts += [f"accept {name} {count}" for name, count in (self._acceptor.socket.errors.items() if self._acceptor else ())]
        parts += [f"closed as {reason.name.lower()} {count}" for reason, count in self.clients.factory.closes.items()]
        return ", ".join(parts)


def read_at_start(path: Path) -> config.Config:
    """The configuration; one that may be half written is read again for as long as at a reload.

    Raises:
        BadConfig: it cannot be used.
    """
    until = time.monotonic() + RELOAD_FOR_S
    while True:
        try:
            return config.read(path)
        except config.UnfinishedConfig:
            if time.monotonic() > until:
                raise
            time.sleep(RELOAD_AGAIN_S)


def run(signals: Signals | None = None) -> int:
    """Runs one node until SIGTERM or SIGINT. Returns the exit code: 0 stopped in order, 2 bad configuration.

    ``signals``: heeded since the program's start, if its caller did so.
    """
    from ..eventloop import reactor
    signals = signals or Signals().heed()
    return_freed_memory()
    try:
        path = config.path_of()
        signals.forget(signal.SIGHUP)  # the file is read now
        conf = read_at_start(path)
    except config.BadConfig as wrong:
        print(wrong, file=sys.stderr)
        return 2
    level = os.environ.get(LEVEL, "warning").lower()
    if level not in LEVELS:
        print(f"{LEVEL}: {level!r} is none of {', '.join(LEVELS)}", file=sys.stderr)
        return 2
    log = logs.make(conf.name, "debug")
    if level != "debug":
        log = RequestLog(log, level, reactor.seconds)
    node = PlatformNode(conf, reactor, log)
    del conf  # its list is large

    def told(number: int) -> None:
        reactor.callFromThread(node.reload, path) if number == signal.SIGHUP else reactor.callFromThread(node.stop)
    if signals.ends:
        return 0  # nothing was taken yet
    node.stopped.addCallback(lambda _: reactor.stop())
    signals.tell(told)
    try:
        node.start()
    except CannotListenError as taken:
        print(f"{path}: listen: {taken.interface}:{taken.port}: {taken.socketError.strerror}", file=sys.stderr)
        return 2
    reactor.run(installSignalHandlers=False)
    return 0
