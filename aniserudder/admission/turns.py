"""In which order requests are taken up, and for how long at a time; decides who is turned away unexamined while more come than can be.

To take up a request costs a decision, and whoever asks at full speed would leave the processor to nobody else. A turn of the event loop
spends a bounded processor time on it; the rest waits. Who has cost least of late goes first. While requests wait for long, one of a
connection that has cost as much as the others or more is refused without a decision, and its next one waits a moment; one that has waited
for too long is refused in any case.
"""
from __future__ import annotations

import heapq
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from twisted.internet.interfaces import IReactorTime

SLICE_S = 0.001        # processor time of a turn: more would hold up what other sockets have
FADES_S = 1.0          # in which what was spent counts half
WAITS_LONG_S = 0.03    # beyond which requests of costly connections are refused unexamined
WAITS_TOO_LONG_S = 0.4  # and all others, as those behind them would be late as well
RESTS_LEAST_S, RESTS_MOST_S = 0.25, 2.0  # a connection behind a request that was refused unexamined; each time twice as long
RESTS_PART = 0.5       # of the time that a request's client waits, which it may rest at most
COSTLY = 40.0          # by so many times what its connection has spent a request is put back
PUT_BACK_MOST_S = 0.5
ANSWERS_AS_ONE = 8     # refusals of requests that came at once cost as much as one more connection


@dataclass(slots=True, eq=False)
class Spender:
    """What taking up the requests of one connection has cost of late, in seconds of processor time."""

    spent: float = 0.0
    at: float = 0.0
    rests_until: float = 0.0
    rests: float = 0.0  # for how long it rested last; 0: it has been examined since

    def spent_of_late(self, now: float) -> float:
        """What it has spent, fading."""
        if self.spent:
            self.spent *= 0.5 ** ((now - self.at) / FADES_S)
            self.at = now
        return self.spent


@dataclass(slots=True, order=True)
class _Waiting:
    due: float
    number: int
    since: float = field(compare=False)
    spender: Spender = field(compare=False)
    ready_at: float = field(compare=False)
    take: Callable[[bool], None] = field(compare=False)


class TurnQueue:
    """Requests that wait to be taken up.

    Args:
        clock: for time.
        processor: seconds of processor time that the process has used.
    """

    def __init__(self, clock: IReactorTime, processor: Callable[[], float] = time.process_time) -> None:
        self._clock, self._processor = clock, processor
        self._waiting: list[_Waiting] = []
        self._number = 0
        self._left = SLICE_S     # processor time of this turn
        self._planned = False    # the next turn is
        self._all = Spender()    # what all together have spent
        self.refused = 0
        self.longest_wait_s = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    def submit(self, spender: Spender, take: Callable[[bool], None], patience_s: float = 0.0) -> None:
        """Has a request taken up: at once where nothing waits and the turn has time left.

        ``take`` is called once, with whether it may be examined; False: it has to be refused. ``patience_s`` is how long its client waits.
        """
        now = self._clock.seconds()
        ready_at = min(spender.rests_until, now + RESTS_PART * patience_s)
        if not self._waiting and self._left > 0 and ready_at <= now:
            return self._take(_Waiting(now, 0, now, spender, now, take), now)
        put_back = min(PUT_BACK_MOST_S, RESTS_PART * patience_s, COSTLY * spender.spent_of_late(now))
        self._number += 1
        heapq.heappush(self._waiting, _Waiting(max(now + put_back, ready_at), self._number, max(now, ready_at), spender, ready_at, take))
        self._plan()

    def _plan(self) -> None:
        if not self._planned:
            self._planned = True
            self._clock.callLater(0, self._turn)

    def _turn(self) -> None:
        self._planned, self._left = False, SLICE_S
        now = self._clock.seconds()
        while self._waiting and self._left > 0:
            if self._waiting[0].ready_at > now:
                break
            self._take(heapq.heappop(self._waiting), now)
        if self._waiting:
            self._plan_next(now)

    def _plan_next(self, now: float) -> None:
        """The next turn: at once, or when the first one has rested."""
        rests = self._waiting[0].ready_at - now
        if rests <= 0:
            self._plan()
        elif not self._planned:
            self._planned = True
            self._clock.callLater(min(rests, RESTS_LEAST_S), self._turn)

    def _take(self, waiting: _Waiting, now: float) -> None:
        spender, waited = waiting.spender, now - waiting.since
        self.longest_wait_s = max(self.longest_wait_s, waited)
        examined = waited < WAITS_LONG_S or waited < WAITS_TOO_LONG_S and not self._is_costly(spender, now)
        if examined:
            spender.rests = 0.0
        else:
            self.refused += 1
            spender.rests = min(RESTS_MOST_S, max(RESTS_LEAST_S, 2 * spender.rests))
            spender.rests_until = now + spender.rests
        began = self._processor()
        try:
            waiting.take(examined)
        finally:
            cost = self._processor() - began
            self._left -= cost
            for one in (spender, self._all):
                one.spent, one.at = one.spent_of_late(now) + cost, now
            if not self._planned:  # what was spent in this turn counts until the next one
                self._plan()

    def _is_costly(self, spender: Spender, now: float) -> bool:
        """Whether a connection has cost as much of late as those that wait have in the mean, or more."""
        spent = spender.spent_of_late(now)
        return spent > 0 and spent * (len(self._waiting) + 1) >= self._all.spent_of_late(now) / 2

    def line(self) -> str:
        """For the log; the longest wait begins anew."""
        said = f"{len(self._waiting)} requests wait, {1000 * self.longest_wait_s:.0f} ms at most, {self.refused} refused unexamined"
        self.longest_wait_s = 0.0
        return said


class RefusalPace:
    """How soon those are answered that sent what cannot be taken. Clients that come again at once would make of each answer a new
    connection: beyond a rate the answer waits, and its connection with it, unread.

    Args:
        clock: for time.
        rate: answers a second.
        burst: that go out at once.
    """

    def __init__(self, clock: IReactorTime, rate: float = 100.0, burst: int = 20) -> None:
        self._clock, self._rate, self._burst = clock, rate, burst
        self._next = 0.0
        self._stopped = False

    def stop(self) -> None:
        """The process is about to end: no answer waits any more."""
        self._stopped = True

    def delay(self, most_s: float, answers: int = 1) -> float:
        """Seconds that the next so many answers on one connection wait, so many at most."""
        if self._stopped:
            return 0.0
        now = self._clock.seconds()
        self._next = max(self._next, now) + (1 + answers // ANSWERS_AS_ONE) / self._rate
        delay = self._next - now - self._burst / self._rate
        if delay > most_s:
            self._next -= (1 + answers // ANSWERS_AS_ONE) / self._rate  # it goes out of turn
        return min(max(0.0, delay), max(0.0, most_s))
