"""What the process holds, by purpose, against the limit of descriptors. Decides when to stop taking clients."""
from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Calm(Enum):
    """How near the limit is."""
    OPEN = "open"          # clients are accepted
    SHEDDING = "shedding"  # idle connections are closed to make room
    SHUT = "shut"          # none is accepted until there is room again


@dataclass(slots=True)
class Descriptors:
    """Counts by purpose. Engines, the roster and storage have their own part, which clients never get.

    ``limit`` is the process's; ``own`` is kept for all that are no clients. Clients have the rest: shedding begins at ``shed`` of it,
    it shuts at ``shut`` and opens again below ``reopen``: else the listener would go on and off with every connection.
    """
    limit: int
    own: int
    shed: float = 0.85
    shut: float = 0.95
    reopen: float = 0.8
    held: dict[str, int] = field(default_factory=dict)
    state: Calm = Calm.OPEN

    @property
    def most_clients(self) -> int:
        others = sum(n for purpose, n in self.held.items() if purpose != "clients")
        return max(1, self.limit - max(self.own, others))

    def note(self, purpose: str, count: int) -> Calm:
        """A purpose's present count."""
        self.held[purpose] = count
        clients, most = self.held.get("clients", 0), self.most_clients
        if clients >= self.shut * most:
            self._change(Calm.SHUT)
        elif self.state is Calm.SHUT and clients > self.reopen * most:
            pass
        elif clients >= self.shed * most:
            self._change(Calm.SHEDDING)
        elif self.state is Calm.SHUT or clients < self.reopen * most:
            self._change(Calm.OPEN)
        return self.state

    def exhausted(self) -> None:
        """A descriptor was asked for and there was none: whatever was counted, the limit is here."""
        self._change(Calm.SHUT)

    def room(self) -> int:
        """Connections to close until shedding ends."""
        return max(0, self.held.get("clients", 0) - int(self.reopen * self.most_clients))

    def _change(self, state: Calm) -> None:
        self.state = state
