"""The door as a listener sees it: asks ``admission`` who may come in and carries out what it says.

Sheds idle connections and stops accepting when descriptors run short, and paces how many requests are taken up in one turn of the
reactor. Decides nothing itself.
"""
from __future__ import annotations

import os
import resource
from collections.abc import Callable

from twisted.internet.interfaces import IDelayedCall, IListeningPort, IReactorTime

from ..admission.descriptors import Calm, Descriptors
from ..admission.door import Door, Refused, Ticket
from ..admission.entry import Discipline, EntryQueue, Waiting
from ..settings.schema import Admission
from ..wire.listening import accepts
from ..wire.server import ServerConnection

LOOK_EVERY = 0.5     # seconds between looks at what the process holds in all
REFUSED_S = 0.5      # seconds that a refused connection has to say what it wants


class Gate:
    """One listener's gate.

    Args:
        take: takes up a request that has waited; called with the item and how long it waited in microseconds.
        refuse: answers a request whose time went by in the queue.
        engines: how many connections to engines there are.
    """

    def __init__(self, rules: Admission, clock: IReactorTime, log: Callable[..., None],
                 take: Callable[[object, int], None], refuse: Callable[[object], None],
                 engines: Callable[[], int] = lambda: 0, limit: int = 0) -> None:
        self.rules, self.clock, self.log, self._take, self._refuse, self._engines = rules, clock, log, take, refuse, engines
        self.door = Door(rules, clock.seconds())
        soft = limit or resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self.descriptors = Descriptors(soft, min(rules.own_descriptors, soft // 2))
        self.entry: EntryQueue[object] = EntryQueue(rules.entry_most, Discipline(rules.entry_order))
        self.port: IListeningPort | None = None
        self.connections: dict[Ticket, ServerConnection] = {}
        self.refusing = 0
        self._clients = 0
        self._this_turn = 0
        self._turn: IDelayedCall | None = None
        self._look: IDelayedCall | None = None
        self._logged: dict[str, float] = {}

    def start(self, port: IListeningPort) -> None:
        self.port = port
        self._look_around()

    def stopping(self) -> None:
        """The node stops: who comes is told so."""
        self.door.stopping = True

    def stop(self) -> None:
        for timer in (self._look, self._turn):
            if timer and timer.active():
                timer.cancel()

    def reload(self, rules: Admission) -> None:
        """Other rules; no connection is dropped for it."""
        self.rules = rules
        self.entry.most = rules.entry_most
        self.door.reload(rules)

    # Connections.

    def comes(self, address: str) -> tuple[Ticket | None, Refused | None] | None:
        """Somebody connects: a ticket, a refusal that is to be answered, or None for a reset."""
        ticket, refused, out = self.door.comes(address, self.clock.seconds())
        if out is not None:
            self._close(out)
        if refused is None:
            return ticket, None
        self._say(refused, address)
        if self.rules.refuse_with == "reset" or self.refusing >= self.rules.refusing_most:
            return None
        self.refusing += 1
        return None, refused

    def opened(self, connection: ServerConnection) -> None:
        self._clients += 1
        if connection.ticket is not None:
            self.connections[connection.ticket] = connection
        self._note()

    def gone(self, connection: ServerConnection) -> None:
        self._clients -= 1
        if connection.ticket is not None:
            self.connections.pop(connection.ticket, None)
            self.door.goes(connection.ticket)
        else:
            self.refusing -= 1
        self._note()

    def _close(self, ticket: Ticket) -> None:
        connection = self.connections.pop(ticket, None)
        if connection:
            connection.stop()

    # Requests.

    def asks(self, ticket: Ticket, client: str) -> Refused | None:
        """A request came, with the client that its key stands for, if any."""
        now = self.clock.seconds()
        refused = self.door.shows(ticket, client, now) if client else None
        refused = refused or self.door.asks(ticket, now)
        if refused:
            self._say(refused, "")
        return refused

    def answered(self, ticket: Ticket) -> None:
        self.door.answered(ticket, self.clock.seconds())

    def enter(self, item: object, due_in: float, utility: float) -> None:
        """A request that may come in: taken up now, or in its turn."""
        now = self.clock.seconds()
        if not len(self.entry) and self._this_turn < self.rules.entry_per_turn:
            self._count_turn()
            return self._take(item, 0)
        for late in self.entry.put(Waiting(item, now, now + due_in, utility), now):
            self._refuse(late.item)
        self._count_turn(0)

    def leaves(self, item: object) -> bool:
        """A client left while its request waited."""
        return self.entry.drop(item)

    def _count_turn(self, count: int = 1) -> None:
        self._this_turn += count
        if self._turn is None or not self._turn.active():
            self._turn = self.clock.callLater(0, self._next_turn)

    def _next_turn(self) -> None:
        self._this_turn = 0
        while len(self.entry) and self._this_turn < self.rules.entry_per_turn:
            now = self.clock.seconds()
            one, late = self.entry.take(now)
            for other in late:
                self._refuse(other.item)
            if one:
                self._this_turn += 1
                self._take(one.item, round((now - one.came) * 1_000_000))
        if len(self.entry):
            self._count_turn(0)

    # Descriptors.

    def exhausted(self) -> None:
        """A descriptor was asked for, and there was none."""
        self.descriptors.exhausted()
        self._calm(Calm.SHUT)

    def _note(self) -> None:
        self._calm(self.descriptors.note("clients", self._clients))

    def _look_around(self) -> None:
        self._look = self.clock.callLater(LOOK_EVERY, self._look_around)
        engines = self._engines()
        self.descriptors.note("engines", engines)
        try:
            held = len(os.listdir("/proc/self/fd"))
        except OSError:  # no such file system, or no descriptor to read it with
            held = 0
        self.descriptors.note("others", max(0, held - engines - self._clients))
        self._note()

    def _calm(self, state: Calm) -> None:
        if state is not Calm.OPEN:
            for ticket in self.door.idle(self.descriptors.room()):
                self._close(ticket)
                self.door.goes(ticket)
        shut = state is Calm.SHUT
        if shut and accepts(self.port, False):
            self.log("not accepting", level="warning", reason=f"{self._clients} client connections of "
                     f"{self.descriptors.most_clients}")
        elif not shut and not self.door.stopping and accepts(self.port, True):
            self.log("accepting again", level="info", reason=f"{self._clients} client connections")

    def _say(self, refused: Refused, address: str) -> None:
        """One line a second for each reason: a flood must not fill the log."""
        now = self.clock.seconds()
        if now - self._logged.get(refused.why.name, -1.0) >= 1.0:
            self._logged[refused.why.name] = now
            self.log("refused at the door", level="warning", reason=f"{refused.why.value}{', ' + address if address else ''}; "
                     f"{self.door.refused[refused.why]} times so far")
