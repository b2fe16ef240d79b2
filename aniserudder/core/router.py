"""One router: takes what happens, asks the decision node, carries out what it decides. No sockets in here.

The ordinary way of a sequence: ``take`` → the node says READING → ``Engines.send`` to a reader → its state waits →
WRITING → ``Engines.send`` to a writer → pieces of text → GENERATED. Every change of a sequence's state is the
decision node's and goes through ``_carry_out``; the router itself adds only what no decision is needed for: keeping
time-outs that were decided, and ending whole answers and sequences at the client's abandon time.

A stream whose writer is lost after its first token is BROKEN, if the node says that it may go on: ``streams.recovery`` gives
it a turn, the node sends it on its way with the text so far, and ``streams.seam`` joins what the new writer sends.
"""
from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from twisted.internet.interfaces import IDelayedCall, IReactorTime

from ..decisions.interface import (Effect, EngineChange, Outcome, Report, Role, RosterRow, SequenceChange, Settings,
                                   Standing, State)
from ..decisions.rules import FIRST_READ_PACE, Node
from ..streams.journal import Journal
from ..streams.pace import PaceRules, Paces, Running
from ..streams.recovery import Broken, Recovery, RecoveryRules
from ..streams.seam import Misfit, Seam
from .guard import Denial, Dispatch, DispatchGuard
from .invariants import InvariantMonitor
from .lag import Lag
from .ports import Answer, Engines, Request, Usage
from .record import (ArrivedCall, Call, EndedCall, GoesOnCall, LeftCall, NoRecord, ProbedCall, Recorder, RosterCall,
                     StartedCall, TricklesCall, WakeCall, make)

FINAL = frozenset({State.GENERATED, State.REJECTED, State.ABORTED, State.LEFT, State.CLEARED})
NOTHING = Usage()
NO_SLO = (0, 0, 0.0, 0)  # latency SLO, what it grows by for 1000 tokens, utility, token pace
LOOK_EVERY = 250_000  # microseconds between looks at which streams trickle


@dataclass(slots=True, frozen=True)
class StreamRules:
    """What the router is told of streams that go on.

    ``most_pause`` bounds a pause, in microseconds; a client waits no longer for the next token than it would have waited
    for the first.
    """
    most_pause: int = 4_000_000
    recovery: RecoveryRules = RecoveryRules()
    pace: PaceRules = PaceRules()


@dataclass(slots=True, eq=False)
class Attempt:
    """Lives for one schedule attempt. Told by the engines' side what becomes of it (``ports.Attempt``)."""
    router: Router
    flight: Flight
    ordinal: int
    engine: str
    reads: bool
    state: dict[str, Any] | None
    time_out: int
    request: Request
    send_by: int = 0
    sent_at: int = 0                # microseconds, on the router's clock; when it was decided
    timer: IDelayedCall | None = None
    started: bool = False
    over: bool = False
    seam: Seam | None = None
    running: Running | None = None  # its pace, once it has started
    held: bool = False              # nothing more is taken from its engine for now
    sent: bool = False              # its bytes were given to a connection
    looked_again: bool = False      # its time-out has had what lay unread of its answer read

    @property
    def seq_id(self) -> str:
        return self.flight.id

    def goes_out(self) -> int:
        return 0 if self.over else self.router._goes_out(self)

    def continues(self, at: int, digest: str) -> None:
        if not self.over:
            self.router.tell(lambda: self.router._continues(self, at, digest))

    def text(self, piece: str | bytes) -> None:
        if not self.over:
            self.router.tell(lambda: self.router._text(self, piece))

    def ended(self, outcome: Outcome, usage: Usage = NOTHING, state: dict[str, Any] | None = None, reason: str = "",
              report: dict[str, float] | None = None) -> None:
        if not self.over:
            self.router.tell(lambda: self.router._ended(self, outcome, usage, state, reason, report))


@dataclass(slots=True, frozen=True)
class Held:
    """A read state that waits at a reader: whose read it was, and what names it there."""
    engine: str
    ordinal: int
    params: dict[str, Any] | None


