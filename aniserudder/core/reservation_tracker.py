"""The one owner of what requests hold at engines: from an attempt's first byte until nothing can be held any more.

Every attempt whose bytes go out has a record here, and the record goes only when a release that was asked for behind the last moment at which
something could come to be held was confirmed, or when there was nothing to hold. What a record waits for is one of:

- an attempt that is out;
- a state that a read has left: it is taken by a fetch that surely arrives, or released when its time is up;
- a release, which is tried until an engine confirms it;
- attempts that were given up: their engines may hear of that late, stand still, or work on to the end. A release frees what is held when an
  engine takes it, so releases are repeated for as long as such an attempt may leave something.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection
from enum import Enum, auto
from itertools import islice
from typing import Protocol

from twisted.internet.interfaces import IDelayedCall, IReactorTime

from ..decisions.engine_progress import UNKNOWN_TOKENS, EngineProgress
from ..decisions.release_routes import ReleaseRoutes, Route
from .invariants import InvariantMonitor
from .late_releases import LateReleases
from .reservation import (
    AFTER_FAILURE_S,
    OVERDUE_TRIES,
    UNPROVEN_S,
    URGENT_TRIES,
    GivenUpAttempts,
    ReleaseProgress,
    Reservation,
    SentAttempt,
    SilentEngines,
    WaitingState,
)

GOES_ON_S = 2.0  # behind the time that an engine was told, or a silence of its own: then ``LateReleases`` take over
REPEAT_LEAST_S = 0.1  # between releases that are repeated, however short the settings' time
REPEATS_PER_S = 800  # over all requests; where there are more, each is repeated less often
SILENT_MOST_S = 30.0  # for which releases are repeated while an engine stands still; from then on only when it is heard again
RECORDS_MOST = 8192  # requests followed at a time
CALL_S = 0.5  # that a release waits for its answer
SEARCH_CALL_S = 0.25  # the same while any engine is looked for that answers
DORMANT_LOOK_S = 1.0  # between looks at a request whose engines have stood still for longer
ASKED_AT_ONCE = 8  # engines asked whether they run; each may keep a connection for as long as the call is patient
QUICK_FAILURE_S = 0.05  # a connect that fails sooner was refused, or failed in this system
QUICK_RETRIES_MOST = 6  # of one release at the same engines
STRANDED_TRIES = 3  # of a release without an answer: from then on it goes out through any engine that is heard, whatever else it waits for
SEARCHING_MOST = 8  # of them looked at for one that has not been everywhere
STRANDED_EACH_S = 0.05  # between tries of one of the releases that found no way
CALLS_MOST = 64  # release calls under way at a time: more would take the connections that attempts and other releases need
TURN_AGAIN_S = 0.38  # between turns of one release that is not overdue, as calls that come late must not feed a jam
STRANDED_AT_ONCE = 4  # releases that found no way, tried through an engine when it is heard; each answer is heard again
LATE_AT_ONCE = 8  # late releases that wait for their confirmation
STRANDED_AGAIN_S = 0.1  # between such tries of one release
WORD_EACH_S = 0.1  # an engine that was heard so shortly ago tells nothing new


class CallEnd(Enum):
    """How a release call ended."""

    CONFIRMED = auto()
    UNREACHED = auto()  # not answered, or its connection failed
    LOCAL_TROUBLE = auto()  # this system could make no connection: it tells nothing of the engine


class ReservationCalls(Protocol):
    """What the tracker needs of the engines' side (``platform.engines.PlatformEngines``)."""

    reactor: IReactorTime
    invariants: InvariantMonitor
    traces: bool  # whether lines of level debug are wanted

    @property
    def listed(self) -> Collection[str]:
        """Engines whose address is known."""

    def address_of(self, engine: str) -> str:
        """Where an engine listens; several may at one address."""

    def proven(self) -> str:
        """The engine whose kept connection was used last; empty: there is none."""

    def has_kept(self, engine: str) -> bool:
        """Whether a connection to an engine is kept that nobody uses."""

    def release_at(self, route: Route, request: str, patience_s: float, done: Callable[[CallEnd], None]) -> Callable[[], None]:
        """One call that releases what is held for a request. Returns what calls it off, so that ``done`` is not called any more."""

    def fetch_has_arrived(self, request: str) -> bool:
        """Whether the attempt that is out for a request and takes its state has surely arrived; reads what lies unread first."""

    def end_sending(self, request: str) -> None:
        """Ends the connection of the attempt that is out, so that it awaits nothing."""

    def end_unproven(self, request: str) -> None:
        """The state of a request was released as nothing shows that its fetch arrived: the attempt is over."""


