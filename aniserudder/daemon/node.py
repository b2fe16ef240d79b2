"""One running node: the library with its sockets round it. Nothing is decided here and nothing is global."""
from __future__ import annotations

import os
import time
from collections.abc import Callable
from pathlib import Path
from random import Random

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IDelayedCall, IListeningPort, IReactorTCP
from twisted.python.failure import Failure

from .. import logs
from ..core import NoRecord, Record, Router
from ..core.list_confirmation import ListConfirmation
from ..core.router import StreamRules
from ..durable import AtOnce, Ground, Paper, Writer
from ..engines import EnginePool
from ..ledger.claimant import Claimant
from ..ledger.books import Books, MeteredEngines, Rules
from ..ledger.store import LedgerBroken, Store
from ..messages import Messages
from ..recovery.asks import Asks
from ..recovery.ascent import Ascent, Bounds, Stage
from ..recovery.trust import Limits, Policy
from ..roster import follow
from ..roster.cache import Keeping
from ..settings import BadSettings, NodeSettings, load_tenants
from ..settings.schema import Streams, micros
from ..streams.pace import PaceRules
from ..streams.recovery import Order, RecoveryRules
from ..tenants.keeper import Keeper
from ..tenants.tree import Tree

BOOKS_WAIT = 6.0    # seconds for engines to tell what ran and for the last entries to be shipped
RELEASE_WAIT = 2.0  # seconds that a stopping node waits for its last letting go to be delivered
TAKEN_UP = 0.05     # seconds between looks at what is still on its way
# A client that has just connected would be reset without a word if the listener closed at once: it is told instead.
RISE_S = 0.05       # between looks at where a start is
HELD_PART = 0.6     # of the time to let go: what a send to which a state is held may wait for the disk
ACCEPT_TURNS = 8    # each takes what Twisted accepts in one go
LAST_WORDS = 0.25   # seconds that a stopping node still accepts, to say that it is stopping


