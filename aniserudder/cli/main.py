"""All commands, by click. Each imports what it needs when it runs: the simulator's adapter needs none of it."""
from __future__ import annotations

import json
import sys
from pathlib import Path

import click

from ..settings import BadSettings, NodeSettings, load


class Plain(click.Group):
    """Bad input is one plain line on standard error and exit 2, whichever command met it."""

    def invoke(self, ctx: click.Context) -> object:
        try:
            return super().invoke(ctx)
        except BadSettings as wrong:
            for problem in wrong.problems:
                click.echo(problem, err=True)
            ctx.exit(2)


def fail(problem: str) -> None:
    """Bad input."""
    click.echo(problem, err=True)
    sys.exit(2)


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
    sys.exit(run(form))


@main.group("settings")
def settings_group() -> None:
    """Check settings, or print their schema."""


@settings_group.command("check")
@click.argument("file", type=click.Path(dir_okay=False))
def settings_check(file: str) -> None:
    """Say whether FILE can be used; every problem on a line of its own."""
    from ..messages.vocabulary import Vocabulary
    form = load(file)
    try:
        Vocabulary(form.messages.event_names)
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
@click.argument("day", required=False)
@click.option("--seed", default=1, show_default=True, help="Of traffic and faults; the same seed gives the same.")
@click.option("--record", type=click.Path(dir_okay=False), help="Write what was seen at the sockets there.")
@click.option("--keep", type=click.Path(file_okay=False), help="Keep nodes' settings, logs and decision records there.")
@click.option("--list", "names", is_flag=True, help="Name the shipped days.")
@click.option("--quiet", is_flag=True, help="No lines of progress.")
def rehearse(day: str | None, seed: int, record: str | None, keep: str | None, names: bool, quiet: bool) -> None:
    """Play DAY (a shipped name or a YAML file) on loopback and check the rules from the sockets.

    Exit 1 if a rule is broken, a node fails or a decision record does not replay.
    """
    from rich.console import Console

    from ..rehearsal import audit as judge, report
    from ..rehearsal.day import find, shipped
    from ..rehearsal.plan import draw
    from ..rehearsal.stage import run
    if names:
        width = max(len(name) for name in shipped())
        for name, about in shipped().items():
            click.echo(f"{name:{width}}  {about}")
        return
    if not day:
        fail("DAY is missing: a shipped name (see --list) or a YAML file")
    form = find(day)
    plan = draw(form, seed)
    click.echo(f"{day}, seed {seed}: plan {plan.digest}, {len(plan.ops)} operations, {len(plan.strikes)} troubles, "
               f"{len(plan.nodes)} nodes, {len(plan.engines)} engines, {len(form.zones)} zones")
    say = (lambda line: None) if quiet else (lambda line: click.echo(f"  {line}"))
    try:
        out = open(record, "wb") if record else None
    except OSError as problem:
        fail(f"{record}: {problem.strerror}")
    ran = run(form, plan, seed, say, out, keep or "")
    if out:
        out.close()
    if ran.trouble:
        click.echo(f"the rehearsal failed: {ran.trouble}", err=True)
        if not ran.lines:
            sys.exit(1)
    verdict = judge.audit(judge.Record(ran.lines))
    report.show(verdict, Console(width=118))
    click.echo(f"decision records: {ran.replayed} calls replayed, "
               + (f"UNEQUAL: {ran.unequal}" if ran.unequal else "all decided alike"))
    click.echo(report.last_line(verdict))
    sys.exit(1 if verdict.broken or ran.trouble or ran.unequal else 0)


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
