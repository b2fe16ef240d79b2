"""Releases of what requests hold: each is tried until an engine confirms it.

Any engine may confirm it. While its slack lasts a release is tried often and at several engines. Those that find no way are tried one after the
other, often, so that a way is found soon for all; as soon as any engine is heard, they go out through it (``WaySearch``).
"""

from __future__ import annotations

import math
from collections.abc import Callable
from itertools import islice
from typing import Protocol

from twisted.internet.interfaces import IDelayedCall

from ..decisions.release_routes import ReleaseRoutes, Route
from .ports import CallEnd, ReservationCalls
from .reservation import AFTER_FAILURE_S, OVERDUE_TRIES, URGENT_TRIES, ReleaseProgress, Reservation, microseconds

CALL_S = 0.5  # that a release waits for its answer
SEARCH_CALL_S = 0.25  # the same while any engine is looked for that answers
SEARCHING_MOST = 8  # of the releases looked at for one that has not been everywhere
STRANDED_EACH_S = 0.05  # between tries of one of the releases that found no way
TURN_AGAIN_S = 0.38  # between turns of one release that is not overdue, as calls that come late must not feed a jam
STRANDED_AT_ONCE = 8  # releases that found no way, tried through an engine when it is heard; each answer is heard again
STRANDED_AGAIN_S = 0.1  # between such tries of one release
QUICK_FAILURE_S = 0.05  # a connect that fails sooner was refused, or failed in this system
QUICK_RETRIES_MOST = 6  # of one release at the same engines
STRANDED_TRIES = 3  # of a release without an answer: from then on it goes out through any engine that is heard, whatever else it waits for


class WaySearch:
    """Releases of one node that find no way.

    Args:
        calls: carries releases out.
        routes: remembers which engines answer.
        records: of all requests.
        call_through: sends a release through some engines, with so much patience.
        plan: sets a record's timer anew.
    """

    def __init__(
        self,
        calls: ReservationCalls,
        routes: ReleaseRoutes,
        records: dict[str, Reservation],
        call_through: Callable[[Reservation, ReleaseProgress, list[Route], float], None],
        plan: Callable[[Reservation], None],
    ) -> None:
        self._calls, self._routes, self._records = calls, routes, records
        self._call_through, self._plan = call_through, plan
        self._stranded: dict[str, None] = {}  # requests whose release finds no way
        self._timer: IDelayedCall | None = None
        self._looks = 0  # so far
        self._closed = False

    def __contains__(self, request: str) -> bool:
        return request in self._stranded

    def __bool__(self) -> bool:
        return bool(self._stranded)

    @property
    def _now(self) -> float:
        return self._calls.reactor.seconds()

    def add(self, record: Reservation) -> None:
        """A release finds no way."""
        self._stranded[record.request] = None
        self._wind_up()

    def discard(self, request: str) -> None:
        """A release needs no way any more, or is tried anew by itself."""
        self._stranded.pop(request, None)

    def close(self) -> None:
        """Nothing is looked for any more."""
        self._closed = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _wind_up(self) -> None:
        if self._stranded and self._timer is None and not self._closed:
            self._timer = self._calls.reactor.callLater(STRANDED_EACH_S, self._look)

    def _look(self) -> None:
        self._timer = None
        self._search()
        for record in self._stranded_records(1, math.inf):
            self._call_through(record, record.release, self._way_to_try(), CALL_S)
            self._plan(record)
        self._wind_up()

    def _search(self) -> None:
        """Asks engines that no release was tried at of late, so that one in reach is found however many are listed; when it answers, all
        releases go out through it. The oldest that has not been everywhere goes along: what is asked grows with what is to be released."""
        for record in map(self._records.get, islice(self._stranded, SEARCHING_MOST)):
            if record is not None and self._may_search(record):
                routes = self._routes.search(record.release.tried, self._calls.listed, self._now)
                if routes:
                    return self._call_through(record, record.release, routes, SEARCH_CALL_S)

    @staticmethod
    def _may_search(record: Reservation) -> bool:
        return record.release is not None and record.release.tries >= URGENT_TRIES and not record.is_awaited

    def _way_to_try(self) -> list[Route]:
        """By turns over a kept and a new connection: for long, only one kind may work."""
        self._looks += 1
        proven = self._calls.proven()
        if self._looks % 2 and proven and self._calls.has_kept(proven):
            return [Route(proven)]
        return self._routes.asked_longest_ago(self._calls.listed, self._now)

    def release_through(self, engine: str) -> None:
        """An engine is there: what no engine took is released through it."""
        if self._closed:
            return
        for record in self._stranded_records(STRANDED_AT_ONCE, self._now - STRANDED_AGAIN_S):
            if record.release is not None and self._routes.takes_more(engine, self._now):
                record.release.tried_as_heard_at = self._now
                self._call_through(record, record.release, [Route(engine, fresh=True)], CALL_S)
                self._plan(record)

    def _stranded_records(self, most: int, heard_before: float) -> list[Reservation]:
        """Those that have waited longest, without those tried since then because an engine was heard; they come last next time."""
        found = []
        for request in list(islice(self._stranded, 2 * most)):
            del self._stranded[request]
            record = self._records.get(request)
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


