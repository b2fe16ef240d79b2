"""One engine process of the soak: reads prompts, writes streams, holds read states, and fails as it is told.

Read states of all engines live as files in one folder, so that a release that any engine takes is a release at all of them. It frees what is
held when it comes: neither a state that an attempt waits for, nor one that a read leaves later. An engine goes on for a moment with what its
node has given up, as it hears of that late.
"""
from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from random import Random
from typing import Any

from .events import READ_ROLE, End, EventLog, Kind
from .helper import HttpRequest, RequestReader, listen, reactor, run
from .scenario import EngineHabits

HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"word"},"finish_reason":null}]}\n\n'
LAST = (b'data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":2,"prompt_tokens_details":{"cached_tokens":4}}}\n\n'
        b"data: [DONE]\n\n")
TURNED_AWAY = b"HTTP/1.1 503 Service Unavailable\r\nnot-started: 1\r\ncontent-length: 0\r\n\r\n"
STATE_MISSING = b"HTTP/1.1 410 Gone\r\nnot-started: 1\r\ncontent-length: 0\r\n\r\n"
FAILED = b"HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n"
RELEASED = b"HTTP/1.1 204 No Content\r\n\r\n"
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n"
SLOTS = 24                   # requests at a time; more are turned away
READ_S = (0.02, 0.12)        # that a read takes, drawn for each
READ_STEP_S = 0.1            # of a read between looks at how slow the engine is
WAIT_S = (0.01, 0.25)        # that a stream waits for its slot
EVENT_S, EVENTS = 0.04, (3, 15)


def read_answer(kept: int) -> bytes:
    """What a reader answers that found so many tokens kept."""
    body = b'{"cached_tokens":%d}' % kept
    return b"HTTP/1.1 202 Accepted\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def wanted_folder(states: Path) -> Path:
    """Where attempts that wait for a state have their files: request, engine, number of the attempt."""
    return states / "wanted"

class Untaken(str, Enum):
    """How an engine ends a fetch that it never took."""

    CLOSED = "closed"
    HALF_HEAD = "half a head"        # and the connection stays open
    HEAD = "a head"                  # the same
    KEEPS_COMING = "keeps coming"    # a size line that never ends


class LostRelease(str, Enum):
    """What becomes of calls that release."""

    LATE = "late"              # read a while after they came
    UNANSWERED = "unanswered"  # carried out, and the connection closed


HALF_HEAD = HEAD[:40]
RELEASE_LATE_S = 0.2

# Streams that are spoilt by something that keeps coming: how it begins, and what follows upon it again and again.
SPOILT = ((b"b2d05e00\r\n", EVENT), (b"0", b"0"), (b"1;", b"x"), (chunk(EVENT)[:-2], b"\n"), (b"0\r\n", b"x: y\r\n"))

@dataclass(slots=True, eq=False)
class Work:
    """One attempt while it is here."""
    request: str
    connection: RequestReader
    number: int  # of the attempts that this process has seen
    reads: bool  # the engine's role when it came
    over: bool = False
    read_s: float = 0.0  # that its read takes at the engine's usual pace


