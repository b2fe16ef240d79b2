"""Exchanges with an engine, each on its connection: one schedule attempt, its answer read event by event, and what came of it; one small call.

What each outcome of an attempt means stands in ``platform/engines.py``.
"""
from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from ..admission.memory import MemoryBudget, Purpose
from ..core.ports import Attempt, Usage
from ..decisions.interface import Outcome
from ..wire.client import ClientConnection

EVENT_MOST = 65_536  # bytes of one event, and of the answer of a read
SMALL_MOST = 4_096   # bytes that are kept of the answer to a small call
SILENCE_S = 4.5          # PROTOCOL: a client is kept waiting less than 5 s after a running engine's last event
EVENT_S = 30.0           # that an engine may take to write one event
HAS_READ = 202           # status of an engine that has read a prompt and keeps its state
BREAK, DATA, DONE = b"\n\n", b"data: ", b"data: [DONE]"
WITHOUT_EFFECT = frozenset({Outcome.READ, Outcome.FULL, Outcome.NO_STATE, Outcome.NO_ROUTE, Outcome.NOT_SENT, Outcome.EXHAUSTED})


class ExchangeOwner(Protocol):
    """What an exchange tells its attempt's fate to (``platform.engines.PlatformEngines``)."""
    reactor: IReactorTime
    runs: dict[str, AttemptExchange]  # by request
    budget: MemoryBudget
    let_go_s: float  # within which what is held has to be taken or released

    def answer_began(self, run: AttemptExchange, lay_s: float) -> None: ...

    def started(self, attempt: Attempt) -> None: ...

    def fared(self, connection: ClientConnection, good: bool) -> None: ...

    def heard(self, connection: ClientConnection) -> None: ...

    def fetch_has_word(self, run: AttemptExchange) -> None: ...

    def attempt_over(self, run: AttemptExchange, outcome: Outcome) -> None: ...


