"""Through which engines a release goes. Any engine may confirm it, so the way that is likeliest to be open is taken, and then others.

What is known of an engine is when it was heard last, when a call to it failed, and since when a call waits for its answer. Ids that are
listed at one address are one engine here: a call to any of them shows the same.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass
from enum import IntEnum
from itertools import islice

REMEMBERED_MOST = 512  # engines that answered, and as many that failed; the one unheard for longest is forgotten first
ANSWERING_MOST = 32  # of them looked at for one release, the ones heard last
FAILED_MOST = 8  # and of those that failed, the ones that did longest ago
FAILED_FOR_S = 2.0  # behind a failed call an engine is asked after all others
DOUBTED_AFTER_S = 0.05  # an engine that has not answered a call for so long is passed over while others do
URGENT_ENGINES = (1, 2, 3, 2)  # by try: engines asked while the slack lasts
UNTRIED_ENGINES = (0, 3, 8, 20)  # and by try, how many of them at least that this release was not tried at: one of few may be in reach
LATE_UNTRIED_ENGINES = (0, 6, 20, 20)  # of a release that began late in the slack
SEARCH_ENGINES = 8  # asked at a time behind the slack, while no engine answers
SEARCH_AGAIN_S = 0.5  # between such calls to one engine, whichever release they are for
LATE_FIRST_ENGINES = 2  # asked by a first try that begins late in the slack
UNDER_WAY_MOST = 4  # calls at a time to an engine that answers: the others show sooner who else does
HERE_MOST = 8  # and to one that was heard just now
UNANSWERED_MOST = 3  # and to one that does not
ALL_MOST = 40  # calls at a time to all engines, but to those heard just now: others need the connections
UNANSWERED_ALL_MOST = 28  # beyond which engines that do not answer are asked no more
HERE_ALL_MOST = 56  # calls at a time to all engines, those heard just now among them
HEARD_NOW_S = 0.1  # an engine heard within this time answers at once
JUST_HEARD_S = 0.5  # an engine that was heard within this time is surely in reach
TROUBLE_S = 1.0  # behind a failed call: a first try does not rely on one engine
UNKNOWN_MOST = 16  # engines looked at of which nothing is known


class Standing(IntEnum):
    """How likely an engine is to take a call, the likeliest first."""

    ANSWERS = 0
    UNKNOWN = 1
    DOUBTED = 2
    FAILED = 3


@dataclass(slots=True)
class EngineContact:
    """One address; seconds of the injected clock."""

    engine: str  # the id that was heard or asked last
    heard_at: float = -math.inf
    failed_at: float = -math.inf
    asked_at: float = math.inf  # the earliest call over a new connection that was not answered yet
    asked_kept_at: float = math.inf  # and over a kept one
    under_way: int = 0  # calls over new connections whose end is not known yet
    last_asked_at: float = -math.inf

    def standing(self, now: float) -> Standing:
        """What it shows at that time."""
        if self.failed_at > self.heard_at and now - self.failed_at < FAILED_FOR_S:
            return Standing.FAILED
        if now - self.asked_at > DOUBTED_AFTER_S:
            return Standing.DOUBTED
        return Standing.ANSWERS if self.heard_at > -math.inf else Standing.UNKNOWN


@dataclass(slots=True, frozen=True)
class Route:
    """One way of a release; ``fresh``: over a new connection, as kept ones may have fallen silent."""

    engine: str
    fresh: bool = False


class ReleaseRoutes:
    """Remembers which engines answer, and chooses among them.

    Args:
        address_of: where an engine listens.
    """

    def __init__(self, address_of: Callable[[str], str] = str) -> None:
        self._address_of = address_of
        # By address: engines that did not fail since they were heard, the one heard last at the end; the others, the one that failed last at the end.
        self._contacts: dict[str, EngineContact] = {}
        self._failed: dict[str, EngineContact] = {}
        self._failed_at = -math.inf  # the last failure of any
        self._under_way = 0  # calls over new connections whose end is not known yet

    def heard(self, engine: str, now: float) -> None:
        """Bytes came from an engine."""
        address = self._address_of(engine)
        contact = self._contacts.pop(address, None) or self._failed.pop(address, None) or EngineContact(engine)
        contact.engine, contact.heard_at = engine, now
        contact.asked_at = contact.asked_kept_at = math.inf
        self._remember(self._contacts, address, contact)

    def asked(self, route: Route, now: float) -> None:
        """A call is on its way to an engine. Whether a kept connection works says nothing of new ones."""
        contact = self._known(route.engine)
        if contact is None:
            contact = EngineContact(route.engine)
            self._remember(self._contacts, self._address_of(route.engine), contact)
        contact.engine, contact.last_asked_at = route.engine, now
        if route.fresh:
            contact.asked_at = min(contact.asked_at, now)
            contact.under_way += 1
            self._under_way += 1
        else:
            contact.asked_kept_at = min(contact.asked_kept_at, now)

    def over(self, route: Route) -> None:
        """A call that was asked for has ended, however it did."""
        if not route.fresh:
            return
        self._under_way -= 1
        contact = self._known(route.engine)
        if contact is not None and contact.under_way:
            contact.under_way -= 1

    def failed(self, engine: str, asked_at: float, now: float) -> None:
        """No connection to an engine came up, or a call over a new one was not answered in its time. One that began before the engine was
        heard last tells nothing new."""
        address = self._address_of(engine)
        contact = self._at(address) or EngineContact(engine)
        self._failed_at = now
        if contact.heard_at <= asked_at:
            contact.failed_at = now
            self._contacts.pop(address, None)
            self._failed.pop(address, None)
            self._remember(self._failed, address, contact)

    def _at(self, address: str) -> EngineContact | None:
        return self._contacts.get(address) or self._failed.get(address)

    def _known(self, engine: str) -> EngineContact | None:
        return self._at(self._address_of(engine))

    @staticmethod
    def _remember(contacts: dict[str, EngineContact], address: str, contact: EngineContact) -> None:
        contacts[address] = contact
        if len(contacts) > REMEMBERED_MOST:
            del contacts[next(iter(contacts))]

    def standing(self, engine: str, now: float) -> Standing:
        """What is known of one engine."""
        return self._contact(engine).standing(now)

    def keeps_working(self, engine: str, now: float) -> bool:
        """Whether nothing shows that an engine's kept connections have fallen silent."""
        contact = self._contact(engine)
        return contact.standing(now) <= Standing.UNKNOWN and now - contact.asked_kept_at <= DOUBTED_AFTER_S

    def first(self, holder: str, late: bool, proven: str, listed: Collection[str], now: float) -> list[Route]:
        """The first try: where the state is held, unless that engine is known not to answer.

        Args:
            holder: engine that holds the state; empty: any.
            late: whether little of the slack is left.
            proven: engine whose kept connection was used last; empty: none.
            listed: all engines that may be asked.
            now: seconds of the injected clock.
        """
        likely = holder in listed and self.keeps_working(holder, now) and self.takes_more(holder, now)
        routes = [Route(holder)] if likely else []
        in_trouble = now - self._failed_at < TROUBLE_S
        wanted = LATE_FIRST_ENGINES if late or in_trouble or not likely else URGENT_ENGINES[0]
        return self._filled(routes, wanted, proven, (), listed, now)

    def again(
        self,
        number: int,
        tried: Collection[str],
        proven: str,
        listed: Collection[str],
        now: float,
        local_trouble: bool = False,
        late: bool = False,
    ) -> list[Route]:
        """A later try: the ones before were lost, into silent connections or for want of new ones.

        Args:
            number: of this try, from 2 on.
            tried: addresses that this release has gone to over new connections.
            proven: engine whose kept connection was used last; empty: none.
            listed: all engines that may be asked.
            now: seconds of the injected clock.
            local_trouble: whether this system could make no connection for an earlier try.
            late: whether the first try began late in the slack.
        """
        is_urgent = number <= len(URGENT_ENGINES)
        wanted = URGENT_ENGINES[number - 1] if is_urgent else 1
        # Behind the slack by turns over a kept and a new connection, whatever the engines have shown: for long, only one kind may work.
        takes_kept = local_trouble if is_urgent else number % 2 == 0
        routes = [Route(proven)] if takes_kept and proven in listed and self.takes_more(proven, now) else []
        routes = self._filled(routes, wanted, proven if is_urgent else "", tried, listed, now)
        if is_urgent:
            routes += self._more_untried(routes, (LATE_UNTRIED_ENGINES if late else UNTRIED_ENGINES)[number - 1], tried, listed, now)
        return routes

    def _more_untried(self, routes: list[Route], wanted: int, tried: Collection[str], listed: Collection[str], now: float) -> list[Route]:
        """What is missing of so many engines that a release was not tried at, beside those of its routes."""
        new = sum(route.fresh and self._address_of(route.engine) not in tried for route in routes)
        without = {*tried, *(self._address_of(route.engine) for route in routes)}
        return self._search(wanted - new, Standing.DOUBTED, without, math.inf, listed, now)

    def search(self, tried: Collection[str], listed: Collection[str], now: float) -> list[Route]:
        """Some engines that a release was not tried at, and that no other was tried at of late.

        Args:
            tried: addresses that the release has gone to over new connections.
            listed: all engines that may be asked.
            now: seconds of the injected clock.
        """
        return self._search(SEARCH_ENGINES, Standing.FAILED, tried, now - SEARCH_AGAIN_S, listed, now)

    def asked_longest_ago(self, listed: Collection[str], now: float) -> list[Route]:
        """One engine, the one that was asked longest ago."""
        known = [contact.engine for contacts in (self._failed, self._contacts) for contact in contacts.values() if contact.engine in listed]
        engines = [engine for engine in (*known, *self._unknown(listed)) if self.takes_more(engine, now)]
        if not engines:
            return []
        return [Route(min(engines, key=lambda engine: self._contact(engine).last_asked_at), fresh=True)]

    def _search(
        self, wanted: int, at_worst: Standing, without: Collection[str], asked_before: float, listed: Collection[str], now: float
    ) -> list[Route]:
        """New connections to so many engines: those heard last first, those that failed last at the end.

        Args:
            wanted: engines at most.
            at_worst: engines that stand worse are left out.
            without: addresses that are left out.
            asked_before: engines that were asked later are left out; seconds of the injected clock.
            listed: all engines that may be asked.
            now: seconds of the injected clock.
        """
        routes: list[Route] = []
        for address, contact in self._by_likelihood(listed):
            if len(routes) >= wanted or self._under_way + len(routes) >= ALL_MOST:
                break
            if address in without or contact.last_asked_at >= asked_before or contact.standing(now) > at_worst:
                continue
            if self._takes_more(contact, now):
                routes.append(Route(contact.engine, fresh=True))
        return routes

    def _by_likelihood(self, listed: Collection[str]) -> Iterator[tuple[str, EngineContact]]:
        yield from ((address, contact) for address, contact in reversed(self._contacts.items()) if contact.engine in listed)
        yield from ((self._address_of(engine), EngineContact(engine)) for engine in self._unknown(listed))
        yield from ((address, contact) for address, contact in self._failed.items() if contact.engine in listed)

    def _unknown(self, listed: Collection[str]) -> list[str]:
        """Some engines of which nothing is known, one of each address."""
        found: dict[str, str] = {}
        for engine in listed:
            address = self._address_of(engine)
            contact = self._at(address)
            if address not in found and (contact is None or contact.engine not in listed):
                found[address] = engine
                if len(found) >= UNKNOWN_MOST:
                    break
        return list(found.values())

    def takes_more(self, engine: str, now: float) -> bool:
        """Whether another call to an engine is of use."""
        return self._takes_more(self._contact(engine), now)

    def _takes_more(self, contact: EngineContact, now: float) -> bool:
        if contact.standing(now) > Standing.UNKNOWN:
            return contact.under_way < UNANSWERED_MOST and self._under_way < UNANSWERED_ALL_MOST
        is_here = now - contact.heard_at < HEARD_NOW_S
        most = HERE_MOST if is_here else UNDER_WAY_MOST
        return contact.under_way < most and self._under_way < (HERE_ALL_MOST if is_here else ALL_MOST)

    def best(self, listed: Collection[str], now: float) -> str:
        """The engine that is likeliest to take a call; empty: there is none."""
        return next(iter(self._ranked((), listed, now)), "")

    def _filled(
        self, routes: list[Route], wanted: int, proven: str, tried: Collection[str], listed: Collection[str], now: float
    ) -> list[Route]:
        """Routes up to the wanted number of engines: one that was just heard, a kept connection that was used last, then by likelihood."""
        if len(routes) >= wanted:
            return routes
        chosen = {self._address_of(route.engine) for route in routes}
        ranked = [engine for engine in self._ranked(tried, listed, now) if self._address_of(engine) not in chosen]
        if ranked and now - self._contact(ranked[0]).heard_at < JUST_HEARD_S:
            routes.append(Route(ranked[0], fresh=bool(tried) or not self.keeps_working(ranked[0], now)))
            chosen.add(self._address_of(ranked[0]))
        if len(routes) < wanted and proven in listed and self._address_of(proven) not in chosen and self.keeps_working(proven, now):
            routes.append(Route(proven))
            chosen.add(self._address_of(proven))
        for engine in ranked:
            if len(routes) >= wanted:
                break
            if self._address_of(engine) not in chosen:
                routes.append(Route(engine, fresh=True))
        return routes

    def _contact(self, engine: str) -> EngineContact:
        return self._known(engine) or EngineContact(engine)

    def _ranked(self, tried: Collection[str], listed: Collection[str], now: float) -> list[str]:
        """Engines that take another call. Those that failed of late come last; else those that were not tried yet, by standing, then the one
        heard last first."""
        ranks = [(False, self._address_of(engine) in tried, Standing.UNKNOWN, 0.0, engine) for engine in self._unknown(listed)]
        looked_at = (*islice(reversed(self._contacts.items()), ANSWERING_MOST), *islice(self._failed.items(), FAILED_MOST))
        for address, contact in looked_at:
            if contact.engine not in listed or not self._takes_more(contact, now):
                continue
            standing = contact.standing(now)
            has_failed = standing is Standing.FAILED
            ranks.append((has_failed, address in tried, standing, contact.failed_at if has_failed else -contact.heard_at, contact.engine))
        ranks.sort()
        return [rank[-1] for rank in ranks]
