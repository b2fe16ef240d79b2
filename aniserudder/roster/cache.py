"""The last list on disk, so that a node starts with engines though the roster server is away.

It is written by a lane (``durable``): a flush of the disk takes some ten milliseconds, and of several changes in a row only
the newest list is worth one.
"""
from __future__ import annotations

from pathlib import Path

from ..durable import Files, Kind
from ..durable.writer import Inline, Lane, Told
from ..settings.schema import Row
from . import codec


def keep(lane: Lane | Inline, files: Files, path: Path, epoch: int, rows: dict[str, Row], told: Told) -> None:
    """Asks for the list to be written; a kill or a loss of power leaves either the old file or a whole new one."""
    news = codec.News(epoch, True, tuple(rows.values()))
    lane.put(Kind.LIST, lambda: files.keep(path, codec.encode(news)), told, str(path))


def last(files: Files, path: Path) -> codec.News | None:
    """The list kept there, or None where there is none that can be used.

    Raises:
        codec.BadLine: the file is damaged.
    """
    try:
        data = files.read(path)
    except OSError as problem:
        raise codec.BadLine(problem.strerror or "cannot be read") from None
    return codec.decode(data) if data is not None else None
