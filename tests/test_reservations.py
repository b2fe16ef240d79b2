"""The owner of what requests hold: orders of events drawn by a seed, on a simulated clock, before engines that hold states for real."""
from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

import pytest
from twisted.internet.interfaces import IDelayedCall

from aniserudder.core.late_releases import FOLLOW_S, TURN_S
from aniserudder.core.reservation import URGENT_TRIES
from aniserudder.core.ports import CallEnd
from aniserudder.decisions.release_routes import ReleaseRoutes, Route
from reservation_stand import CONNECT_S, ReservationStand, Sent

ENGINES = ("r1", "r2", "r3", "w1", "w2", "w3", "w4")
ALLOWED_S = 0.65      # 0.3 of the settings, 0.3 of slack, 0.05 by which each limit is longer
STEP_S = 0.01
FAULTS_S, QUIET_S = 8.0, 14.0
KEPT = 4              # connections to an engine
FAR_S = 0.002         # to an engine and back
WAYS_SEED = 1_000_000


@dataclass
class HeldState:
    """A state at an engine; ``owed_s`` is the time in which it could have been released with nothing out for it."""
    owed_s: float = 0.0


@dataclass
class World(ReservationStand):
    """Engines whose reads end, late or never, and whose states any running engine in reach releases."""
    seed: int = 0
    chance: Random = field(default_factory=Random)
    held: dict[str, HeldState] = field(default_factory=dict)
    out: dict[str, Sent] = field(default_factory=dict)
    released: int = 0
    worst_s: float = 0.0

    def __post_init__(self) -> None:
        super().__init__(*ENGINES)
        self.chance, self.ways = Random(self.seed), Random(self.seed + WAYS_SEED)  # how often a way is asked for changes no story
        self.kept_silent: set[str] = set()  # engines whose kept connections have fallen silent, while new ones come up
        self.kept_used: dict[str, int] = {}  # of these, by engine: a connection that is used once is not kept any more

    def away(self, engine: str) -> bool:
        return engine in self.cut_off or engine in self.still

    def proven(self) -> str:
        return self.ways.choice([*filter(self.has_kept, ENGINES), ""])

    def has_kept(self, engine: str) -> bool:
        return engine not in self.kept_silent or self.kept_used.get(engine, 0) < KEPT

    def silent(self, route: Route) -> bool:
        if route.fresh or route.engine not in self.kept_silent or not self.has_kept(route.engine):
            return False
        self.kept_used[route.engine] = self.kept_used.get(route.engine, 0) + 1
        return True

    def release_at(self, route: Route, request: str, patience_s: float, done):
        if route.engine in self.cut_off and route.fresh:
            call = self.reactor.callLater(CONNECT_S, done, CallEnd.UNREACHED)
        elif route.engine in self.cut_off or self.silent(route):
            call = self.reactor.callLater(patience_s, done, CallEnd.UNREACHED)
        elif route.engine in self.still:
            return self._waits(route.engine, request, patience_s, done)
        else:
            call = self.reactor.callLater(FAR_S, self._takes, request, done)
        return lambda: call.active() and call.cancel()

    def _waits(self, engine: str, request: str, patience_s: float, done):
        """A call lies in the machine of an engine that stands still, and is answered when it runs again."""
        over = self.reactor.callLater(patience_s, done, CallEnd.UNREACHED)

        def look() -> None:
            if not over.active():
                return
            if engine in self.still:
                return self.reactor.callLater(STEP_S, look) and None
            over.cancel()
            self._takes(request, done)
        look()
        return lambda: over.active() and over.cancel()

    def _takes(self, request: str, done) -> None:
        if not (request in self.out and self.out[request].fetches_state and self.out[request].arrived):
            self._gone(request)
        done(CallEnd.CONFIRMED)

    def _gone(self, request: str) -> None:
        state = self.held.pop(request, None)
        if state is not None:
            self.released += 1

    def fetch_has_arrived(self, request: str) -> bool:
        return request in self.out and self.out[request].arrived

    def end_unproven(self, request: str) -> None:
        if request in self.out:
            self.out.pop(request)
            self.tracker.given_up(request, self.chance.choice(ENGINES), False, 0.0, self.reactor.seconds(), False)

    # One request's life, each step drawn.

    def begins(self, request: str) -> None:
        reader = self.chance.choice(ENGINES[:3])
        told_s = self.chance.uniform(0.3, 1.5)
        attempt = self.out[request] = Sent(arrived=not self.away(reader))
        self.tracker.sent(request, attempt)
        read_s = self.chance.uniform(0.02, 1.9)
        reading = self.reactor.callLater(read_s, self._read_ends, request, reader, attempt) if attempt.arrived else None
        self.reactor.callLater(self.chance.uniform(0.05, told_s), self._gives_up, request, reader, attempt, told_s, reading)

    def _read_ends(self, request: str, reader: str, attempt: Sent) -> None:
        if reader in self.still:
            return self.reactor.callLater(0.02, self._read_ends, request, reader, attempt) and None
        self.held.setdefault(request, HeldState())
        if self.out.get(request) is attempt and reader not in self.cut_off:
            self.out.pop(request)
            self.tracker.heard(reader)
            self.tracker.read_ended(request, reader, 0.0)
            self.reactor.callLater(0.0, self._fetches, request, 0)

    def _gives_up(self, request: str, reader: str, attempt: Sent, told_s: float, reading: IDelayedCall | None) -> None:
        if self.out.get(request) is not attempt:
            return
        self.out.pop(request)
        if reading is not None and reading.active() and self.chance.random() < 0.3 and not self.away(reader):
            reading.cancel()  # its engine has heard of the end
        self.tracker.given_up(request, reader, True, told_s, self.reactor.seconds() + told_s, attempt.arrived)

    def _fetches(self, request: str, tries: int) -> None:
        if not self.tracker.state_waits(request):
            return
        writer, way = self.chance.choice(ENGINES[3:]), self.chance.random()
        if way < 0.1:
            return  # the router does nothing more: its decision failed
        if way < 0.2:
            return self.tracker.let_go(request, "")
        if writer in self.cut_off:
            if tries < 3:
                self.reactor.callLater(CONNECT_S, self._fetches, request, tries + 1)
            return
        attempt = self.out[request] = Sent(fetches_state=True, arrived=writer not in self.kept_silent)
        self.tracker.sent(request, attempt)
        self.reactor.callLater(self.chance.uniform(0.01, 0.8), self._fetch_ends, request, writer, attempt, tries)

    def _fetch_ends(self, request: str, writer: str, attempt: Sent, tries: int) -> None:
        if self.out.get(request) is not attempt:
            return
        if not attempt.arrived or self.away(writer) or self.chance.random() < 0.3:
            self.out.pop(request)
            self.tracker.given_up(request, writer, False, 0.0, self.reactor.seconds(), attempt.arrived)
        elif self.chance.random() < 0.3:
            self.out.pop(request)
            self.tracker.ended(request, True)
        else:
            self.held.pop(request, None)
            attempt.passed = 1
            self.tracker.heard(writer)
            self.tracker.stream_began(request, self.reactor.seconds())
            self.reactor.callLater(self.chance.uniform(0.0, 0.5), self._stream_ends, request, attempt)
            return
        self.reactor.callLater(0.0, self._fetches, request, tries + 1)

    def _stream_ends(self, request: str, attempt: Sent) -> None:
        if self.out.get(request) is attempt:
            self.out.pop(request)
            self.tracker.ended(request, True)

    # Faults.

    def fault(self) -> None:
        lasts, stays = self.chance.uniform(0.5, 6.0), self.chance.choice(ENGINES)
        match self.chance.randrange(4):
            case 0:
                self._away(self.cut_off, set(ENGINES) - {stays}, lasts)
            case 1:
                self._away(self.cut_off, set(ENGINES), lasts)
            case 2:
                self._away(self.still, set(self.chance.sample(ENGINES, 3)), lasts)
            case _:
                self.kept_used.clear()
                self._away(self.kept_silent, set(self.chance.sample(ENGINES, 5)), lasts)

    def _away(self, kind: set[str], engines: set[str], lasts: float) -> None:
        engines = engines - kind
        kind |= engines
        self.reactor.callLater(lasts, kind.difference_update, engines)

    def step(self) -> None:
        self.reactor.advance(STEP_S)
        reached = any(not self.away(engine) for engine in ENGINES)
        for request, state in self.held.items():
            attempt = self.out.get(request)
            if attempt is not None and attempt.arrived:
                state.owed_s = 0.0
            elif reached:
                state.owed_s += STEP_S
            else:
                state.owed_s = min(state.owed_s, ALLOWED_S - 2 * CONNECT_S)  # behind the cut connects come up again
            self.worst_s = max(self.worst_s, state.owed_s)

    def all_is_over(self) -> bool:
        """Whether nothing is followed or held any more once no engine can work on with anything."""
        for _ in range(round(2 * FOLLOW_S / TURN_S)):
            if self.tracker.is_settled:
                break
            self.reactor.advance(TURN_S)
        return self.tracker.is_settled and not self.tracker.followed and not self.held

    def play(self) -> None:
        begins_at, fault_at, number = 0.0, 0.5, 0
        for _ in range(round((FAULTS_S + QUIET_S) / STEP_S)):
            now = self.reactor.seconds()
            if now >= begins_at and now < FAULTS_S:
                number += 1
                self.begins(f"q{number}")
                begins_at = now + self.chance.expovariate(20.0)
            if now >= fault_at and now < FAULTS_S:
                self.fault()
                fault_at = now + self.chance.uniform(0.5, 3.0)
            self.step()


