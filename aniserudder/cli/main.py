"""All commands, by click. Each imports what it needs when it runs: the simulator's adapter needs none of it."""
from __future__ import annotations

import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

import click

from ..settings import BadSettings, NodeSettings, load

if TYPE_CHECKING:
    from ..durable import Ground
    from ..lab import experiment
    from ..lab.stage import Played
    from ..rehearsal import audit as judge
    from ..rehearsal.day import Day
    from ..rehearsal.outage import Outage
    from ..tenants.authority import Form


class Plain(click.Group):
    """Bad input is one plain line on standard error and exit 2, whichever command met it."""

    def invoke(self, ctx: click.Context) -> object:
        try:
            return super().invoke(ctx)
        except BadSettings as wrong:
            for problem in wrong.problems:
                click.echo(problem, err=True)
            ctx.exit(2)


def _ground() -> Ground:
    """The machine's own, or what a stand-in put in its place."""
    from ..durable import Ground
    return click.get_current_context().obj or Ground()


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
    sys.exit(run(form, settings, _ground()))


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
@click.argument("day", required=False)
@click.option("--seed", default=1, show_default=True, help="Of traffic and faults; the same seed gives the same.")
@click.option("--record", type=click.Path(dir_okay=False), help="Write what was seen at the sockets there.")
@click.option("--keep", type=click.Path(file_okay=False), help="Keep nodes' settings, logs and decision records there.")
@click.option("--list", "names", is_flag=True, help="Name the shipped days.")
@click.option("--quiet", is_flag=True, help="No lines of progress.")
@click.option("--resume", type=click.Choice(["node", "client", "off"]), help="Who continues broken streams, whatever the day says.")
@click.option("--policy", type=click.Choice(["weigh", "trust", "wait"]), help="What starts believe, whatever the day says.")
@click.option("--at-once", is_flag=True, help="Of a day with a disk of its own: nodes write on the reactor's thread, as a baseline.")
@click.option("--no-claims", is_flag=True, help="Nodes know of no claimed operations, as a baseline.")
@click.option("--plot", "picture", type=click.Path(dir_okay=False), help="Of a day with a twin: also write a PNG there.")
def rehearse(day: str | None, seed: int, record: str | None, keep: str | None, names: bool, quiet: bool, resume: str | None,
             policy: str | None, at_once: bool, no_claims: bool, picture: str | None) -> None:
    """Play DAY (a shipped name or a YAML file) on loopback and check the rules from the sockets.

    Exit 1 if a rule is broken, a node fails or a decision record does not replay.
    """
    from rich.console import Console

    from ..rehearsal import audit as judge, report
    from ..rehearsal.bills import compare
    from ..rehearsal.day import LOOPBACK_NODES, LOOPBACK_SECONDS, find, shipped
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
    if policy:
        form = form.model_copy(update={"recovery": form.recovery.model_copy(update={"policy": policy})})
    if at_once:
        if form.disk is None:
            fail(f"{day}: --at-once needs a day with a disk of its own")
        form = form.model_copy(update={"disk": form.disk.model_copy(update={"at_once": True})})
    if no_claims:
        form = form.model_copy(update={"claims": False})
    if resume:
        form = form.model_copy(update={"twin": "", "streams": form.streams.model_copy(update={"resume": resume})})
    if sum(form.nodes.values()) > LOOPBACK_NODES or form.seconds > LOOPBACK_SECONDS:
        fail(f"{day}: {sum(form.nodes.values())} nodes and {form.seconds:g} s, allowed on loopback: {LOOPBACK_NODES} and "
             f"{LOOPBACK_SECONDS}; aniserudder lab run plays it in simulated time")
    plan = draw(form, seed)
    click.echo(f"{day}, seed {seed}: plan {plan.digest}, {len(plan.ops)} operations, {len(plan.strikes)} troubles, "
               f"{len(plan.nodes)} nodes, {len(plan.engines)} engines, {len(form.zones)} zones")
    say = (lambda line: None) if quiet else (lambda line: click.echo(f"  {line}"))
    twin = play_twin(day, seed, say) if form.twin == "streams" else None
    others = {name: play_policy(day, seed, name, say) for name in ("trust", "wait")} if form.twin == "recovery" and not policy else {}
    without_claims = play_without_claims(day, seed, say) if form.twin == "claims" and not no_claims else None
    at_once_too = play_at_once(day, seed, say) if form.twin == "disk" and not at_once else None
    try:
        out = open(record, "wb") if record else None
    except OSError as problem:
        fail(f"{record}: {problem.strerror}")
    agreed = []
    after = (lambda folder, ran: agreed.append(compare(folder, ran.lines))) if form.ledger else None
    ran = run(form, plan, seed, say, out, keep or "", after)
    if out:
        out.close()
    if ran.trouble:
        click.echo(f"the rehearsal failed: {ran.trouble}", err=True)
        if not ran.lines:
            sys.exit(1)
    seen = judge.Record(ran.lines)
    verdict = judge.audit(seen)
    report.show(verdict, Console(width=118))
    click.echo(f"decision records: {ran.replayed} calls replayed, "
               + (f"UNEQUAL: {ran.unequal}" if ran.unequal else "all decided alike"))
    click.echo(report.last_line(verdict))
    differs = bool(agreed) and report.show_bills(agreed[0], Console(width=150))
    if twin is not None:
        from ..rehearsal import streams
        kept, without = streams.account(seen), streams.account(twin)
        if picture:
            streams.plot(kept, without, picture)
        differs = report.show_streams(kept, without, verdict, Console(width=150)) or differs
    if at_once_too is not None:
        last, worse = report.disk_line(verdict, at_once_too)
        click.echo(last)
        differs = differs or worse
    if form.shares:
        from ..rehearsal import shares
        last, worse = shares.line(shares.used(ran.lines, form.tenants, form.overdraft_tokens), len(verdict.broken))
        click.echo(last)
        differs = differs or worse
    if without_claims is not None:
        last, worse = report.claims_line(seen, verdict, without_claims)
        click.echo(last)
        differs = differs or worse
    if others:
        from ..rehearsal import outage
        kept = outage.account(ran.lines)
        if agreed:
            lives = sum(x["what"] == "node_started" for x in ran.lines)
            longest = max(max(t.output_tokens[1], t.prompt_tokens[1] * t.turns + t.shared_tokens[1]) for t in form.types.values())
            outage.budgets(kept, form.tenants, agreed[0], len(plan.nodes), lives, form.overdraft_tokens, round(longest))
        last, worse = outage.line(kept, verdict, others["trust"], others["wait"])
        click.echo(last)
        differs = differs or worse
    if seen.floods:
        for line in ran.lines:
            if line["what"] == "flooded":
                click.echo(f"flood of {line['node']}: {line['opened']} connections opened, {line['closed']} of them closed by the node, "
                           f"{line['failed']} failed, {line['peak']} at once at most")
        last, harmed = report.admission_line(seen, verdict)
        click.echo(last)
        differs = differs or harmed
    sys.exit(1 if verdict.broken or ran.trouble or ran.unequal or differs else 0)