class ReleaseOwner(Protocol):
    """Who keeps the records that releases are of."""

    def plan(self, record: Reservation) -> None:
        """Sets a record's timer anew, or ends it."""

    def confirmed(self, record: Reservation, asked_at: float) -> None:
        """An engine has confirmed a release that was asked for then."""

    def heard(self, engine: str) -> None:
        """Bytes came from an engine."""


class Releases:
    """All releases of one node.

    Args:
        calls: carries them out.
        routes: remembers which engines answer.
        records: of all requests.
        owner: of the records.
        let_go_s: the settings' time within which what is held has to be released.
        log: of the node.
    """

    def __init__(
        self,
        calls: ReservationCalls,
        routes: ReleaseRoutes,
        records: dict[str, Reservation],
        owner: ReleaseOwner,
        let_go_s: float,
        log: Callable[..., None],
    ) -> None:
        self._calls, self._routes, self._owner, self._log = calls, routes, owner, log
        self._let_go_us = microseconds(let_go_s)
        self.search = WaySearch(calls, routes, records, self._call_through, owner.plan)
        self.overdue = 0  # releases that no engine confirmed in all their tries of the first seconds
        self._closed = False

    @property
    def _now(self) -> float:
        return self._calls.reactor.seconds()

    @staticmethod
    def drop(record: Reservation) -> None:
        """A release is not needed any more."""
        if record.release is not None:
            record.release.call_off()
            record.release = None

    def close(self) -> None:
        """Nothing is tried any more."""
        self._closed = True
        self.search.close()

    def ask(self, record: Reservation, engine: str, late: bool = False) -> None:
        """Releases all that a request holds anywhere, first through that engine."""
        if record.release is None:
            record.release = ReleaseProgress(engine, late, self._now)
        else:
            record.release.ask_again(engine, late, self._now)
        self.search.discard(record.request)
        self.try_again(record)

    def try_again(self, record: Reservation) -> None:
        """The next try of a release is due."""
        release, now = record.release, self._now
        release.next_at = now + release.pause_s
        if release.tries and record.is_awaited:
            return  # what is waited for must stay, and its time begins again when that attempt ends
        release.tries += 1
        if release.tries > OVERDUE_TRIES and not release.overdue:
            self._note_overdue(record)
        if release.tries > URGENT_TRIES and record.request in self.search:
            return  # it has its turn among those that find no way
        listed, proven = self._calls.listed, self._calls.proven()
        if release.tries == 1:
            routes = self._routes.first(release.engine, release.late, proven, listed, now)
        else:
            routes = self._routes.again(release.tries, release.tried, proven, listed, now, release.local_trouble, release.late)
        self._call_through(record, release, routes)

    def _call_through(self, record: Reservation, release: ReleaseProgress, routes: list[Route], patience_s: float = CALL_S) -> None:
        for route in routes:
            self._call(record, release, route, patience_s)
            if record.release is not release:
                return  # confirmed
        if not release.calls or release.tries >= STRANDED_TRIES:
            self.search.add(record)

    def _call(self, record: Reservation, release: ReleaseProgress, route: Route, patience_s: float = CALL_S) -> None:
        if not route.fresh and not self._calls.has_kept(route.engine):
            route = Route(route.engine, fresh=True)
            if release.tries > 1 and not self._routes.takes_more(route.engine, self._now):
                return
        asked_for, asked_at, tries = release.asked_for, self._now, release.tries
        if route.fresh:
            release.tried.add(self._calls.address_of(route.engine))
        release.called += 1
        release.called_at = asked_at
        number, ended = release.called, False
        self._routes.asked(route, asked_at)

        def done(end: CallEnd) -> None:
            nonlocal ended
            ended = True
            release.calls.pop(number, None)
            self._routes.over(route)
            if record.release is not release:
                return self.note_end(record.request, route, end, asked_at)
            release.local_trouble = release.local_trouble or end is CallEnd.LOCAL_TROUBLE
            is_last = end is CallEnd.CONFIRMED and release.asked_for == asked_for
            if is_last:
                self.search.discard(record.request)
            self.note_end(record.request, route, end, asked_at)
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

        call_off = self._calls.release_at(route, record.request, patience_s, done)
        if ended:
            return

        def ends() -> None:
            self._routes.over(route)
            call_off()

        release.calls[number] = ends

    def call_once(self, request: str, route: Route) -> None:
        """One call that is not tried again."""
        asked_at = self._now
        self._calls.release_at(route, request, CALL_S, lambda end: self.note_end(request, route, end, asked_at))

    def note_end(self, request: str, route: Route, end: CallEnd, asked_at: float) -> None:
        """A call has ended: what it shows of its engine is remembered."""
        if end is not CallEnd.CONFIRMED:
            how = "new" if route.fresh else "kept"
            reason = f"{end.name.lower()} after {1000 * (self._now - asked_at):.0f} ms over a {how} connection"
            self._log("release call failed", level="debug", seq=request, engine=route.engine, reason=reason)
        if end is CallEnd.CONFIRMED:
            self._owner.heard(route.engine)
        elif end is CallEnd.UNREACHED and route.fresh:  # a kept connection may have fallen silent by itself
            self._routes.failed(route.engine, asked_at, self._now)

    def _retry_soon(self, record: Reservation, release: ReleaseProgress, route: Route) -> None:
        """A connect that failed at once may come up at the next try; the machine is there, or this system is in trouble."""
        release.quick_retries += 1

        def retry() -> None:
            release.calls.pop(number, None)
            if record.release is release and not self._closed:
                self._call(record, release, route)
                self._owner.plan(record)

        release.called += 1
        number = release.called
        timer = self._calls.reactor.callLater(AFTER_FAILURE_S, retry)
        release.calls[number] = lambda: timer.active() and timer.cancel()

    def _all_failed(self, record: Reservation, release: ReleaseProgress) -> None:
        """No call is under way any more: while the slack lasts the next try doesn't wait for its pause."""
        self.search.add(record)
        if 0 < release.tries < URGENT_TRIES and not release.local_trouble:
            release.next_at = min(release.next_at, self._now + AFTER_FAILURE_S)
            self._owner.plan(record)

    def _confirmed(self, record: Reservation, engine: str, asked_at: float, number: int) -> None:
        self._calls.invariants.released(record.request, microseconds(asked_at), self._let_go_us)
        self._log("state released", level="debug", seq=record.request, engine=engine, reason=f"try {number}")
        self.drop(record)
        self._owner.confirmed(record, asked_at)

    def _note_overdue(self, record: Reservation) -> None:
        """It is tried on, less often, and at once when an engine is heard."""
        record.release.overdue = True
        self.overdue += 1
        self.search.add(record)
        self._calls.invariants.state_gone(record.request, microseconds(self._now), self._let_go_us)
        self._log("letting go was not delivered", level="warning", seq=record.request, engine=record.release.engine)