class ReservationTracker:
    """All reservations of one node.

    Args:
        calls: carries releases out.
        let_go_s: the settings' time within which what is held has to be taken or released.
        log: of the node.
    """

    def __init__(self, calls: ReservationCalls, let_go_s: float, log: Callable[..., None]) -> None:
        self.calls, self.let_go_s, self.log = calls, let_go_s, log
        self.records: dict[str, Reservation] = {}
        self.routes = ReleaseRoutes(calls.address_of)
        self.progress = EngineProgress()
        self.late = LateReleases(calls.reactor, self.progress, let_go_s, self._has_room_for_late, self._release_late, self._drop_late)
        self.overdue = self.repeated = self.dropped = 0
        self._silent = SilentEngines()
        self._stranded: dict[str, None] = {}  # requests whose release finds no way
        self._stranded_timer: IDelayedCall | None = None
        self._late: dict[str, None] = {}  # requests whose late release no engine has confirmed yet
        self._followed = 0  # records with given-up attempts
        self._heard_at: dict[str, float] = {}
        self._looks = 0  # for a way, so far
        self._asking = 0  # engines that are asked whether they run
        self._closed = False

    @property
    def _now(self) -> float:
        return self.calls.reactor.seconds()

    @property
    def _let_go_us(self) -> int:
        return round(self.let_go_s * 1e6)

    @property
    def releases(self) -> dict[str, ReleaseProgress]:
        """Releases by request that no engine has confirmed yet."""
        return {request: record.release for request, record in self.records.items() if record.release is not None}

    @property
    def is_settled(self) -> bool:
        """Whether nothing is held, and nothing can come to be held, that only this process would release."""
        return not self.records and not self.late.expected

    @property
    def holds_states(self) -> bool:
        """Whether a state waits, or a release that no engine has confirmed."""
        return any(record.state is not None or record.release is not None for record in self.records.values())

    @property
    def followed(self) -> int:
        """Given-up attempts that may still leave something."""
        return self._followed + self.late.expected

    def state_waits(self, request: str) -> bool:
        """Whether a state waits for its fetch."""
        record = self.records.get(request)
        return record is not None and record.state is not None

    # What attempts tell.

    def sent(self, request: str, attempt: SentAttempt) -> None:
        """Bytes of an attempt went out. One that fetches a state gets a part of the slack to show that it arrived, once for all fetches."""
        record = self._record(request)
        record.out = attempt
        state = record.state
        if attempt.fetches_state and state is not None and not state.claimed and not state.extended:
            state.extended = True
            state.due_at += UNPROVEN_S
        self._plan(record)

    def read_ended(self, request: str, engine: str, lay_s: float) -> None:
        """A read has left its state: from now on it is held, and what is held besides has the same time again (WIRE 15: since the last
        response). What lay unread for ``lay_s`` while the loop was late has been held since it came."""
        record = self._record(request)
        record.out = None
        self._drop_release(record)
        self.calls.invariants.state_held(request, self._us(self._now - lay_s))
        record.state = WaitingState(engine, self._now + max(0.0, self.let_go_s - lay_s))
        self._plan(record)

    def stream_began(self, request: str, at: float) -> None:
        """A writer has taken the state, and with that all else that was held (WIRE 15). A read that was given up may still leave something."""
        record = self.records.get(request)
        if record is None:
            return
        self.calls.invariants.state_gone(request, self._us(at), self._let_go_us)
        record.state = None
        self._drop_release(record)
        self._plan(record)

    def ended(self, request: str, arrived: bool, state_unknown: bool = False) -> None:
        """An attempt is over and leaves nothing: it never ran, or a stream has ended. However a writer's attempt ended before its first token,
        the state may still be there; its time begins anew if bytes of it were out, else it has run on (PROTOCOL).

        Args:
            request: whose attempt it was.
            arrived: whether its bytes had reached an engine.
            state_unknown: whether a writer said that it knows of no state; that proves nothing of the reader.
        """
        record = self.records.get(request)
        if record is None:
            return
        record.out = None
        self._wait_anew(record, arrived, state_unknown)
        self._plan(record)

    def given_up(self, request: str, engine: str, is_read: bool, told_s: float, over_by: float, arrived: bool, tokens: int = 0) -> None:
        """A sent attempt ended here before its engine said how. A read that ended just as its connection went has left its state, and one that
        goes on will leave it; a writer may hold on to the state that it waits for until it hears of the end.

        Args:
            request: whose attempt it was.
            engine: where it is.
            is_read: whether it is a read; else it fetches a state.
            told_s: seconds that its engine was told.
            over_by: seconds of the injected clock; behind that its engine begins nothing of it.
            arrived: whether its bytes had surely reached the engine.
            tokens: of its prompt; 0: not known.
        """
        record = self._record(request)
        record.out = None
        over_by = max(self._now, over_by)
        until = over_by + max(GOES_ON_S, told_s)
        address, work_tokens = self.calls.address_of(engine), (tokens or UNKNOWN_TOKENS) if is_read else math.inf
        self.calls.invariants.work_given_up(request, address, work_tokens, self._us(self._now), self._us(over_by))
        self._follow(record, engine, until)
        self.late.follow(request, engine, self.progress.gave_up(address, work_tokens, self._now), over_by, until)
        if is_read:
            record.state = None
            self._ask(record, engine)
        else:
            self._wait_anew(record, arrived, False)
        self._plan(record)

    def _has_room_for_late(self) -> bool:
        """Whether few late releases wait for their confirmation."""
        if len(self._late) < LATE_AT_ONCE:
            return True
        records = map(self.records.get, self._late)
        return sum(record is not None and not record.is_awaited for record in records) < LATE_AT_ONCE

    def _release_late(self, request: str, engine: str) -> bool:
        """What a given-up attempt may have left by now is released, unless that is done anyway or an attempt needs it."""
        record = self.records.get(request)
        if record is not None and (record.given_up is not None or record.release is not None or record.is_awaited):
            return False
        record = self._record(request)
        self._late[request] = None
        self._ask(record, self.calls.proven() or engine)
        self._plan(record)
        return True

    def _drop_late(self, request: str) -> None:
        self.dropped += 1
        self.log("given-up attempt dropped", level="warning", seq=request, reason="more are followed than fit")

    def engine_has_read(self, engine: str, sent_at: float, ended_at: float, tokens: int) -> None:
        """A read that was sent and ended then has ended well; ``tokens`` were read, without those that were found kept."""
        address = self.calls.address_of(engine)
        self.progress.read_ended(address, sent_at, ended_at, tokens)
        self.calls.invariants.engine_has_read(address, self._us(sent_at), self._us(ended_at), tokens)

    def engine_has_begun(self, engine: str, sent_at: float) -> None:
        """The stream of an attempt that was sent then has begun."""
        address = self.calls.address_of(engine)
        self.progress.stream_began(address, sent_at)
        self.calls.invariants.engine_has_begun(address, self._us(sent_at), self._us(self._now))

    def let_go(self, request: str, engine: str) -> None:
        """The router wants nothing of a request's states any more."""
        record = self._record(request)
        record.state = None
        self._ask(record, engine)
        self._plan(record)

    @staticmethod
    def _drop_release(record: Reservation) -> None:
        if record.release is not None:
            record.release.call_off()
            record.release = None

    def _wait_anew(self, record: Reservation, arrived: bool, state_unknown: bool) -> None:
        state = record.state
        if state is None or not (arrived or state.claimed):
            return
        if state_unknown:
            self.calls.invariants.state_unknown(record.request)
        else:
            self.calls.invariants.state_waits(record.request, self._us(self._now))
        record.state = WaitingState(state.engine, self._now + self.let_go_s)

    def _follow(self, record: Reservation, engine: str, until: float) -> None:
        if record.given_up is None:
            record.given_up = GivenUpAttempts(until, self._now + self.repeat_s)
            self._followed += 1
        record.given_up.until = max(record.given_up.until, until)
        record.given_up.engines[engine] = self._now
        self._silent.gave_up(engine, record.request, self._now)
        if self.calls.traces:
            self.log(
                "attempt followed",
                level="debug",
                seq=record.request,
                engine=engine,
                reason=f"it may leave something for {until - self._now:.1f} s",
            )

    # What is due.

    @property
    def repeat_s(self) -> float:
        """Seconds between releases behind given-up attempts of one request."""
        return max(REPEAT_LEAST_S, self.let_go_s, self._followed / REPEATS_PER_S)

    def _record(self, request: str) -> Reservation:
        record = self.records.get(request)
        if record is None:
            if len(self.records) >= RECORDS_MOST:
                self._drop_oldest()
            record = self.records[request] = Reservation(request)
        return record

    def _drop_oldest(self) -> None:
        oldest = next(iter(self.records.values()))
        self.dropped += 1
        self.log("reservation dropped", level="error", seq=oldest.request, reason=f"{RECORDS_MOST} are followed")
        self.calls.invariants.state_gone(oldest.request, self._us(self._now), self._let_go_us)
        self._remove(oldest)

    def _remove(self, record: Reservation) -> None:
        record.stop_timer()
        self._drop_release(record)
        self._stop_following(record)
        self._stranded.pop(record.request, None)
        self._late.pop(record.request, None)
        self.records.pop(record.request, None)

    def _stop_following(self, record: Reservation) -> None:
        if record.given_up is not None:
            for engine in record.given_up.engines:
                self._silent.forget(engine, record.request)
            record.given_up = None
            self._followed -= 1

    def _plan(self, record: Reservation) -> None:
        """Sets the record's one timer, or ends a record that nothing is left of."""
        record.stop_timer()
        if self.records.get(record.request) is not record:
            return
        if record.release is None:
            self._stranded.pop(record.request, None)
            self._late.pop(record.request, None)
        if record.is_settled:
            return self._remove(record)
        due_at = record.next_at()
        if due_at < math.inf and not self._closed:
            record.timer = self.calls.reactor.callLater(max(0.0, due_at - self._now), self._due, record)

    def _due(self, record: Reservation) -> None:
        """Something of a record is due now: what waits too long, then a release's next try, then a repeat."""
        now = self._now
        state = record.state
        if state is not None and not state.claimed and state.due_at <= now:
            self._state_due(record, state)
        elif record.release is not None:
            if record.release.next_at <= now:
                self._try(record)
        elif record.given_up is not None and record.given_up.repeat_at <= now:
            self._repeat(record)
        if self.records.get(record.request) is record:
            self._plan(record)

    def _state_due(self, record: Reservation, state: WaitingState) -> None:
        if self.calls.fetch_has_arrived(record.request):
            if record.state is state:
                state.claimed = True
            return
        if record.state is not state:
            return  # what lay unread has changed it
        record.state = None
        self.calls.end_sending(record.request)  # an attempt that an engine believes to be there keeps the state from being released
        self._ask(record, state.engine, late=True)
        self._plan(record)
        self.calls.end_unproven(record.request)

    # Releases.

    def _ask(self, record: Reservation, engine: str, late: bool = False) -> None:
        """Releases all that a request holds anywhere, first through that engine."""
        if record.release is None:
            record.release = ReleaseProgress(engine, late, self._now)
        else:
            record.release.ask_again(engine, late, self._now)
        self._stranded.pop(record.request, None)
        self._try(record)

    def _try(self, record: Reservation) -> None:
        release, now = record.release, self._now
        release.next_at = now + release.pause_s
        if release.tries and record.is_awaited:
            return  # what is waited for must stay, and its time begins again when that attempt ends
        release.tries += 1
        if release.tries > OVERDUE_TRIES and not release.overdue:
            self._note_overdue(record)
        if release.tries > URGENT_TRIES and record.request in self._stranded:
            return  # it has its turn among those that find no way
        listed, proven = self.calls.listed, self.calls.proven()
        if release.tries == 1:
            routes = self.routes.first(release.engine, release.late, proven, listed, now)
        else:
            routes = self.routes.again(release.tries, release.tried, proven, listed, now, release.local_trouble, release.late)
        self._call_through(record, release, routes)

    def _call_through(self, record: Reservation, release: ReleaseProgress, routes: list[Route], patience_s: float = CALL_S) -> None:
        for route in routes:
            self._call(record, release, route, patience_s)
            if record.release is not release:
                return  # confirmed
        if not release.calls or release.tries >= STRANDED_TRIES:
            self._strand(record)

    def _call(self, record: Reservation, release: ReleaseProgress, route: Route, patience_s: float = CALL_S) -> None:
        if not route.fresh and not self.calls.has_kept(route.engine):
            route = Route(route.engine, fresh=True)
            if release.tries > 1 and not self.routes.takes_more(route.engine, self._now):
                return
        asked_for, asked_at, tries = release.asked_for, self._now, release.tries
        if route.fresh:
            release.tried.add(self.calls.address_of(route.engine))
        release.called += 1
        release.called_at = asked_at
        number, ended = release.called, False
        self.routes.asked(route, asked_at)

        def done(end: CallEnd) -> None:
            nonlocal ended
            ended = True
            release.calls.pop(number, None)
            self.routes.over(route)
            if record.release is not release:
                return self._note_end(record.request, route, end, asked_at)
            release.local_trouble = release.local_trouble or end is CallEnd.LOCAL_TROUBLE
            is_last = end is CallEnd.CONFIRMED and release.asked_for == asked_for
            if is_last:
                self._stranded.pop(record.request, None)
            self._note_end(record.request, route, end, asked_at)
            if is_last and record.release is release:
                self._confirmed(record, route.engine, asked_at, tries)
            elif (
                end is CallEnd.UNREACHED
                and route.fresh
                and self._now - asked_at < QUICK_FAILURE_S
                and release.quick_retries < QUICK_RETRIES_MOST
            ):
                self._retry_soon(record, release, route)
            elif end is not CallEnd.CONFIRMED and not release.calls:
                self._all_failed(record, release)

        call_off = self.calls.release_at(route, record.request, patience_s, done)
        if ended:
            return

        def ends() -> None:
            self.routes.over(route)
            call_off()

        release.calls[number] = ends

    def _note_end(self, request: str, route: Route, end: CallEnd, asked_at: float) -> None:
        if self.calls.traces and end is not CallEnd.CONFIRMED:
            how = "new" if route.fresh else "kept"
            reason = f"{end.name.lower()} after {1000 * (self._now - asked_at):.0f} ms over a {how} connection"
            self.log("release call failed", level="debug", seq=request, engine=route.engine, reason=reason)
        if end is CallEnd.CONFIRMED:
            self.heard(route.engine)
        elif end is CallEnd.UNREACHED and route.fresh:  # a kept connection may have fallen silent by itself
            self.routes.failed(route.engine, asked_at, self._now)

    def _retry_soon(self, record: Reservation, release: ReleaseProgress, route: Route) -> None:
        """A connect that failed at once may come up at the next try; the machine is there, or this system is in trouble."""
        release.quick_retries += 1

        def retry() -> None:
            release.calls.pop(number, None)
            if record.release is release and not self._closed:
                self._call(record, release, route)
                self._plan(record)

        release.called += 1
        number = release.called
        timer = self.calls.reactor.callLater(AFTER_FAILURE_S, retry)
        release.calls[number] = lambda: timer.active() and timer.cancel()

    def _all_failed(self, record: Reservation, release: ReleaseProgress) -> None:
        """No call is under way any more: while the slack lasts the next try doesn't wait for its pause."""
        self._strand(record)
        if 0 < release.tries < URGENT_TRIES and not release.local_trouble:
            release.next_at = min(release.next_at, self._now + AFTER_FAILURE_S)
            self._plan(record)

    def _confirmed(self, record: Reservation, engine: str, asked_at: float, number: int) -> None:
        self.calls.invariants.released(record.request, self._us(asked_at), self._let_go_us)
        if self.calls.traces:
            self.log("state released", level="debug", seq=record.request, engine=engine, reason=f"try {number}")
        record.release.call_off()
        record.release = None
        followed = record.given_up
        if followed is not None:
            followed.repeat_at = asked_at + self.repeat_s
            if asked_at >= followed.until and not self._may_go_on(followed):
                for its_engine in followed.engines:
                    self.late.begins(record.request, its_engine)
                self._stop_following(record)
        self._plan(record)

    def _note_overdue(self, record: Reservation) -> None:
        """It is tried on, less often, and at once when an engine is heard."""
        record.release.overdue = True
        self.overdue += 1
        self._strand(record)
        self.calls.invariants.state_gone(record.request, self._us(self._now), self._let_go_us)
        self.log("letting go was not delivered", level="warning", seq=record.request, engine=record.release.engine)

    # Given-up attempts.

    def _may_go_on(self, followed: GivenUpAttempts) -> bool:
        """Whether any of its engines was not seen to run behind the end of its attempts: it may stand still with them since before."""
        return any(engine in self.calls.listed and not self._silent.ran_since(engine, followed.until) for engine in followed.engines)

    def _stands_still(self, followed: GivenUpAttempts) -> bool:
        now = self._now
        return any(engine in self.calls.listed and not self._silent.runs(engine, now) for engine in followed.engines)

    def _repeat(self, record: Reservation) -> None:
        """What given-up attempts have left since the last release must not lie for longer than the settings' time."""
        followed, now = record.given_up, self._now
        for engine in [engine for engine in followed.engines if engine not in self.calls.listed]:
            del followed.engines[engine]
            self._silent.forget(engine, record.request)
        followed.repeat_at = now + self.repeat_s
        if record.is_awaited:
            return
        self._ask_silent(record, followed)
        if record.given_up is not followed or record.release is not None:
            return  # an engine that was asked has just been heard
        since_given_up = now - max(followed.engines.values(), default=now)
        if now >= followed.until and since_given_up > SILENT_MOST_S and self._stands_still(followed):
            followed.repeat_at = now + DORMANT_LOOK_S
            return  # its engines have stood still for long: the next release goes out as soon as one of them is heard
        self.repeated += 1
        self._ask(record, self._repeat_through(followed))

    def _repeat_through(self, followed: GivenUpAttempts) -> str:
        """Each of the engines in turn, so that they are heard; else the one that is likeliest to answer."""
        engines = list(followed.engines)
        followed.repeats += 1
        engine = engines[followed.repeats % len(engines)] if engines else ""
        if engine and self._silent.runs(engine, self._now):
            return engine
        return self.calls.proven() or self.routes.best(self.calls.listed, self._now)

    def _ask_silent(self, record: Reservation, followed: GivenUpAttempts) -> None:
        """A call waits at each engine that says nothing, so that it is heard when it runs again; at so many engines at a time."""
        for engine in list(followed.engines):
            if self._asking >= ASKED_AT_ONCE:
                return
            patience_s = self._silent.due(engine, self._now)
            if patience_s:
                self._ask_whether_it_runs(record.request, Route(engine, fresh=True), patience_s)

    def _ask_whether_it_runs(self, request: str, route: Route, patience_s: float) -> None:
        asked_at = self._now
        self._asking += 1

        def done(end: CallEnd) -> None:
            self._asking -= 1
            self._note_end(request, route, end, asked_at)

        self.calls.release_at(route, request, patience_s, done)

    # What engines tell.

    def heard(self, engine: str) -> None:
        """Bytes came from an engine."""
        now = self._now
        if now - self._heard_at.get(engine, -math.inf) < WORD_EACH_S and not self._stranded and engine not in self._silent.engines:
            return
        self._heard_at[engine] = now
        if len(self._heard_at) > 2 * RECORDS_MOST:
            self._heard_at.clear()
        self.routes.heard(engine, now)
        for request in self._silent.heard(engine, now):
            self._goes_on_again(request)
        if self._stranded and not self._closed:
            self._release_stranded(engine)

    def _goes_on_again(self, request: str) -> None:
        """An engine that stood still goes on with what it had begun."""
        record = self.records.get(request)
        if record is None or record.given_up is None:
            return
        followed, until = record.given_up, self._now + GOES_ON_S
        followed.until = max(followed.until, until)
        if self._now - max(followed.engines.values(), default=0.0) > self.let_go_s:
            followed.repeat_at = self._now
        self.calls.invariants.state_may_come(request, self._us(self._now), self._us(until))
        self._plan(record)

    def _strand(self, record: Reservation) -> None:
        """A release finds no way. One such release after the other is tried, often, so that a way is found soon for all."""
        self._stranded[record.request] = None
        if self._stranded_timer is None and not self._closed:
            self._stranded_timer = self.calls.reactor.callLater(STRANDED_EACH_S, self._look_for_way)

    def _look_for_way(self) -> None:
        self._stranded_timer = None
        self._search()
        for record in self._stranded_records(1, math.inf):
            self._call_through(record, record.release, self._way_to_try())
            self._plan(record)
        if self._stranded and self._stranded_timer is None and not self._closed:
            self._stranded_timer = self.calls.reactor.callLater(STRANDED_EACH_S, self._look_for_way)

    def _search(self) -> None:
        """Asks engines that no release was tried at of late, so that one in reach is found however many are listed; when it answers, all
        releases go out through it. The oldest that has not been everywhere goes along: what is asked grows with what is to be released."""
        for record in map(self.records.get, islice(self._stranded, SEARCHING_MOST)):
            if record is not None and self._may_search(record):
                routes = self.routes.search(record.release.tried, self.calls.listed, self._now)
                if routes:
                    return self._call_through(record, record.release, routes, patience_s=SEARCH_CALL_S)

    @staticmethod
    def _may_search(record: Reservation) -> bool:
        return record.release is not None and record.release.tries >= URGENT_TRIES and not record.is_awaited

    def _way_to_try(self) -> list[Route]:
        """By turns over a kept and a new connection: for long, only one kind may work."""
        self._looks += 1
        proven = self.calls.proven()
        if self._looks % 2 and proven and self.calls.has_kept(proven):
            return [Route(proven)]
        return self.routes.asked_longest_ago(self.calls.listed, self._now)

    def _release_stranded(self, engine: str) -> None:
        """An engine is there: what no engine took is released through it."""
        for record in self._stranded_records(STRANDED_AT_ONCE, self._now - STRANDED_AGAIN_S):
            if record.release is not None and self.routes.takes_more(engine, self._now):
                record.release.tried_as_heard_at = self._now
                self._call_through(record, record.release, [Route(engine, fresh=True)])
                self._plan(record)

    def _stranded_records(self, most: int, heard_before: float) -> list[Reservation]:
        """Those that have waited longest, without those tried since then because an engine was heard; they come last next time."""
        found = []
        for request in list(islice(self._stranded, 2 * most)):
            del self._stranded[request]
            record = self.records.get(request)
            if record is None or record.release is None:
                continue
            self._stranded[request] = None
            if len(found) < most and self._has_turn(record, heard_before):
                found.append(record)
        return found

    def _has_turn(self, record: Reservation, heard_before: float) -> bool:
        release = record.release
        if record.is_awaited or release.tried_as_heard_at > heard_before:
            return False
        return heard_before < math.inf or release.overdue or self._now - release.called_at >= TURN_AGAIN_S

    def close(self) -> None:
        """Nothing is done any more."""
        self._closed = True
        self.late.close()
        if self._stranded_timer is not None and self._stranded_timer.active():
            self._stranded_timer.cancel()
        for record in self.records.values():
            record.stop_timer()
        self.records.clear()

    @staticmethod
    def _us(seconds: float) -> int:
        return round(seconds * 1e6)