def play_twin(day: str, seed: int, say: Callable[[str], None]) -> judge.Record:
    """The same day without continuation."""
    say("the day without continuation comes first")
    return play_apart(day, seed, ["--resume", "off"])


def play_policy(day: str, seed: int, policy: str, say: Callable[[str], None]) -> Outage:
    """The same day with other beliefs at a start; what it breaks is what it is played for."""
    from ..rehearsal import outage
    say(f"the day with the policy {policy!r} comes first")
    return outage.account(play_apart(day, seed, ["--policy", policy], may_break=True).lines)


def play_without_claims(day: str, seed: int, say: Callable[[str], None]) -> judge.Record:
    """The same day with nodes that know of no claims; what it breaks is what it is played for."""
    say("the day without claims comes first")
    return play_apart(day, seed, ["--no-claims"], may_break=True)


def play_at_once(day: str, seed: int, say: Callable[[str], None]) -> judge.Verdict:
    """The same day with writes on the reactor's thread; what it breaks is what it is played for."""
    from ..rehearsal import audit as judge
    say("the day with writes on the reactor's thread comes first")
    return judge.audit(play_apart(day, seed, ["--at-once"], may_break=True))


def play_apart(day: str, seed: int, more: list[str], may_break: bool = False) -> judge.Record:
    """A day on loopback in a process of its own: a reactor runs once in a process's life."""
    import subprocess
    import tempfile

    from ..rehearsal import audit as judge
    with tempfile.TemporaryDirectory(prefix="rehearsal-") as folder:
        record = f"{folder}/without.jsonl"
        done = subprocess.run([sys.executable, "-m", "aniserudder", "rehearse", day, "--seed", str(seed), *more,
                               "--record", record, "--quiet"], capture_output=True, text=True)
        said = done.stdout.strip().rpartition("\n")[2]
        if done.returncode and not (may_break and Path(record).exists() and Path(record).stat().st_size):
            click.echo(f"the day with {' '.join(more)} failed: {done.stderr.strip() or said}", err=True)
            sys.exit(1)
        with open(record, "rb") as lines:
            return judge.read(lines)


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


