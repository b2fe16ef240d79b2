"""Compares the ways in which a budget can hold over nodes: overspend and false refusals, by simulation in simulated time.

One budget, many nodes, sequences that come to nodes unevenly. What a way grants beyond the budget is *overspend*; what it
refuses while the budget as a whole still had over a twentieth free is *falsely refused*; what it leaves unspent though more was wanted is *unused*. All
are parts of the budget. The ledger answers late, is
away for a while, and nodes die with what they held.
"""
from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from ..tenants.shares import FixedPart, FollowedPart, Grantor, Lease, Part

WAYS = ("fixed", "followed", "leases", "ahead")
AHEAD_S = 20.0


@dataclass(slots=True, frozen=True)
class Case:
    """One setting of a comparison. ``skew`` is the exponent of nodes' parts of the traffic; 0: even."""
    nodes: int
    skew: float = 1.0
    dead: float = 0.1            # of the nodes, at a third of the day; they come back empty
    late_s: float = 0.1          # between a node's words to the ledger, and their answers
    away_s: float = 0.0          # how long the ledger is away, from half of the day on
    demand: float = 1.5          # wanted in all, over the budget
    seconds: float = 120.0
    sequences: int = 20_000
    overdraft: float = 0.1       # of a node's even part of the budget


@dataclass(slots=True, frozen=True)
class Found:
    """What a way did, as parts of the budget."""
    way: str
    overspent: float
    refused: float
    unused: float
    bound: float


def play(case: Case, way: str, seed: int) -> Found:
    """Plays one case one way."""
    chance = Random(f"{seed} {case}")
    mean = 300
    budget = round(case.sequences * mean / case.demand)
    weights = [1 / (n + 1) ** case.skew for n in range(case.nodes)]
    over = round(case.overdraft * budget / case.nodes)
    parts = [_part(way, budget, case.nodes, over) for _ in weights]
    grantor, lives = Grantor(budget), [0] * case.nodes
    dead = set(chance.sample(range(case.nodes), round(case.dead * case.nodes)))
    spent = [0] * case.nodes
    total = refused = out = 0
    events: list[tuple[float, int, Callable[[], None]]] = []
    count = 0
    now = 0.0

    def at(when: float, do: Callable[[], None]) -> None:
        nonlocal count
        count += 1
        heapq.heappush(events, (when, count, do))

    def away() -> bool:
        return case.seconds / 2 <= now < case.seconds / 2 + case.away_s

    def arrive(node: int, wanted: int, ran: int) -> None:
        nonlocal total, refused, out
        if parts[node].take(wanted, now):
            total += ran
            spent[node] += ran
            out += wanted - ran
            at(now + 1.0, lambda part=parts[node]: settle(part, wanted - ran))
        elif total + out + wanted <= 0.95 * budget:
            refused += ran

    def settle(part: Part, rest: int) -> None:
        nonlocal out
        out -= rest
        part.give(rest, now)

    def talk(node: int) -> None:
        part = parts[node]
        at(now + case.late_s, lambda: talk(node))
        if away():
            return
        if isinstance(part, Lease):
            wanted = part.ask(now)
            grantor.seen[str(node)] = now
            part.heard(grantor.most - grantor.out, grantor.part(str(node), now))
            if wanted < 0:
                part.returned(-wanted)
                grantor.give_back(str(node), str(lives[node]), -wanted)
            elif wanted:
                grant, left = grantor.ask(str(node), str(lives[node]), wanted, part.used, now)
                at(now + case.late_s, lambda: part.granted(grant, left, now))
        elif isinstance(part, FollowedPart):
            part.heard(total, spent[node])

    def die(node: int) -> None:
        lives[node] += 1
        parts[node] = _part(way, budget, case.nodes, over)
        if isinstance(parts[node], FixedPart):
            parts[node].room = max(0, budget // case.nodes - spent[node])  # its own ledger has told it

    for node in range(case.nodes):
        at(chance.uniform(0, case.late_s), lambda node=node: talk(node))
    for node in dead:
        at(case.seconds / 3, lambda node=node: die(node))
    for _ in range(case.sequences):
        wanted = chance.randint(100, 800)
        ran = round(wanted * chance.uniform(0.1, 1.0)) * mean * 2 // 495
        ran = min(wanted, ran)
        node = chance.choices(range(case.nodes), weights)[0]
        at(chance.uniform(0, case.seconds), lambda n=node, w=wanted, r=ran: arrive(n, w, r))
    while events:
        now, _, do = heapq.heappop(events)
        if now > case.seconds + 2:
            break
        do()
    bound = {"fixed": 0.0, "leases": case.nodes * (1 + case.dead) * over / budget, "ahead": case.nodes * (1 + case.dead) * over / budget}.get(way, float("inf"))
    return Found(way, max(0, total - budget) / budget, refused / budget, max(0, budget - total) / budget, bound)


def _part(way: str, budget: int, nodes: int, over: int) -> Part:
    if way == "fixed":
        return FixedPart(budget // nodes)
    return FollowedPart(budget, nodes) if way == "followed" else Lease(over, ahead=AHEAD_S if way == "ahead" else 0.0)


def table(seed: int, sequences: int) -> list[tuple[str, Case, list[Found]]]:
    """All cases: by number of nodes, skew, deaths and a late ledger."""
    cases = [(f"{n} nodes", Case(n)) for n in (3, 10, 30, 70, 140)]
    cases += [(f"30 nodes, skew {s:g}", Case(30, skew=s)) for s in (0.0, 0.5, 2.0)]
    cases += [(f"30 nodes, {d:.0%} die", Case(30, dead=d)) for d in (0.0, 0.5)]
    cases += [("30 nodes, ledger 2 s late", Case(30, late_s=2.0)), ("30 nodes, ledger away 20 s", Case(30, away_s=20.0))]
    return [(name, case, [play(_sized(case, sequences), way, seed) for way in WAYS]) for name, case in cases]


def _sized(case: Case, sequences: int) -> Case:
    return Case(case.nodes, case.skew, case.dead, case.late_s, case.away_s, case.demand, case.seconds, sequences,
                case.overdraft)


def plot(found: list[tuple[str, Case, list[Found]]], path: str) -> None:
    """Overspend and false refusals against the number of nodes, as a picture."""
    import matplotlib
    matplotlib.use("Agg")
    from matplotlib import pyplot
    rows = [(case.nodes, ways) for name, case, ways in found if name.endswith(" nodes")]
    figure, axes = pyplot.subplots(1, 3, figsize=(13, 4))
    for axis, name, title in zip(axes, ("overspent", "refused", "unused"), ("overspend", "falsely refused", "unused")):
        for i, way in enumerate(WAYS):
            axis.plot([n for n, _ in rows], [100 * getattr(w[i], name) for _, w in rows], marker="o", label=way)
        axis.set(xscale="log", xlabel="nodes", ylabel="% of the budget", title=title)
        axis.grid(alpha=0.3)
        axis.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)
