"""``aniserudder rehearse``: days on loopback, played and audited."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

import click

from .common import fail

if TYPE_CHECKING:
    from ..rehearsal import audit as judge
    from ..rehearsal.outage import Outage


@click.command()
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
def rehearse(
    day: str | None,
    seed: int,
    record: str | None,
    keep: str | None,
    names: bool,
    quiet: bool,
    resume: str | None,
    policy: str | None,
    at_once: bool,
    no_claims: bool,
    picture: str | None,
) -> None:
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
        fail(
            f"{day}: {sum(form.nodes.values())} nodes and {form.seconds:g} s, allowed on loopback: {LOOPBACK_NODES} and "
            f"{LOOPBACK_SECONDS}; aniserudder lab run plays it in simulated time"
        )
    plan = draw(form, seed)
    click.echo(
        f"{day}, seed {seed}: plan {plan.digest}, {len(plan.ops)} operations, {len(plan.strikes)} troubles, "
        f"{len(plan.nodes)} nodes, {len(plan.engines)} engines, {len(form.zones)} zones"
    )
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
    click.echo(f"decision records: {ran.replayed} calls replayed, " + (f"UNEQUAL: {ran.unequal}" if ran.unequal else "all decided alike"))
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
                click.echo(
                    f"flood of {line['node']}: {line['opened']} connections opened, {line['closed']} of them closed by the node, "
                    f"{line['failed']} failed, {line['peak']} at once at most"
                )
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
        done = subprocess.run(
            [sys.executable, "-m", "aniserudder", "rehearse", day, "--seed", str(seed), *more, "--record", record, "--quiet"],
            capture_output=True,
            text=True,
        )
        said = done.stdout.strip().rpartition("\n")[2]
        if done.returncode and not (may_break and Path(record).exists() and Path(record).stat().st_size):
            click.echo(f"the day with {' '.join(more)} failed: {done.stderr.strip() or said}", err=True)
            sys.exit(1)
        with open(record, "rb") as lines:
            return judge.read(lines)
