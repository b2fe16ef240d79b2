"""What is held for a request at engines, and how it is let go: the clock of a read's state, and a release until it is delivered."""
from __future__ import annotations

from twisted.internet.interfaces import IDelayedCall

RELEASE_SLACK_S = 0.3    # STANDING: what is held has 300 ms more than the settings say
UNPROVEN_S = 0.1         # of that slack, which a send has to show that it arrived; a hold-up of 0.15 s still fits behind it
RELEASES_IN_SLACK = 4    # tries of letting go, each at another engine, that fit into it
RELEASE_PAUSE_MOST_S = 0.6  # between later tries: pauses double behind the slack, as calls that come late must not feed a jam
RELEASE_TRIES = 10       # over three seconds; then a stopped node's rule frees it anyway
HEARD_MOST = 40          # engines remembered that answered last


class HeldState:
    """A read's state that waits for a writer, and when it is let go.

    The timer runs on through connections that do not come up, and while nothing shows that a send arrived: a kept connection may have
    fallen silent without an error, and a fresh one may have taken a part of it. Whether an attempt has arrived is asked when time is up.
    """

    __slots__ = ("engine", "timer", "_delayed")

    def __init__(self, engine: str, timer: IDelayedCall) -> None:
        self.engine, self.timer, self._delayed = engine, timer, False

    @property
    def runs(self) -> bool:
        return self.timer.active()

    def sent(self) -> None:
        """Bytes of an attempt went out; it gets a part of the slack to show that it arrived, once for all attempts."""
        if self.timer.active() and not self._delayed:
            self._delayed = True
            self.timer.delay(UNPROVEN_S)

    def stop(self) -> None:
        if self.timer.active():
            self.timer.cancel()


class Release:
    """Letting go of all that is held for one sequence, until an engine has heard of it or a stream has begun.

    ``asked_for`` counts how often it was asked for: an answer to a call that went out before the last time proves nothing
    of what has come to be held since.
    """

    __slots__ = ("seq_id", "engine", "tries", "timer", "asked_for", "tried_at")

    def __init__(self, seq_id: str, engine: str) -> None:
        self.seq_id, self.engine, self.tries, self.asked_for, self.tried_at = seq_id, engine, 0, 0, -1.0
        self.timer: IDelayedCall | None = None

    @property
    def urgent(self) -> bool:
        """Whether the tries still fall into the slack."""
        return self.tries <= RELEASES_IN_SLACK

    @property
    def pause_s(self) -> float:
        """Seconds until the next try."""
        in_slack = RELEASE_SLACK_S / RELEASES_IN_SLACK
        return min(RELEASE_PAUSE_MOST_S, in_slack * 2 ** max(0, self.tries - RELEASES_IN_SLACK))

    def cancel(self) -> None:
        if self.timer and self.timer.active():
            self.timer.cancel()
