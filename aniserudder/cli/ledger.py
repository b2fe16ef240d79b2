"""``aniserudder ledger``: the service that nodes share, and its file."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

from ..settings import BadSettings, load
from .common import fail, ground

if TYPE_CHECKING:
    from ..tenants.authority import Form


@click.group()
def ledger() -> None:
    """Serve, check and compact ledgers."""


@ledger.command("serve")
@click.argument("path", type=click.Path(dir_okay=False))
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=8090, show_default=True)
@click.option("--durability", type=click.Choice(["process", "power"]), default="process", show_default=True)
@click.option(
    "--settings",
    "file",
    type=click.Path(dir_okay=False),
    help="A node's settings whose tenants count, whatever nodes say; SIGHUP reads them anew.",
)
def ledger_serve(path: str, host: str, port: int, durability: str, file: str | None) -> None:
    """Run the ledger service on the file PATH until a signal."""
    import signal
    import time

    from ..eventloop import reactor
    from twisted.internet.error import CannotListenError

    from .. import logs
    from ..durable import AtOnce, Writer
    from ..ledger.service import LedgerService
    from ..ledger.store import LedgerBroken, LedgerFull, Store

    try:
        machine, log = ground(), logs.make("ledger")
        store = Store(path, durability == "power", machine.files)
        writer = AtOnce() if machine.at_once else Writer(reactor, log)
        service = LedgerService(
            reactor,
            store,
            log,
            writer.lane("ledger", store.group),
            wall=lambda: round(machine.wall() * 1e6),
            forms=_budget_forms(file) if file else None,
            steady=time.monotonic,
        )
        service.start(host, port)
    except (LedgerBroken, LedgerFull) as broken:
        fail(f"{path}: {broken}".replace(f"{path}: {path}: ", f"{path}: "))
    except CannotListenError as taken:
        fail(f"{host}:{port}: {taken.socketError.strerror}")

    def reload() -> None:
        try:
            service.reload(_budget_forms(file))
        except BadSettings as wrong:
            log("reload refused", level="error", reason=wrong.problems[0])

    if file:
        signal.signal(signal.SIGHUP, lambda number, frame: reactor.callFromThread(reload))
    reactor.run()
    service.stop()
    writer.join(1.0)


def _budget_forms(file: str) -> dict[str, Form]:
    """Budgets by name, as a node's settings have them.

    Raises:
        BadSettings: they cannot be used.
    """
    from ..settings import load_tenants
    from ..tenants.authority import Form
    from ..tenants.tree import Tree

    settings = load(file)
    try:
        tree = Tree(settings.tenants | load_tenants(settings.tenants_file))
    except ValueError as wrong:
        raise BadSettings([f"{file}: {wrong}"]) from None
    return {b.name: Form.read(b.most, b.period.value, b.window, b.offset_minutes) for t in tree.tenants.values() for b in t.budgets}


@ledger.command("check")
@click.argument("path", type=click.Path(dir_okay=False))
def ledger_check(path: str) -> None:
    """Go over all of a ledger's checksums; exit 1 if it does not add up."""
    from ..ledger.store import LedgerBroken, Store

    if not Path(path).exists():
        fail(f"{path}: No such file or directory")
    try:
        done = Store(path).verify()
    except LedgerBroken as broken:
        click.echo(str(broken), err=True)
        sys.exit(1)
    click.echo(f"{path}: {done.rows} entries, {done.first} to {done.last}, add up; {done.pending} attempts are not told")


@ledger.command("compact")
@click.argument("path", type=click.Path(dir_okay=False))
@click.option("--older-than-s", default=86400.0, show_default=True, help="Fold operations that ended before that.")
@click.option("--node", default="", help="PATH is the ledger of this node: nothing that is not shipped goes.")
def ledger_compact(path: str, older_than_s: float, node: str) -> None:
    """Fold operations that are over into one row each. Not while a node or service has the file open."""
    import time

    from ..ledger.store import LedgerBroken, LedgerFull, Store

    if not Path(path).exists():
        fail(f"{path}: No such file or directory")
    try:
        rows, folded = Store(path, True, ground().files).compact(round((time.time() - older_than_s) * 1e6), 10_000_000, node)
    except (LedgerBroken, LedgerFull) as broken:
        fail(str(broken))
    click.echo(f"{path}: {folded} operations folded, {rows} entries fewer")
