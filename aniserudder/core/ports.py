"""The narrow ports between the library and whatever carries its effects out.

``Answer`` is what the library asks of the client's side, ``Engines`` what it asks of the engines' side, ``ReservationCalls`` what the owner of
reservations asks of that. All are met by sockets in the daemon and by plain objects in tests. Nothing in here decides or waits.
"""
from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any, Protocol

from twisted.internet.interfaces import IReactorTime

from ..decisions.interface import Outcome, Prompt
from ..decisions.release_routes import Route
from .invariants import InvariantMonitor


@dataclass(slots=True, frozen=True)
class Request:
    """What a client asked, as the engines need it.

    ``body`` holds the engine's part of the request (messages, limits), or its very bytes where they pass through unchanged,
    with ``target`` (path and query) and ``headers`` that pass with them. ``whole`` says that the client reads
    nothing before the answer is complete, ``token`` marks repeats of a tokened sequence for engines, ``mark`` is what
    the client itself calls the operation: its tries share it.
    """
    prompt: Prompt
    body: dict[str, Any] | bytes
    whole: bool = False
    token: str = ""
    model: str = ""
    mark: str = ""
    claimed: bool = False    # the operation of that mark must not run twice, whoever asks for it again
    forced: str = ""         # text so far of a stream that goes on: the engine has to begin behind it
    forced_tokens: int = 0
    target: str = ""
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(slots=True, frozen=True)
class Usage:
    """Tokens as counted by an engine; ``kept`` of the ``read`` prompt tokens were found there."""
    read: int = 0
    kept: int = 0
    written: int = 0


class Answer(Protocol):
    """The client's side of one sequence. The library calls exactly one of the last three, once."""

    def text(self, piece: str | bytes) -> None:
        """A piece of the answer, in order: text, or the engine's own bytes where they pass through unchanged."""

    def generated(self, reason: str, usage: Usage) -> None:
        """Final: the answer is complete; ``reason`` is the engine's reason for stopping."""

    def rejected(self, come_back: int, reason: str) -> None:
        """Final: nothing has had an effect, another try is harmless. ``come_back`` in microseconds, 0: no advice."""

    def aborted(self, reason: str) -> None:
        """Final: it failed, and whether it had an effect is not promised."""


class Attempt(Protocol):
    """One schedule attempt as the engines' side sees it, and how it tells what became of it.

    ``started``, ``text`` and ``ended`` may be called at any time after ``Engines.send`` was entered; after
    ``ended`` nothing more is told.
    """
    seq_id: str
    ordinal: int
    engine: str
    reads: bool              # at a reader: one token at most, the read state stays there
    request: Request
    state: dict[str, Any] | None  # transfer parameters of the state to fetch
    time_out: int            # microseconds, told to the engine; the library itself keeps the time
    send_by: int             # on the port's clock: later it may not be sent any more; 0: any time

    def goes_out(self) -> int:
        """Asked as its bytes are about to be written, which may be a whole connect time after it was decided. Microseconds
        left of its time-out; 0: it may not be sent any more, and then ends as ``NOT_SENT``."""

    def continues(self, at: int, digest: str) -> None:
        """Where in the whole answer the text that follows begins, in UTF-8 bytes, and the digest (xxh3, 64 bits, hex) of
        what the engine took for the text before that. Told before the first piece, where a beginning was forced."""

    def text(self, piece: str | bytes) -> None:
        """A piece of the answer; the first one is the start of the stream."""

    def ended(self, outcome: Outcome, usage: Usage, state: dict[str, Any] | None = None, reason: str = "",
              report: dict[str, float] | None = None) -> None:
        """How it ended; ``state`` are the transfer parameters that a reader returned."""


class Engines(Protocol):
    """The engines' side."""

    def send(self, attempt: Attempt) -> None:
        """Sends a schedule attempt."""

    def call_off(self, attempt: Attempt) -> None:
        """Stops waiting for it. No ``ended`` follows. What an interrupted read left behind is let go too."""

    def hold(self, attempt: Attempt, held: bool) -> None:
        """Takes nothing more of it from its engine for now, or again: its client reads too slowly."""

    def let_go(self, seq_id: str, engine: str, ordinal: int, state: dict[str, Any] | None) -> None:
        """Lets go of what the read of that ordinal left at an engine; ``state`` are its transfer parameters."""

    def probe(self, engine: str, done: Any) -> None:
        """Asks for a load report; ``done(good, values)`` is called once."""


class CallEnd(Enum):
    """How a release call ended."""

    CONFIRMED = auto()
    UNREACHED = auto()  # not answered, or its connection failed
    LOCAL_TROUBLE = auto()  # this system could make no connection: it tells nothing of the engine


class Question(Protocol):
    """A small call that waits for its answer."""

    def read_now(self) -> bool:
        """Reads what the kernel holds of its answer and the loop has not come to. Whether there was something."""


class ReservationCalls(Protocol):
    """What the tracker needs of the engines' side (``platform.engines.PlatformEngines``)."""

    reactor: IReactorTime
    invariants: InvariantMonitor

    @property
    def listed(self) -> Collection[str]:
        """Engines whose address is known."""

    def address_of(self, engine: str) -> str:
        """Where an engine listens; several may at one address."""

    def proven(self) -> str:
        """The engine whose kept connection was used last; empty: there is none."""

    def has_kept(self, engine: str) -> bool:
        """Whether a connection to an engine is kept that nobody uses."""

    def release_at(self, route: Route, request: str, patience_s: float, done: Callable[[CallEnd], None]) -> Callable[[], None]:
        """One call that releases what is held for a request. Returns what calls it off, so that ``done`` is not called any more."""

    def ask_whether_it_runs(self, route: Route, ended_request: str, done: Callable[[bool], None]) -> Question:
        """Calls an engine with a release of a request that is over. ``done`` is told once whether it answered."""

    def fetch_has_arrived(self, request: str) -> bool:
        """Whether the attempt that is out for a request and takes its state has reached a running engine; reads what lies unread first."""

    def end_sending(self, request: str) -> None:
        """Ends the connection of the attempt that is out, so that it awaits nothing."""

    def end_unproven(self, request: str) -> None:
        """The state of a request was released as nothing shows that its fetch arrived: the attempt is over."""
