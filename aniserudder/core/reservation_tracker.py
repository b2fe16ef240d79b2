"""The one owner of what requests hold at engines: from an attempt's first byte until nothing can be held any more.

Every attempt whose bytes go out has a record here, and the record goes only when a release that was asked for behind the last moment at which
something could come to be held was confirmed, or when there was nothing to hold. What a record waits for is one of:

- an attempt that is out;
- a state that a read has left: it is taken by a fetch that a running engine has, or released when its time is up;
- a release, which is tried until an engine confirms it;
- attempts that were given up: their engines may hear of that late, stand still, or work on to the end. A release frees what is held when an
  engine takes it, so releases are repeated for as long as such an attempt may leave something.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable

from ..decisions.release_routes import ReleaseRoutes, Route
from .arrivals import AttemptArrivals
from .given_up import GivenUpFollower
from .late_releases import LateReleases
from .ports import ReservationCalls
from .releases import Releases
from .reservation import UNPROVEN_S, ReleaseProgress, Reservation, SentAttempt, WaitingState, microseconds

RECORDS_MOST = 8192  # requests followed at a time
ENDED_KEPT = 16  # requests that are over, the newest
WORD_EACH_S = 0.1  # an engine that was heard so shortly ago tells nothing new


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
        self._releases = Releases(calls, self.routes, self.records, self, let_go_s, log)
        self._given_up = GivenUpFollower(
            calls, self.routes, self.records, self._record, self._releases, self.plan, let_go_s, log, lambda request: self._arrivals.may_be_shown(request)
        )
        self._arrivals = AttemptArrivals(calls, self._ended_request, self._has_arrived, log)
        self._ended: deque[str] = deque(maxlen=ENDED_KEPT)  # requests of which nothing is held any more
        self.is_over: Callable[[str], bool] = lambda request: False  # whether the router keeps nothing of a request
        self._dropped = 0  # records
        self._heard_at: dict[str, float] = {}
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
        return not self.records and not self._given_up.late.expected

    @property
    def holds_states(self) -> bool:
        """Whether a state waits, or a release that no engine has confirmed."""
        return any(record.state is not None or record.release is not None for record in self.records.values())

    @property
    def late(self) -> LateReleases:
        """Releases behind attempts that may go on for long."""
        return self._given_up.late

    @property
    def followed(self) -> int:
        """Given-up attempts that may still leave something."""
        return self._given_up.followed

    @property
    def overdue(self) -> int:
        """Releases that no engine confirmed in the first seconds; they are tried on."""
        return self._releases.overdue

    @property
    def repeated(self) -> int:
        """Releases that were repeated behind given-up attempts."""
        return self._given_up.repeated

    @property
    def questions(self) -> int:
        """Times that an engine was asked whether it runs, as it may have an attempt."""
        return self._arrivals.questions

    @property
    def dropped(self) -> int:
        """What is not followed any more, for want of room, though something may come of it."""
        return self._dropped + self._given_up.dropped

    def state_waits(self, request: str) -> bool:
        """Whether a state waits for its fetch."""
        record = self.records.get(request)
        return record is not None and record.state is not None

    # What attempts tell.

    def sent(self, request: str, attempt: SentAttempt, engine: str = "") -> None:
        """Bytes of an attempt went out. One that fetches a state gets a part of the slack to show that a running engine has it, once for all
        fetches; until that is shown it stops no clock. ``engine``: where it went, so that its words are heeded."""
        record = self._record(request)
        record.out, record.out_at = attempt, engine
        state = record.state
        if attempt.fetches_state and state is not None and not state.claimed and not state.extended:
            state.extended = True
            state.due_at += UNPROVEN_S
        if engine:
            self._arrivals.sent(request, attempt, engine)
            if state is not None or record.given_up is not None:
                self._arrivals.ask(request, math.inf if state is None else state.due_at)
        self.plan(record)

    def _has_arrived(self, request: str) -> None:
        """A running engine has the attempt that is out for a request."""
        record = self.records.get(request)
        if record is not None and record.state is not None and record.out is not None and record.out.fetches_state:
            record.state.claimed = True
            self.plan(record)

    def _ended_request(self) -> str:
        """A request that is over and for which nothing is held; empty: none is known."""
        return next((request for request in reversed(self._ended) if request not in self.records and self.is_over(request)), "")

    def has_word(self, request: str) -> None:
        """An engine has said that it has the fetch of a request, and has not answered it."""
        record = self.records.get(request)
        if record is not None and record.state is not None:
            record.state.claimed, record.state.answered = True, False
            self.plan(record)

    def awaits_word(self, address: str) -> bool:
        """Whether a word of the engine that listens there may show that it has an attempt."""
        return self._arrivals.awaits_word(address)

    def engine_spoke(self, address: str, at: float) -> None:
        """Bytes came from there then; seconds of the injected clock."""
        self.calls.invariants.engine_spoke(address, microseconds(at))
        self._arrivals.heard(address, at)

    def read_ended(self, request: str, engine: str, lay_s: float) -> None:
        """A read has left its state: from now on it is held, and what is held besides has the same time again (WIRE 15: since the last
        response). What lay unread for ``lay_s`` while the loop was late has been held since it came."""
        record = self._record(request)
        record.out = None
        self._arrivals.over(request)
        self._releases.drop(record)
        self.calls.invariants.state_held(request, microseconds(self._now - lay_s))
        record.state = WaitingState(engine, self._now + max(0.0, self.let_go_s - lay_s))
        self.plan(record)

    def answer_began(self, request: str, lay_s: float) -> None:
        """An engine has begun its answer to a fetch; it has lain unread for ``lay_s``. Engines write a head with the first event: where none
        comes, the fetch has ended there, as far as anybody can tell, and the state has its time again from now on."""
        record = self.records.get(request)
        if record is None or record.state is None:
            return
        self._arrivals.over(request)
        now = self._now
        self.calls.invariants.state_waits(request, microseconds(now - lay_s))
        record.state = WaitingState(record.state.engine, now + max(0.0, self.let_go_s - lay_s), answered=True)
        self.plan(record)

    def stream_began(self, request: str, at: float) -> None:
        """A writer has taken the state, and with that all else that was held (WIRE 15). A read that was given up may still leave something."""
        record = self.records.get(request)
        if record is None:
            return
        self.calls.invariants.state_gone(request, microseconds(at), self._let_go_us)
        record.state = None
        self._arrivals.over(request)
        self._releases.drop(record)
        self.plan(record)

    def ended(self, request: str, arrived: bool, state_unknown: bool = False) -> None:
        """An attempt is over and leaves nothing: it never ran, or a stream has ended. However a writer's attempt ended before its first token,
        the state may still be there; its time begins anew if an engine had the attempt, else it has run on (STANDING).

        Args:
            request: whose attempt it was.
            arrived: whether it had reached an engine that runs.
            state_unknown: whether a writer said that it knows of no state; that proves nothing of the reader.
        """
        self._arrivals.over(request)
        record = self.records.get(request)
        if record is None:
            return
        record.out = None
        self._wait_anew(record, arrived, state_unknown)
        self.plan(record)

    def given_up(self, request: str, engine: str, is_read: bool, told_s: float, over_by: float, arrived: bool, tokens: int = 0) -> None:
        """A sent attempt ended here before its engine said how. A read that ended just as its connection went has left its state, and one that
        goes on will leave it; a writer may hold on to the state that it waits for until it hears of the end.

        Args:
            request: whose attempt it was.
            engine: where it is.
            is_read: whether it is a read; else it fetches a state.
            told_s: seconds that its engine was told.
            over_by: seconds of the injected clock; behind that its engine begins nothing of it.
            arrived: whether it had surely reached an engine that runs.
            tokens: of its prompt; 0: not known.
        """
        record = self._record(request)
        record.out = None
        self._arrivals.over(request)
        self._given_up.follow(record, engine, tokens if is_read else math.inf, told_s, max(self._now, over_by))
        if is_read:
            record.state = None
            self._releases.ask(record, engine)
        else:
            self._wait_anew(record, arrived, False)
        self.plan(record)

    def engine_has_read(self, engine: str, sent_at: float, ended_at: float, tokens: int) -> None:
        """A read that was sent and ended then has ended well; ``tokens`` were read, without those that were found kept."""
        address = self.calls.address_of(engine)
        self._given_up.progress.read_ended(address, sent_at, ended_at, tokens)
        self.calls.invariants.engine_has_read(address, microseconds(sent_at), microseconds(ended_at), tokens)

    def engine_has_begun(self, engine: str, sent_at: float) -> None:
        """The stream of an attempt that was sent then has begun."""
        address = self.calls.address_of(engine)
        self._given_up.progress.stream_began(address, sent_at)
        self.calls.invariants.engine_has_begun(address, microseconds(sent_at), microseconds(self._now))

    def let_go(self, request: str, engine: str) -> None:
        """The router wants nothing of a request's states any more."""
        record = self._record(request)
        if record.state is None and record.release is not None:
            return  # all that is held was asked for, and is tried on
        record.state = None
        self._releases.ask(record, engine)
        self.plan(record)

    def _wait_anew(self, record: Reservation, arrived: bool, state_unknown: bool) -> None:
        state = record.state
        if state is None:
            return
        if not (arrived or state.claimed):
            return self.calls.invariants.fetch_did_not_arrive(record.request, microseconds(self._now))
        if state_unknown:
            self.calls.invariants.state_unknown(record.request)
        elif not state.answered:
            self.calls.invariants.state_waits(record.request, microseconds(self._now))
        record.state = WaitingState(state.engine, state.due_at if state.answered else self._now + self.let_go_s)

    # What is due.

    def _record(self, request: str) -> Reservation:
        record = self.records.get(request)
        if record is None:
            if len(self.records) >= RECORDS_MOST:
                self._drop_oldest()
            record = self.records[request] = Reservation(request)
        return record

    def _drop_oldest(self) -> None:
        oldest = next(iter(self.records.values()))
        self._dropped += 1
        self.log("reservation dropped", level="error", seq=oldest.request, reason=f"{RECORDS_MOST} are followed")
        self.calls.invariants.state_gone(oldest.request, microseconds(self._now), self._let_go_us)
        self._remove(oldest)

    def _remove(self, record: Reservation) -> None:
        record.stop_timer()
        self._releases.drop(record)
        self._given_up.stop(record)
        self._releases.search.discard(record.request)
        self._given_up.is_released(record.request)
        self._arrivals.over(record.request)
        self.records.pop(record.request, None)
        self._ended.append(record.request)

    def plan(self, record: Reservation) -> None:
        """Sets the record's one timer, or ends a record that nothing is left of."""
        record.stop_timer()
        if self.records.get(record.request) is not record:
            return
        if record.release is None:
            self._releases.search.discard(record.request)
            self._given_up.is_released(record.request)
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
        elif state is not None and state.claimed and not state.released_beside and state.due_at <= now:
            self._release_beside(record, state)
        elif record.release is not None:
            if record.release.next_at <= now:
                self._releases.try_again(record)
        elif record.given_up is not None and record.given_up.repeat_at <= now:
            self._given_up.repeat(record)
        if self.records.get(record.request) is record:
            self.plan(record)

    def _state_due(self, record: Reservation, state: WaitingState) -> None:
        self._arrivals.read_answers(record.request)
        if self.calls.fetch_has_arrived(record.request):
            if record.state is state:
                state.claimed = True
            return
        if record.state is not state or state.claimed:
            return  # what lay unread has changed it
        record.state = None
        self.calls.end_sending(record.request)  # an attempt that an engine believes to be there keeps the state from being released
        self._releases.ask(record, state.engine, late=True)
        self.plan(record)
        self.calls.end_unproven(record.request)

    def _release_beside(self, record: Reservation, state: WaitingState) -> None:
        """Engines spare what an attempt waits for (WIRE 12), so this frees a state alone whose fetch was acknowledged and lost on its way to an
        engine that runs."""
        state.released_beside = True
        engines = dict.fromkeys(engine for engine in (record.out_at, state.engine) if engine)
        self.log("released beside its fetch", level="debug", seq=record.request, engine=record.out_at, reason="it may be lost on its way")
        for engine in engines:
            self._releases.call_once(record.request, Route(engine, fresh=not self.calls.has_kept(engine)))

    def confirmed(self, record: Reservation, asked_at: float) -> None:
        """An engine has confirmed a release that was asked for then."""
        self._given_up.confirmed(record, asked_at)
        self.plan(record)

    # What engines tell.

    def heard(self, engine: str) -> None:
        """Bytes came from an engine."""
        now, search = self._now, self._releases.search
        if now - self._heard_at.get(engine, -math.inf) < WORD_EACH_S and not search and not self._given_up.is_watched(engine):
            return
        self._heard_at[engine] = now
        if len(self._heard_at) > 2 * RECORDS_MOST:
            self._heard_at.clear()
        self.routes.heard(engine, now)
        self._given_up.heard(engine, now)
        search.release_through(engine)

    def close(self) -> None:
        """Nothing is done any more."""
        self._closed = True
        self._arrivals.close()
        self._given_up.close()
        self._releases.close()
        for record in self.records.values():
            record.stop_timer()
        self.records.clear()
