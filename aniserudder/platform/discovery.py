"""Follows the engine list over the platform's discovery: locates the agent, watches it, and says whether the list may be sent on.

The last list stands while discovery is away or cannot be understood: an engine is dropped only when discovery says so. Whether it may be sent on
meanwhile is ``core/list_confirmation.py``'s.
"""
from __future__ import annotations

import math
import time
from collections.abc import Callable

from twisted.internet.interfaces import IDelayedCall, IReactorTCP

from ..admission.memory import MemoryBudget
from ..core.list_confirmation import TOLD_US, ListConfirmation
from ..core.router import Router
from ..core.source_silence import SourceSilence
from ..core.start_times import StartTimes
from ..decisions.interface import Availability, RosterRow
from ..wire.client import ClientConnection
from ..wire.connections import Connections
from .discovery_calls import Call, Calls, Problem
from .list_codec import News

LIST = "/registry/instances"
TOLD_S = TOLD_US / 1e6
HOLD_MS = 2_000       # that a watch waits for news; PROTOCOL allows 60,000
ANSWER_S = 0.8        # beyond the hold; the agent answers at once, or not at all
PATIENT_S, PATIENT_EVERY_S = TOLD_S, 1.0  # one try in so long waits for so long: the agent may be slow, and not gone
LONGEST_S = 30.0      # that one try at a time waits: an agent that is slower still has to be heard in the end
WATCH_SLOWER_S = 1.9  # that a watch of a slow agent is given beyond its hold before whole lists are asked for
BESIDE_S = 0.1        # that a watch's answer is waited for beyond its hold before another watch is opened beside it
WATCHES_MOST = 5      # at a time: each waits for its answer as long as a change in its hold is not overdue
SLOWER, QUICKER = 1.5, 0.8  # what is expected of the next answer: times what a slow one took; and how that is forgotten
TRIES_MOST = 15       # out at a time: each is a descriptor
TRIES_IN_GRACE = 4    # while nothing answers: so many tries in the time in which a drain has to be heeded


