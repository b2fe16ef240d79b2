"""Releases of what requests hold at engines: tried until an engine confirms them, and repeated behind attempts that were given up.

A release frees what is held when an engine takes it, and spares what an attempt waits for. An attempt that the node has given up may go on
for a while: its engine hears of that late, stands still, or works on to the end. What it leaves then is held like any other, so one confirmed
release is not the last one that such a request needs.
"""
from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import islice
from typing import Protocol

from twisted.internet.interfaces import IDelayedCall, IReactorTime

from ..core.invariants import InvariantMonitor
from .held_state import HEARD_MOST, RELEASE_TRIES, Release

ONLY_FRESH_S = -1.0      # no kept connection has been idle for so long
GOES_ON_S = 2.0          # for which an engine may work on with what was given up, behind the time it was told or a silence of its own
RUNS_S = 1.0             # an engine that was heard within this time does not stand still
SILENT_MOST_S = 30.0     # for which an engine that says nothing may stand still with what was given up
SILENT_ASKED_EVERY = 4   # of the releases that are repeated, one goes to an engine that says nothing
REPEAT_LEAST_S = 0.1     # between releases that are repeated, however short the settings' time
FOLLOWED_MOST = 256      # requests whose given-up attempts are followed at a time


@dataclass(slots=True)
class GivenUpEngine:
    """An engine that had an attempt which was given up; seconds of the reactor's clock."""

    given_up_at: float
    heard_at: float = -math.inf  # since then it ran

    def runs(self, now: float) -> bool:
        """Whether it was heard of late."""
        return now - self.heard_at < RUNS_S


@dataclass(slots=True)
class GivenUpAttempts:
    """Attempts of one request that were sent and given up, and may still leave something.

    Attributes:
        until: seconds of the reactor's clock; when the last of them is over at the latest, if no engine stands still.
        timer: of the next release.
        engines: where they were.
        repeats: releases that were repeated.
    """

    until: float
    timer: IDelayedCall
    engines: dict[str, GivenUpEngine] = field(default_factory=dict)
    repeats: int = 0

    def heard(self, engine: str, at: float) -> None:
        """An engine was heard last at that time. One that had stood still goes on with what it had begun."""
        known = self.engines[engine]
        if at <= max(known.heard_at, known.given_up_at):
            return
        if at - max(known.heard_at, known.given_up_at) > RUNS_S:
            self.until = max(self.until, at + GOES_ON_S)
        known.heard_at = at

    def may_go_on(self, now: float) -> bool:
        """Whether any of them may still leave something."""
        return now < self.until or any(not known.runs(now) and now < known.given_up_at + SILENT_MOST_S for known in self.engines.values())

    def next_engine(self, now: float) -> str:
        """Through which engine to release next: each in turn, so that they are heard; empty: any that is well."""
        engine = list(self.engines)[self.repeats % len(self.engines)] if self.engines else ""
        self.repeats += 1
        if engine and (self.engines[engine].runs(now) or self.repeats % SILENT_ASKED_EVERY == 0):
            return engine
        return ""


class ReleaseCalls(Protocol):
    """What releases need of the engines' side (``platform.engines.PlatformEngines``)."""
    reactor: IReactorTime
    invariants: InvariantMonitor
    places: dict[str, object]  # engines whose address is known
    traces: bool

    def release_at(self, engine: str, seq_id: str, done: Callable[[int, bytes], None], idle_most_s: float) -> None: ...

    def is_awaited(self, seq_id: str) -> bool: ...

    def proven(self, but: str = "") -> str: ...


