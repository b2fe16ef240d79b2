"""Attempts that are out and of which nothing shows yet that a running engine has them.

The engine is asked by a release of a request that is over, which every engine answers and which changes nothing.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet.interfaces import IDelayedCall

from ..decisions import arrival_proof
from ..decisions.release_routes import Route
from .ports import Question, ReservationCalls
from .reservation import SentAttempt


@dataclass(slots=True, eq=False)
class _Unproven:
    """One such attempt; seconds of the injected clock."""

    request: str
    attempt: SentAttempt
    engine: str
    address: str
    sent_at: float
    timer: IDelayedCall | None = None
    first_question_at: float = math.inf


@dataclass(slots=True, eq=False)
class _Asked:
    """A question that waits for its answer."""

    at: float
    question: Question | None = None


class AttemptArrivals:
    """All attempts of one node that may not have arrived.

    Args:
        calls: carries questions out.
        ended_request: names a request that is over; empty: none is known.
        proven: told the request whose attempt a running engine has.
        log: of the node.
    """

    def __init__(
        self, calls: ReservationCalls, ended_request: Callable[[], str], proven: Callable[[str], None], log: Callable[..., None]
    ) -> None:
        self._calls, self._ended_request, self._proven, self._log = calls, ended_request, proven, log
        self._by_request: dict[str, _Unproven] = {}
        self._by_address: dict[str, dict[str, _Unproven]] = {}
        self._asked: dict[str, list[_Asked]] = {}  # by address
        self.questions = 0  # asked so far
        self._closed = False

    @property
    def _now(self) -> float:
        return self._calls.reactor.seconds()

    def sent(self, request: str, attempt: SentAttempt, engine: str) -> None:
        """Bytes of an attempt went out."""
        self.over(request)
        unproven = _Unproven(request, attempt, engine, self._calls.address_of(engine), self._now)
        self._by_request[request] = unproven
        self._by_address.setdefault(unproven.address, {})[request] = unproven

    def ask(self, request: str, due_at: float) -> None:
        """What is held for a request is released at ``due_at`` unless its attempt has arrived: its engine is asked before that."""
        unproven = self._by_request.get(request)
        if unproven is not None and unproven.timer is None and not self._closed:
            unproven.first_question_at = arrival_proof.first_question_at(unproven.sent_at, due_at)
            self._ask_at(unproven, unproven.first_question_at)

    def may_be_shown(self, request: str) -> bool:
        """Whether the engine of a request's attempt may still show in time that it runs; it is asked if it was not yet."""
        unproven = self._by_request.get(request)
        if unproven is None:
            return False
        self.ask(request, math.inf)
        return self._now < unproven.first_question_at + arrival_proof.ANSWERS_WITHIN_S

    def over(self, request: str) -> None:
        """An attempt has ended, or was proven."""
        unproven = self._by_request.pop(request, None)
        if unproven is None:
            return
        if unproven.timer is not None and unproven.timer.active():
            unproven.timer.cancel()
        there = self._by_address[unproven.address]
        del there[request]
        if not there:
            del self._by_address[unproven.address]

    def awaits_word(self, address: str) -> bool:
        """Whether a word of an engine may prove something."""
        return address in self._by_address

    def heard(self, address: str, at: float) -> None:
        """An engine was heard to say something then."""
        for request, unproven in list(self._by_address.get(address, {}).items()):
            if arrival_proof.is_word_behind(unproven.sent_at, at) and unproven.attempt.acknowledged:
                self.over(request)
                unproven.attempt.engine_runs()
                self._proven(request)

    def read_answers(self, request: str) -> None:
        """Reads what the loop has not come to of answers to questions at the engine of a request's attempt."""
        unproven = self._by_request.get(request)
        for asked in list(self._asked.get(unproven.address, ())) if unproven is not None else ():
            if asked.question is not None:
                asked.question.read_now()

    def close(self) -> None:
        """Nothing is asked any more."""
        self._closed = True
        for request in list(self._by_request):
            self.over(request)

    def _ask_at(self, unproven: _Unproven, at: float) -> None:
        unproven.timer = self._calls.reactor.callLater(max(0.0, at - self._now), self._due, unproven)

    def _due(self, unproven: _Unproven) -> None:
        self._ask_at(unproven, self._now + arrival_proof.ASK_AGAIN_S)
        under_way = self._asked.get(unproven.address, [])
        if any(
            arrival_proof.is_word_behind(unproven.sent_at, asked.at) and self._now - asked.at < arrival_proof.ASK_AGAIN_S
            for asked in under_way
        ):
            return  # the answer to another attempt's question is this one's as well
        all_under_way = sum(len(asked) for asked in self._asked.values())
        request = self._ended_request()
        if not request or len(under_way) >= arrival_proof.ASKED_AT_ENGINE or all_under_way >= arrival_proof.ASKED_AT_ONCE:
            return
        self._question(unproven, request)

    def _question(self, unproven: _Unproven, request: str) -> None:
        asked, address = _Asked(self._now), unproven.address
        is_again = address in self._asked  # a kept connection may have fallen silent
        self._asked.setdefault(address, []).append(asked)
        self.questions += 1

        def done(answered: bool) -> None:
            remaining = self._asked[address]
            remaining.remove(asked)
            if not remaining:
                del self._asked[address]
            if answered:
                self.heard(address, asked.at)

        self._log(
            "engine asked whether it runs",
            level="debug",
            seq=unproven.request,
            engine=unproven.engine,
            reason=f"nothing was heard of it for {1000 * (self._now - unproven.sent_at):.0f} ms",
        )
        asked.question = self._calls.ask_whether_it_runs(Route(unproven.engine, fresh=is_again), request, done)