@pytest.mark.parametrize("first", range(0, 60, 20))
def test_whatever_the_order_of_events_nothing_stays_held(first):
    worst = {}
    for seed in range(first, first + 20):
        world = World(seed=seed)
        world.play()
        assert not world.held and world.released, seed
        assert world.all_is_over(), (seed, world.tracker.records)
        worst[seed] = round(world.worst_s, 2)
    assert max(worst.values()) <= ALLOWED_S, worst


@pytest.mark.parametrize("seed", [175, 220, 458])
def test_a_backlog_of_releases_finds_the_one_engine_that_comes_into_reach(seed):
    """Behind a cut from all engines some states were released 0.71 to 0.96 s after the first engine was in reach again."""
    world = World(seed=seed)
    world.play()
    assert world.worst_s <= ALLOWED_S


def test_a_fetch_ends_before_its_state_is_released():
    """A release spares what an attempt waits for: one that overtook the end of the fetch freed nothing, and the next came 0.3 s later."""
    there = ReservationStand()
    there.tracker.read_ended("a1", "r1", 0.0)
    there.sends_fetch("a1", arrived=False)
    there.run(0.5)
    assert there.order[:3] == ["end of sending", "release", "end of the attempt"]


def test_what_comes_to_be_held_behind_a_release_that_found_no_way_has_all_its_tries():
    """Tries were counted for the request: a second read that was given up got one try and was put aside."""
    there = ReservationStand("r1", "r2", "w1")
    there.cut_off = {"r1", "r2", "w1"}
    there.gives_up_read()
    there.run(2.5)
    before = len(there.tried)
    there.gives_up_read(engine="r2")
    there.run(0.3)
    assert len(there.tried) - before >= URGENT_TRIES


