"""The one place that permits an attempt's bytes to be written.

An attempt is decided up to a connect time before its bytes go out. Whatever held then is looked at again here, at the last moment:
first attempts, retries, repeats and attempts that fetch a state all pass this guard, on kept and on fresh connections.
"""
from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum


class Denial(Enum):
    """Why an attempt may not go out any more."""
    ANSWERED = "its client has its final answer"
    SUPERSEDED = "another attempt has taken its place"
    CLIENT_GONE = "its client has left"
    WITHDRAWN = "its engine drains or has restarted, or its repeat window is over"
    UNCONFIRMED = "nobody has confirmed the engine list"
    NO_TIME = "its time is up"


@dataclass(slots=True, frozen=True)
class Dispatch:
    """What the guard has to know of one attempt; times in microseconds of the router's clock."""
    request: str
    ordinal: int
    answered: bool
    superseded: bool
    expires_at: int


class DispatchGuard:
    """Permits or denies, and counts why.

    Args:
        client_here: whether the kernel knows nothing of the end of a request's client.
        list_permits: ``list_permits(now)``: whether the engine list at hand may be sent on.
        still_allowed: ``still_allowed(now, request, ordinal)``: the decision module's second look; changes nothing.
    """

    def __init__(self, client_here: Callable[[str], bool], list_permits: Callable[[int], bool],
                 still_allowed: Callable[[int, str, int], bool]) -> None:
        self._client_here, self._list_permits, self._still_allowed = client_here, list_permits, still_allowed
        self.denials: Counter[Denial] = Counter()
        self.permitted = 0

    def examine(self, dispatch: Dispatch, now: int) -> Denial | None:
        """Why the attempt may not be sent now; None: it may."""
        denial = self._denial(dispatch, now)
        if denial:
            self.denials[denial] += 1
        else:
            self.permitted += 1
        return denial

    def _denial(self, dispatch: Dispatch, now: int) -> Denial | None:
        if dispatch.answered:
            return Denial.ANSWERED
        if dispatch.superseded:
            return Denial.SUPERSEDED
        if not self._client_here(dispatch.request):
            return Denial.CLIENT_GONE
        if not self._list_permits(now):
            return Denial.UNCONFIRMED
        if not self._still_allowed(now, dispatch.request, dispatch.ordinal):
            return Denial.WITHDRAWN
        if dispatch.expires_at <= now:
            return Denial.NO_TIME
        return None