class Engine:
    """Serves attempts on one port.

    Args:
        specification: ``role`` ("read", "write" or "both"), ``port``, ``states`` (a folder), ``habits`` (fields of ``EngineHabits``).
    """

    def __init__(self, specification: dict[str, Any], log: EventLog, chance: Random) -> None:
        self.name = specification["name"]
        self.states, self.log, self.chance = Path(specification["states"]), log, chance
        self.habits = EngineHabits(**specification["habits"])
        self.draining, self.failing, self.spoiling, self.slower, self.attempts = False, 0.0, 0.0, 1.0, 0
        self.untaken: Untaken | None = None  # how fetches end that come now
        self.lost_release: LostRelease | None = None
        self.work: dict[RequestReader, Work] = {}
        listen(specification["port"], lambda: RequestReader(self._asked, self._closed))
        log.note(Kind.ENGINE_UP, engine=self.name)
        self._becomes(specification["role"])

    def obey(self, command: dict[str, Any]) -> None:
        """``{"draining": true}``, ``{"failing": 0.3}``, ``{"spoiling": 0.3}``, ``{"slower": 9.9}``, ``{"role": "read"}``,
        ``{"untaken": "closed"}``, ``{"lost_release": "late"}`` (empty: none)."""
        if "role" in command:
            self._becomes(command["role"])
        self.draining = command.get("draining", self.draining)
        self.failing = command.get("failing", self.failing)
        self.spoiling = command.get("spoiling", self.spoiling)
        self.slower = command.get("slower", self.slower)
        if "untaken" in command:
            self.untaken = Untaken(command["untaken"]) if command["untaken"] else None
        if "lost_release" in command:
            self.lost_release = LostRelease(command["lost_release"]) if command["lost_release"] else None

    def _becomes(self, role: str) -> None:
        """Holds for what comes from now on."""
        self.reads_only = role == READ_ROLE
        self.log.note(Kind.ENGINE_ROLE, engine=self.name, text=role)

    def _asked(self, connection: RequestReader, request: HttpRequest) -> None:
        if request.method == "DELETE":
            return self._asked_to_release(connection, request.target.rpartition("/")[2])
        if request.method != "POST" or "request-id" not in request.headers or request.target.startswith("/internal"):
            return connection.say(NOT_FOUND)
        id = request.headers["request-id"]
        self.attempts += 1
        self.log.note(Kind.ATTEMPT, request=id, engine=self.name, value=float(request.headers["request-timeout"]), text=str(self.attempts))
        work = self.work[connection] = Work(id, connection, self.attempts, self.reads_only)
        if self.draining or len(self.work) > SLOTS:
            self._end(work, End.TURNED_AWAY, TURNED_AWAY)
        elif self.reads_only:
            work.read_s = self._read_s()
            self._read_on(work, work.read_s)
        elif self.untaken:
            self._end_untaken(work, self.untaken)
        else:
            self._wants(work).touch()
            self._later(work, self.slower * self.chance.uniform(*WAIT_S), self._write)

    def _asked_to_release(self, connection: RequestReader, request: str) -> None:
        match self.lost_release:
            case LostRelease.LATE:
                reactor.callLater(RELEASE_LATE_S, self._released, connection, request)
            case LostRelease.UNANSWERED:
                self._release(request)
                connection.transport.abortConnection()
            case _:
                self._released(connection, request)

    def _released(self, connection: RequestReader, request: str) -> None:
        self._release(request)
        connection.say(RELEASED)

    def _end_untaken(self, work: Work, how: Untaken) -> None:
        """The state that it would have fetched stays where it is."""
        match how:
            case Untaken.CLOSED:
                self._end(work, End.FAILED, b"")
                work.connection.transport.abortConnection()
            case Untaken.HALF_HEAD:
                self._end(work, End.FAILED, HALF_HEAD)
            case Untaken.HEAD:
                self._end(work, End.FAILED, HEAD)
            case Untaken.KEEPS_COMING:
                self._end(work, End.FAILED, HEAD + b"4f;")
                self._keeps_coming(work.connection, b"x")

    def _later(self, work: Work, seconds: float, step: Any, *more: Any) -> None:
        reactor.callLater(seconds, self._step, work, step, more)

    def _read_s(self) -> float:
        return self.chance.uniform(*(self.habits.long_read_s if self.chance.random() < self.habits.long_reads else READ_S))

    def _step(self, work: Work, step: Any, more: tuple[Any, ...]) -> None:
        """The next step of an attempt, unless the engine has heard that its node has given it up."""
        if not work.over:
            step(work, *more)

    def _read_on(self, work: Work, left_s: float) -> None:
        """Reads the next part of a prompt; ``left_s`` is what is left of it at the engine's usual pace."""
        if left_s <= 0:
            return self._read(work)
        step_s = min(left_s, READ_STEP_S)
        self._later(work, self.slower * step_s, self._read_on, left_s - step_s)

    def _kept(self, work: Work) -> int:
        """Tokens of its prompt that a read found kept: what it read took its time."""
        longest_s = self.habits.long_read_s[1]
        return round(self.habits.prompt_tokens * (1 - min(1.0, work.read_s / longest_s)))

    def _wants(self, work: Work) -> Path:
        """Is there while an attempt waits for the state of its request."""
        return wanted_folder(self.states) / f"{work.request}.{self.name}.{work.number}"

    def _read(self, work: Work) -> None:
        fails = self.chance.random() < self.failing
        if fails and not self.habits.fails_behind_read:
            return self._fail(work)
        (self.states / f"{work.request}.once").touch()
        (self.states / work.request).touch()
        self.log.note(Kind.STATE_HELD, request=work.request, engine=self.name)
        if fails:
            return self._fail(work)
        self._end(work, End.READ, read_answer(self._kept(work)))

    def _write(self, work: Work) -> None:
        once, here = self.states / f"{work.request}.once", self.states / work.request
        if once.exists() and not here.exists():
            return self._end(work, End.STATE_MISSING, STATE_MISSING)
        self._wants(work).unlink(missing_ok=True)
        self._take(work.request)
        if self.chance.random() < self.failing:
            return self._fail(work)
        work.connection.say(HEAD)
        self._event(work, self.chance.randint(*EVENTS))

    def _event(self, work: Work, left: int) -> None:
        if not left:
            return self._end(work, End.SERVED, chunk(LAST) + b"0\r\n\r\n")
        if self.chance.random() < self.failing / 10:
            return self._fail(work)
        if self.chance.random() < self.spoiling / 10:
            begin, more = self.chance.choice(SPOILT)
            self._end(work, End.FAILED, begin)
            return self._keeps_coming(work.connection, more)
        work.connection.say(chunk(EVENT))
        self._later(work, EVENT_S, self._event, left - 1)

    def _keeps_coming(self, connection: RequestReader, more: bytes) -> None:
        """What spoils a stream goes on until its node ends the connection."""
        if not connection.closed:
            connection.say(more)
            reactor.callLater(EVENT_S, self._keeps_coming, connection, more)

    def _fail(self, work: Work) -> None:
        """An error, a reset, half a chunk, or silence: the request has run."""
        match self.chance.randrange(4):
            case 0:
                self._end(work, End.FAILED, FAILED)
            case 1:
                self._end(work, End.FAILED, b"")
                work.connection.transport.abortConnection()
            case 2:
                self._end(work, End.FAILED, b"ffffffff\r\nda")
            case _:
                self.log.note(Kind.FAULT, request=work.request, engine=self.name, text="fell silent")

    def _end(self, work: Work, end: End, data: bytes) -> None:
        self._over(work, end)
        work.connection.say(data)

    def _over(self, work: Work, end: End) -> None:
        work.over = True
        self.work.pop(work.connection, None)
        self._wants(work).unlink(missing_ok=True)
        self.log.note(Kind.ATTEMPT_OVER, request=work.request, engine=self.name, text=end.value, value=work.number)

    def _closed(self, connection: RequestReader) -> None:
        work = self.work.get(connection)
        if work is None:
            return
        self.log.note(Kind.ATTEMPT_CUT_OFF, request=work.request, engine=self.name, value=work.number)
        if work.reads and self.habits.goes_on:
            return
        if not (connection.was_reset and work.reads and self.chance.random() < self.habits.reads_on):
            reactor.callLater(self.chance.uniform(*self.habits.hears_s), self._hears, work)

    def _hears(self, work: Work) -> None:
        if not work.over:
            self._over(work, End.ABANDONED)

    def _take(self, request: str) -> None:
        """A writer fetches a state; what else is held for its request goes with it."""
        try:
            (self.states / request).unlink()
        except FileNotFoundError:
            return
        self.log.note(Kind.STATE_GONE, request=request, engine=self.name, text="fetched")

    def _release(self, request: str) -> None:
        if any(wanted_folder(self.states).glob(f"{request}.*")):
            return
        (self.states / request).unlink(missing_ok=True)
        # Noted all the same where nothing is there: whoever took the state may have been killed before it said so.
        self.log.note(Kind.STATE_GONE, request=request, engine=self.name, text="released")


if __name__ == "__main__":
    run(Engine)
