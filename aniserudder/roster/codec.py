"""Rows of the engine list and the lines in which a roster server streams changes. No sockets, no files.

A line is a JSON object: ``{"epoch": 7, "complete": true, "rows": [...]}``. The first line of a connection is always a
complete list; later ones hold changed rows only. ``now``, where it is given, is the server's wall clock, on which engines' starts
are told. A row is written as in the settings (``settings.schema.Row``).
"""
from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec
from pydantic import ValidationError

from ..decisions.interface import Availability, RosterRow
from ..settings.schema import Row


class BadLine(Exception):
    """A line that is no list."""


class Line(msgspec.Struct):
    rows: list[dict[str, Any]]
    epoch: int = 0
    complete: bool = False
    now: float = 0.0


@dataclass(slots=True, frozen=True)
class News:
    """One change of the list, or the whole of it."""
    epoch: int
    complete: bool
    rows: tuple[Row, ...]
    now: float = 0.0  # the server's wall clock, seconds since 1970; 0: not told


_line = msgspec.json.Decoder(Line)


def decode(data: bytes) -> News:
    """Reads one line.

    Raises:
        BadLine: it is no list or a row breaks the schema; nothing of it is used.
    """
    try:
        line = _line.decode(data)
        rows = tuple(Row.model_validate(r) for r in line.rows)
    except msgspec.DecodeError as wrong:
        raise BadLine(str(wrong)) from None
    except ValidationError as wrong:
        first = wrong.errors()[0]
        raise BadLine(f"{'.'.join(map(str, first['loc']))}: {first['msg']}") from None
    if len({r.engine for r in rows}) != len(rows):
        raise BadLine("an engine stands in it twice")
    return News(line.epoch, line.complete, rows, line.now)


def encode(news: News) -> bytes:
    """The line of a change, with its end."""
    rows = [r.model_dump() for r in news.rows]
    now = {"now": news.now} if news.now else {}
    return msgspec.json.encode({"epoch": news.epoch, "complete": news.complete, **now, "rows": rows}) + b"\n"


def told(row: Row, clock_minus_wall: float) -> RosterRow:
    """A row as the decision module is told it, its start on the router's clock in whole microseconds.

    ``clock_minus_wall``, in seconds, is fixed for a router's life: a start that moved by rounding would pass for a
    restart.
    """
    started = round((row.started_at + clock_minus_wall) * 1_000_000) if row.started_at else 0
    return RosterRow(row.engine, row.kind, row.zone, Availability(row.availability), started, row.size, row.rack)
