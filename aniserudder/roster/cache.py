"""The last list on disk, so that a node starts with engines though the roster server is away.

It is written by a lane (``durable``): a flush of the disk takes some ten milliseconds, and of several changes in a row only
the newest list is worth one. What a start makes of it is ``recovery/trust.py``'s.
"""
from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from ..durable import Files, Ground, Kind
from ..durable.writer import Inline, Lane, Told
from ..recovery import snapshot
from ..recovery.trust import Limits, Policy, Since, since
from ..settings.schema import Row
from . import codec


@dataclass(slots=True, frozen=True)
class Keeping:
    """Who keeps a list, on which ground, and how much of one it believes at a start."""
    node: str
    ground: Ground
    policy: Policy = Policy.WEIGH
    limits: Limits = Limits()

    @property
    def files(self) -> Files:
        return self.ground.files


def keep(lane: Lane | Inline, keeping: Keeping, path: Path, epoch: int, rows: dict[str, Row], told: Told) -> None:
    """Asks for the list to be written; a kill or a loss of power leaves either the old file or a whole new one."""
    news = codec.News(epoch, True, tuple(rows.values()))

    def work() -> None:
        body = codec.encode(news)
        at = round(keeping.ground.wall() * 1e6)
        keeping.files.keep(path, snapshot.write("engine list", keeping.node, keeping.ground.booted(), at, body))
    lane.put(Kind.LIST, work, told, str(path))


def last(keeping: Keeping, path: Path) -> tuple[codec.News, Since] | None:
    """The list kept there and what happened since, or None where there is none. It may block: a lane's work. A file that cannot be
    used is moved out of the way.

    Raises:
        codec.BadLine: it cannot be used.
    """
    try:
        data = keeping.files.read(path)
    except OSError as problem:
        raise codec.BadLine(problem.strerror or "cannot be read") from None
    if data is None:
        return None
    try:
        kept = snapshot.read(data, "engine list", keeping.node)
        news = codec.decode(kept.body)
    except (snapshot.SetAside, codec.BadLine) as wrong:
        try:
            keeping.files.set_aside(path)
        except OSError:
            pass  # it is written anew with the next list
        raise codec.BadLine(str(wrong)) from None
    return news, since(kept.head, keeping.ground.booted(), round(keeping.ground.wall() * 1e6), keeping.limits)