class Discovery:
    """Follows the list and tells router and connections of it (``discovery_calls.CallOwner``).

    A watch is always out that the agent may answer with a change: one whose hold is over and that was not answered is kept, and another is
    opened beside it, as the agent may be slow and what comes to be known while it answers is not in that answer. While nothing is answered
    at all the agent is being located: whole lists are asked for at a steady pace, each on a connection of its own, until one is answered.
    Nobody waits for a call that may have been lost: what the agent has counts as told at once when it is back, and drains have to be heeded
    in ``grace`` then. A try that was begun behind the one that is answered is kept where it is patient: it tells what came to be known since.

    Args:
        router: told of every change.
        connections: told where engines listen before the router hears of them.
        address: of the agent.
        grace: seconds in which a drain has to be heeded; 0: settings do not say.
        on_ready: called once, when the list may be sent on, or will be soon.
        on_leave: called when the list may be sent on, which it may not have been before.
        budget: of the process's memory.
        wall: seconds since 1970, the clock on which lists tell engines' starts.
    """

    def __init__(self, router: Router, connections: Connections, address: tuple[str, int], grace: float, reactor: IReactorTCP,
                 log: Callable[..., None], on_ready: Callable[[], None], on_leave: Callable[[], None], budget: MemoryBudget,
                 wall: Callable[[], float] = time.time) -> None:
        self.router, self.connections, self.address, self.reactor, self.log = router, connections, address, reactor, log
        self.on_ready: Callable[[], None] | None = on_ready
        self.on_leave = on_leave
        self.again = min(ANSWER_S, grace or ANSWER_S) / TRIES_IN_GRACE
        self.start_times = StartTimes(reactor.seconds, wall)
        self.confirmation = ListConfirmation(router.now())
        self.revision = -1
        self.listed: dict[str, str] = {}  # engine: address
        self.away = False
        self._tries = 0  # since an answer came
        self._answer_s = ANSWER_S  # that an answer is waited for beyond a watch's hold
        self._taken_at = -math.inf  # when the last list or change was taken
        self._calls = Calls(self, reactor, budget)
        self._resting: ClientConnection | None = None  # answered, and asked anew in the next turn
        self._located = False  # a try was answered since the last watch was opened
        self._next: IDelayedCall | None = None  # what is done next: a try, or a watch
        self._beside: IDelayedCall | None = None  # the next watch, if none is answered before
        self._silence = SourceSilence(reactor, self.confirmation, lambda: self._calls.unread, self._say_ready, self._is_down)
        self._stopped = False

    def start(self, known: News) -> None:
        """Takes up the list that the configuration names, which may be old, then asks for the present one."""
        self.take(known)
        self.confirmation.begins(self.router.now())
        self._locate()
        self._silence.watch()

    def stop(self) -> None:
        """Asks no more."""
        self._stopped = True
        self._drop()
        self._silence.stop()

    def move(self, address: tuple[str, int]) -> None:
        """Discovery is elsewhere from now on; what is known stands for a while, and the next call goes there."""
        self.address = address
        now = self.router.now()
        self.confirmation.moved(now)
        self.router.invariants.source_moved(now)
        self._drop()
        self._locate()
        self._silence.watch()

    def may_send(self, now: int) -> bool:
        """Whether the list at hand may be sent on; ``now`` in microseconds of the router's clock."""
        return self.confirmation.permits(now)

    def may_take(self, now: int) -> bool:
        """Whether a request may be taken up that will be sent on some time behind ``now``."""
        return self.confirmation.permits_taking(now)

    def take(self, news: News, asked_at: int | None = None) -> None:
        """Tells of a list, or of changes. ``asked_at``: when its source was asked for it, microseconds of the router's clock; None: it was not."""
        if news.complete:
            named = {m.id for m in news.members}
            gone = [id for id in self.listed if id not in named]
        else:
            gone = [m.id for m in news.members if m.row.availability is Availability.GONE]
        rows = []
        for m in news.members:
            if m.row.availability is not Availability.GONE:
                self.listed[m.id] = m.address
                self.connections.locate(m.id, m.address)
            row = m.row
            if m.since and m.row.availability is not Availability.GONE:
                row = RosterRow(row.engine, row.kind, row.zone, row.availability, self.start_times.resolve(m.id, m.since * 1000), row.size, row.rack)
            rows.append(row)
        self.revision = news.revision
        self.router.roster(rows, news.complete, asked_at)
        for id in gone:
            self.listed.pop(id, None)
            self.connections.forget(id)
            self.start_times.forget(id)

    # Locating the agent, and one watch after another.

    def _locate(self) -> None:
        """One more try, and the next one soon, whatever becomes of this one."""
        if self._stopped:
            return
        self._next = self.reactor.callLater(self.again, self._locate)
        self._tries += 1
        self._make_room()
        call = self._calls.new(self._patience(), 0.0, self.away)
        self._calls.connect(call, self.address, LIST)

    def _make_room(self) -> None:
        """Gives the oldest try of little patience up where many are out."""
        tries = self._calls.tries
        hasty = [call for call in tries if call.patience_s <= ANSWER_S]
        if len(tries) >= TRIES_MOST and hasty:
            self._calls.drop(hasty[0])

    def _patience(self) -> float:
        """Seconds that the next try waits for its answer."""
        patient = [call for call in self._calls.tries if call.patience_s > ANSWER_S]
        if not any(call.patience_s == LONGEST_S for call in patient):
            return LONGEST_S
        return PATIENT_S if self.reactor.seconds() - patient[-1].began >= PATIENT_EVERY_S else ANSWER_S

    def _watch(self) -> None:
        """Waits for what is newer than the list at hand, over the connection that has just been answered."""
        connection, self._resting = self._resting, None
        located, self._located = self._located, False
        if not connection.quiet:
            connection.drop()
            return self._locate()
        self._expect_answer()
        if not located and self._holds():
            return connection.drop()
        self._new_watch().ask(connection, self._watch_path)

    @property
    def _watch_path(self) -> str:
        return f"{LIST}?from={self.revision}&hold_ms={HOLD_MS}"

    def _new_watch(self) -> Call:
        hold_s = HOLD_MS / 1000
        self._cancel(self._beside)
        self._beside = self.reactor.callLater(hold_s + BESIDE_S, self._watch_beside)
        watches = self._calls.watches
        if len(watches) >= WATCHES_MOST:
            self._calls.drop(watches[0])
        return self._calls.new(hold_s + TOLD_S, hold_s, self.away)

    def _watch_beside(self) -> None:
        """The hold of the newest watch is over, and it was not answered."""
        if not self._stopped:
            self._calls.connect(self._new_watch(), self.address, self._watch_path)

    def _holds(self) -> bool:
        """Whether a watch is out whose hold is not over, and that was not opened while nothing was answered."""
        now = self.reactor.seconds()
        return any(now < call.began + call.hold_s and not call.beside_silence for call in self._calls.watches)

    def _expect_answer(self) -> None:
        """Begins to locate the agent if nothing is answered for as long as the next answer should take."""
        self._cancel(self._next)
        self._next = self.reactor.callLater(HOLD_MS / 1000 + self._answer_s, self._overdue)

    def _overdue(self) -> None:
        self._note_away(Problem.SILENCE.value)
        self._locate()

    # What becomes of calls.

    def asked(self, call: Call) -> None:
        self.confirmation.asked(self.router.now())

    def spoke(self, call: Call) -> None:
        self.confirmation.spoke(self.router.now())
        self._silence.watch()

    def crowded(self, call: Call) -> None:
        """Of several whole lists that come at once the one that has come furthest is read on."""
        coming = [other for other in self._calls.tries if other.received]
        furthest = max(coming, key=lambda other: other.received, default=call)
        self._calls.drop(*(other for other in coming if other is not furthest))

    def answered(self, call: Call, news: News) -> None:
        """One call has its answer. Tries that were begun before it are given up, and so are those that have little patience."""
        if self._resting:
            self._resting.drop()
        # Before anything that may fail: a node without a next call would never hear of a change again.
        self._resting = self._calls.answered(call)
        self._located = self._located or not call.hold_s and self._tries > 0
        self._calls.drop(*(other for other in self._calls.tries if other.began <= call.began or other.patience_s <= ANSWER_S))
        self._tries = 0
        self._expect(call)
        self._cancel(self._next)
        self._next = self.reactor.callLater(0, self._watch)  # not before the answer's bytes have all been read
        if not self._is_stale(call, news) and not self._take_safely(call, news):
            return
        if self.away:
            self.away = False
            self.log("discovery is back", level="info", reason=f"revision {self.revision}")
        if self.confirmation.settled:
            self._say_ready()

    def _is_stale(self, call: Call, news: News) -> bool:
        """Whether another call has told as much or more since this one began. An agent that counts anew is not: nothing was told since."""
        return call.began < self._taken_at and news.revision <= self.revision

    def _take_safely(self, call: Call, news: News) -> bool:
        try:
            self.take(news, round(call.began * 1e6))
        except Exception as failure:  # changes build on one another: the whole list is asked for
            self.log("list not taken", level="error", reason=f"{type(failure).__name__}: {failure}")
            self.confirmation.not_taken(self.router.now())
            self._drop()
            self._next = self.reactor.callLater(self.again, self._locate)
            self._silence.watch()
            return False
        self._taken_at = self.reactor.seconds()
        if news.complete or call.hold_s:  # a part of the list says nothing of the rest
            self.confirmation.confirmed()
            self.on_leave()
        return True

    def _expect(self, call: Call) -> None:
        """How long the next answer may take, after one that came."""
        took = self.reactor.seconds() - call.began - call.hold_s
        self._answer_s = min(WATCH_SLOWER_S, max(ANSWER_S, QUICKER * self._answer_s, SLOWER * took))

    def failed(self, call: Call, problem: Problem, detail: str) -> None:
        """A call came to nothing. Behind a watch that did the whole list is asked for, as changes build on one another."""
        self._calls.drop(call)
        if self._stopped:
            return
        if problem is Problem.UNREADABLE:
            self.confirmation.not_read(self.router.now())
        elif problem is Problem.TOO_LONG:
            self.confirmation.not_taken(self.router.now())
        self._silence.watch()
        if not call.hold_s and not self._tries:  # a try that was kept though the agent has been located
            return
        self._note_away(f"{problem.value}: {detail}" if detail else problem.value)
        if call.hold_s or self._next is None or not self._next.active():
            self._cancel(self._next)
            self._next = self.reactor.callLater(self.again, self._locate)

    # An agent that says nothing.

    def _is_down(self) -> None:
        self.log("discovery counts as down", level="warning", reason="the list at hand is sent on, though nobody has confirmed it")
        self.on_leave()

    def _say_ready(self) -> None:
        ready, self.on_ready = self.on_ready, None
        if ready:
            ready()

    def _note_away(self, reason: str) -> None:
        if not self.away:  # one line for all the tries
            self.log("discovery away", level="warning", reason=reason)
        self.away = True

    def _drop(self) -> None:
        self._cancel(self._next)
        self._cancel(self._beside)
        resting, self._resting, self._located = self._resting, None, False
        if resting:
            resting.drop()
        self._calls.drop_all()

    @staticmethod
    def _cancel(timer: IDelayedCall | None) -> None:
        if timer is not None and timer.active():
            timer.cancel()
