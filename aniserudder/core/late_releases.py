"""Releases behind attempts that were given up and may go on at their engines for long.

Each such attempt is followed for ``FOLLOW_S``, longer behind a long prompt, from the time that its engine was told: a release goes out each let-go time, so that whatever it
leaves is held no longer than a state that waits for its fetch. It ends sooner only when the engine has shown that it is past that work
(``decisions.engine_progress``). Some more releases go out behind that, ever more seldom, so that nothing is held for good where an engine takes
its work in another order, or takes longer still.

All of it is bounded: in calls by ``RELEASES_PER_S``, in memory by ``FOLLOWED_MOST``, in time by ``follow_s`` and ``SELDOM_S``.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet.interfaces import IDelayedCall, IReactorTime

from ..decisions.engine_progress import EngineProgress, GivenUpWork

FOLLOW_S = 60.0  # an engine is slow for up to 38 s and then reads what is left at its usual pace
FOLLOW_TOKEN_S = 0.001  # beside that, for each token of a prompt: at an engine that shares its pace among a dozen reads
TOKENS_MOST = 65_536  # of a prompt: a body holds no more
SELDOM_S = (5.0, 15.0, 45.0, 135.0, 405.0)  # between the releases behind that
TURN_S = 0.05  # between turns in which releases go out
RELEASES_PER_S = 200  # over all requests; where more are due, each goes out later
FOLLOWED_MOST = 2048  # attempts at a time; those that are released seldom are dropped first
QUEUED_MOST = 2 * FOLLOWED_MOST  # places in the queue, void ones among them


@dataclass(slots=True)
class _Followed:
    """One attempt that was given up; seconds of the injected clock."""

    work: GivenUpWork
    begin_at: float  # until then releases go out elsewhere
    until: float  # then its releases become seldom
    turn: int = 0  # number of its place in the queue; an earlier one is void
    seldom: int = 0  # releases of the seldom kind that went out


def follow_s(work: GivenUpWork) -> float:
    """Seconds for which an attempt is followed behind the time that its engine was told."""
    return FOLLOW_S + (FOLLOW_TOKEN_S * work.tokens if work.tokens <= TOKENS_MOST else 0.0)


class LateReleases:
    """Given-up attempts of one node, and when the next release of each is due.

    Args:
        clock: for the turns.
        progress: tells whether an engine is past an attempt.
        let_go_s: the settings' time within which what is held has to be released.
        has_room: whether another may go out; while engines do not answer, releases of states that are known to be held come first.
        release: releases all that a request holds, through an engine if that is of use. Returns False where it must not or need not now.
        dropped: called with the request of an attempt that is not followed any more, for want of room, though something may come of it.
    """

    def __init__(
        self,
        clock: IReactorTime,
        progress: EngineProgress,
        let_go_s: float,
        has_room: Callable[[], bool],
        release: Callable[[str, str], bool],
        dropped: Callable[[str], None],
    ) -> None:
        self.sent = 0  # releases that went out
        self._clock, self._progress, self._let_go_s = clock, progress, max(TURN_S, let_go_s)
        self._has_room, self._release, self._dropped = has_room, release, dropped
        self._followed: dict[tuple[str, str], _Followed] = {}  # by request and engine
        self._seldom: dict[tuple[str, str], _Followed] = {}
        self._queue: list[tuple[float, int, tuple[str, str]]] = []  # when due, number of the turn, request and engine
        self._turns = 0
        self._timer: IDelayedCall | None = None
        self._closed = False

    def __len__(self) -> int:
        return len(self._followed) + len(self._seldom)

    @property
    def expected(self) -> int:
        """Attempts that may still leave a state that has to be released in time."""
        return len(self._followed)

    def follow(self, request: str, engine: str, work: GivenUpWork, over_by: float, begin_at: float) -> None:
        """An attempt was given up.

        Args:
            request: whose attempt it was.
            engine: where it is.
            work: what its engine has to be past.
            over_by: when its engine begins nothing of it any more; seconds of the clock.
            begin_at: when the first release is due here; others go out before.
        """
        if self._closed:
            return
        key = request, engine
        self._followed.pop(key, None)
        self._seldom.pop(key, None)
        if len(self) >= FOLLOWED_MOST:
            self._drop_oldest()
        followed = self._followed[key] = _Followed(work, begin_at, over_by + follow_s(work))
        self._line_up(key, followed, begin_at)
        self._plan()

    def begins(self, request: str, engine: str) -> None:
        """From now on releases are sent here. The time for which its engine said nothing, and so long others were sent, does not count."""
        followed = self._followed.get((request, engine))
        if followed is not None:
            followed.until += max(0.0, self._clock.seconds() - followed.begin_at)

    def close(self) -> None:
        """Nothing is released any more."""
        self._closed = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _drop_oldest(self) -> None:
        if self._seldom:
            del self._seldom[next(iter(self._seldom))]
            return
        key = next(iter(self._followed))
        del self._followed[key]
        self._dropped(key[0])

    def _line_up(self, key: tuple[str, str], followed: _Followed, due_at: float) -> None:
        self._turns += 1
        followed.turn = self._turns
        heapq.heappush(self._queue, (due_at, followed.turn, key))
        if len(self._queue) > QUEUED_MOST:
            self._queue = [place for place in self._queue if self._at(place) is not None]
            heapq.heapify(self._queue)

    def _at(self, place: tuple[float, int, tuple[str, str]]) -> _Followed | None:
        """Whose place in the queue that is; None: it is void."""
        _, turn, key = place
        followed = self._followed.get(key) or self._seldom.get(key)
        return followed if followed is not None and followed.turn == turn else None

    def _plan(self) -> None:
        if self._closed or not self._queue:
            return
        wait_s = max(TURN_S, self._queue[0][0] - self._clock.seconds())
        if self._timer is None or not self._timer.active():
            self._timer = self._clock.callLater(wait_s, self._turn)
        elif self._timer.getTime() > self._clock.seconds() + wait_s:
            self._timer.reset(wait_s)

    def _turn(self) -> None:
        """What is due goes out, up to this turn's part of the calls."""
        now, left = self._clock.seconds(), max(1, round(RELEASES_PER_S * TURN_S))
        while self._queue and self._queue[0][0] <= now and left and self._has_room():
            place = heapq.heappop(self._queue)
            followed = self._at(place)
            if followed is not None:
                left -= self._release_one(place[2], followed, now)
        self._plan()

    def _release_one(self, key: tuple[str, str], followed: _Followed, now: float) -> int:
        """Sends the release of one attempt and lines it up again. Returns how many calls that took."""
        is_over = self._progress.is_past(followed.work) or now >= followed.until
        if not self._release(*key):
            self._line_up(key, followed, now + self._let_go_s)
            return 0
        self.sent += 1
        if not is_over and key in self._followed:
            self._line_up(key, followed, now + self._let_go_s)
        else:
            self._release_seldom(key, followed, now)
        return 1

    def _release_seldom(self, key: tuple[str, str], followed: _Followed, now: float) -> None:
        self._followed.pop(key, None)
        if followed.seldom >= len(SELDOM_S):
            self._seldom.pop(key, None)
            return
        self._seldom[key] = followed
        followed.seldom += 1
        self._line_up(key, followed, now + SELDOM_S[followed.seldom - 1])