class Releases:
    """All releases of one node.

    Args:
        calls: carries them out.
        let_go_s: the settings' time within which what is held has to be taken or released.
        log: of the node.
    """

    def __init__(self, calls: ReleaseCalls, let_go_s: float, log: Callable[..., None]) -> None:
        self.calls, self.let_go_s, self.log = calls, let_go_s, log
        self.repeat_s = max(REPEAT_LEAST_S, let_go_s)
        self.pending: dict[str, Release] = {}  # by request: not confirmed by any engine yet
        self.given_up: dict[str, GivenUpAttempts] = {}  # by request
        self.undelivered: dict[str, float] = {}  # requests whose release no engine took, and when it was given up
        self.lost = self.repeated = self.not_followed = 0
        self._heard_since: dict[str, float] = {}  # engines with given-up attempts: when each was heard last
        self._heard: dict[str, float] = {}  # engines that answered last and when, the newest at the end

    def _now_us(self) -> int:
        return round(self.calls.reactor.seconds() * 1e6)

    # What is asked for.

    def ask(self, seq_id: str, engine: str, both_ways: bool = False) -> None:
        """Releases all that a request holds anywhere, first through that engine; any engine may confirm it. ``both_ways``: little of the
        slack is left, so the first try goes over the connection that was used last as well."""
        release = self.pending.get(seq_id)
        if release is None:
            release = self.pending[seq_id] = Release(seq_id, engine)
        release.asked_for += 1
        if release.tried_at < self.calls.reactor.seconds():
            release.cancel()
            self._try(release, both_ways)

    def cancel(self, seq_id: str) -> None:
        """What is held for a request is taken, or has to stay."""
        release = self.pending.pop(seq_id, None)
        if release:
            release.cancel()

    def follow(self, seq_id: str, engine: str, over_by: float) -> None:
        """An attempt that was sent has been given up; behind that time (seconds of the reactor's clock) its engine begins nothing of it."""
        now = self.calls.reactor.seconds()
        until = max(now, over_by) + GOES_ON_S
        self.calls.invariants.state_may_come(seq_id, self._now_us(), round(until * 1e6))
        followed = self.given_up.get(seq_id)
        if followed is None:
            if len(self.given_up) >= FOLLOWED_MOST:
                self.not_followed += 1
                return
            timer = self.calls.reactor.callLater(self.repeat_s, self._repeat, seq_id)
            followed = self.given_up[seq_id] = GivenUpAttempts(until, timer)
        followed.until = max(followed.until, until)
        followed.engines[engine] = GivenUpEngine(now)
        self._heard_since.setdefault(engine, -math.inf)
        if self.calls.traces:
            self.log("attempt followed", level="debug", seq=seq_id, engine=engine, reason=f"it may leave something for {until - now:.1f} s")

    def heard(self, engine: str) -> None:
        """An engine has answered something."""
        now = self.calls.reactor.seconds()
        if engine in self._heard_since:
            self._heard_since[engine] = now
        self._heard.pop(engine, None)
        self._heard[engine] = now
        if len(self._heard) > HEARD_MOST:
            del self._heard[next(iter(self._heard))]
        if self.undelivered:
            self._deliver(engine)

    def _deliver(self, engine: str) -> None:
        """An engine can be reached again: what no engine took is released through it."""
        oldest = self.calls.reactor.seconds() - SILENT_MOST_S
        undelivered, self.undelivered = self.undelivered, {}
        for seq_id, lost_at in undelivered.items():
            if self.calls.is_awaited(seq_id):
                self.undelivered[seq_id] = lost_at
            elif lost_at > oldest:
                self.ask(seq_id, engine)

    def close(self) -> None:
        """Nothing is repeated any more."""
        for followed in self.given_up.values():
            followed.timer.cancel()
        self.given_up.clear()

    # Repeats.

    def _repeat(self, seq_id: str) -> None:
        """What given-up attempts have left since the last release must not lie for longer than the settings' time."""
        followed, now = self.given_up[seq_id], self.calls.reactor.seconds()
        self._take_up_heard(seq_id, followed)
        waits = seq_id in self.pending or self.calls.is_awaited(seq_id)
        if waits or followed.may_go_on(now):
            followed.timer = self.calls.reactor.callLater(self.repeat_s, self._repeat, seq_id)
        else:
            del self.given_up[seq_id]
            if not self.given_up:
                self._heard_since.clear()
        if not waits:
            self.repeated += 1
            self.ask(seq_id, followed.next_engine(now) or self.calls.proven() or next(reversed(self._heard), ""))

    def _take_up_heard(self, seq_id: str, followed: GivenUpAttempts) -> None:
        until = followed.until
        for engine in list(followed.engines):
            followed.heard(engine, self._heard_since[engine])
            if engine not in self.calls.places:
                del followed.engines[engine]  # it is listed no more
        if followed.until > until:
            self.calls.invariants.state_may_come(seq_id, self._now_us(), round(followed.until * 1e6))

    # Tries.

    def _try(self, release: Release, both_ways: bool = False) -> None:
        if self.pending.get(release.seq_id) is not release:
            return
        if release.tries >= RELEASE_TRIES:
            return self._give_up(release)
        release.timer = self.calls.reactor.callLater(release.pause_s, self._try, release)
        if release.tries and self.calls.is_awaited(release.seq_id):
            return  # the time stops; what is waited for must stay, and the time begins again when that attempt ends
        release.tried_at = self.calls.reactor.seconds()
        release.tries += 1
        proven = self.calls.proven(but=release.engine) or self.calls.proven()
        if release.tries == 1:
            self._call(release, release.engine)
            if both_ways and proven not in ("", release.engine):
                self._call(release, proven)
            return
        # The try before was lost: into a kept connection that has fallen silent, or for want of a new one. So both ways are gone, later
        # in turns, as no new connection may come up for long.
        if release.urgent or release.tries % 2 or not proven:
            self._call(release, self._likeliest(release), ONLY_FRESH_S)
        if proven and (release.urgent or release.tries % 2 == 0):
            self._call(release, proven)

    def _call(self, release: Release, engine: str, idle_most_s: float = math.inf) -> None:
        asked_for, asked_at, number = release.asked_for, self._now_us(), release.tries

        def answered(status: int, body: bytes) -> None:
            if status == 204 and self.pending.get(release.seq_id) is release and release.asked_for == asked_for:
                self.calls.invariants.released(release.seq_id, asked_at, round(self.let_go_s * 1e6))
                if self.calls.traces:
                    self.log("state released", level="debug", seq=release.seq_id, engine=engine, reason=f"try {number}")
                self.cancel(release.seq_id)
        self.calls.release_at(engine, release.seq_id, answered, idle_most_s)

    def _give_up(self, release: Release) -> None:
        self.pending.pop(release.seq_id)
        self.lost += 1
        if len(self.undelivered) < FOLLOWED_MOST:
            self.undelivered[release.seq_id] = self.calls.reactor.seconds()
        self.calls.invariants.state_gone(release.seq_id, self._now_us(), round(self.let_go_s * 1e6))
        self.log("letting go was not delivered", level="warning", seq=release.seq_id, engine=release.engine)

    def _likeliest(self, release: Release) -> str:
        """Every engine takes the call: the one heard last is the likeliest to be there, then the next."""
        heard = [engine for engine in reversed(self._heard) if engine in self.calls.places]
        others = islice((engine for engine in self.calls.places if engine not in self._heard), RELEASE_TRIES)
        likely = [*heard, *others]
        return likely[(release.tries - 2) % len(likely)] if likely else release.engine
