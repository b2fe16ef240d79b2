"""``aniserudder measure``: what the program costs, on this machine's loopback."""

from __future__ import annotations

import sys

import click

from .common import fail


@click.group()
def measure() -> None:
    """Measure what the program costs, on this machine's loopback."""


@measure.command("disk")
@click.option("--flush", "flushes", default="1,10,80", show_default=True, help="Milliseconds that a flush takes, by commas.")
@click.option("--rates", default="1,10,100", show_default=True, help="Sequences a second, by commas.")
@click.option("--seconds", default=5.0, show_default=True, type=click.FloatRange(1, 300))
@click.option("--seed", default=1, show_default=True)
def measure_disk(flushes: str, rates: str, seconds: float, seed: int) -> None:
    """Entries on the disk before each send: lanes of their own against writes on the reactor's thread."""
    from rich.console import Console
    from rich.table import Table

    from ..measure.disks import disks

    try:
        asked = [[float(x) for x in text.split(",")] for text in (flushes, rates)]
    except ValueError:
        fail(f"--flush, --rates: numbers by commas, found {flushes!r}, {rates!r}")
    if any(x <= 0 or x > 10_000 for some in asked for x in some):
        fail("--flush, --rates: allowed are numbers over 0 and up to 10000")
    table = Table(title="time to the whole answer in ms, power durability: lanes / on the reactor's thread", title_justify="left")
    for name in ("flush ms", "per second", "generated", "failed", "median", "99th", "worst"):
        table.add_column(name, justify="right")
    for cell in disks(*asked, seconds, seed):
        both = (cell.lanes, cell.at_once)
        marks = [" / ".join(f"{w.whole.get_value_at_percentile(p) / 1000:.0f}" for w in both) for p in (50, 99, 100)]
        table.add_row(
            f"{cell.flush_ms:g}", f"{cell.rate:g}", " / ".join(str(w.done) for w in both), " / ".join(str(w.failed) for w in both), *marks
        )
    Console(width=118).print(table)


@measure.command("overhead")
@click.option("--ledger", is_flag=True, help="The node keeps a ledger and budgets.")
@click.option("--rate", default=160.0, show_default=True, help="Sequences a second on each path.")
@click.option("--seconds", default=10.0, show_default=True, type=click.FloatRange(1, 300))
@click.option("--tokens", default=16, show_default=True, type=click.IntRange(1, 1000), help="Most tokens of an answer.")
@click.option("--seed", default=1, show_default=True)
@click.option("--profile", type=click.Path(dir_okay=False), help="Also write the node's cProfile figures there.")
def measure_overhead(ledger: bool, rate: float, seconds: float, tokens: int, seed: int, profile: str | None) -> None:
    """The same load straight at a stand-in engine and through one node, side by side."""
    from rich.console import Console
    from rich.table import Table

    from ..measure.overhead import overhead

    got = overhead(rate, seconds, tokens, seed, profile or "", ledger)
    table = Table(title=f"{rate:g} sequences a second for {seconds:g} s on each path, at most {tokens} tokens", title_justify="left")
    for column in ("path", "done", "failed", "first: median ms", "99th", "99.9th", "whole: median ms", "99th"):
        table.add_column(column, justify="left" if column == "path" else "right")
    for name, path in (("direct", got.direct), ("routed", got.routed)):
        marks = [path.first.get_value_at_percentile(p) / 1000 for p in (50, 99, 99.9)]
        marks += [path.whole.get_value_at_percentile(p) / 1000 for p in (50, 99)]
        table.add_row(name, str(path.done), str(path.failed), *(f"{m:.2f}" for m in marks))
    Console(width=118).print(table)
    click.echo(
        f"added to the first event: median {got.added(50):.2f} ms, 99th {got.added(99):.2f} ms; "
        f"{got.routed.done / got.routed.took:.1f} sequences a second through the node; "
        f"CPU of the node {got.cpu_us:.0f} us a sequence, "
        f"{got.cpu_us * got.routed.done / got.routed.took / 1e4:.0f} % of one core"
    )
    sys.exit(1 if got.routed.failed or got.direct.failed else 0)


