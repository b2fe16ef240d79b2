"""Prints a verdict: tables by rule and by traffic type with rich, and one last line that scripts can read."""
from __future__ import annotations

from rich.console import Console
from rich.table import Table

from .audit import RULES, Record, Try, Verdict
from .bills import Agreement
from .streams import Account, Streams

SHOWN = 12  # findings that are printed


def show(verdict: Verdict, console: Console) -> None:
    """The tables and the findings."""
    rules = Table(title="rules", title_justify="left")
    for name in ("rule", "", "checked", "broken"):
        rules.add_column(name, justify="left" if name == "" else "right")
    for number, text in RULES.items():
        broken = sum(f.rule == number for f in verdict.findings)
        rules.add_row(str(number), text, str(verdict.checked[number]), str(broken) if broken else "-")
    console.print(rules)
    types = Table(title="traffic types", title_justify="left")
    columns = ("type", "asked", "tries", "in SLO", "late", "rejected", "aborted", "left", "lost", "effects", "median ms",
               "99th ms")
    for name in columns:
        types.add_column(name, justify="left" if name == "type" else "right")
    for name, row in sorted(verdict.types.items()):
        took = sorted(row.latency)
        marks = [f"{took[min(len(took) - 1, int(len(took) * p))] / 1000:.0f}" if took else "-" for p in (0.5, 0.99)]
        types.add_row(name, *map(str, (row.asked, row.tries, row.in_slo, row.late, row.rejected, row.aborted, row.left,
                                       row.lost, row.effects)), *marks)
    console.print(types)
    for finding in verdict.findings[:SHOWN]:
        console.print(f"rule {finding.rule} at {finding.at / 1e6:.3f} s: {finding.text}", highlight=False, soft_wrap=True)
    if len(verdict.findings) > SHOWN:
        console.print(f"and {len(verdict.findings) - SHOWN} more", highlight=False)


def last_line(verdict: Verdict) -> str:
    """``rules: 5 kept, 0 broken; N sequences, ...``."""
    rows = verdict.types.values()
    total = {name: sum(getattr(r, name) for r in rows)
             for name in ("asked", "in_slo", "late", "rejected", "aborted", "left", "lost", "effects")}
    broken = len(verdict.broken)
    return (f"rules: {len(RULES) - broken} kept, {broken} broken; {verdict.sequences} sequences, {total['asked']} asked, "
            f"{total['in_slo']} generated in SLO, {total['late']} late, {total['rejected']} rejected, "
            f"{total['aborted']} aborted, {total['left']} left, {total['lost']} lost with a node, "
            f"{total['effects']} effects")


def show_bills(agreed: Agreement, console: Console) -> bool:
    """Bills against counts, and a last line ``bills: agree, N tenants, M sequences, difference 0``. True: they differ."""
    table = Table(title="bills against the engines' own counts: tokens read/kept/written", title_justify="left")
    for name in ("tenant", "type", "operations", "tries", "charged", "lost", "repeated", "engines", "flagged",
                 "differs"):
        table.add_column(name, justify="left" if name in ("tenant", "type") else "right")
    for line in agreed.lines:
        sums = ["/".join(map(str, t.row())) for t in (line.charged, line.lost, line.repeated)]
        seen = agreed.counted.get((line.tenant, line.type), (0, 0, 0))
        apart = sum(abs(a - b) for a, b in zip(line.whole(), seen))
        table.add_row(line.tenant, line.type, str(line.operations), str(line.tries), *sums, "/".join(map(str, seen)),
                      str(line.unconfirmed), str(apart or "-"))
    console.print(table)
    for problem in agreed.problems:
        console.print(problem, highlight=False)
    good = not agreed.difference and not agreed.problems and agreed.sequences > 0
    tenants = len({tenant for tenant, _ in agreed.billed})
    print(f"bills: {'agree' if good else 'DIFFER'}, {tenants} tenants, {agreed.sequences} sequences, "
          f"difference {agreed.difference}")
    return not good


def admission_line(record: Record, verdict: Verdict) -> tuple[str, bool]:
    """Known clients' tries at flooded nodes, while flooded, against those at the others. True: the flood harmed them."""
    sides: dict[bool, list[bool]] = {True: [], False: []}
    for one in record.tries.values():
        at, node = one.asked["at"], one.asked["node"]
        if one.asked["customer"] and any(b <= at <= e for b, e, _ in record.floods) and not any(
                e["what"] == "left" for e in one.ends):
            good = bool(one.finals) and one.finals[0]["kind"] == "generated" and 0 <= one.first - at <= one.asked["slo_us"]
            sides[record.flooded(node, at)].append(good)
    with_flood, without = sides[True], sides[False]
    kept = 5 - len(verdict.broken)
    harmed = not with_flood or sum(with_flood) / len(with_flood) < 0.95 * sum(without) / max(1, len(without))
    return (f"admission: known clients {sum(with_flood)} of {len(with_flood)} within SLO (without flood {sum(without)} of "
            f"{len(without)}); rules: {kept} kept, {len(verdict.broken)} broken"), harmed


