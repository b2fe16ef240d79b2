"""One client's side of a streamed answer: a state machine that the router feeds and that connections come and go on.

It writes from the journal: what a connection cannot take now waits there, numbered, and a client that returns is given what it
lacks. The states are ``streams.readers.Reading``; every change goes through ``_change``.
"""
from __future__ import annotations

from typing import Protocol

from twisted.internet.interfaces import IDelayedCall, IReactorTime

from ..core.ports import Usage
from ..streams.journal import Final, Journal
from ..streams.readers import OPENING, Backlog, ReaderRules, Reading, numbers
from ..wire.server import Exchange
from . import codec

S = 1_000_000
LEFT, NOT_BACK = "the client left", "the client did not return"
GONE = frozenset({LEFT, NOT_BACK})  # reasons for an end that are the client's own


class Owner(Protocol):
    """What a stream asks of the node's messages API."""

    def answered(self, stream: ClientStream) -> None:
        """Its final event is known."""

    def refused(self, exchange: Exchange, kind: str, reason: str, come_back: int) -> None:
        """It failed before its stream began: a plain answer."""

    def hold(self, id: str, held: bool) -> None:
        """Its client reads too slowly, or well again."""

    def gave_up(self, stream: ClientStream, reason: str) -> None:
        """Its client left, did not return in time or (``reason``) is too slow."""