@measure.command("budgets")
@click.option("--seed", default=1, show_default=True)
@click.option("--sequences", default=20_000, show_default=True, type=click.IntRange(100))
@click.option("--plot", "picture", type=click.Path(dir_okay=False), help="Also write a PNG there.")
def measure_budgets(seed: int, sequences: int, picture: str | None) -> None:
    """Overspend and false refusals of the ways in which a budget can hold over nodes (simulated time)."""
    from rich.console import Console
    from rich.table import Table

    from ..measure.budgets import WAYS, plot, table

    found = table(seed, sequences)
    shown = Table(title="% of the budget: overspent / falsely refused / unused (bound on overspend)", title_justify="left")
    shown.add_column("case")
    for way in WAYS:
        shown.add_column(way, justify="right")
    for name, _, ways in found:
        shown.add_row(
            name,
            *(
                f"{100 * w.overspent:.2f} / {100 * w.refused:.2f} / {100 * w.unused:.2f}"
                + (f" ({100 * w.bound:.1f})" if w.way in ("leases", "ahead") else "")
                for w in ways
            ),
        )
    Console(width=140).print(shown)
    if picture:
        plot(found, picture)
    beyond = [name for name, _, ways in found for w in ways if w.overspent > w.bound]
    click.echo(f"bounds: {len(found) * len(WAYS) - len(beyond)} kept, {len(beyond)} exceeded")
    sys.exit(1 if beyond else 0)


@measure.command("evidence")
@click.option("--seed", default=1, show_default=True)
@click.option("--nodes", default="3,30,140", show_default=True, help="Numbers of nodes, by commas.")
def measure_evidence(seed: int, nodes: str) -> None:
    """What one wrong node does to a budget that all share: nodes believed, and what they say weighed (simulated time)."""
    from rich.console import Console
    from rich.table import Table

    from ..measure.evidence import table

    try:
        sizes = tuple(int(n) for n in nodes.split(","))
    except ValueError:
        fail(f"--nodes: found {nodes!r}, expected numbers by commas")
    if not sizes or min(sizes) < 1 or max(sizes) > 400:
        fail(f"--nodes: found {nodes!r}, allowed: 1 to 400")
    found = table(seed, sizes)
    shown = Table(title="% of the budget: overspent / falsely refused / unused", title_justify="left")
    for name in ("case", "nodes believed", "weighed", "overdrafts allow"):
        shown.add_column(name, justify="left" if name == "case" else "right")
    for case, *both in found:
        shown.add_row(
            case.name,
            *(f"{100 * f.overspent:.1f} / {100 * f.refused:.1f} / {100 * f.unused:.1f}" for f in both),
            f"{100 * both[1].bound:.1f}",
        )
    Console(width=118).print(shown)
    beyond = [case.name for case, _, weighed in found if weighed.overspent > weighed.bound]
    before = [case.name for case, believed, _ in found if believed.overspent > believed.bound]
    click.echo(
        f"evidence: {len(found) - len(beyond)} of {len(found)} cases within what overdrafts allow (nodes believed {len(found) - len(before)})"
    )
    sys.exit(1 if beyond else 0)


