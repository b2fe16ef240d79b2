"""A node's side of claims: asks the ledger, and engines that may have run an operation, before its effect can happen here.

``claims.py`` decides; this carries out. At the door an operation is claimed before its sequence is taken, so that a refusal costs no
schedule attempt; before each attempt at a writer goes out its place is asked for. Asks go over connections of their own, many at
a time; a node without a ledger service asks its own file.
"""
from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.interfaces import IDelayedCall, IReactorTCP

from ..durable import Inline, Kind, Lane
from ..wire.connections import Connections, Keeping
from . import claims
from .claims import Answer, Claim, Claiming, Place, Proof, Said
from .store import Flushed

SERVICE = "ledger"
ASK_S = 0.4               # seconds that an ask may take
IDLE_S, IDLE_MOST = 10.0, 16
ANSWER_MOST = 65_536      # bytes
_encode, _answer = msgspec.json.Encoder().encode, msgspec.json.Decoder(Answer).decode
_dict = msgspec.json.Decoder(dict[str, Any]).decode


class Claimant:
    """Claims of one node.

    Args:
        service: host:port of the ledger service; empty: ``lane`` has the only file there is.
        ask_usage, ask_up: ask an engine what an attempt ran, and for how long it has been up; call back once, with None for no answer.
        wall: whole microseconds of wall time.
    """

    def __init__(self, reactor: IReactorTCP, node: str, service: str, lane: Lane | Inline, wall: Callable[[], int],
                 ask_usage: Callable[..., None], ask_up: Callable[..., None]) -> None:
        self.reactor, self.node, self.service, self.lane, self.wall = reactor, node, service, lane, wall
        self.ask_usage, self.ask_up = ask_usage, ask_up
        self.links = Connections(reactor, Keeping(ASK_S, IDLE_S, IDLE_MOST))
        if service:
            self.links.locate(SERVICE, service)
        self.settling = claims.Settling(self._now())  # of a node without a service
        self.granted = self.come_back = self.never = self.taken_over = self.unplaced = 0
        self.lags = False        # the last ask was not answered in time
        self._at_door: dict[str, tuple[Claiming, IDelayedCall, Callable[[Claiming], None]]] = {}

    def claim(self, mark: str, seq: str, within: int, then: Callable[[Claiming], None]) -> Claiming:
        """Before a sequence is taken. ``then`` is told once, within so many microseconds, with one that is over."""
        one = Claiming(mark, seq)
        self._at_door[seq] = one, self.reactor.callLater(within / 1e6, self._late, one), then
        self._ask(Claim(self.node, mark, seq, self.wall()), lambda answer: self._told(one, answer))
        return one

    def leaves(self, one: Claiming) -> None:
        """Its client went while it was at the door: nobody is told. What was granted is free again once it is settled."""
        found = self._at_door.pop(one.seq, None)
        if found and found[1].active():
            found[1].cancel()

    def place(self, mark: str, seq: str, ordinal: int, engine: str, within: int, then: Callable[[int], None]) -> None:
        """Before an attempt goes out. ``then`` is told until when it may, on the reactor's clock; 0: it may not.

        Nobody waits in vain twice for a ledger that does not answer: a read state may lie behind this one, and be let go too late. Those
        at the door, behind whom nothing is held, find out when it is well again.
        """
        until = self._now() + claims.GO_FOR

        def told(answer: Answer | None) -> None:
            good = answer is not None and answer.said is Said.GO and self._now() < until
            self.unplaced += not good
            then(until if good else 0)
        if self.lags:
            self.reactor.callLater(0, told, None)
        else:
            self._ask(Claim(self.node, mark, seq, self.wall(), engine, ordinal), told, min(ASK_S, within / 1e6))

    def stop(self) -> None:
        for one, *_ in list(self._at_door.values()):
            one.late()
            self._look(one)
        self.links.close()

    # At the door.

    def _told(self, one: Claiming, answer: Answer | None) -> None:
        for place in one.told(answer):
            self._ask_engine(one, place)
        self._look(one)

    def _ask_engine(self, one: Claiming, place: Place) -> None:
        """Asks since when it is up first: an engine that restarts between the two answers must not seem to have been up all the time."""
        def up(up_s: object) -> None:
            self.ask_usage(place.engine, place.seq, place.ordinal, lambda body: self._heard(one, place, claims.proof(
                _read(body), up_s, one.age)))
        self.ask_up(place.engine, up)

    def _heard(self, one: Claiming, place: Place, found: Proof) -> None:
        if one.heard(place, found):
            self.taken_over += 1
            self._ask(Claim(self.node, one.mark, one.seq, self.wall(), proven=one.proven), lambda answer: self._told(one, answer))
        self._look(one)

    def _late(self, one: Claiming) -> None:
        one.late()
        self._look(one)

    def _look(self, one: Claiming) -> None:
        """Tells whoever waits, once it is over."""
        if not one.over or one.seq not in self._at_door:
            return
        _, timer, then = self._at_door.pop(one.seq)
        if timer.active():
            timer.cancel()
        match one.stage:
            case claims.Stage.GO:
                self.granted += 1
            case claims.Stage.NEVER:
                self.never += 1
            case _:
                self.come_back += 1
        then(one)

    # The ledger.

    def _ask(self, ask: Claim, told: Callable[[Answer | None], None], within: float = ASK_S) -> None:
        def then(answer: Answer | None) -> None:
            self.lags = answer is None
            told(answer)
        if not self.service:
            settled = self.settling.asks(ask.mark, self._now())

            def written(answer: Answer | None, problem: Exception | None) -> None:
                self.settling.answered(ask.mark, problem is not None or answer.said is Said.GO, self._now())
                then(None if problem else answer)
            self.lane.put(Kind.ENTRIES, Flushed(lambda store: store.claim(ask, settled, ask.at)), written, patience=round(within * 1e6))
            return

        def answered(status: int, body: bytes) -> None:
            try:
                then(_answer(body) if status == 200 else None)
            except msgspec.MsgspecError:
                then(None)
        self.links.ask(SERVICE, "POST", "/v1/claim", _encode(ask), ANSWER_MOST, within, answered)

    def _now(self) -> int:
        return round(self.reactor.seconds() * 1e6)


def _read(body: bytes | None) -> dict[str, Any] | None:
    """An engine's word on an attempt; None where it said nothing that can be read."""
    try:
        return _dict(body) if body is not None else None
    except msgspec.MsgspecError:
        return None
