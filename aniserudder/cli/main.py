"""All commands, by click. Each imports what it needs when it runs: the simulator's adapter needs none of it."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click

from ..settings import NodeSettings, load
from .common import Plain, fail, ground
from .lab import lab
from .ledger import ledger
from .measure import measure
from .rehearse import rehearse
from .standin import standin


@click.group(cls=Plain, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="aniserudder", prog_name="aniserudder")
def main() -> None:
    """A router of language-model sequences to separate readers and writers.

    Exit codes: 0 done; 1 what was checked did not hold; 2 bad input, told in one plain line.
    """


@main.command()
@click.argument("settings", type=click.Path(dir_okay=False))
@click.option("--standins", is_flag=True, help="Also run stand-in engines at the addresses of the settings' rows.")
def serve(settings: str, standins: bool) -> None:
    """Run one node until SIGTERM or SIGINT.

    On a signal it takes nothing new, answers what it has taken, lets go of what is held and exits 0.
    """
    from ..daemon import serve as run

    form = load(settings)
    if standins:
        from ..standins.beside import start_for

        start_for(form)
    sys.exit(run(form, settings, ground()))


@main.command()
def node() -> None:
    """Run one node on the operators' platform, as NODE_CONFIG says, until SIGTERM or SIGINT.

    ``python -m aniserudder node`` does the same in less memory.
    """
    from ..platform.node import run

    sys.exit(run())


@main.group("settings")
def settings_group() -> None:
    """Check settings, or print their schema."""


@settings_group.command("check")
@click.argument("file", type=click.Path(dir_okay=False))
def settings_check(file: str) -> None:
    """Say whether FILE can be used; every problem on a line of its own."""
    from ..messages.vocabulary import Vocabulary
    from ..settings import load_tenants
    from ..tenants.tree import Tree

    form = load(file)
    try:
        Vocabulary(form.messages.event_names)
        Tree(form.tenants | load_tenants(form.tenants_file))
    except ValueError as wrong:
        fail(f"{file}: {wrong}")
    click.echo(f"{file}: good: node {form.node}, {len(form.types)} traffic types, {len(form.kinds)} kinds of engines")


@settings_group.command("schema")
def settings_schema() -> None:
    """Print the JSON schema of the settings."""
    click.echo(json.dumps(NodeSettings.model_json_schema(), indent=2))


@main.command()
@click.argument("record", type=click.Path(dir_okay=False))
def replay(record: str) -> None:
    """Play a decision RECORD into a fresh node and compare; exit 1 at the first difference."""
    from ..core import Unequal, replay as play

    try:
        with Path(record).open("rb") as lines:
            done = play(lines)
    except OSError as problem:
        fail(f"{record}: {problem.strerror}")
    except Unequal as wrong:
        click.echo(f"{record}: {wrong}", err=True)
        sys.exit(2 if str(wrong).startswith("line 1:") else 1)
    click.echo(f"{record}: {done.calls} calls of node {done.node or '-'}, {done.sequences} sequences: all decided alike")


@main.command()
@click.argument("record", type=click.Path(dir_okay=False))
def audit(record: str) -> None:
    """Check the five rules in a RECORD of a rehearsal; exit 1 if one is broken."""
    from rich.console import Console

    from ..rehearsal import audit as judge, report

    try:
        with Path(record).open("rb") as lines:
            verdict = judge.audit(judge.read(lines))
    except OSError as problem:
        fail(f"{record}: {problem.strerror}")
    except judge.BadRecord as wrong:
        fail(f"{record}: {wrong}")
    report.show(verdict, Console(width=118))
    click.echo(report.last_line(verdict))
    sys.exit(1 if verdict.broken else 0)


@main.command()
@click.argument("nodes", nargs=-1)
@click.option("--ledger", default="", help="The ledger service's host:port.")
@click.option("--within", default=2.0, show_default=True, type=click.FloatRange(0.1, 60), help="Seconds that an answer may take.")
def fleet(nodes: tuple[str, ...], ledger: str, within: float) -> None:
    """Show where NODES (host:port of each) and the ledger are on their way back; exit 1 if one takes no sequences."""
    from ..cli.fleet import show

    if not nodes and not ledger:
        fail("NODES: missing, and no --ledger")
    sys.exit(1 if show(list(nodes), ledger, within, fail) else 0)


@main.command()
@click.option("--period", required=True, help="A day, month or year in UTC: 2026-12-01, 2026-12, 2026.")
@click.option("--settings", "file", type=click.Path(dir_okay=False), help="Prices, and the ledger if none is named.")
@click.option("--ledger", "path", type=click.Path(dir_okay=False), help="The ledger service's file, or a node's.")
@click.option("--tenant", help="This tenant and all under it.")
@click.option("--format", "form", type=click.Choice(["table", "csv", "json"]), default="table", show_default=True)
def bills(period: str, file: str | None, path: str | None, tenant: str | None, form: str) -> None:
    """Print the bills of a period: by tenant and traffic type, tokens that were charged, lost and repeated."""
    from ..cli.bills import show

    show(period, file, path, tenant, form, fail)


@main.command()
@click.option("--seed", "first", default=1, show_default=True, help="Of the faults; the interleaving of processes is the machine's.")
@click.option("--count", default=1, show_default=True, type=click.IntRange(1, 1000), help="So many seeds, from the first on.")
@click.option("--seconds", default=20.0, show_default=True, type=click.FloatRange(4.0, 3600.0), help="That faults come, for each seed.")
@click.option("--keep", default="", type=click.Path(file_okay=False), help="Keep all processes' logs there; it must hold no earlier ones.")
@click.option("--copies", type=click.IntRange(1, 2000), help="Ids under which each of the seven engines is listed; else by seed.")
@click.option("--clients", type=click.IntRange(1, 200), help="Clients in each of three processes; else by seed.")
@click.option(
    "--profile",
    default="mixed",
    show_default=True,
    type=click.Choice(["mixed", "partitions", "restarts", "crowds", "slow", "lists", "roles", "fetches"]),
    help="What faults there are most of.",
)
def soak(first: int, count: int, seconds: float, keep: str, copies: int | None, clients: int | None, profile: str) -> None:
    """Play randomized faults on platform nodes, engines, proxies and clients, each a process on loopback; exit 1 if a rule was broken."""
    from ..cli.soak import show
    from ..soak.plan import Profile

    try:
        broken = show(list(range(first, first + count)), seconds, keep, copies, clients, Profile(profile))
    except (OSError, RuntimeError) as problem:
        fail(f"soak: {problem}")
    sys.exit(1 if broken else 0)


for command in (rehearse, lab, measure, standin, ledger):
    main.add_command(command)
