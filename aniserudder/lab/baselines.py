"""Other ways to pick engines, to hold the module against. They keep its guards (drains, cold turns, repeats) and its state machine;
only who is picked differs. For the laboratory alone: no node runs one."""
from __future__ import annotations

from ..decisions.interface import Role
from ..decisions.rules import Node, rank
from ..decisions.state import Cluster, Engine, Sequence


class Random(Node):
    """Any engine that may take it."""

    def _any(self, engines: list[Engine]) -> Engine | None:
        return engines[int(self.chance() * len(engines))] if engines else None

    def _reader(self, seq: Sequence) -> Engine | None:
        return self._any(self._usable(seq, Role.READER))

    def _writer(self, seq: Sequence) -> Engine | None:
        return self._any(self._usable(seq, Role.WRITER, Role.MIXED))


class LeastStreams(Node):
    """The one to which this node has sent least that is still out."""

    def _reader(self, seq: Sequence) -> Engine | None:
        return min(self._usable(seq, Role.READER), key=lambda e: (e.reading, self.chance()), default=None)

    def _writer(self, seq: Sequence) -> Engine | None:
        return min(self._usable(seq, Role.WRITER, Role.MIXED), key=lambda e: (e.streams / e.row.size, self.chance()), default=None)


class HashOnly(Node):
    """By hash of the session, wherever it leads."""

    def _reader(self, seq: Sequence) -> Engine | None:
        return min(self._usable(seq, Role.READER), key=lambda e: rank(e, seq.prompt.session), default=None)

    def _writer(self, seq: Sequence) -> Engine | None:
        return min(self._usable(seq, Role.WRITER, Role.MIXED), key=lambda e: rank(e, seq.prompt.session), default=None)


class BitsFrozen(Node):
    """The module as it is, its bits where they start: no scan, no trial, no flip."""

    def _path(self, cluster: Cluster, remainder: int) -> bool:
        from ..decisions.rules import NEVER_LOCAL
        return cluster.local and remainder <= NEVER_LOCAL


POLICIES: dict[str, type[Node]] = {"module": Node, "random": Random, "least streams": LeastStreams, "hash only": HashOnly,
                                   "bits frozen": BitsFrozen}