def disk_line(verdict: Verdict, at_once: Verdict) -> tuple[str, bool]:
    """A day beside the same one with writes on the reactor's thread. True: it fared no better."""
    def share(one: Verdict) -> float:
        rows = one.types.values()
        return 100 * sum(r.in_slo for r in rows) / max(1, sum(r.asked for r in rows))
    return (f"disk: {share(verdict):.1f} % in SLO (written on the reactor's thread {share(at_once):.1f} %), rules: "
            f"{len(RULES) - len(verdict.broken)} kept, {len(verdict.broken)} broken ({len(at_once.broken)} broken, "
            f"{len(at_once.findings)} times)"), share(verdict) < share(at_once)


def claims_line(record: Record, verdict: Verdict, without: Record) -> tuple[str, bool]:
    """Operations that came again with their key, beside the same day without claims. True: one had its effect twice, or none was put to
    the proof."""
    def count(of: Record) -> tuple[int, int, int, int]:
        ops: dict[int, list[Try]] = {}
        for one in of.tries.values():
            if one.asked["effect"] == "once-only" and one.asked["key"]:
                ops.setdefault(one.asked["op"], []).append(one)
        again = [tries for tries in ops.values() if len(tries) > 1 and any(not t.finals for t in tries[:-1])]
        ends = [{f["kind"] for t in tries for f in t.finals} for tries in again]
        good, told = sum("generated" in kinds for kinds in ends), sum("aborted" in kinds and "generated" not in kinds for kinds in ends)
        return len(again), good, told, sum(sum(t.effects for t in tries) > 1 for tries in ops.values())
    again, good, told, twice = count(record)
    others, _, _, others_twice = count(without)
    broken = len(verdict.broken)
    return (f"claims: {again} operations came again after no answer: {good} generated, {told} told that they ran or may have, "
            f"{again - good - told} not decided within their tries; {twice} effects twice (without claims {others_twice}, of {others}); "
            f"rules: {len(RULES) - broken} kept, {broken} broken"), bool(twice) or not again or not others_twice


def show_streams(kept: Account, without: Account, verdict: Verdict, console: Console) -> bool:
    """Both days side by side, and a last line ``streams: X of Y completed (without: Z), ...``. True: it is not as it should be."""
    table = Table(title="streams that lost a writer, with continuation and without", title_justify="left")
    for name in ("type", "started", "completed", "without", "lost a writer", "of these completed", "without", "pause: median ms",
                 "99th", "extra read"):
        table.add_column(name, justify="left" if name == "type" else "right")
    def row(name: str, a: Streams, b: Streams) -> None:
        extra = f"{a.extra} ({100 * a.extra / max(1, a.read):.1f} %)"
        table.add_row(name, str(a.started), f"{a.completed} ({_part(a.completed, a.started)})",
                      f"{b.completed} ({_part(b.completed, b.started)})", str(a.hit), f"{a.saved} ({_part(a.saved, a.hit)})",
                      f"{b.saved} ({_part(b.saved, b.hit)})", f"{a.pause(0.5):.0f}", f"{a.pause(0.99):.0f}", extra)
    for name in sorted(kept.types):
        row(name, kept.types[name], without.types.get(name, Streams()))
    whole, plain = kept.all, without.all
    row("all", whole, plain)
    console.print(table)
    console.print(f"arrivals within 3 s of a writer's death: {100 * kept.share_after:.1f} % of {kept.after_asked} within SLO, "
                  f"{100 * without.share_after:.1f} % of {without.after_asked} without continuation; "
                  f"{kept.moved} streams moved, {kept.returned} clients came back", highlight=False, soft_wrap=True)
    broken = len(verdict.broken)
    print(f"streams: {whole.completed} of {whole.started} completed (without: {plain.completed}), {whole.missing} missing, "
          f"{whole.doubled} doubled tokens; rules: {len(RULES) - broken} kept, {broken} broken")
    return bool(whole.missing or whole.doubled or not whole.hit or whole.saved * max(1, plain.hit) <= plain.saved * whole.hit)


def _part(some: int, of: int) -> str:
    return f"{100 * some / of:.0f} %" if of else "-"
