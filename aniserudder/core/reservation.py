"""What is known of reservations: a state that waits, attempts that were given up, a release that is under way, engines that stand still.

An engine that stands still goes on with its given-up attempts when it runs again, however late.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from twisted.internet.interfaces import IDelayedCall

RELEASE_SLACK_S = 0.3  # STANDING: what is held has 300 ms more than the settings say
UNPROVEN_S = 0.1  # of that slack, which a fetch has to show that it arrived; a hold-up of 0.15 s still fits behind it
URGENT_TRIES = 4  # of a release, that fit into the slack
OVERDUE_TRIES = 10  # behind which a release counts as not delivered; it is tried on all the same
RELEASE_PAUSE_MOST_S = 0.6  # between later tries: pauses double behind the slack, as calls that come late must not feed a jam
AFTER_FAILURE_S = 0.02  # from a failed call to the next try, while the slack lasts
RUNS_S = 1.0  # an engine that was heard within this time does not stand still
ASK_BEHIND_S = 0.5  # an engine that was not heard for so long is asked, so that one that runs is heard within ``RUNS_S``
ASK_AGAIN_S = 1.0  # between calls that are not answered
ASK_SELDOM_S = 5.0  # the same behind ``SELDOM_BEHIND_S``
SELDOM_BEHIND_S = 30.0


def microseconds(seconds: float) -> int:
    """The same time as the monitor counts it."""
    return round(seconds * 1e6)


class SentAttempt(Protocol):
    """An attempt whose bytes have gone out and that has not ended here."""

    fetches_state: bool  # what is held for its request is taken by it
    passed: int  # events passed on

    @property
    def acknowledged(self) -> bool:
        """Whether its engine's machine has all its bytes."""

    @property
    def arrived(self) -> bool:
        """Whether it has surely reached an engine that runs."""

    def engine_runs(self) -> None:
        """Its engine was heard behind the arrival of its bytes."""


@dataclass(slots=True)
class WaitingState:
    """A state that a read has left and that waits for its fetch; seconds of the injected clock."""

    engine: str
    due_at: float  # then it is released
    extended: bool = False  # a fetch went out and got a part of the slack to show that it arrived, once for all fetches
    claimed: bool = False  # a running engine has a fetch: no clock runs
    released_beside: bool = False  # a release went out beside that fetch, in case it was lost on its way
    answered: bool = False  # that engine has begun its answer, which came to no event so far: the clock runs from then on


@dataclass(slots=True)
class ReleaseProgress:
    """A release that no engine has confirmed yet.

    ``asked_for`` counts how often it was asked for: an answer to a call that went out before the last time proves nothing of what has come
    to be held since, and what has come to be held since has all tries again.
    """

    engine: str  # where the state is held; empty: not known
    late: bool  # it began late in the slack
    next_at: float
    tries: int = 0
    asked_for: int = 1
    calls: dict[int, Callable[[], None]] = field(default_factory=dict)  # whose end is not known yet: what calls each off, by its number
    quick_retries: int = 0  # behind connects that failed at once
    called: int = 0  # calls so far
    called_at: float = -math.inf  # when the last call went out
    tried_as_heard_at: float = -math.inf  # when it was tried last because an engine was heard
    overdue: bool = False
    local_trouble: bool = False  # this system could make no connection
    tried: set[str] = field(default_factory=set)  # addresses it went to over new connections

    def call_off(self) -> None:
        """An engine has confirmed it: no other answer is waited for."""
        calls, self.calls = self.calls, {}
        for call_off in calls.values():
            call_off()

    @property
    def pause_s(self) -> float:
        """Seconds until the next try."""
        in_slack = RELEASE_SLACK_S / URGENT_TRIES
        doublings = min(8, max(0, self.tries - URGENT_TRIES))
        return min(RELEASE_PAUSE_MOST_S, in_slack * 2**doublings)

    def ask_again(self, engine: str, late: bool, now: float) -> None:
        """More has come to be held: the next try goes out now, and the slack's tries begin anew."""
        self.asked_for += 1
        self.engine, self.late, self.next_at, self.tries, self.overdue = engine or self.engine, late, now, 0, False
        self.quick_retries = 0
        self.tried.clear()