@dataclass(slots=True, eq=False)
class Flight:
    """Lives from a sequence's arrival until it is answered and nothing of it is out or held."""
    id: str
    request: Request
    answer: Answer
    abandon_at: int
    state: State = State.NEW
    out: Attempt | None = None
    held: Held | None = None                               # the state that the next writer fetches
    read: list[Held] = field(default_factory=list)         # all that was read and may still be held
    answered: bool = False
    usage: Usage = NOTHING
    stop_reason: str = ""
    why: str = ""                                          # the last failure, for the log and the client
    timer: IDelayedCall | None = None
    journal: Journal | None = None                         # what was forwarded; None: streams do not go on
    came: int = 0                                          # microseconds, on the router's clock
    broke_at: int = 0                                      # since when its client waits for the next token; 0: it does not
    waits_until: int = 0                                   # and until when
    turned: bool = False                                   # it has had a turn since


@dataclass(slots=True)
class Counts:
    """What the router has counted since it started."""
    taken: int = 0
    generated: int = 0
    rejected: int = 0
    aborted: int = 0
    left: int = 0
    attempts: int = 0
    let_go: int = 0
    failures: int = 0  # calls in which the decision module raised
    broken: int = 0    # streams whose writer was lost after their first token and that could go on
    gone_on: int = 0   # of these, whose next token came
    misfits: int = 0   # continuations that did not fit what the client had
    moved: int = 0     # streams that trickled
    retries: int = 0   # attempts in place of earlier ones
    outcomes: Counter[Outcome] = field(default_factory=Counter)  # of attempts


