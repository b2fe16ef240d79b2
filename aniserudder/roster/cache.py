"""The last list on disk, so that a node starts with engines though the roster server is away."""
from __future__ import annotations

import os
from pathlib import Path

from ..settings.schema import Row
from . import codec


def keep(path: Path, epoch: int, rows: dict[str, Row]) -> None:
    """Writes the list; a kill leaves either the old file or the new one."""
    fresh = path.with_name(path.name + ".new")
    fresh.parent.mkdir(parents=True, exist_ok=True)
    with fresh.open("wb") as out:
        out.write(codec.encode(codec.News(epoch, True, tuple(rows.values()))))
        out.flush()
        os.fsync(out.fileno())
    os.replace(fresh, path)


def last(path: Path) -> codec.News | None:
    """The list kept there, or None where there is none that can be used.

    Raises:
        codec.BadLine: the file is damaged.
    """
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    except OSError as problem:
        raise codec.BadLine(problem.strerror or "cannot be read") from None
    return codec.decode(data)