@dataclass(slots=True)
class GivenUpAttempts:
    """Attempts of one request that were sent and given up, and may still leave something; seconds of the injected clock.

    Attributes:
        until: when the last of them is over at the latest, if no engine stands still.
        repeat_at: when the next release is due.
        engines: where they were, and when each was given up.
        repeats: releases that were repeated.
    """

    until: float
    repeat_at: float
    engines: dict[str, float] = field(default_factory=dict)
    repeats: int = 0


@dataclass(slots=True)
class Reservation:
    """All that one request holds, or may come to hold, at engines."""

    request: str
    out: SentAttempt | None = None
    out_at: str = ""  # the engine that the last attempt went to
    state: WaitingState | None = None
    release: ReleaseProgress | None = None
    given_up: GivenUpAttempts | None = None
    timer: IDelayedCall | None = None

    @property
    def is_settled(self) -> bool:
        """Whether nothing is held and nothing can come to be held."""
        return self.out is None and self.state is None and self.release is None and self.given_up is None

    @property
    def is_awaited(self) -> bool:
        """Whether an attempt has arrived that needs what is held, or what is held waits for one and has a clock of its own. An attempt that
        may not have arrived stops no clock: what an earlier one has left is released beside it."""
        if self.out is not None and self.out.arrived:
            return not self.out.passed
        return self.state is not None

    def next_at(self) -> float:
        """When something is due; infinite: nothing is."""
        times = [math.inf]
        if self.state is not None and not (self.state.claimed and self.state.released_beside):
            times.append(self.state.due_at)
        if self.release is not None:
            times.append(self.release.next_at)
        elif self.given_up is not None:
            times.append(self.given_up.repeat_at)
        return min(times)

    def stop_timer(self) -> None:
        """Nothing is done when something is due."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None


@dataclass(slots=True)
class WatchedEngine:
    """An engine that had attempts which were given up; seconds of the injected clock."""

    requests: dict[str, None] = field(default_factory=dict)
    heard_at: float = -math.inf  # behind an attempt that was given up there
    asked_at: float = -math.inf
    given_up_at: float = -math.inf  # the last of them

    def runs(self, now: float) -> bool:
        """Whether it was heard of late."""
        return now - self.heard_at < RUNS_S

    def ask_every_s(self, now: float) -> float:
        """Seconds between calls that show whether it runs; such a call is as patient."""
        silent_s = now - max(self.heard_at, self.given_up_at)
        return ASK_SELDOM_S if silent_s > SELDOM_BEHIND_S else ASK_AGAIN_S


class SilentEngines:
    """Engines with given-up attempts, by when they were heard."""

    def __init__(self) -> None:
        self.engines: dict[str, WatchedEngine] = {}

    def gave_up(self, engine: str, request: str, now: float) -> None:
        """An attempt of a request was given up there."""
        watched = self.engines.setdefault(engine, WatchedEngine())
        watched.requests[request] = None
        watched.given_up_at = now

    def heard(self, engine: str, now: float) -> list[str]:
        """An engine answered. Returns the requests whose attempts it may go on with, if it may have stood still until now."""
        watched = self.engines.get(engine)
        if watched is None:
            return []
        ran = watched.runs(now)
        watched.heard_at = now
        return [] if ran else list(watched.requests)

    def forget(self, engine: str, request: str) -> None:
        """Nothing of a request can be left there any more."""
        watched = self.engines.get(engine)
        if watched is not None:
            watched.requests.pop(request, None)
            if not watched.requests:
                del self.engines[engine]

    def runs(self, engine: str, now: float) -> bool:
        """Whether an engine was heard of late."""
        watched = self.engines.get(engine)
        return watched is not None and watched.runs(now)

    def ran_since(self, engine: str, at: float) -> bool:
        """Whether an engine was heard at that time or later."""
        watched = self.engines.get(engine)
        return watched is not None and watched.heard_at >= at

    def due(self, engine: str, now: float) -> float:
        """Seconds for which a call to an engine is to wait for its answer, if one is due; 0: none is."""
        watched = self.engines[engine]
        every_s = watched.ask_every_s(now)
        is_asked = watched.asked_at >= watched.heard_at and now - watched.asked_at < every_s
        if is_asked or now - watched.heard_at < ASK_BEHIND_S:
            return 0.0
        watched.asked_at = now
        return every_s
