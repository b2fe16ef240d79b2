"""Structured logs: JSON lines on standard error with one schema, by the standard library's handlers.

Every line has ``at``, ``level``, ``event`` and ``node``; what speaks of a sequence or an engine has ``seq``, ``state``,
``engine``, ``ordinal`` and ``reason``.
"""
from __future__ import annotations

import logging
import sys
from collections.abc import Callable
from datetime import datetime, timezone
from typing import TextIO

import msgspec


class JsonLine(logging.Formatter):
    """A record as one JSON object; its fields are in ``record.fields``."""

    def format(self, record: logging.LogRecord) -> str:
        at = datetime.fromtimestamp(record.created, timezone.utc).isoformat(timespec="microseconds").replace("+00:00", "Z")
        line = {"at": at, "level": record.levelname.lower(), "event": record.msg, "node": record.name, **record.fields}
        return msgspec.json.encode(line, enc_hook=str).decode()


def make(node: str, level: str = "info", out: TextIO | None = None) -> Callable[..., None]:
    """A ``log(event, level=..., **fields)`` for one node. Instances share no state."""
    levels = logging.getLevelNamesMapping()
    least = levels[level.upper()]
    handler = logging.StreamHandler(out or sys.stderr)
    handler.setFormatter(JsonLine())

    def log(event: str, level: str = "info", at: float = 0.0, **fields: object) -> None:
        """``at``: when it came, as Unix time in seconds; 0: now."""
        number = levels[level.upper()]
        if number >= least:
            record = logging.makeLogRecord({"name": node, "levelno": number, "levelname": level, "msg": event, "fields": fields})
            record.created = at or record.created
            handler.handle(record)
    return log