class ClientStream:
    """A streamed answer (``core.ports.Answer``).

    Args:
        written: bytes on their way to the client that the connection has not taken yet count from here on.
        returns: microseconds that a client which left may take to return; 0: leaving is leaving.
    """

    __slots__ = ("state", "journal", "codec", "sequence", "owner", "clock", "backlog", "returns", "estimated", "ticket", "exchange",
                 "cursor", "_handed", "_timer")

    def __init__(self, owner: Owner, clock: IReactorTime, exchange: Exchange, journal: Journal, writer: codec.Stream,
                 sequence: str, rules: ReaderRules, returns: int, estimated: int, ticket: object, cursor: int = 0) -> None:
        self.owner, self.clock, self.journal, self.codec, self.sequence = owner, clock, journal, writer, sequence
        self.backlog, self.returns, self.estimated, self.ticket = Backlog(rules), returns, estimated, ticket
        self.state = Reading.UNOPENED
        self.exchange: Exchange | None = exchange
        self.cursor = cursor         # number of the last event that was handed to a connection
        self._handed = 0             # bytes, since the connection last had room
        self._timer: IDelayedCall | None = None
        exchange.gone, exchange.room = self._gone, self._room

    # What the router tells.

    def text(self, piece: str) -> None:
        if self.state is Reading.UNOPENED:
            self._open()
        if self.state is Reading.ATTACHED:
            number = OPENING + self.journal.pieces
            if self.cursor == number - 1 and self.exchange.roomy:  # the ordinary case: nothing waits
                self.cursor = number
                data = self.codec.text(piece, number)
                self._handed += len(data)
                self.exchange.write(data)
            else:
                self._pump(piece)
        elif self.state is Reading.BLOCKED:
            self._hold()

    def generated(self, reason: str, usage: Usage) -> None:
        self._end(Final("generated", reason, 0, usage.read, usage.kept, usage.written))

    def rejected(self, come_back: int, reason: str) -> None:
        self._end(Final("rejected", reason, come_back))

    def aborted(self, reason: str) -> None:
        self._end(Final("aborted", reason))

    def _end(self, final: Final) -> None:
        if self.state is Reading.OVER:
            return
        self.journal.end(final)
        if self.state is Reading.UNOPENED and final.kind != "generated" and self.exchange and self.cursor == 0:
            exchange = self.exchange
            self._change(Reading.OVER)
            self.owner.answered(self)
            return self.owner.refused(exchange, final.kind, final.reason, final.come_back)
        if self.state is Reading.UNOPENED:
            self._open()
        self.owner.answered(self)
        if self.state is Reading.ATTACHED:
            self._pump()

    # Connections.

    def attach(self, exchange: Exchange, after: int, ticket: object) -> None:
        """The client is back: its events go on after that number. An older connection is closed."""
        old, self.exchange = self.exchange, None
        if old and old is not exchange:
            old.gone = None
            old.cut()
        self.exchange, self.cursor, self.ticket = exchange, after, ticket
        exchange.gone, exchange.room = self._gone, self._room
        self._open()
        self._pump()

    def _open(self) -> None:
        self.exchange.begin(200, [("x-sequence-id", self.journal.id)])
        self._change(Reading.ATTACHED)

    def _pump(self, newest_piece: str = "") -> None:
        """Hands on what the connection takes. The newest piece is at hand also where the node's cap took the journal's text."""
        exchange, journal, newest = self.exchange, self.journal, numbers(self.journal)
        while self.cursor < newest and exchange.roomy:
            next_text = self.cursor + 1 - OPENING
            if not journal.whole and 0 < next_text < journal.pieces + (not newest_piece):
                return self._too_slow("the node has no room for the text that waits for its client")
            data = self._events(newest_piece)
            self._handed += len(data)
            exchange.write(data)
        if self.cursor < newest:
            return self._block()
        if self.journal.final is not None:
            self._change(Reading.OVER)
            exchange.end()

    def _events(self, newest_piece: str) -> bytes:
        """The next event, or the opening ones together."""
        journal, writer, at = self.journal, self.codec, self.cursor + 1
        if at <= OPENING:
            self.cursor = OPENING
            return writer.opened(at)
        self.cursor = at
        piece = at - OPENING
        if piece <= journal.pieces:
            return writer.text(journal.text(piece - 1, piece) if journal.whole else newest_piece, at)
        final = journal.final
        if final.kind == "generated":
            return writer.ending(piece - journal.pieces, final.reason, Usage(final.read, final.kept, final.written), at)
        return writer.failed(final.kind, final.reason, -(-final.come_back // 1000), at - 1)

    # A slow client.

    def _room(self) -> None:
        """The connection has sent all that it had."""
        self._handed = 0
        if self.state is Reading.BLOCKED:
            self._change(Reading.ATTACHED)
            self._pump()
            self._hold()

    def _block(self) -> None:
        self._change(Reading.BLOCKED)
        self._look_at(self.backlog.blocked(self._now(), self._handed))
        self._hold()

    def _hold(self) -> None:
        waiting = self.journal.length - self._sent()
        change = self.backlog.hold(waiting)
        if change is not None:
            self.owner.hold(self.sequence, change)

    def _sent(self) -> int:
        return self.journal.position(max(0, min(self.cursor - OPENING, self.journal.pieces)))

    def _look(self) -> None:
        if self.state is Reading.BLOCKED:
            slow = self.backlog.too_slow(self._now())
            if slow:
                return self._too_slow(slow)
            self._look_at(self._now() + S // 2)

    def _too_slow(self, reason: str) -> None:
        """Ended with a proper final event: what waited gives way to it."""
        exchange, running = self.exchange, self.journal.final is None
        self.journal.end(Final("aborted", reason))
        self._change(Reading.OVER)
        exchange.write(self.codec.failed("aborted", reason, 0, self.cursor))  # whatever its end was: it did not get that far
        exchange.gone = None
        exchange.end()
        exchange.close_soon()
        if running:
            self.owner.answered(self)
            self.owner.gave_up(self, reason)

    # A client that goes.

    def _gone(self, reason: str) -> None:
        self.exchange = None
        if self.state in (Reading.ATTACHED, Reading.BLOCKED) and self.returns and self.journal.owner and self.journal.whole:
            self._change(Reading.AWAY)
            self._look_at(self._now() + self.returns)
            if self.backlog.hold(0) is not None:  # its writer is not kept waiting for it
                self.owner.hold(self.sequence, False)
        elif self.state is not Reading.OVER:
            self._left(LEFT)

    def _late(self) -> None:
        if self.state is Reading.AWAY:
            self._left(NOT_BACK)

    def _left(self, reason: str) -> None:
        running = self.journal.final is None
        self._change(Reading.OVER)
        if running:
            self.journal.end(Final("aborted", reason))
            self.owner.gave_up(self, "")

    # Time and state.

    def _now(self) -> int:
        return round(self.clock.seconds() * S)

    def _look_at(self, at: int) -> None:
        self._timer = self.clock.callLater(max(0, at - self._now()) / S,
                                           self._late if self.state is Reading.AWAY else self._look)

    def _change(self, state: Reading) -> None:
        self.state = state
        if self._timer and self._timer.active():
            self._timer.cancel()
        if state is Reading.OVER:
            self.exchange = None