@main.group()
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
def lab_run(what: str | None, seed: int, record: str | None, store: str, processes: int | None, records: bool | None, names: bool,
            quiet: bool) -> None:
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
        table.add_row(name, str(len(rows)), str(experiment.bootstrap([r.in_slo for r in rows])), apart,
                      str(experiment.bootstrap([r.utility for r in rows])),
                      *(f"{sum(getattr(r, m) for r in rows) / len(rows):.0f}" for m in ("median_ms", "p99_ms")))
    Console(width=170).print(table, markup=False)
    broken = sorted({rule for r in results for rule in r.broken})
    for r in results:
        if r.broken or r.trouble:
            click.echo(f"{r.group}, seed {r.seed}: broke {r.broken} {r.trouble}")
    click.echo(f"lab: rules {5 - len(broken)} kept, {len(broken)} broken; {sum(r.sequences for r in results)} sequences; "
               f"{len(results)} days in {time.perf_counter() - began:.0f} s")
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
        click.echo(f"decision records: {done.ran.replayed} calls replayed, "
                   + (f"UNEQUAL: {done.ran.unequal}" if done.ran.unequal else "all decided alike"))
    click.echo(report.last_line(verdict))
    click.echo(f"{done.simulated:.0f} s simulated in {done.took:.1f} s, {done.events} events, {done.events / done.took:.0f} a second")
    broken = len(verdict.broken)
    click.echo(f"lab: rules {5 - broken} kept, {broken} broken; {verdict.sequences} sequences; {done.speed:.1f} x real time")
    return 1 if broken or done.ran.trouble or done.ran.unequal else 0


def _lab_play(day: str, form: Day, seed: int, folder: Path, say: Callable[[str], None], records: bool | None) -> Played:
    from ..lab.stage import run as play
    from ..rehearsal.plan import draw
    missing = sorted({f.trouble for f in form.troubles} & {"flood", "ledger_crash", "frozen"}) + ["ledger"] * form.ledger + [
        "disk"] * (form.disk is not None) + ["links"] * form.links
    if missing:
        fail(f"{day}: {', '.join(missing)} cannot be played in simulated time: rehearse it")
    plan = draw(form, seed)
    click.echo(f"{day}, seed {seed}: plan {plan.digest}, {len(plan.ops)} operations, {len(plan.strikes)} troubles, "
               f"{len(plan.nodes)} nodes, {len(plan.engines)} engines, {len(form.zones)} zones")
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
    click.echo(f"agreement: {worst:.3f} apart, allowed {within:g}; rules: {5 - len(broken)} kept, {len(broken)} broken; "
               f"{done.speed:.1f} x real time")
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
    click.echo(f"search: {search.tried} days, rules {5 - len(found.broken)} kept, {len(found.broken)} broken; worst "
               f"{found.utility:.3f} of the utility with {len(found.troubles)} faults")
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