class RunningNode:
    """Opens everything on ``start`` and closes it in order on ``stop``.

    Args:
        settings: of the node.
        reactor: for sockets and time.
        log: called as ``log(event, level=..., **fields)``; by default JSON lines on standard error.
        boot: names this start in sequence ids.
        ground: its disk, and the wall clock on which engines' starts are told.
    """

    def __init__(self, settings: NodeSettings, reactor: IReactorTCP, log: Callable[..., None] | None = None,
                 boot: str = "", ground: Ground = Ground()) -> None:
        self.settings, self.reactor = settings, reactor
        self.log = log or logs.make(settings.node, settings.log_level)
        self.writer = AtOnce() if ground.at_once else Writer(reactor, self.log)
        seed = settings.seed if settings.seed is not None else int.from_bytes(os.urandom(6), "big")
        self._record = None
        if settings.record:
            path = Path(settings.record)
            # One file a start: a killed node leaves all but its last lines, and nothing is written behind a torn one.
            number = next(n for n in range(1, 1_000_000) if not path.with_name(f"{path.name}.{n}").exists())
            out = ground.files.fresh(path.with_name(f"{path.name}.{number}"))
            self._record = Paper(self.writer, "record", out, self.log)
        recorder = Record(self._record) if self._record else NoRecord()
        self.pool = EnginePool(reactor, settings.limits, settings.rules, settings.node, settings.bind, self.log)
        self.books = open_books(settings, reactor, self.pool, self.log, self.writer, ground)
        engines = MeteredEngines(self.pool, self.books) if self.books else self.pool
        if self.books:
            self.books.engines = engines
            if any(t.claimed for t in settings.types.values()):
                self.books.claims = Claimant(reactor, settings.node, settings.ledger.service, self.books.lane, self.books.wall,
                                             self.pool.ask_usage, self.pool.ask_up)
        self.ascent = ascent(settings, reactor, seed)
        self.router = Router(settings.decisions_settings(), seed, engines, reactor, recorder, self.log, settings.node,
                             stream_rules(settings.streams))
        self.follower = follow(self.router, self.pool.locate, settings.roster, reactor, self.log, self.ascent,
                               keeping(settings, ground), self.writer.lane("lists"),
                               Asks(settings.nodes, Random(f"{seed} asks")), self.pool.ask_up)
        self.router.list_permits = self.ascent.may_send
        self.messages = Messages(settings, self.router, reactor, self.log, boot, self.books,
                                 lambda: self.pool.open, self.ascent)
        self._rising: IDelayedCall | None = None
        self._risen = 0  # steps of the ascent that the log knows
        self.pool.on_exhausted = self.messages.gate.exhausted
        self._port: IListeningPort | None = None
        self._stopping: Deferred[None] | None = None

    @property
    def address(self) -> tuple[str, int]:
        """Where clients are taken."""
        host = self._port.getHost()
        return host.host, host.port

    def start(self) -> None:
        """Hears of the engines, then opens the listener.

        Raises:
            twisted.internet.error.CannotListenError: the address cannot be had.
        """
        listen = self.settings.messages.listen
        self._port = self.reactor.listenTCP(listen.port, self.messages.factory, interface=listen.host, backlog=1024)
        self.messages.gate.start(self._port)
        self.ascent.start(self._now())
        self.follower.start()
        if self.books:
            self.books.on_term = lambda: self.ascent.told or self.ascent.ledger_told(self._now())
            self.books.start()
        self._rise()
        host, port = self.address
        self.log("listening", level="info", reason=f"{host}:{port}")

    def _rise(self) -> None:
        """Says each step of the ascent, and wakes it until it serves."""
        now = self._now()
        self.ascent.look(now)
        for after, stage in self.ascent.steps[self._risen:]:
            self.log("instance is", level="info", state=stage.value, reason=f"{after / 1e6:.3f} s after its start"
                     + (f", {self.ascent.turned_away} turned away" if stage is Stage.SERVING else ""))
        self._risen = len(self.ascent.steps)
        if self.ascent.stage is not Stage.SERVING and self._stopping is None:
            self._rising = self.reactor.callLater(RISE_S, self._rise)

    def _now(self) -> int:
        return round(self.reactor.seconds() * 1e6)

    def reload(self, settings: NodeSettings) -> None:
        """Takes over budgets and the rules of admission; nothing else, and no connection is dropped.

        Raises:
            BadSettings: the tree of tenants does not stand; all stays as it was.
        """
        try:
            tree = Tree(settings.tenants | load_tenants(settings.tenants_file))
        except ValueError as wrong:
            raise BadSettings([str(wrong)]) from None
        if self.books:
            self.books.keeper.replant(tree, self.books.time())
        self.messages.gate.reload(settings.admission)
        self.log("reloaded", level="info", reason=f"{len(tree.tenants)} tenants, {len(settings.admission.prefixes)} prefixes")

    def stop(self) -> Deferred[None]:
        """Takes nothing new; answers what was taken; lets go of what is held; closes. Fires when all is done."""
        if self._stopping is not None:
            return self._stopping
        done = self._stopping = Deferred()
        if self._rising and self._rising.active():
            self._rising.cancel()
        self.log("stopping", level="info", reason=f"{len(self.router.flights)} sequences are here")
        self.messages.stop()
        closed: Deferred[None] = Deferred()
        self.reactor.callLater(LAST_WORDS, self._close_door, closed)
        # Started streams have no abandon time: they get as long as the settings say, then an honest end.
        timer = self.reactor.callLater(self.settings.limits.stop_ms / 1000, self.router.give_up_all,
                                       "the node is stopping")

        def answered() -> None:
            if timer.active():
                timer.cancel()
            wait = BOOKS_WAIT if self.books else RELEASE_WAIT
            closed.addCallback(lambda _: self._deliver(self.reactor.seconds() + wait, done))

        self.router.on_quiet = answered
        self.router.tell(lambda: None)  # quiet already, perhaps
        return done

    def _close_door(self, closed: Deferred[None]) -> None:
        """Closes the listener with nobody left in the kernel's queue, who would be reset; then, after as long again, the
        connections on which nothing came."""
        self.messages.gate.stop()
        port = self._port
        if port and port.connected:
            for _ in range(ACCEPT_TURNS):
                port.doRead()
            port.stopReading()
            port.connectionLost(Failure(ConnectionDone()))  # at once: stopListening would leave a turn of the reactor open

        def close_idle() -> None:
            self.messages.factory.stop()
            closed.callback(None)
        self.reactor.callLater(LAST_WORDS, close_idle)

    def _deliver(self, until: float, done: Deferred[None]) -> None:
        """Waits for the last releases and the last bytes to clients."""
        busy = (self.pool.letting_go or self.messages.factory.connections or not self.writer.quiet
                or self.books and not self.books.quiet)
        if busy and self.reactor.seconds() < until:
            self.reactor.callLater(TAKEN_UP, self._deliver, until, done)
            return
        self.follower.stop()
        self.pool.close()
        for connection in list(self.messages.factory.connections):
            connection.abort()
        if self.books:
            if not self.books.quiet:
                self.log("books are not quiet", level="warning", reason=f"{len(self.books.waiting)} attempts are not told")
            self.books.stop()
        self.close_record()
        counts = self.router.counts
        self.log("stopped", level="info", reason=f"{counts.taken} taken, {counts.generated} generated, "
                 f"{counts.rejected} rejected, {counts.aborted} aborted, {counts.left} left")
        done.callback(None)

    def close_record(self) -> None:
        if self._record:
            self._record.close()
        self.writer.close()


