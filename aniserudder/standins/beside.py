"""Stand-in engines beside a node in the same process, at the addresses of its settings: for a first look."""
from __future__ import annotations

from random import Random

from ..eventloop import reactor
from twisted.internet.error import CannotListenError

from ..settings import BadSettings, NodeSettings
from .engine import EngineSpec, StandinEngine
from .witness import Witness


class Quiet(Witness):
    """Keeps nothing: a node may run beside it for days."""

    def note(self, what: str, **fields: object) -> None:
        pass


def start_for(settings: NodeSettings) -> list[StandinEngine]:
    """One engine for each row of the settings.

    Raises:
        BadSettings: the settings list no rows, or an address cannot be had.
    """
    if not settings.roster.rows:
        raise BadSettings(["--standins: the settings have no roster.rows to stand in for"])
    witness, chance = Quiet(reactor), Random(1).random
    engines = []
    for row in settings.roster.rows:
        host, _, port = row.address.rpartition(":")
        spec = EngineSpec(row.engine, row.kind, settings.kinds[row.kind].role, row.zone, row.rack)
        try:
            engines.append(StandinEngine(reactor, spec, witness, [row.zone], chance, port=int(port)))
        except CannotListenError as taken:
            raise BadSettings([f"{row.engine}: {row.address}: {taken.socketError.strerror}"]) from None
    return engines