@main.group()
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
        table.add_row(f"{cell.flush_ms:g}", f"{cell.rate:g}", " / ".join(str(w.done) for w in both),
                      " / ".join(str(w.failed) for w in both), *marks)
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
    table = Table(title=f"{rate:g} sequences a second for {seconds:g} s on each path, at most {tokens} tokens",
                  title_justify="left")
    for column in ("path", "done", "failed", "first: median ms", "99th", "99.9th", "whole: median ms", "99th"):
        table.add_column(column, justify="left" if column == "path" else "right")
    for name, path in (("direct", got.direct), ("routed", got.routed)):
        marks = [path.first.get_value_at_percentile(p) / 1000 for p in (50, 99, 99.9)]
        marks += [path.whole.get_value_at_percentile(p) / 1000 for p in (50, 99)]
        table.add_row(name, str(path.done), str(path.failed), *(f"{m:.2f}" for m in marks))
    Console(width=118).print(table)
    click.echo(f"added to the first event: median {got.added(50):.2f} ms, 99th {got.added(99):.2f} ms; "
               f"{got.routed.done / got.routed.took:.1f} sequences a second through the node; "
               f"CPU of the node {got.cpu_us:.0f} us a sequence, "
               f"{got.cpu_us * got.routed.done / got.routed.took / 1e4:.0f} % of one core")
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
        shown.add_row(name, *(f"{100 * w.overspent:.2f} / {100 * w.refused:.2f} / {100 * w.unused:.2f}"
                              + (f" ({100 * w.bound:.1f})" if w.way in ("leases", "ahead") else "") for w in ways))
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
        shown.add_row(case.name, *(f"{100 * f.overspent:.1f} / {100 * f.refused:.1f} / {100 * f.unused:.1f}" for f in both),
                      f"{100 * both[1].bound:.1f}")
    Console(width=118).print(shown)
    beyond = [case.name for case, _, weighed in found if weighed.overspent > weighed.bound]
    before = [case.name for case, believed, _ in found if believed.overspent > believed.bound]
    click.echo(f"evidence: {len(found) - len(beyond)} of {len(found)} cases within what overdrafts allow (nodes believed {len(found) - len(before)})")
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
        shown.add_row(str(n), str(got.entries), f"{got.append_s:.0f}", f"{got.open_ms:.1f}", f"{got.check_ms:.0f}",
                      str(got.size), f"{got.compact_ms:.0f}", str(got.compact_size))
    Console(width=118).print(shown)
    none, tree, written = reservation(20_000)
    click.echo(f"a reservation and its settlement: {none:.1f} us without budgets, {tree:.1f} us among {TENANTS} tenants with six "
               f"budgets each way up, {written:.1f} us with the six entries of a sequence written")


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
    rows = [*made.prefixes(seed, 10_000, count), *made.timers(seed, count), *made.hitters(seed, 3 * count, 1024),
            *made.accepting(seed, count), *made.memory(2000)]
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
    for name in ("case", "policy", "lost", "saved", "% of utility", "pause: median s", "99th", "given up after s",
                 "new arrivals in SLO %", "read again"):
        shown.add_column(name, justify="left" if name in ("case", "policy") else "right")
    for row in found:
        for one in row:
            shown.add_row(one.case if one is row[0] else "", one.policy, str(one.lost), str(one.saved), f"{100 * one.utility:.0f}",
                          f"{one.pause(0.5):.2f}", f"{one.pause(0.99):.2f}", f"{one.waited:.2f}", f"{100 * one.in_slo:.1f}",
                          str(one.extra))
        shown.add_section()
    console.print(shown)
    if picture:
        recovery.plot(found, picture)


