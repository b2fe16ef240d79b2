"""``aniserudder lab``: days and plans in simulated time."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

import click

from .common import fail
from .rehearse import play_apart

if TYPE_CHECKING:
    from ..lab import experiment
    from ..lab.stage import Played
    from ..rehearsal.day import Day


@click.group()
def lab() -> None:
    """Play days in simulated time: real nodes, stand-ins and clients on a simulated clock and network."""


@lab.command("run")
@click.argument("what", required=False)
@click.option("--seed", default=1, show_default=True, help="Of a day; a plan has its own.")
@click.option("--record", type=click.Path(dir_okay=False), help="Of a day: write what was seen at the sockets there.")
@click.option("--store", default="lab.results", show_default=True, type=click.Path(dir_okay=False), help="Of a plan: its results.")
@click.option("--processes", type=click.IntRange(1, 256), help="Of a plan; by default all cores.")
@click.option("--replay/--no-replay", "records", default=None, help="Keep decision records and replay them; by default up to 8 nodes.")
@click.option("--list", "names", is_flag=True, help="Name the shipped plans.")
@click.option("--quiet", is_flag=True, help="No lines of progress.")
def lab_run(
    what: str | None, seed: int, record: str | None, store: str, processes: int | None, records: bool | None, names: bool, quiet: bool
) -> None:
    """Play WHAT in simulated time: a day (a shipped name or a YAML file) or a plan of many, and check the rules."""
    from ..lab import experiment

    if names:
        for name, about in experiment.shipped_plans().items():
            click.echo(f"{name:10}  {about}")
        return
    if not what:
        fail("WHAT is missing: a day (see rehearse --list), a plan (see --list) or a YAML file of either")
    say = (lambda line: None) if quiet else (lambda line: click.echo(f"  {line}"))
    plan = experiment.find_plan(what)
    sys.exit(_lab_day(what, seed, record, records, say) if plan is None else _lab_plan(plan, store, processes, say))


def _lab_plan(plan: experiment.Plan, store: str, processes: int | None, say: Callable[[str], None]) -> int:
    """Carries a plan out."""
    import sqlite3
    import time

    from rich.console import Console
    from rich.table import Table

    from ..lab import experiment

    began = time.perf_counter()
    try:
        kept = experiment.Results(store)
    except sqlite3.Error as wrong:
        fail(f"{store}: {wrong}")
    results = experiment.carry_out(plan, kept, processes, say)
    kept.close()
    table = Table(title="shares of operations, mean and 95 % interval (simulated time)", title_justify="left")
    for name in ("group", "days", "within SLO", "apart, paired", "utility", "median ms", "99th"):
        table.add_column(name, justify="left" if name == "group" else "right")
    for name, rows in experiment.groups(results):
        base = experiment.base_of(results, name)
        apart = "" if name == base else f"{experiment.differences(results, name, base)} of {base}"
        table.add_row(
            name,
            str(len(rows)),
            str(experiment.bootstrap([r.in_slo for r in rows])),
            apart,
            str(experiment.bootstrap([r.utility for r in rows])),
            *(f"{sum(getattr(r, m) for r in rows) / len(rows):.0f}" for m in ("median_ms", "p99_ms")),
        )
    Console(width=170).print(table, markup=False)
    broken = sorted({rule for r in results for rule in r.broken})
    for r in results:
        if r.broken or r.trouble:
            click.echo(f"{r.group}, seed {r.seed}: broke {r.broken} {r.trouble}")
    click.echo(
        f"lab: rules {5 - len(broken)} kept, {len(broken)} broken; {sum(r.sequences for r in results)} sequences; "
        f"{len(results)} days in {time.perf_counter() - began:.0f} s"
    )
    return 1 if broken or any(r.trouble for r in results) else 0


def _lab_day(day: str, seed: int, record: str | None, records: bool | None, say: Callable[[str], None]) -> int:
    """Plays one day."""
    import tempfile

    from rich.console import Console

    from ..rehearsal import audit as judge, report
    from ..rehearsal.day import find

    form = find(day)
    with tempfile.TemporaryDirectory(prefix="lab-") as folder:
        done = _lab_play(day, form, seed, Path(folder), say, records)
    if record:
        import msgspec

        try:
            Path(record).write_bytes(b"".join(msgspec.json.encode(line) + b"\n" for line in done.ran.lines))
        except OSError as problem:
            fail(f"{record}: {problem.strerror}")
    if done.ran.trouble:
        click.echo(f"the day failed: {done.ran.trouble}", err=True)
    verdict = judge.audit(judge.Record(done.ran.lines))
    report.show(verdict, Console(width=118))
    if done.ran.replayed:
        click.echo(
            f"decision records: {done.ran.replayed} calls replayed, "
            + (f"UNEQUAL: {done.ran.unequal}" if done.ran.unequal else "all decided alike")
        )
    click.echo(report.last_line(verdict))
    click.echo(f"{done.simulated:.0f} s simulated in {done.took:.1f} s, {done.events} events, {done.events / done.took:.0f} a second")
    broken = len(verdict.broken)
    click.echo(f"lab: rules {5 - broken} kept, {broken} broken; {verdict.sequences} sequences; {done.speed:.1f} x real time")
    return 1 if broken or done.ran.trouble or done.ran.unequal else 0


def _lab_play(day: str, form: Day, seed: int, folder: Path, say: Callable[[str], None], records: bool | None) -> Played:
    from ..lab.stage import run as play
    from ..rehearsal.plan import draw

    missing = (
        sorted({f.trouble for f in form.troubles} & {"flood", "ledger_crash", "frozen"})
        + ["ledger"] * form.ledger
        + ["disk"] * (form.disk is not None)
        + ["links"] * form.links
    )
    if missing:
        fail(f"{day}: {', '.join(missing)} cannot be played in simulated time: rehearse it")
    plan = draw(form, seed)
    click.echo(
        f"{day}, seed {seed}: plan {plan.digest}, {len(plan.ops)} operations, {len(plan.strikes)} troubles, "
        f"{len(plan.nodes)} nodes, {len(plan.engines)} engines, {len(form.zones)} zones"
    )
    return play(form, plan, seed, folder, say, len(plan.nodes) <= 8 if records is None else records)


@lab.command("agree")
@click.argument("day")
@click.option("--seed", default=1, show_default=True)
@click.option("--within", default=0.03, show_default=True, help="How far a share within SLO may lie apart.")
def lab_agree(day: str, seed: int, within: float) -> None:
    """Play DAY in simulated time and on loopback and compare shares within SLO; exit 1 if they lie apart."""
    import tempfile

    from rich.console import Console
    from rich.table import Table

    from ..rehearsal import audit as judge
    from ..rehearsal.day import find

    form = find(day)
    with tempfile.TemporaryDirectory(prefix="lab-") as folder:
        done = _lab_play(day, form, seed, Path(folder), lambda line: None, False)
    simulated = judge.audit(judge.Record(done.ran.lines))
    loopback = judge.audit(play_apart(day, seed, ["--resume", form.streams.resume]))
    table = Table(title="shares of operations generated within SLO", title_justify="left")
    for name in ("type", "asked", "simulated", "loopback", "apart", "median ms", "loopback", "99th", "loopback"):
        table.add_column(name, justify="left" if name == "type" else "right")
    worst = 0.0
    both = [simulated.types, loopback.types]
    for name in [*sorted(both[0]), "all"]:
        rows = [[kind[name]] if name != "all" else list(kind.values()) for kind in both]
        part = [sum(r.in_slo for r in some) / max(1, sum(r.asked for r in some)) for some in rows]
        took = [sorted(t for r in some for t in r.latency) or [0] for some in rows]
        marks = [f"{t[min(len(t) - 1, int(p * len(t)))] / 1000:.0f}" for p in (0.5, 0.99) for t in took]
        if name == "all":
            worst = abs(part[0] - part[1])
        table.add_row(name, str(sum(r.asked for r in rows[0])), f"{part[0]:.3f}", f"{part[1]:.3f}", f"{part[0] - part[1]:+.3f}", *marks)
    Console(width=130).print(table)
    broken = sorted({*simulated.broken, *loopback.broken})
    click.echo(
        f"agreement: {worst:.3f} apart, allowed {within:g}; rules: {5 - len(broken)} kept, {len(broken)} broken; "
        f"{done.speed:.1f} x real time"
    )
    sys.exit(1 if worst >= within or broken else 0)


@lab.command("search")
@click.argument("day")
@click.option("--days", default=200, show_default=True, type=click.IntRange(1, 100_000), help="That are tried.")
@click.option("--seed", default=1, show_default=True, help="Of the search.")
@click.option("--traffic", default=1, show_default=True, help="Seed of the arrivals, the same for all days.")
@click.option("--out", type=click.Path(dir_okay=False), help="Write the shrunk day there.")
@click.option("--processes", type=click.IntRange(1, 256))
def lab_search(day: str, days: int, seed: int, traffic: int, out: str | None, processes: int | None) -> None:
    """Look for faults on DAY's fleet that break a rule or lose most, and shrink what is found; exit 1 if a rule broke."""
    import os
    from concurrent.futures import ProcessPoolExecutor

    from ..lab.search import Search, as_day
    from ..rehearsal.day import find

    form = find(day)
    if form.ledger:
        fail(f"{day}: a ledger cannot be played in simulated time")
    search = Search(form, seed, traffic)
    width = processes or os.cpu_count() or 1
    say = lambda line: click.echo(f"  {line}")  # noqa: E731
    with ProcessPoolExecutor(width) as pool:
        found = search.shrink(search.look(days, pool, 2 * width, say), pool, say)
    text = as_day(day, found, traffic)
    click.echo(text, nl=False)
    if out:
        try:
            Path(out).write_text(text)
        except OSError as problem:
            fail(f"{out}: {problem.strerror}")
    click.echo(
        f"search: {search.tried} days, rules {5 - len(found.broken)} kept, {len(found.broken)} broken; worst "
        f"{found.utility:.3f} of the utility with {len(found.troubles)} faults"
    )
    sys.exit(1 if found.broken or found.trouble else 0)


