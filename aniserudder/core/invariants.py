"""Run-time checks of what binds every request: one final answer in time, no second copy, no forbidden repeat, no send that may not be.

The monitor follows each request from events alone and shares no state with the decision module or the guard that permits sends
(``guard.py``). It never corrects anything: a violation is counted and logged, so that a fault that slips past a guard is seen in
production, in the soak and in tests.
"""
from __future__ import annotations

import math
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum

from ..decisions.interface import Availability, Effect, Outcome, RosterRow, Settings
from .slow_start import SlowStartMonitor
from .unconfirmed_sends import UnconfirmedSends

ANSWER_SLACK_US = 500_000    # after a request's time its answer may still come, worth nothing
PROMPT_TOKENS_MOST = 65_536  # more is no prompt that a body can hold
WITHDRAWN_MOST = 4096        # engines remembered that drain or are gone, the newest
LEFT_SLACK_US = 100_000      # within which an attempt may begin after its client closed
HELD_SLACK_US = 350_000      # beyond the settings' time: 300 ms of the standing page, and 50 ms of every time limit
SPOKE_BEHIND_US = 50_000  # behind an attempt: what an engine is heard to say sooner may have been written before that came
HELD_UNCONFIRMED_US = 3_000_000  # in which a release under way is confirmed, or given up as lost
WORKS_ON_US = 60_000_000     # that an engine may work on behind the time it was told: slow for up to 38 s, then at its usual pace
WORKS_ON_TOKEN_US = 1_000    # and for each token of a prompt
DEADLINE_SLACK_US = 150_000  # by which the time told to an engine may exceed what the client has left
NEVER_RAN = frozenset({Outcome.FULL, Outcome.NO_STATE, Outcome.NO_ROUTE, Outcome.NOT_SENT, Outcome.EXHAUSTED, Outcome.READ})


class Violation(Enum):
    """What must never happen."""
    SENT_AFTER_ANSWER = "an attempt was sent after the final answer"
    SENT_AFTER_CLIENT_LEFT = "an attempt was sent after its client left"
    SENT_BESIDE_ANOTHER = "an attempt was sent while an earlier one was out"
    SENT_TO_WITHDRAWN_ENGINE = "an attempt was sent to an engine that drains or is gone"
    SENT_ON_UNCONFIRMED_LIST = "an attempt was sent to a withdrawn engine on a list that nobody had confirmed"
    REPEATED_ONCE_ONLY = "a request that must run once was sent again though it may have run"
    REPEATED_OUTSIDE_WINDOW = "a tokened request was sent again behind its repeat window"
    DEADLINE_BEYOND_CLIENT = "an engine was told more time than the client has left"
    SECOND_ANSWER = "a second final answer"
    LATE_ANSWER = "a final answer long after the client's time"
    UNANSWERED = "a request was forgotten without a final answer"
    CLOSED_UNANSWERED = "a connection was closed over requests that had been read"
    HELD_TOO_LONG = "what a read left was neither taken nor released in time"
    COLD_ENGINE_OVERLOADED = "more calls than its part went to an engine that has just started"


@dataclass(slots=True)
class _Tracked:
    """One request as the monitor follows it; times in microseconds of the router's clock."""
    abandon_at: int
    effect: Effect
    window: int
    out: int | None = None             # ordinal of the attempt that was sent and has not ended
    sent: set[int] = field(default_factory=set)
    sent_at: dict[int, int] = field(default_factory=dict)
    may_have_run_at: int | None = None  # when the first attempt was sent that may have run
    streaming: bool = False
    answered: bool = False
    left: bool = False


@dataclass(slots=True)
class _WorksOn:
    """An engine that may work on with an attempt that was given up; microseconds. It serves in order, so it is past a read when later ones have
    read as much, one behind the other, and past a fetch when a later stream has begun."""
    place: str
    given_up_at: int
    tokens_left: float  # infinite: it fetches a state
    until: int
    counted_until: int


@dataclass(slots=True, frozen=True)
class _FetchOut:
    """An attempt for a state that is out, and of which nothing shows that a running engine has it; microseconds."""
    place: str
    sent_at: int


@dataclass(slots=True)
class _MayBeHeld:
    """What attempts that were given up may leave; microseconds. ``since``: the last moment at which surely nothing was held; None while an
    attempt of its request is out. ``until``: when that ends, but for what engines work on with."""
    since: int | None
    until: int
    works_on: list[_WorksOn] = field(default_factory=list)

    @property
    def ends_at(self) -> int:
        """When nothing can come any more."""
        return max([self.until, *(work.until for work in self.works_on)])


