"""Looks whether the source of an engine list says nothing, at the time when it counts as down. The clock is injected."""
from __future__ import annotations

from collections.abc import Callable

from twisted.internet.interfaces import IDelayedCall, IReactorTime

from .list_confirmation import READY_AHEAD_US, ListConfirmation

LATEST_S = 0.05      # a loop that is later than this has not come to what the kernel holds
LOOK_AGAIN_S = 0.25  # behind a look that came late, or found bytes unread


class SourceSilence:
    """One look at a time, for as long as a list is not confirmed.

    Args:
        clock: the reactor's time.
        confirmation: of the list.
        unread: whether the kernel holds something from the source that the loop has not come to.
        on_nearly: called when the source will soon count as down, if it goes on to say nothing.
        on_down: called when it counts as down.
    """

    def __init__(self, clock: IReactorTime, confirmation: ListConfirmation, unread: Callable[[], bool], on_nearly: Callable[[], None],
                 on_down: Callable[[], None]) -> None:
        self._clock, self._confirmation, self._unread = clock, confirmation, unread
        self._on_nearly, self._on_down = on_nearly, on_down
        self._timer: IDelayedCall | None = None

    def watch(self) -> None:
        """Plans the next look, if there is anything to look for."""
        self.stop()
        if self._confirmation.awaited:
            now = self._now()
            nearly_at = self._confirmation.down_at - READY_AHEAD_US
            self._look_after(max(0, (nearly_at if now < nearly_at else self._confirmation.down_at) - now) / 1e6)

    def stop(self) -> None:
        """Plans no more looks."""
        if self._timer and self._timer.active():
            self._timer.cancel()

    def _now(self) -> int:
        return round(self._clock.seconds() * 1e6)

    def _look_after(self, seconds: float) -> None:
        self._timer = self._clock.callLater(seconds, self._look, self._clock.seconds() + seconds)

    def _look(self, due: float) -> None:
        if not self._confirmation.awaited:
            return
        if self._clock.seconds() - due > LATEST_S or self._unread():  # first the loop reads what has come meanwhile
            return self._look_after(LOOK_AGAIN_S)
        now = self._now()
        if now >= self._confirmation.down_at - READY_AHEAD_US:
            self._on_nearly()
        if self._confirmation.found_silent(now):
            return self._on_down()
        self.watch()