class AttemptExchange:
    """One schedule attempt on its connection (``wire.client.Exchange``)."""

    __slots__ = ("engines", "attempt", "connection", "status", "rest", "whole", "usage", "over", "heard", "watch",
                 "tokens_read", "began", "event_began", "looked_again", "passed", "sent_at", "over_by", "fetches_state", "memory", "_had_arrived", "_engine_runs", "answer_has_begun", "answer_stalls")

    def __init__(self, engines: ExchangeOwner, attempt: Attempt) -> None:
        self.engines, self.attempt = engines, attempt
        self.connection: ClientConnection | None = None
        self.status, self.rest, self.whole, self.usage, self.over = 0, b"", False, Usage(), False
        self.tokens_read = 0       # by a reader that told how many it found kept
        self.began = self.sent_at = 0.0
        self.heard = 0.0           # when bytes last came of which events are made; a line of another kind winds up no clock
        self.event_began = 0.0     # when the first byte of an event came that is not whole; 0: there is none
        self.looked_again = False  # since then what lay unread was read once
        self._had_arrived = False  # when it ended
        self.answer_has_begun = False
        self.answer_stalls = False  # and came to no event in the time in which what is held has to be released
        self._engine_runs = False  # its engine was heard behind the arrival of its bytes
        self.fetches_state = False  # a reader holds a state for it
        self.over_by = 0.0         # when the time is up that its engine was told
        self.passed = 0            # events passed on
        self.watch: IDelayedCall | None = None
        self.memory = engines.budget.account(Purpose.ENGINE_ANSWERS, self._gives_way)

    def _gives_way(self) -> None:
        self.finish(Outcome.ERROR, "memory was needed for others", drop=True)

    @property
    def acknowledged(self) -> bool:
        """Whether its engine's machine has all its bytes, on a connection made for them; its process may stand still all the same."""
        connection = self.connection
        return connection is not None and not self.over and connection.rested < 0 and not connection.unacknowledged

    @property
    def arrived(self) -> bool:
        """Whether it has surely reached an engine that runs: that has answered it, or was heard behind the arrival of its bytes."""
        if self.over:
            return self._had_arrived
        return not self.answer_stalls and (self.answer_has_begun or self._engine_runs)

    def engine_runs(self) -> None:
        self._engine_runs = True

    def answer_begins(self) -> None:
        """The first byte of its answer came. Its engine may have ended it: what is held for its request has its time again from now on."""
        self.answer_has_begun = True
        lay_s = self.connection.data_age_s
        self.engines.answer_began(self, lay_s)
        self.watch = self.engines.reactor.callLater(max(0.0, self.engines.let_go_s - lay_s), self._look_whether_it_stalls)

    def interim_answer(self) -> None:
        """Its engine has it, and has not answered yet."""
        self._stop_watch()
        self.answer_has_begun = self.answer_stalls = False
        self.engine_runs()
        if self.fetches_state:
            self.engines.fetch_has_word(self)

    def _look_whether_it_stalls(self) -> None:
        """A read whose answer has not ended by now may have left its state; any other attempt needs nothing that is held."""
        if not self.over:
            self.connection.read_now()
        if self.over or self.passed:
            return
        self.answer_stalls = True
        if self.attempt.reads:
            self.finish(Outcome.CUT, "its answer was begun and did not go on", drop=True)

    def head(self, status: int) -> None:
        self.status = status
        self.engines.fared(self.connection, True)

    def body(self, data: bytes) -> None:
        if self.over:
            return
        self.rest += data
        if self.status == 200 and not self.attempt.reads:
            self._events()
        if len(self.rest) > EVENT_MOST and not self.over:
            self.finish(Outcome.ERROR, "an event or an answer is too long", drop=True)
        elif not self.over and (self.rest or self.memory.size):
            self.memory.hold(len(self.rest))  # which may end this very attempt

    def _events(self) -> None:
        """Passes on what came of whole events; anything else is none of an engine's making."""
        end = self.rest.rfind(BREAK) + len(BREAK)
        if end < len(BREAK):
            if self.whole or not self.rest.startswith(DATA[:len(self.rest)]):
                return self.finish(Outcome.ERROR, "what came is no event", drop=True)
            return self._event_grows()
        came, self.rest = self.rest[:end], self.rest[end:]
        good = 0
        for event in came[:-len(BREAK)].split(BREAK):
            if self.whole or not event.startswith(DATA):
                break
            good += len(event) + len(BREAK)
            if event == DONE:
                self.whole = True
            elif b'"usage"' in event:
                self.usage = usage_of(event) or self.usage
        if good:
            self._events_came()
            self.engines.heard(self.connection)
            is_first = not self.passed
            self.passed += came.count(BREAK, 0, good)
            if is_first:
                self.began = self.heard
                self.engines.started(self.attempt)
                self._watch(SILENCE_S)
            self.attempt.text(came[:good])
        if (good < len(came) or self.whole and self.rest) and not self.over:
            self.finish(Outcome.ERROR, "what came is no event", drop=True)

    def _events_came(self) -> None:
        self.heard, self.looked_again = self.engines.reactor.seconds(), False
        self.event_began = self.heard if self.rest else 0.0

    def _event_grows(self) -> None:
        """A part of an event came. It winds up the clock of silence for as long as one event may take."""
        now = self.engines.reactor.seconds()
        self.event_began = self.event_began or now
        if now - self.event_began < EVENT_S:
            self.heard, self.looked_again = now, False

    def complete(self) -> None:
        never = self.connection.headers.get(b"not-started") == b"1"
        match self.status:
            case 200 if not self.attempt.reads:
                good = self.whole and not self.rest
                self.finish(Outcome.GENERATED if good else Outcome.CUT, "" if good else "the stream is not whole")
            case status if status == HAS_READ and self.attempt.reads:
                kept = kept_of(self.rest)
                self.usage = Usage(kept=kept or 0)
                self.tokens_read = 0 if kept is None else max(0, self.attempt.request.prompt.tokens - kept)
                self.finish(Outcome.READ)
            case 503 | 504 if never:
                self.finish(Outcome.FULL)
            case 410 if never:
                self.finish(Outcome.NO_STATE)
            case _:
                self.finish(Outcome.ERROR, f"status {self.status}")

    def lost(self, reason: str, malformed: bool) -> None:
        if malformed:
            self.finish(Outcome.ERROR, reason)
        elif not self.connection.flushed and not self.status:
            self.finish(Outcome.NO_ROUTE, reason)
        else:
            rested = self.connection.rested
            if not self.status:
                self.engines.fared(self.connection, False)
            how = f"kept idle for {1000 * rested:.0f} ms" if rested >= 0 else "fresh"
            self.finish(Outcome.CUT, f"{reason}; the connection was {how}")

    def finish(self, outcome: Outcome, reason: str = "", drop: bool = False) -> None:
        if self.over:
            return
        self.close(drop)
        self.engines.attempt_over(self, outcome)
        if self.passed and outcome is not Outcome.GENERATED:
            reason += f"; {self.passed} events in {1000 * (self.engines.reactor.seconds() - self.began):.0f} ms"
        self.attempt.ended(outcome, self.usage, None, reason)

    def close(self, drop: bool) -> None:
        """Nothing more is told of this attempt."""
        self._had_arrived = self.arrived
        self.over = True
        self.memory.release()
        self.memory.gives_way = None
        self.engines.runs.pop(self.attempt.seq_id, None)
        self._stop_watch()
        if drop and self.connection:
            self.connection.drop()

    def _watch(self, after: float) -> None:
        self._stop_watch()
        self.watch = self.engines.reactor.callLater(after, self._silent)

    def _stop_watch(self) -> None:
        if self.watch is not None and self.watch.active():
            self.watch.cancel()

    def _silent(self) -> None:
        left = self.heard + SILENCE_S - self.engines.reactor.seconds()
        if left > 0.001:
            return self._watch(left)
        looked_again, self.looked_again = self.looked_again, True
        if not looked_again and self.connection.read_now():  # its events came in time, and the loop late
            if not self.over:
                self._watch(0)
            return
        self.finish(Outcome.CUT, "the stream fell silent", drop=True)