class InvariantMonitor:
    """Follows the requests of one router.

    Args:
        settings: of the deployment; None: slow start is not followed.
        log: called as ``log(event, level=..., seq=..., reason=...)`` for each violation.
    """

    def __init__(self, log: Callable[..., None], settings: Settings | None = None) -> None:
        self._log = log
        self._slow_start = SlowStartMonitor(settings) if settings else None
        self._held: dict[str, int | None] = {}  # by request: since when its state waits; None: a running engine has an attempt for it
        self._fetches: dict[str, _FetchOut] = {}  # by request: the attempt that is out for its state
        self._fetches_at: dict[str, dict[str, None]] = {}  # by place of an engine: requests whose fetches are there
        self._may_be_held: dict[str, _MayBeHeld] = {}  # by request
        self._works_on: dict[str, dict[str, None]] = {}  # by place of an engine: requests with attempts that were given up there
        self._requests: dict[str, _Tracked] = {}
        self._withdrawn: OrderedDict[str, None] = OrderedDict()
        self._known: set[str] = set()
        self._unconfirmed = UnconfirmedSends()
        self.violations: Counter[Violation] = Counter()

    @property
    def total(self) -> int:
        """Violations since the start."""
        return sum(self.violations.values())

    def source_moved(self, now: int) -> None:
        """The list's source is another from now on."""
        self._unconfirmed.moved(now)

    def roster(self, rows: Iterable[RosterRow], complete: bool, now: int = 0, asked_at: int | None = None) -> None:
        """The engine list changed. ``asked_at``: when its source was asked for it; None: it comes from before this process."""
        rows = list(rows)
        if self._slow_start:
            self._slow_start.roster(rows, complete, now)
        if complete:
            named = {row.engine for row in rows}
            self._withdrawn.update(dict.fromkeys(sorted(self._known - named)))
            self._known &= named
        for row in rows:
            if row.availability is Availability.RUNNING:
                self._withdrawn.pop(row.engine, None)
            else:
                self._withdrawn[row.engine] = None
            if row.availability is Availability.GONE:
                self._known.discard(row.engine)
            else:
                self._known.add(row.engine)
        while len(self._withdrawn) > WITHDRAWN_MOST:
            self._withdrawn.popitem(last=False)
        if asked_at is not None:
            for send in self._unconfirmed.told(asked_at, self._withdrawn.__contains__):
                self._violated(Violation.SENT_ON_UNCONFIRMED_LIST, send.request, send.engine)

    def taken(self, request: str, abandon_at: int, effect: Effect, window: int) -> None:
        """A request was taken: it is owed one final answer."""
        self._requests[request] = _Tracked(abandon_at, effect, window)

    def sent(self, request: str, ordinal: int, engine: str, told_us: int, now: int) -> None:
        """An attempt's bytes are being written; ``told_us`` is the time that its engine is told."""
        if request in self._may_be_held:
            self._may_be_held[request].since = None
        tracked = self._requests.get(request)
        if tracked is None:
            return self._violated(Violation.SENT_AFTER_ANSWER, request, engine)
        if tracked.answered:
            self._violated(Violation.SENT_AFTER_ANSWER, request, engine)
        if tracked.left:
            self._violated(Violation.SENT_AFTER_CLIENT_LEFT, request, engine)
        if tracked.out is not None:
            self._violated(Violation.SENT_BESIDE_ANOTHER, request, engine)
        self._unconfirmed.sent(request, engine, now)
        if engine in self._withdrawn:
            self._violated(Violation.SENT_TO_WITHDRAWN_ENGINE, request, engine)
        if not tracked.streaming and told_us > tracked.abandon_at - now + DEADLINE_SLACK_US:
            self._violated(Violation.DEADLINE_BEYOND_CLIENT, request, engine)
        self._check_repeat(tracked, request, engine, now)
        excess = self._slow_start.sent(engine, now) if self._slow_start else 0.0
        if excess:
            self._violated(Violation.COLD_ENGINE_OVERLOADED, request, f"{engine}, {excess:.1f} calls too many")
        tracked.out = ordinal
        tracked.sent.add(ordinal)
        tracked.sent_at[ordinal] = now

    def _check_repeat(self, tracked: _Tracked, request: str, engine: str, now: int) -> None:
        if tracked.may_have_run_at is None:
            return
        if tracked.effect is Effect.ONCE_ONLY:
            self._violated(Violation.REPEATED_ONCE_ONLY, request, engine)
        elif tracked.effect is Effect.TOKENED and now - tracked.may_have_run_at >= tracked.window:
            self._violated(Violation.REPEATED_OUTSIDE_WINDOW, request, engine)

    def started(self, request: str, now: int = 0) -> None:
        """The first event of its answer was passed on: its deadline no longer runs."""
        self._nothing_is_out(request, now)
        tracked = self._requests.get(request)
        if tracked:
            tracked.streaming = True

    def ended(self, request: str, ordinal: int, outcome: Outcome, reads: bool, now: int = 0) -> None:
        """An attempt is over, whether or not it was ever sent."""
        self._nothing_is_out(request, now)
        tracked = self._requests.get(request)
        if tracked is None:
            return
        if tracked.out == ordinal:
            tracked.out = None
        if ordinal in tracked.sent and outcome not in NEVER_RAN and not reads and tracked.may_have_run_at is None:
            tracked.may_have_run_at = tracked.sent_at[ordinal]

    def answered(self, request: str, now: int) -> None:
        """The final answer was given."""
        tracked = self._requests.get(request)
        if tracked is None or tracked.answered:
            return self._violated(Violation.SECOND_ANSWER, request, "")
        tracked.answered = True
        if not tracked.streaming and now > tracked.abandon_at + ANSWER_SLACK_US:
            self._violated(Violation.LATE_ANSWER, request, f"{(now - tracked.abandon_at) // 1000} ms late")

    def left(self, request: str, closed_at: int | None = None) -> None:
        """Its client closed or cancelled; ``closed_at`` is when its end came to this system, if that is known."""
        tracked = self._requests.get(request)
        if tracked is None:
            return
        tracked.left = True
        if closed_at is not None and any(at > closed_at + LEFT_SLACK_US for at in tracked.sent_at.values()):
            self._violated(Violation.SENT_AFTER_CLIENT_LEFT, request, "its end lay unread")

    def taken_up(self, engine: str, now: int) -> None:
        """An engine has read a prompt, or begun an answer."""
        if self._slow_start:
            self._slow_start.taken(engine, now)

    def state_held(self, request: str, at: int) -> None:
        """A read's answer came to this system: its state is held from now on."""
        self._held[request] = at

    def fetch_sent(self, request: str, place: str, now: int) -> None:
        """An attempt that takes the state is out, over a connection of its own. STANDING: one that has not arrived stops no clock."""
        if request in self._held:
            self._fetches[request] = _FetchOut(place, now)
            self._fetches_at.setdefault(place, {})[request] = None

    def engine_spoke(self, place: str, at: int) -> None:
        """An engine was heard to say something then: it runs, and has what came to its machine before."""
        for request in list(self._fetches_at.get(place, ())):
            if at >= self._fetches[request].sent_at + SPOKE_BEHIND_US:
                self._fetch_is_over(request)
                self._held[request] = None

    def _fetch_is_over(self, request: str) -> None:
        fetch = self._fetches.pop(request, None)
        if fetch is not None:
            there = self._fetches_at[fetch.place]
            del there[request]
            if not there:
                del self._fetches_at[fetch.place]

    def state_waits(self, request: str, now: int) -> None:
        """An attempt that an engine had is out no more. WIRE 15: the time runs anew since the last response."""
        self._fetch_is_over(request)
        if request in self._held:
            self._held[request] = now

    def fetch_did_not_arrive(self, request: str, now: int) -> None:
        """An attempt is out no more, and nothing showed that a running engine had it: the time runs on."""
        self._fetch_is_over(request)
        if request in self._held and self._held[request] is None:
            self._held[request] = now

    def waited(self, request: str, now: int) -> int:
        """Microseconds that a state has waited with nothing out for it; 0 where none does."""
        since = self._held.get(request)
        return now - since if since is not None else 0

    def state_gone(self, request: str, at: int, limit: int) -> None:
        """The state was taken, or its release reached an engine, at the earliest then; ``limit`` is the settings' time."""
        self._fetch_is_over(request)
        since = self._held.pop(request, None)
        if since is not None and at - since > limit + HELD_SLACK_US:
            self._violated(Violation.HELD_TOO_LONG, request, f"{(at - since) // 1000} ms")

    def state_may_come(self, request: str, now: int, until: int) -> None:
        """An attempt that was sent is given up; its engine may go on with it until then."""
        known = self._may_be_held.setdefault(request, _MayBeHeld(now, until))
        known.until = max(known.until, until)

    def work_given_up(self, request: str, place: str, tokens: float, now: int, over_by: int) -> None:
        """An attempt that was sent is given up, and its engine may work on with it.

        Args:
            request: whose attempt it was.
            place: where its engine listens.
            tokens: of its prompt if it is a read, else infinite.
            now: microseconds of the router's clock.
            over_by: when the engine begins nothing of it any more.
        """
        self.state_may_come(request, now, now)
        until = over_by + WORKS_ON_US + (round(WORKS_ON_TOKEN_US * tokens) if tokens <= PROMPT_TOKENS_MOST else 0)
        self._may_be_held[request].works_on.append(_WorksOn(place, now, tokens, until, now))
        self._works_on.setdefault(place, {})[request] = None

    def engine_has_read(self, place: str, sent_at: int, ended_at: int, tokens: int) -> None:
        """A read that was sent and ended then has ended well."""
        for work in self._given_up_at(place):
            if sent_at >= work.counted_until and work.tokens_left < math.inf:
                work.tokens_left -= tokens
                work.counted_until = ended_at
                if work.tokens_left <= 0:
                    work.until = min(work.until, ended_at)

    def engine_has_begun(self, place: str, sent_at: int, now: int) -> None:
        """The stream of an attempt that was sent then has begun."""
        for work in self._given_up_at(place):
            if sent_at > work.given_up_at and work.tokens_left == math.inf:
                work.until = min(work.until, now)

    def _given_up_at(self, place: str) -> Iterator[_WorksOn]:
        for request in self._works_on.get(place, ()):
            for work in self._may_be_held[request].works_on:
                if work.place == place:
                    yield work

    def _nothing_may_come(self, request: str) -> None:
        for work in self._may_be_held.pop(request).works_on:
            requests = self._works_on.get(work.place)
            if requests is not None:
                requests.pop(request, None)
                if not requests:
                    del self._works_on[work.place]

    def _nothing_is_out(self, request: str, now: int) -> None:
        known = self._may_be_held.get(request)
        if known and known.since is None:
            known.since = now

    def released(self, request: str, asked_at: int, limit: int) -> None:
        """An engine has confirmed a release that was asked for then. It frees nothing of what comes to be held behind it."""
        self.state_gone(request, asked_at, limit)
        known = self._may_be_held.get(request)
        if known is None or known.since is None:
            return
        self._check_gap(request, known, asked_at, limit)
        known.since = max(known.since, asked_at)
        if asked_at >= known.ends_at:
            self._nothing_may_come(request)

    def _check_gap(self, request: str, known: _MayBeHeld, at: int, limit: int) -> bool:
        gap = min(at, known.ends_at) - known.since
        if gap > limit + HELD_SLACK_US:
            self._violated(Violation.HELD_TOO_LONG, request, f"{gap // 1000} ms without a release behind an attempt that was given up")
            return True
        return False

    def look_for_held(self, now: int, limit: int) -> None:
        """Counts states that wait far beyond the settings' time with nothing out for them: no release of them was ever confirmed."""
        for request, since in list(self._held.items()):
            if since is not None and now - since > limit + HELD_SLACK_US + HELD_UNCONFIRMED_US:
                self.state_unknown(request)
                self._violated(Violation.HELD_TOO_LONG, request, f"{(now - since) // 1000} ms, and not released yet")
        for request, known in list(self._may_be_held.items()):
            if known.since is None:
                continue
            if self._check_gap(request, known, now - HELD_UNCONFIRMED_US, limit) or known.ends_at < now - HELD_UNCONFIRMED_US:
                self._nothing_may_come(request)

    def state_unknown(self, request: str) -> None:
        """Whether it is still held cannot be told any more."""
        self._fetch_is_over(request)
        self._held.pop(request, None)

    def forgotten(self, request: str) -> None:
        """The router keeps nothing of it any more."""
        tracked = self._requests.pop(request, None)
        if tracked and not tracked.answered and not tracked.left:
            self._violated(Violation.UNANSWERED, request, "")

    def closed_unanswered(self, reason: str, requests: int) -> None:
        """A connection was closed by this side over requests that were read from it and have no whole answer."""
        for _ in range(requests):
            self._violated(Violation.CLOSED_UNANSWERED, "", reason)

    def _violated(self, violation: Violation, request: str, detail: str) -> None:
        self.violations[violation] += 1
        self._log("invariant violated", level="error", seq=request, reason=f"{violation.value}{': ' * bool(detail)}{detail}")