def test_engines_that_answer_are_asked_first_and_those_that_failed_last():
    routes = ReleaseRoutes()
    for at, engine in enumerate(("a", "b", "c")):
        routes.heard(engine, float(at))
    routes.failed("c", 2.5, 3.0)
    routes.failed("b", 0.5, 3.0)  # it has answered since that call began
    listed = dict.fromkeys(("a", "b", "c", "d"))
    assert routes.first("c", False, "", listed, 3.1) == [Route("b", fresh=True), Route("a", fresh=True)]
    assert routes.first("a", False, "b", listed, 3.1) == [Route("a"), Route("b")]  # calls have just failed: not one engine alone
    assert routes.first("a", False, "b", listed, 9.0) == [Route("a")]
    routes.asked(Route("b", fresh=True), 3.0)
    assert [route.engine for route in routes.again(3, (), "", listed, 3.2)] == ["a", "d", "b"]
    assert routes.again(3, ("a", "d", "b"), "", listed, 3.2)[0].engine == "a"


def test_a_connect_that_fails_at_once_is_tried_again_while_others_are_under_way():
    """Found by the soak, seed 80007: of the one engine in reach most connects failed in 2 ms, and the next try waited for those to all others."""
    there = ReservationStand("r1", "r2", "w1")
    there.cut_off = {"r2", "w1"}
    fails, release_at = [True] * 4, there.release_at

    def fails_at_once(route, request, patience_s, done):
        if route.engine != "r1" or not fails:
            return release_at(route, request, patience_s, done)
        fails.pop()
        call = there.reactor.callLater(0.002, done, CallEnd.UNREACHED)
        return lambda: call.active() and call.cancel()
    there.release_at = fails_at_once
    there.has_kept = lambda engine: False
    there.tracker.let_go("a1", "r1")
    there.reactor.pump([0.002] * 100)
    assert there.calls and there.calls[0].at < 0.2


class AskedStand(ReservationStand):
    """Engines that answer no question until told; a fetch there is acknowledged and shows nothing by itself."""

    def __init__(self, *engines):
        super().__init__(*engines)
        self.questions, self.tracker.is_over = [], lambda request: request == "over"
        self.tracker.ended("over", True)
        self.tracker.sent("over", Sent())
        self.tracker.ended("over", True)

    def ask_whether_it_runs(self, route, ended_request, done):
        assert ended_request == "over"
        self.questions.append((self.reactor.seconds(), route.engine, done))
        return Unread()

    def fetches(self, request, engine="w1"):
        self.tracker.read_ended(request, "r1", 0.0)
        attempt = Asked()
        self.tracker.sent(request, attempt, engine)
        return attempt


class Unread:
    def read_now(self):
        return False


class Asked(Sent):
    """Arrived once its engine has shown that it runs."""

    def __init__(self):
        super().__init__(fetches_state=True, arrived=False)

    acknowledged = True

    def engine_runs(self):
        self.arrived = True


def test_one_question_serves_all_fetches_at_an_engine_and_its_answer_those_sent_before():
    there = AskedStand()
    early = [there.fetches(f"a{number}") for number in range(100)]
    there.run(0.2)
    assert len(there.questions) == 1 and not any(attempt.arrived for attempt in early)
    late = there.fetches("b1")
    there.questions[0][2](True)
    assert all(attempt.arrived for attempt in early) and not late.arrived
    there.run(0.3)
    assert "end of the attempt" not in there.order and len(there.questions) <= 4


def test_an_engine_that_does_not_answer_is_asked_at_a_bounded_rate_and_the_states_are_released():
    there = AskedStand()
    for number in range(100):
        there.fetches(f"a{number}")
    there.run(0.45)
    assert len(there.questions) <= 2 and all(there.times(f"a{number}") for number in range(100))