def usage_of(event: bytes) -> Usage | None:
    """Tokens that an event tells of; None where it tells of none."""
    try:
        told = msgspec.json.decode(event[len(DATA):]).get("usage")
        kept = (told.get("prompt_tokens_details") or {}).get("cached_tokens") or 0
        return Usage(int(told.get("prompt_tokens") or 0), int(kept), int(told.get("completion_tokens") or 0))
    except (msgspec.DecodeError, AttributeError, TypeError, ValueError):
        return None  # an event of text that happens to hold the word


def kept_of(body: bytes) -> int | None:
    """Prompt tokens that a reader found kept; None: it does not tell."""
    try:
        return int(msgspec.json.decode(body)["cached_tokens"])
    except (msgspec.DecodeError, KeyError, TypeError, ValueError):
        return None


class ControlCall:
    """A small call's answer (``wire.client.Exchange``); status 0: it did not come off."""

    __slots__ = ("done", "status", "data", "over")

    def __init__(self, done: Callable[[int, bytes], None]) -> None:
        self.done, self.status, self.data, self.over = done, 0, b"", False

    def head(self, status: int) -> None:
        self.status = status

    def body(self, data: bytes) -> None:
        self.data += data[:SMALL_MOST - len(self.data)]

    def complete(self) -> None:
        self.finish(self.status)

    def lost(self, reason: str, malformed: bool) -> None:
        self.finish(0)

    def finish(self, status: int) -> None:
        if not self.over:
            self.over = True
            self.done(status, self.data)


def report_of(body: bytes) -> dict[str, float]:
    """A load report, ``name=value`` by name; what cannot be read of it is left out."""
    values: dict[str, float] = {}
    for part in body.decode("latin-1").replace(";", ",").replace("\n", ",").split(","):
        name, _, value = part.strip().partition("=")
        try:
            values[name.strip()] = float(value)
        except ValueError:
            continue
    return values