@main.group()
def standin() -> None:
    """Run a stand-in engine or roster server by itself."""


@standin.command("engine")
@click.option("--name", default="standin-1", show_default=True)
@click.option("--role", type=click.Choice(["reader", "writer", "mixed"]), default="mixed", show_default=True)
@click.option("--port", default=0, help="0: any; it is printed.")
@click.option("--slots", default=32, show_default=True, type=click.IntRange(1))
@click.option("--queue", default=32, show_default=True, type=click.IntRange(0))
@click.option("--memory", default=200_000, show_default=True, type=click.IntRange(1000), help="Tokens.")
@click.option("--read-per-s", default=20_000.0, show_default=True, type=click.FloatRange(1), help="Prompt tokens.")
@click.option("--step-ms", default=20.0, show_default=True, type=click.FloatRange(0.1), help="For one token of each.")
@click.option("--fault", type=click.Choice(["stall", "reset before", "reset after", "half line", "long line", "noise",
                                            "draining"]), help="What is wrong with it from the start.")
@click.option("--quiet", is_flag=True, help="Do not print what it sees.")
def standin_engine(name: str, role: str, port: int, slots: int, queue: int, memory: int, read_per_s: float,
                   step_ms: float, fault: str | None, quiet: bool) -> None:
    """Run one stand-in engine until a signal; prints what it sees as lines of JSON."""
    from ..standins.alone import engine
    from ..standins.engine import EngineSpec
    sys.exit(engine(EngineSpec(name, role, role, "any", 0, slots, queue, memory, read_per_s, step_ms), port, fault or "",
                    quiet))


@standin.command("roster")
@click.argument("rows", type=click.Path(dir_okay=False))
@click.option("--port", default=0, help="0: any; it is printed.")
def standin_roster(rows: str, port: int) -> None:
    """Serve the engine list in the YAML file ROWS; changes of the file are streamed to the nodes."""
    from ..standins.alone import roster
    sys.exit(roster(rows, port))


@main.group()
def ledger() -> None:
    """Serve, check and compact ledgers."""


@ledger.command("serve")
@click.argument("path", type=click.Path(dir_okay=False))
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=8090, show_default=True)
@click.option("--durability", type=click.Choice(["process", "power"]), default="process", show_default=True)
@click.option("--settings", "file", type=click.Path(dir_okay=False), help="A node's settings whose tenants count, whatever nodes say; SIGHUP reads them anew.")
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
        ground, log = _ground(), logs.make("ledger")
        store = Store(path, durability == "power", ground.files)
        writer = AtOnce() if ground.at_once else Writer(reactor, log)
        service = LedgerService(reactor, store, log, writer.lane("ledger", store.group), wall=lambda: round(ground.wall() * 1e6),
                                forms=_budget_forms(file) if file else None, steady=time.monotonic)
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
    from ..settings import load, load_tenants
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
        rows, folded = Store(path, True, _ground().files).compact(round((time.time() - older_than_s) * 1e6), 10_000_000, node)
    except (LedgerBroken, LedgerFull) as broken:
        fail(str(broken))
    click.echo(f"{path}: {folded} operations folded, {rows} entries fewer")


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
@click.option("--profile", default="mixed", show_default=True, type=click.Choice(["mixed", "partitions", "restarts", "crowds"]), help="What faults there are most of.")
def soak(first: int, count: int, seconds: float, keep: str, copies: int | None, clients: int | None, profile: str) -> None:
    """Play randomized faults on platform nodes, engines, proxies and clients, each a process on loopback; exit 1 if a rule was broken."""
    from ..cli.soak import show
    from ..soak.plan import Profile
    try:
        broken = show(list(range(first, first + count)), seconds, keep, copies, clients, Profile(profile))
    except (OSError, RuntimeError) as problem:
        fail(f"soak: {problem}")
    sys.exit(1 if broken else 0)