@measure.command("ledger")
@click.option("--sequences", default="1000,10000,50000", show_default=True, help="Lengths, by commas.")
@click.option("--durability", type=click.Choice(["process", "power"]), default="process", show_default=True)
def measure_ledger(sequences: str, durability: str) -> None:
    """Appends a second, opening time, size and compaction by length; a reservation on the hot path."""
    from rich.console import Console
    from rich.table import Table

    from ..measure.books import TENANTS, length, reservation

    try:
        lengths = [int(n) for n in sequences.split(",")]
    except ValueError:
        fail(f"--sequences: found {sequences!r}, allowed: numbers by commas")
    shown = Table(title=f"ledger, durability {durability}", title_justify="left")
    for name in ("sequences", "entries", "appends a second", "open ms", "check all ms", "bytes", "compact ms", "bytes after"):
        shown.add_column(name, justify="right")
    for n in lengths:
        got = length(n, durability == "power")
        shown.add_row(
            str(n),
            str(got.entries),
            f"{got.append_s:.0f}",
            f"{got.open_ms:.1f}",
            f"{got.check_ms:.0f}",
            str(got.size),
            f"{got.compact_ms:.0f}",
            str(got.compact_size),
        )
    Console(width=118).print(shown)
    none, tree, written = reservation(20_000)
    click.echo(
        f"a reservation and its settlement: {none:.1f} us without budgets, {tree:.1f} us among {TENANTS} tenants with six "
        f"budgets each way up, {written:.1f} us with the six entries of a sequence written"
    )


@measure.command("admission")
@click.option("--seed", default=1, show_default=True)
@click.option("--count", default=100_000, show_default=True, type=click.IntRange(1000), help="Lookups, timers, connections.")
def measure_admission(seed: int, count: int) -> None:
    """The structures made for admission against plain ones, and the orders of the entry queue."""
    from rich.console import Console
    from rich.table import Table

    from ..measure import admission as made

    shown = Table(title="made for the job against plain", title_justify="left")
    for name in ("what", "made", "plain", ""):
        shown.add_column(name)
    rows = [
        *made.prefixes(seed, 10_000, count),
        *made.timers(seed, count),
        *made.hitters(seed, 3 * count, 1024),
        *made.accepting(seed, count),
        *made.memory(2000),
    ]
    for row in rows:
        shown.add_row(row.what, row.made, row.plain, row.note)
    console = Console(width=150)
    console.print(shown)
    queue = Table(title="utility taken up in time, of all that came (simulated time)", title_justify="left")
    queue.add_column("load")
    found = made.orders(seed)
    for order in found[0][3]:
        queue.add_column(order.value, justify="right")
    for name, _, _, shares in found:
        queue.add_row(name, *(f"{share:.3f}" for share in shares.values()))
    console.print(queue)


@measure.command("streams")
@click.option("--seeds", default=3, show_default=True, type=click.IntRange(1, 100), help="Days of each case, by policy.")
@click.option("--plot", "picture", type=click.Path(dir_okay=False), help="Also write a PNG there.")
def measure_streams(seeds: int, picture: str | None) -> None:
    """Who is read again when after a writer's death, by policy (simulated time); and journals against plain ones."""
    from rich.console import Console
    from rich.table import Table

    from ..measure import journals, recovery

    console = Console(width=170)
    kept = Table(title="a stream's events", title_justify="left")
    for name in ("kept as", "bytes an event", "to keep one: us", "to give back a tenth of 1,000: us"):
        kept.add_column(name, justify="left" if name == "kept as" else "right")
    for row in journals.rows():
        kept.add_row(row.way, f"{row.bytes_an_event:.1f}", f"{row.keep_us:.2f}", f"{row.tail_us:.1f}")
    console.print(kept)
    found = recovery.table(list(range(1, seeds + 1)))
    shown = Table(title="a writer dies with its streams (simulated time, real routers)", title_justify="left")
    for name in (
        "case",
        "policy",
        "lost",
        "saved",
        "% of utility",
        "pause: median s",
        "99th",
        "given up after s",
        "new arrivals in SLO %",
        "read again",
    ):
        shown.add_column(name, justify="left" if name in ("case", "policy") else "right")
    for row in found:
        for one in row:
            shown.add_row(
                one.case if one is row[0] else "",
                one.policy,
                str(one.lost),
                str(one.saved),
                f"{100 * one.utility:.0f}",
                f"{one.pause(0.5):.2f}",
                f"{one.pause(0.99):.2f}",
                f"{one.waited:.2f}",
                f"{100 * one.in_slo:.1f}",
                str(one.extra),
            )
        shown.add_section()
    console.print(shown)
    if picture:
        recovery.plot(found, picture)
