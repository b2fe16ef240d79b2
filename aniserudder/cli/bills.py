"""Prints bills as a table, CSV or JSON."""

from __future__ import annotations

import csv
import json
import sys
from collections.abc import Callable
from datetime import datetime, timezone
from pathlib import Path

import click
from rich.console import Console
from rich.table import Table

from ..ledger.store import LedgerBroken, Store
from ..settings import load, load_tenants
from ..settings.schema import NodeSettings
from ..tenants.billing import Line, Price
from ..tenants.tree import Tree

COLUMNS = (
    "tenant",
    "type",
    "operations",
    "tries",
    "read",
    "kept",
    "written",
    "lost_read",
    "lost_kept",
    "lost_written",
    "repeated_read",
    "repeated_kept",
    "repeated_written",
    "unconfirmed",
    "amount",
)


def span(period: str) -> tuple[int, int]:
    """A day, month or year as microseconds of wall time, in UTC.

    Raises:
        ValueError: it is none.
    """
    for form in ("%Y-%m-%d", "%Y-%m", "%Y"):
        try:
            begin = datetime.strptime(period, form).replace(tzinfo=timezone.utc)
        except ValueError:
            continue
        if form == "%Y-%m-%d":
            days = 1
        else:
            later = (
                begin.replace(year=begin.year + 1)
                if form == "%Y"
                else begin.replace(year=begin.year + begin.month // 12, month=begin.month % 12 + 1)
            )
            days = (later - begin).days
        start = round(begin.timestamp()) * 1_000_000
        return start, start + days * 86_400_000_000
    raise ValueError(f"--period: found {period!r}, allowed: 2026-12-01, 2026-12 or 2026")


def row(line: Line) -> tuple[object, ...]:
    return (
        line.tenant,
        line.type,
        line.operations,
        line.tries,
        *line.charged.row(),
        *line.lost.row(),
        *line.repeated.row(),
        line.unconfirmed,
        f"{line.amount:f}",
    )


def show(period: str, file: str | None, path: str | None, tenant: str | None, form: str, fail: Callable[[str], None]) -> None:
    """Prints the bills; bad input ends by ``fail``."""
    settings: NodeSettings | None = load(file) if file else None
    path = path or (settings.ledger.path if settings else "")
    if not path:
        fail("--ledger or --settings with ledger.path is needed")
    if not Path(path).exists():
        fail(f"{path}: No such file or directory")
    try:
        since, until = span(period)
        prices = [Price(p.since, p.read, p.kept, p.written, p.types) for p in settings.prices] if settings else []
        recognise = round(settings.ledger.recognise_s * 1e6) if settings else 10_000_000
        lines = Store(path).bill(since, until, prices, recognise, settings.ledger.lost_to if settings else "operator")
        if tenant:
            under = Tree(settings.tenants | load_tenants(settings.tenants_file)) if settings else Tree({})
            lines = [b for b in lines if tenant in {t.name for t in under.find(b.tenant).path()}]
    except (ValueError, LedgerBroken) as wrong:
        fail(str(wrong))
    if form == "json":
        click.echo(json.dumps([dict(zip(COLUMNS, row(b))) for b in lines], indent=1))
    elif form == "csv":
        out = csv.writer(sys.stdout, lineterminator="\n")
        out.writerow(COLUMNS)
        out.writerows(row(b) for b in lines)
    else:
        table = Table(title=f"bills of {period}: {path}", title_justify="left")
        for name in ("tenant", "type", "operations", "tries", "read/kept/written", "lost", "repeated", "unconfirmed", "amount"):
            table.add_column(name, justify="left" if name in ("tenant", "type") else "right")
        for b in lines:
            sums = ["/".join(map(str, t.row())) for t in (b.charged, b.lost, b.repeated)]
            table.add_row(b.tenant, b.type, str(b.operations), str(b.tries), *sums, str(b.unconfirmed), f"{b.amount:f}")
        Console(width=140).print(table)
        click.echo(f"{len(lines)} lines, {sum(b.operations for b in lines)} operations, amount {sum(b.amount for b in lines)}")