def ascent(settings: NodeSettings, reactor: IReactorTCP, seed: int) -> Ascent:
    """A start's state machine, as the settings bound it."""
    form, longest = settings.recovery, micros(settings.limits.max_come_back_ms)
    bounds = Bounds(micros(form.read_ms), micros(form.ask_ms), micros(settings.rules.cold_ms), longest // 4, longest)
    return Ascent(Policy(form.policy), bounds, bool(settings.ledger.service), round(reactor.seconds() * 1e6),
                  Random(f"{seed} ascent"), ListConfirmation(round(reactor.seconds() * 1e6), bounds.ask))


def keeping(settings: NodeSettings, ground: Ground) -> Keeping:
    """How much of a kept list is believed."""
    form = settings.recovery
    return Keeping(settings.node, ground, Policy(form.policy), Limits(round(form.fresh_s * 1e6), round(form.oldest_s * 1e6)))


def stream_rules(streams: Streams) -> StreamRules:
    """What the router is told of the settings of streams."""
    recovery = RecoveryRules(order=Order(streams.order), part=streams.extra_reading, least=streams.least_extra)
    return StreamRules(micros(streams.pause_ms), recovery, PaceRules(streams.trickle_times, micros(streams.trickle_ms)))


def open_books(settings: NodeSettings, reactor: IReactorTCP, pool: EnginePool, log: Callable[..., None],
               writer: Writer | AtOnce, ground: Ground) -> Books | None:
    """The books of a node, or None where its settings keep none.

    Raises:
        BadSettings: the tree does not stand or the ledger cannot be opened.
    """
    ledger = settings.ledger
    if not ledger.path:
        if settings.tenants or settings.tenants_file or ledger.service:
            raise BadSettings(["ledger.path: missing: tenants' budgets need a ledger"])
        return None
    try:
        tree = Tree(settings.tenants | load_tenants(settings.tenants_file))
        store = Store(ledger.path, ledger.durability == "power", ground.files)
    except (ValueError, LedgerBroken) as wrong:
        raise BadSettings([str(wrong)]) from None
    keeper = Keeper(tree, ledger.overdraft_tokens if ledger.service else 0,
                    lambda budget, spent: log("soft mark passed", level="warning", reason=f"{budget.name}: {spent} spent"),
                    alone=not ledger.service, steady=time.monotonic, ahead=ledger.ahead_s)
    patience = micros(ledger.patience_ms)
    rules = Rules(ledger.when_full, ledger.lease_ms / 1000, ledger.tell_s, service=ledger.service, patience=patience,
                  patience_held=min(patience, round(micros(settings.rules.let_go_ms) * HELD_PART)))
    return Books(reactor, settings.node, store, keeper, rules, log, pool.ask_usage,
                 lambda: round(ground.wall() * 1e6), lane=writer.lane("ledger", store.group), steady=time.monotonic)
