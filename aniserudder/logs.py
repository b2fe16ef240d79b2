"""Structured logs: JSON lines on standard error with one schema, by structlog.

Every line has ``at``, ``level``, ``event`` and ``node``; what speaks of a sequence or an engine has ``seq``, ``state``,
``engine``, ``ordinal`` and ``reason``.
"""
from __future__ import annotations

import logging
import sys
from collections.abc import Callable
from typing import TextIO

import structlog


def make(node: str, level: str = "info", out: TextIO | None = None) -> Callable[..., None]:
    """A ``log(event, level=..., **fields)`` for one node. Instances share no state."""
    least = logging.getLevelName(level.upper())
    logger = structlog.wrap_logger(
        structlog.PrintLogger(out or sys.stderr),
        processors=[structlog.processors.add_log_level, structlog.processors.TimeStamper(fmt="iso", key="at"),
                    structlog.processors.JSONRenderer()],
        wrapper_class=structlog.make_filtering_bound_logger(least),
        cache_logger_on_first_use=True).bind(node=node)

    def log(event: str, level: str = "info", **fields: object) -> None:
        getattr(logger, level)(event, **fields)
    return log