@lab.command("compare")
@click.argument("one")
@click.argument("other")
@click.option("--store", default="lab.results", show_default=True, type=click.Path(dir_okay=False))
def lab_compare(one: str, other: str, store: str) -> None:
    """Compare two groups of a store's results, paired by seed: ONE less OTHER with 95 % intervals."""
    from ..lab import experiment

    results = _stored(store)
    for measure in experiment.MEASURES:
        found = experiment.differences(results, one, other, measure)
        clear = "" if found.low <= 0 <= found.high else "  clear"
        click.echo(f"{measure:10} {found.mean:+.4f} [{found.low:+.4f}, {found.high:+.4f}]{clear}")


@lab.command("report")
@click.argument("path", type=click.Path(dir_okay=False))
@click.option("--store", default="lab.results", show_default=True, type=click.Path(dir_okay=False))
@click.option("--title", default="laboratory", show_default=True)
@click.option("--plan", "name", help="Only the results of this plan, in its order.")
def lab_report(path: str, store: str, title: str, name: str | None) -> None:
    """Write a store's results to PATH as one HTML page, and its plots beside it as PNG."""
    from ..lab import experiment, report as pages

    cells = None
    if name:
        plan = experiment.find_plan(name)
        if plan is None:
            fail(f"{name}: no such plan, see lab run --list")
        cells = plan.cells()
    try:
        files = pages.page(title, _stored(store, cells), Path(path))
    except OSError as problem:
        fail(f"{path}: {problem.strerror}")
    click.echo(", ".join(map(str, files)))


def _stored(store: str, cells: list[experiment.Cell] | None = None) -> list[experiment.Result]:
    import sqlite3

    from ..lab import experiment

    if not Path(store).is_file():
        fail(f"{store}: No such file or directory")
    try:
        results = experiment.Results(store).all(cells)
    except sqlite3.Error as wrong:
        fail(f"{store}: {wrong}")
    if not results:
        fail(f"{store}: holds no results" + (" of this plan" if cells else ""))
    return results
