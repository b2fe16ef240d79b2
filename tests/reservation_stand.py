"""Helper of the tests of reservations: a tracker on a simulated clock, with engines that answer, stand still or are cut off."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet.task import Clock

from aniserudder.core.invariants import InvariantMonitor
from aniserudder.decisions.release_routes import Route
from aniserudder.core.ports import CallEnd
from aniserudder.core.reservation_tracker import ReservationTracker

STEP_S = 0.05
CONNECT_S = 0.25


@dataclass(frozen=True)
class Call:
    """A release that reached an engine."""

    at: float
    engine: str
    request: str


@dataclass
class Sent:
    """An attempt that is out."""

    fetches_state: bool = False
    arrived: bool = True
    passed: int = 0


class ReservationStand:
    """Engines ``r1``, which may stand still, and ``w1``, which is well; a connection that fails does so in its time."""

    def __init__(self, *engines: str) -> None:
        self.reactor, self.listed = Clock(), dict.fromkeys(engines or ("r1", "w1"))
        self.calls: list[Call] = []
        self.tried: list[str] = []
        self.still: set[str] = set()  # their calls wait until they run again
        self.cut_off: set[str] = set()  # their connections do not come up
        self.put_off: list[Callable[[], None]] = []
        self.order: list[str] = []
        self.invariants = InvariantMonitor(lambda event, **fields: None)
        self.tracker = ReservationTracker(self, 0.3, lambda event, **fields: None)

    def address_of(self, engine: str) -> str:
        return engine

    def proven(self) -> str:
        return "w1" if "w1" in self.listed and "w1" not in self.cut_off | self.still else ""

    def has_kept(self, engine: str) -> bool:
        return True

    def release_at(self, route: Route, request: str, patience_s: float, done: Callable[[CallEnd], None]) -> Callable[[], None]:
        self.tried.append(route.engine)
        self.order.append("release")
        is_still, is_cut_off = route.engine in self.still, route.engine in self.cut_off
        if not is_still and not is_cut_off:
            self.answer(route.engine, request, done)
            return lambda: None
        over = self.reactor.callLater(CONNECT_S if is_cut_off else patience_s, done, CallEnd.UNREACHED)

        def call_off() -> None:
            if over.active():
                over.cancel()

        def runs_again() -> None:
            if over.active():
                over.cancel()
                self.answer(route.engine, request, done)

        if is_still:
            self.put_off.append(runs_again)
        return call_off

    def answer(self, engine: str, request: str, done: Callable[[CallEnd], None]) -> None:
        self.calls.append(Call(self.reactor.seconds(), engine, request))
        done(CallEnd.CONFIRMED)

    def go_on(self) -> None:
        """Engines that stood still run again."""
        self.still.clear()
        put_off, self.put_off = self.put_off, []
        for runs_again in put_off:
            runs_again()

    def fetch_has_arrived(self, request: str) -> bool:
        record = self.tracker.records[request]
        return record.out is not None and record.out.arrived

    def end_sending(self, request: str) -> None:
        self.order.append("end of sending")

    def end_unproven(self, request: str) -> None:
        self.order.append("end of the attempt")

    def sends_read(self, request: str = "a1") -> None:
        self.tracker.sent(request, Sent())

    def sends_fetch(self, request: str = "a1", arrived: bool = True) -> Sent:
        attempt = Sent(fetches_state=True, arrived=arrived)
        self.tracker.sent(request, attempt)
        return attempt

    def gives_up_read(self, request: str = "a1", engine: str = "r1", told_s: float = 1.0, tokens: int = 0) -> None:
        self.sends_read(request)
        self.tracker.given_up(request, engine, True, told_s, self.reactor.seconds() + told_s, True, tokens)

    def gives_up_fetch(self, request: str = "a1", engine: str = "w1") -> None:
        """A read has left its state, and the attempt that fetches it is given up."""
        self.tracker.read_ended(request, "r1", 0.0)
        self.sends_fetch(request)
        self.tracker.given_up(request, engine, False, 0.0, self.reactor.seconds(), True)

    def run(self, seconds: float) -> None:
        self.reactor.pump([STEP_S] * round(seconds / STEP_S))

    def times(self, request: str = "a1") -> list[float]:
        """When releases of a request reached an engine."""
        return [call.at for call in self.calls if call.request == request]

    def longest_gap(self, begin: float, end: float, request: str = "a1") -> float:
        """Of the time between releases of a request in a stretch."""
        times = [begin, *(at for at in self.times(request) if begin < at < end), end]
        return max(later - earlier for earlier, later in zip(times, times[1:]))
