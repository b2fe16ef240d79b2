"""A release whose engines are cut off finds the one that can be reached, in time: on a simulated clock, for each engine as that one."""

from __future__ import annotations

from random import Random

import pytest

from aniserudder.core.ports import CallEnd
from aniserudder.decisions.release_routes import Route
from reservation_stand import CONNECT_S, ReservationStand, Sent

ALLOWED_S = 0.65  # 0.3 of the settings, 0.3 of slack, 0.05 by which each limit is longer
TICK_S = 0.005


class CutOff(ReservationStand):
    """Engines that were all heard, in an order drawn by a seed, before the node was cut off from all addresses but one."""

    def __init__(self, addresses: int, copies: int, seed: int) -> None:
        self.chance = Random(seed)
        engines = [f"e{number}~{copy}" for number in range(addresses) for copy in range(copies)]
        super().__init__(*engines)
        self.used_last = ""
        heard = list(engines)
        self.chance.shuffle(heard)
        for engine in heard:
            self.reactor.advance(0.001)
            self.tracker.heard(engine)
            self.used_last = engine
        self.stays = ""  # the address in reach

    def address_of(self, engine: str) -> str:
        return engine.partition("~")[0]

    def proven(self) -> str:
        return self.used_last

    def release_at(self, route: Route, request: str, patience_s: float, done):
        if self.address_of(route.engine) == self.stays:
            self.answer(route.engine, request, done)
            return lambda: None
        call = self.reactor.callLater(min(CONNECT_S, patience_s) if route.fresh else patience_s, done, CallEnd.UNREACHED)
        return lambda: call.active() and call.cancel()

    def released_after(self, request: str, fetch_is_out: bool) -> float:
        """Seconds from a read's end, just before the cut, to the release of its state."""
        reader = self.chance.choice(list(self.listed))
        self.tracker.heard(reader)
        self.tracker.read_ended(request, reader, 0.0)
        held_at = self.reactor.seconds()
        if fetch_is_out:
            self.tracker.sent(request, Sent(fetches_state=True, arrived=False))
        while not self.times(request) and self.reactor.seconds() - held_at < 10.0:
            self.reactor.advance(TICK_S)
        return (self.times(request) or [float("inf")])[0] - held_at


@pytest.mark.parametrize("fetch_is_out", (False, True))
@pytest.mark.parametrize(("addresses", "copies"), ((7, 1), (13, 1), (30, 1), (7, 30), (13, 16)))
def test_a_release_finds_the_one_address_in_reach_in_time(addresses, copies, fetch_is_out):
    """In CI, 1.4 s with seven engines: of the tries in the slack some went to engines that had been asked already. Found by the soak, seeds
    91017 and 94002, 4.0 and 2.5 s: of 210 ids at seven addresses it was the thirteenth that answered."""
    late = {}
    for number in range(addresses):
        for seed in range(3):
            there = CutOff(addresses, copies, seed)
            there.stays = f"e{number}"
            took = there.released_after("a1", fetch_is_out)
            if took > ALLOWED_S:
                late[number, seed] = round(took, 2)
    assert not late


def test_many_releases_that_find_no_way_share_one_search():
    """Each release asks engines that no other is asking: with forty of them no more calls are under way than are set aside for them."""
    there = CutOff(60, 1, 1)
    there.stays, under_way, most = "none", 0, 0
    release_at = there.release_at

    def counted(route, request, patience_s, done):
        nonlocal under_way, most
        under_way += route.fresh
        most = max(most, under_way)
        ended = []

        def over() -> None:
            nonlocal under_way
            if not ended:
                ended.append(True)
                under_way -= route.fresh

        call_off = release_at(route, request, patience_s, lambda end: (over(), done(end)))
        return lambda: (over(), call_off())

    there.release_at = counted
    for number in range(40):
        there.tracker.read_ended(f"a{number}", f"e{number}~0", 0.0)
    for _ in range(400):
        there.reactor.advance(TICK_S)
    there.stays = "e47"
    back_at = there.reactor.seconds()
    for _ in range(300):
        there.reactor.advance(TICK_S)
    assert most <= 56
    assert not there.tracker.records
    assert max(there.times(f"a{number}")[0] for number in range(40)) - back_at < ALLOWED_S