class Router:
    """One instance. Shares nothing with any other in the process.

    Args:
        settings: what the decision module is handed.
        seed: of the node's chance.
        engines: carries out sends, calls off and lets go.
        clock: Twisted's ``IReactorTime``; the only clock.
        recorder: where calls and their results are written.
        log: called as ``log(event, **fields)`` with fields of the log schema.
        name: of this node, written into the record.
        streams: how streams go on; None: they do not.
    """

    def __init__(self, settings: Settings, seed: int, engines: Engines, clock: IReactorTime,
                 recorder: Recorder | None = None, log: Callable[..., None] | None = None, name: str = "",
                 streams: StreamRules | None = None) -> None:
        settings = replace(settings, streams_go_on=settings.streams_go_on and streams is not None)
        self.node = Node(settings, seed)
        self.effects = {t.name: (t.effect, t.repeat_window) for t in settings.types}
        self.slos = {t.name: (t.latency_slo, t.slo_per_1000_tokens, t.utility, t.token_pace) for t in settings.types}
        self.engines, self.clock = engines, clock
        self.recorder, self.log = recorder or NoRecord(), log or (lambda event, **fields: None)
        self.flights: dict[str, Flight] = {}
        self.counts = Counts()
        self.lag = Lag()
        self.fields = settings.report_fields
        self.client_here: Callable[[str], bool] = lambda id: True  # whether the kernel knows nothing of its client's end
        self.read_answer: Callable[[Attempt], bool] = lambda attempt: False  # reads what the kernel holds of its answer
        self.list_permits: Callable[[int], bool] = lambda now: True  # whether the engine list at hand may be sent on
        self.guard = DispatchGuard(lambda id: self.client_here(id), lambda now: self.list_permits(now), self.node.may_go_out)
        self.invariants = InvariantMonitor(self.log, settings)
        self.on_quiet: Callable[[], None] | None = None  # called when the last sequence is gone
        self._events: deque[Callable[[], None]] = deque()
        self._busy = False
        self._decided_at = 0  # microseconds; the time that the decision module was told last
        self._deciding_took = 0  # microseconds, from then on, where that was measured
        self._wake: IDelayedCall | None = None
        self._wake_at = 0
        self.streams = streams
        self.pauses: list[int] = []  # microseconds, of the last streams that went on
        if streams:
            self.recovery = Recovery(streams.recovery, self.now(), settings.nodes)
            self.paces = Paces(streams.pace)
        self._turn: IDelayedCall | None = None
        self._look: IDelayedCall | None = None
        self.recorded_as = name
        self.recorder.head(settings, seed, name)

    # What happens.

    def now(self) -> int:
        """Whole microseconds of the router's clock."""
        return round(self.clock.seconds() * 1_000_000)

    def take(self, id: str, request: Request, answer: Answer, journal: Journal | None = None) -> None:
        """Takes a sequence: from here on it owes one final answer, before its abandon time. ``journal`` is kept by the
        router, and holds ``request.forced`` already where that is given."""
        def taken() -> None:
            now = self.now()
            flight = self.flights[id] = Flight(id, request, answer, now + request.prompt.time_left, came=now)
            if self.streams:
                flight.journal = journal if journal is not None else Journal(id)
                self.recovery.arrived(now, request.prompt.tokens, self.slos.get(request.prompt.traffic_type, NO_SLO)[2])
            self.counts.taken += 1
            self.log("request taken", level="debug", seq=id, reason=f"{request.prompt.time_left // 1000} ms are left")
            effect, window = self.effects.get(request.prompt.traffic_type, (Effect.ONCE_ONLY, 0))
            self.invariants.taken(id, flight.abandon_at, effect, window)
            flight.timer = self._later(request.prompt.time_left, lambda: self._time_up(flight))
            self._call(ArrivedCall(now, id, request.prompt), flight)
        self.tell(taken)

    def client_left(self, id: str, closed_at: int | None = None) -> None:
        """The client went before its final answer; ``closed_at`` (microseconds) is when its end came to this system, if known."""
        def left() -> None:
            flight = self.flights.get(id)
            if flight and not flight.answered:
                flight.answered = True
                self.counts.left += 1
                self.invariants.left(id, closed_at)
                self.log("client left", level="debug", seq=id, state=flight.state.value, engine=flight.out.engine if flight.out else "")
                if self.streams:
                    self.recovery.left(flight)
                self._call(LeftCall(self.now(), id), flight)
        self.tell(left)

    def hold(self, id: str, held: bool) -> None:
        """The client of a stream reads too slowly, or well again: its writer is held back, or released."""
        flight = self.flights.get(id)
        if flight and flight.out and flight.out.held is not held:
            flight.out.held = held
            if flight.out.running:
                self.paces.held(flight.out.running, self.now())
            self.engines.hold(flight.out, held)

    def roster(self, rows: list[RosterRow], complete: bool, asked_at: int | None = None) -> None:
        """News of the engine list; ``started_at`` of the rows is on the router's clock. ``asked_at``: when its source was asked for it,
        on that clock; None: it was not."""
        def told() -> None:
            now = self.now()
            self.invariants.roster(rows, complete, now, asked_at)
            self._call(RosterCall(now, rows, complete))
        self.tell(told)

    def give_up_all(self, reason: str) -> None:
        """Ends every sequence still here, as if their engines had been cut off: the node is about to go."""
        def end() -> None:
            for flight in list(self.flights.values()):
                if flight.out:
                    attempt = flight.out
                    self.engines.call_off(attempt)
                    self._ended(attempt, Outcome.RECALLED, NOTHING, None, reason, None, final=True)
                if flight.id in self.flights and not flight.answered:
                    self._force(flight, reason)
        self.tell(end)

    def tell(self, event: Callable[[], None]) -> None:
        """Runs events one after the other: what carries out effects may call back at once."""
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._events.popleft()()
        finally:
            self._busy = False
        if not self.flights and self.on_quiet:
            quiet, self.on_quiet = self.on_quiet, None
            quiet()

    # What engines tell of schedule attempts.

    def _text(self, attempt: Attempt, piece: str | bytes) -> None:
        flight = attempt.flight
        if attempt.over or flight.out is not attempt:
            return
        if attempt.seam:
            try:
                piece = attempt.seam.feed(piece)
            except Misfit as wrong:
                return self._misfit(attempt, str(wrong))
        if self.streams and not attempt.held:
            if attempt.running:
                self.paces.token(attempt.running, self.now())
            else:
                attempt.running = self.paces.began(attempt.engine, self.now())
                self._plan_look()
        if not attempt.started:
            attempt.started = True
            now = self.now()
            self.invariants.started(flight.id, now)
            self.invariants.taken_up(attempt.engine, now)
            self._cancel(attempt)
            for other in flight.read:  # the writer has fetched its state; what is held besides nobody will take
                if other is not flight.held:
                    self._name(flight, other)
            flight.held, flight.read = None, []
            if not flight.request.whole and not flight.broke_at:
                self._cancel(flight)  # a started stream has no abandon time; a whole answer keeps its own
            if not attempt.request.forced:
                self._fared(flight, self.now() - flight.came)
            self._call(StartedCall(now, flight.id, attempt.ordinal), flight)
        if not flight.answered and piece:
            if flight.broke_at:
                self._went_on(flight)
            if flight.journal is not None:
                flight.journal.add(piece)
            flight.answer.text(piece)

    def _goes_out(self, attempt: Attempt) -> int:
        """Microseconds left of an attempt's time-out as its bytes are about to be written; 0: the guard denies it."""
        flight, now = attempt.flight, self.now()
        expires_at = attempt.sent_at + attempt.time_out
        denial = self.guard.examine(
            Dispatch(flight.id, attempt.ordinal, flight.answered, flight.out is not attempt, expires_at), now)
        if denial:
            self.log("attempt denied", level="info", seq=flight.id, state=flight.state.value, engine=attempt.engine,
                     ordinal=attempt.ordinal, reason=denial.value)
            if denial is Denial.CLIENT_GONE:
                self.client_left(flight.id)
            return 0
        attempt.sent = True
        self.invariants.sent(flight.id, attempt.ordinal, attempt.engine, expires_at - now, now)
        return expires_at - now

    def _continues(self, attempt: Attempt, at: int, digest: str) -> None:
        if attempt.seam and not attempt.over and attempt.flight.out is attempt:
            try:
                attempt.seam.begins(at, digest)
            except Misfit as wrong:
                self._misfit(attempt, str(wrong))

    def _misfit(self, attempt: Attempt, reason: str) -> None:
        """The continuation is another text: none of it may reach the client, and there is no telling what would."""
        self.counts.misfits += 1
        self.engines.call_off(attempt)
        self._ended(attempt, Outcome.ERROR, NOTHING, None, f"the continuation does not fit: {reason}", None, final=True)

    def _ended(self, attempt: Attempt, outcome: Outcome, usage: Usage, state: dict[str, Any] | None, reason: str,
               report: dict[str, float] | None, final: bool = False) -> None:
        flight = attempt.flight
        if attempt.over:
            return
        if outcome is Outcome.GENERATED and attempt.seam and not flight.answered:
            try:
                attempt.seam.ends()
            except Misfit as wrong:
                return self._misfit(attempt, str(wrong))
        attempt.over, flight.out = True, None
        now = self.now()
        self.invariants.ended(flight.id, attempt.ordinal, outcome, attempt.reads, now)
        self.counts.outcomes[outcome] += 1
        self._cancel(attempt)
        if outcome is Outcome.READ:
            self.invariants.taken_up(attempt.engine, now)
            flight.held = Held(attempt.engine, attempt.ordinal, state)
            flight.read.append(flight.held)
            if self.streams and attempt.request.forced:
                self.recovery.told(attempt.request.prompt.tokens, usage.read - usage.kept)
            elif self.streams:
                self.recovery.read(usage.read, usage.read - usage.kept)
        elif outcome is Outcome.NO_STATE:
            flight.held = None
        if outcome is Outcome.GENERATED:
            # The client is told of one answer: the prompt as it was, and all that was written.
            whole = replace(usage, read=max(0, usage.read - attempt.request.forced_tokens),
                            written=usage.written + attempt.request.forced_tokens) if attempt.request.forced else usage
            flight.usage, flight.stop_reason, flight.why = whole, reason, ""
            if flight.broke_at:
                self._went_on(flight)  # all was written but for the end
        elif outcome is not Outcome.READ:
            flight.why = f"{outcome.value}{': ' + reason if reason else ''}"
            self.log("attempt ended", level="warning", seq=flight.id, state=flight.state.value, engine=attempt.engine,
                     ordinal=attempt.ordinal, reason=flight.why)
        heard = Report(now, {f: report[f] for f in self.fields if f in report}) if report and self.fields else None
        over = attempt.started and (flight.journal is None or not flight.journal.whole)
        done = final or over or outcome is Outcome.GENERATED or flight.answered
        self._call(EndedCall(now, flight.id, attempt.ordinal, outcome, usage.kept, done, heard), flight)
        if flight.answered and flight.out is None:
            self._forget(flight)

    def _timed_out(self, attempt: Attempt) -> None:
        if attempt.over or attempt.started:
            return
        if not attempt.looked_again and self.read_answer(attempt):
            attempt.looked_again = True  # the answer came in time, and the loop late; what it tells is taken up first
            self.tell(lambda: self._timed_out(attempt))
        else:
            self.engines.call_off(attempt)
            self._ended(attempt, self._expired(attempt), NOTHING, None, f"nothing in {attempt.time_out // 1000} ms", None)

    @staticmethod
    def _expired(attempt: Attempt) -> Outcome:
        """An attempt whose time is up before its connection came up has run nowhere, and tells nothing of its engine."""
        return Outcome.TIMED_OUT if attempt.sent else Outcome.NOT_SENT

    def _time_up(self, flight: Flight) -> None:
        """The abandon time: whatever is out is over, and the final answer goes out now."""
        def end() -> None:
            if flight.answered:
                return
            if flight.out:
                attempt = flight.out
                self.engines.call_off(attempt)
                self._ended(attempt, self._expired(attempt), NOTHING, None, "the client's time is up", None)
            if not flight.answered:
                self._force(flight, "the client's time is up")
        self.tell(end)

    # Streams that go on.

    def _broke(self, flight: Flight, engine: str) -> None:
        """The node says that it may go on: it waits for its turn, as long as its client waits."""
        now = self.now()
        if not flight.broke_at:
            self.counts.broken += 1
            flight.broke_at, flight.turned = now, False
            flight.waits_until = now + min(flight.request.prompt.time_left, self.streams.most_pause)
            if flight.request.whole:
                flight.waits_until = min(flight.waits_until, flight.abandon_at)
            else:
                self._cancel(flight)
                flight.timer = self._later(flight.waits_until - now, lambda: self._time_up(flight))
            journal = flight.journal
            if journal.pieces >= flight.request.prompt.max_output + flight.request.forced_tokens:
                return self._complete(flight)
        prompt = flight.request.prompt
        slo, stretch, utility, _ = self.slos.get(prompt.traffic_type, NO_SLO)
        cost = prompt.tokens + flight.journal.pieces - flight.request.forced_tokens
        one = Broken(flight, cost, utility, flight.waits_until, flight.broke_at)
        if flight.turned:
            self.recovery.waits(now, one)
        else:
            writers = sum(e.listed and e.role is not Role.READER for e in self.node.engines.values())
            running = sum(f.out is not None and f.out.started for f in self.flights.values())
            over = self.recovery.broke(now, one, self._capacity(), (running + 1) / max(1, writers))
            if over:
                self._no_turn(over.key)
            if self.recovery.nodes > 1 and engine:
                self.engines.probe(engine, lambda good, values: good and self.tell(lambda: self._alone(flight)))
        self._plan_turn()

    def _alone(self, flight: Flight) -> None:
        """Its writer answers: other nodes' streams there run on."""
        if flight.state is State.BROKEN:
            self.recovery.alone(self.now(), flight)
            self._plan_turn()

    def _capacity(self) -> float:
        """Tokens a second that all readers together can read; without readers, all that read."""
        roles = [e.role for e in self.node.engines.values() if e.listed]
        role = Role.READER if Role.READER in roles else Role.MIXED if Role.MIXED in roles else Role.WRITER
        return roles.count(role) * 1_000_000 / max(0.1, self.node.read_pace.get(role, FIRST_READ_PACE))

    def _complete(self, flight: Flight) -> None:
        """All that may be written was written; only the writer's last word was lost."""
        flight.broke_at = 0
        flight.usage = Usage(flight.request.prompt.tokens - flight.request.forced_tokens, 0, flight.journal.pieces)
        flight.stop_reason, flight.state = "length", State.GENERATED
        self._finish(flight, lambda a: a.generated("length", flight.usage))
        self._call(LeftCall(self.now(), flight.id), flight)

    def _plan_turn(self) -> None:
        at = self.recovery.wake_at(self.now())
        if self._turn and self._turn.active():
            self._turn.cancel()
        self._turn = self._later(at - self.now(), lambda: self.tell(self._turns)) if at else None

    def _turns(self) -> None:
        self.recovery.capacity = self._capacity()
        turns, given_up = self.recovery.due(self.now())
        for one in given_up:
            self._no_turn(one.key)
        for one in turns:
            self._goes_on(one.key)
        self._plan_turn()

    def _no_turn(self, flight: Flight) -> None:
        if not flight.answered:
            flight.why = flight.why or "the stream broke"
            self._call(GoesOnCall(self.now(), flight.id, None), flight)

    def _goes_on(self, flight: Flight) -> None:
        if flight.answered or flight.state is not State.BROKEN:
            return
        now, journal, asked = self.now(), flight.journal, flight.request
        before, prompt = asked.forced_tokens, asked.prompt
        fresh = journal.pieces - before
        pace = self.slos.get(prompt.traffic_type, NO_SLO)[3]
        prompt = replace(prompt, tokens=prompt.tokens + fresh, max_output=max(1, prompt.max_output - fresh),
                         hint=max(pace, prompt.hint - fresh * pace) if prompt.hint else 0,
                         time_left=max(1, flight.waits_until - now))
        flight.request = replace(asked, prompt=prompt, forced=journal.text(), forced_tokens=journal.pieces)
        flight.turned = True
        self._call(GoesOnCall(now, flight.id, prompt), flight)

    def _went_on(self, flight: Flight) -> None:
        self.counts.gone_on += 1
        self.pauses.append(self.now() - flight.broke_at)
        del self.pauses[:-1000]
        flight.broke_at = 0
        if not flight.request.whole:
            self._cancel(flight)

    def _fared(self, flight: Flight, took: int) -> None:
        """How a new sequence fared: the extra reading has to leave room for its like."""
        if self.streams:
            slo, stretch, _, _ = self.slos.get(flight.request.prompt.traffic_type, NO_SLO)
            slo += stretch * flight.request.prompt.tokens // 1000
            if slo:
                self.recovery.fared(self.now(), took / slo)

    def _plan_look(self) -> None:
        if self.node.settings.streams_go_on and (self._look is None or not self._look.active()):
            self._look = self._later(LOOK_EVERY, lambda: self.tell(self._look_around))

    def _look_around(self) -> None:
        """Which streams trickle."""
        now = self.now()
        running = [f.out for f in self.flights.values() if f.out and f.out.running and not f.answered]
        for attempt in running:
            if not attempt.held and not attempt.over and self.paces.trickles(attempt.running, now):
                self._call(TricklesCall(now, attempt.seq_id, attempt.ordinal), attempt.flight)
                self.paces.held(attempt.running, now)  # one that has to stay is not asked about at every look
        if running:
            self._plan_look()

    # The decision node.

    def _call(self, call: Call, flight: Flight | None = None) -> None:
        self._decided_at = call.at  # what the decision allows runs from the time that it was told, however long it took
        try:
            changes = make(self.node, call)
        except Exception as failure:  # a fault in the module must not cost the sequence its answer, nor the node
            self.counts.failures += 1
            self.node.changes.clear()
            self.log("decision failed", level="error", seq=flight.id if flight else "",
                     reason=f"{type(failure).__name__}: {failure}")
            if flight and not flight.answered:
                self._force(flight, "internal failure")
            return
        self._deciding_took = 0
        if isinstance(call, (ArrivedCall, RosterCall)):  # the others look at no engine but one, or follow one of these
            self._deciding_took = self.now() - call.at
            self.lag.decided(self._deciding_took / 1e6, isinstance(call, RosterCall))
        self.recorder.note(call, changes, self.node.wake_at)
        for change in changes:
            if isinstance(change, EngineChange):
                self._engine_changed(change)
            else:
                self._carry_out(change)
        self._plan_wake()

    def _carry_out(self, change: SequenceChange) -> None:
        """Every state change of a sequence, and what it asks for."""
        flight = self.flights.get(change.seq)
        if flight is None:
            return
        flight.state = change.state
        if change.lets_go:
            self._let_go(flight)
        if change.recalls and flight.out:
            self._recall(flight.out)
        match change.state:
            case State.READING | State.WRITING:
                self._send(flight, change)
            case State.BROKEN:
                self._broke(flight, change.engine)
            case State.GENERATED:
                self._finish(flight, lambda a: a.generated(flight.stop_reason, flight.usage))
            case State.REJECTED:
                self.log("request refused", level="warning", seq=flight.id, reason=flight.why or "no engine can take it")
                if not flight.journal or not flight.journal.pieces:
                    self._fared(flight, 1 << 40)
                self._finish(flight, lambda a: a.rejected(change.come_back, flight.why or "no engine can take it"))
            case State.ABORTED:
                self._finish(flight, lambda a: a.aborted(flight.why or "no engine can take it"))
        if change.state in FINAL:
            self.log("sequence ended", level="info", seq=flight.id, state=change.state.value,
                     engine=change.engine, ordinal=change.ordinal, reason=flight.why)
            if flight.out is None:
                self._forget(flight)

    def _send(self, flight: Flight, change: SequenceChange) -> None:
        reads = change.state is State.READING
        held = flight.held.params if flight.held and not reads else None
        attempt = flight.out = Attempt(self, flight, change.ordinal, change.engine, reads, held, change.time_out,
                                       flight.request, sent_at=self._decided_at)
        if flight.request.forced and not reads and flight.journal is not None:
            attempt.seam = Seam(flight.journal)
        self.counts.attempts += 1
        self.counts.retries += change.ordinal > 0 and not held
        attempt.timer = self._later(change.time_out - self._deciding_took, lambda: self.tell(lambda: self._timed_out(attempt)))
        self.log("attempt", level="debug", seq=flight.id, state=change.state.value, engine=change.engine,
                 ordinal=change.ordinal, reason=f"after {flight.why}" if flight.why else "")
        self.engines.send(attempt)

    def _recall(self, attempt: Attempt) -> None:
        self.counts.moved += attempt.flight.state is State.STREAMING
        self.engines.call_off(attempt)
        self.tell(lambda: self._ended(attempt, Outcome.RECALLED, NOTHING, None, "called off", None))

    def _let_go(self, flight: Flight) -> None:
        """At every reader where something may be held: 'no state' from a writer proves nothing of the reader."""
        for held in flight.read:
            self._name(flight, held)
        flight.held = None

    def _name(self, flight: Flight, held: Held) -> None:
        self.counts.let_go += 1
        self.engines.let_go(flight.id, held.engine, held.ordinal, held.params)

    def _finish(self, flight: Flight, final: Callable[[Answer], None]) -> None:
        """The one final answer. Whoever comes second is passed over."""
        if flight.answered:
            return
        flight.answered = True
        self.invariants.answered(flight.id, self.now())
        if self.streams:
            self.recovery.left(flight)
        counter = {State.GENERATED: "generated", State.REJECTED: "rejected"}.get(flight.state, "aborted")
        setattr(self.counts, counter, getattr(self.counts, counter) + 1)
        final(flight.answer)

    def _force(self, flight: Flight, reason: str) -> None:
        """The node has no answer of its own for this sequence: it is aborted, and the node told that it left."""
        flight.state, flight.why = State.ABORTED, reason
        self._finish(flight, lambda a: a.aborted(reason))
        self._let_go(flight)
        self._call(LeftCall(self.now(), flight.id))
        if flight.out is None:
            self._forget(flight)

    def _forget(self, flight: Flight) -> None:
        self._cancel(flight)
        self.invariants.forgotten(flight.id)
        self.flights.pop(flight.id, None)

    def _engine_changed(self, change: EngineChange) -> None:
        if change.probe:
            self.engines.probe(change.engine, lambda good, values: self.tell(
                lambda: self._probed(change.engine, good, values)))
        if change.standing is not Standing.SAMPLED:
            self.log("engine judged", level="warning", engine=change.engine, state=change.standing.value,
                     reason=change.reason)

    def _probed(self, engine: str, good: bool, values: dict[str, float] | None) -> None:
        now = self.now()
        report = Report(now, {f: values[f] for f in self.fields if f in values}) if good and values else None
        self._call(ProbedCall(now, engine, good, report))

    # Time.

    def _plan_wake(self) -> None:
        at = self.node.wake_at
        if not at or self._wake and self._wake.active() and self._wake_at <= at:
            return
        if self._wake and self._wake.active():
            self._wake.cancel()
        self._wake_at = at
        self._wake = self._later(max(0, at - self.now()),
                                 lambda: self.tell(lambda: self._call(WakeCall(self.now()))))

    def _later(self, after: int, what: Callable[[], None]) -> IDelayedCall:
        return self.clock.callLater(max(0, after) / 1_000_000, what)

    @staticmethod
    def _cancel(timed: Attempt | Flight) -> None:
        if timed.timer and timed.timer.active():
            timed.timer.cancel()
        timed.timer = None
