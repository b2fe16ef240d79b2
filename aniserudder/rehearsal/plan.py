"""Draws a day by its seed: every arrival and every fault, before anything runs. Same seed, same plan."""
from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

import msgspec
import xxhash

from ..standins.client import Op
from ..standins.engine import CHARS_PER_TOKEN, EngineSpec
from .day import Day, Fault, TypeTraffic

FILLER = "a lake in the evening with two boats and a child on the pier "
FETCH_PER_S = 400_000


@dataclass(slots=True)
class Strike:
    """A fault with what it strikes."""
    fault: Fault
    engines: list[str] = field(default_factory=list)
    nodes: list[str] = field(default_factory=list)
    zone: str = ""
    wall_off: dict[str, float] = field(default_factory=dict)  # seconds by which clocks are wrong afterwards, by node
    back: dict[str, float] = field(default_factory=dict)  # of a loss of power: seconds until it is back, by process


@dataclass(slots=True)
class Plan:
    """A drawn day."""
    ops: list[Op]
    strikes: list[Strike]
    engines: list[EngineSpec]
    nodes: dict[str, str]  # name: zone
    seeds: dict[str, int]  # of the nodes
    digest: str = ""


def draw(day: Day, seed: int) -> Plan:
    """The plan of a day. Chance is one seeded ``random.Random`` for each matter, so that a change of one part of a
    day leaves the others as they were."""
    engines = _engines(day)
    nodes = {f"node-{zone}-{n + 1}": zone for zone, count in day.nodes.items() for n in range(count)}
    strikes = _strikes(day, Random(f"{seed} faults"), engines, nodes)
    ops = _ops(day, Random(f"{seed} traffic"))
    chance = Random(f"{seed} nodes")
    plan = Plan(ops, strikes, engines, nodes, {n: chance.getrandbits(32) for n in nodes})
    shown = [[o.at, o.zone, o.type, o.session, o.max_tokens, o.leave_after_s] for o in ops]
    struck = [[s.fault.at, s.fault.trouble, s.engines, s.nodes, s.zone] for s in strikes]
    plan.digest = xxhash.xxh3_64_hexdigest(msgspec.json.encode([shown, struck, plan.seeds]))
    return plan


def _engines(day: Day) -> list[EngineSpec]:
    """Specs with the rate that each can carry when warm, from the day's mean sequence."""
    types, rules = list(day.types.values()), day.rules
    whole = sum(t.share for t in types)
    prompt = sum(t.share * (sum(t.prompt_tokens) / 2 * t.turns + sum(t.shared_tokens) / 2) for t in types) / whole
    output = sum(t.share * sum(t.output_tokens) / 2 for t in types) / whole
    specs = []
    for group in day.engines:
        for _ in range(group.count):
            number = sum(s.kind == group.kind for s in specs) + 1
            writes, reads = group.slots / (output * group.step_ms / 1000), group.read_per_s / prompt
            rate = {"reader": reads, "writer": writes, "mixed": min(reads, writes)}[group.role]
            specs.append(EngineSpec(
                f"{group.kind}-{number}", group.kind, group.role, group.zone, group.rack, group.slots, group.queue,
                group.memory, group.read_per_s, group.step_ms, FETCH_PER_S, held_ms=4000,
                cold_share=rules.cold_share, cold_ms=rules.cold_ms, fall_multiple=rules.fall_multiple,
                fall_ms=rules.fall_ms, rate=rate))
    return specs


ON_NODES = {"balancer_crash", "node_stop", "frozen", "disk_slow", "disk_full", "disk_read_only", "disk_stuck", "power_loss",
            "clock_off", "old_settings", "same_name",
            "link_silent", "link_slow", "link_reset", "link_cut", "link_never"}
ON_TRAFFIC = {"burst", "heavy_tail", "hot_key", "give_up", "roster_away", "ledger_crash"}
ON_A_ZONE = {"zone_cut", "flood"}


def _strikes(day: Day, chance: Random, engines: list[EngineSpec], nodes: dict[str, str]) -> list[Strike]:
    strikes = []
    for fault in sorted(day.troubles, key=lambda f: f.at):
        strike = Strike(fault)
        if fault.trouble in ON_A_ZONE:
            strike.zone = fault.zone or chance.choice(day.zones)
        elif fault.trouble in ON_NODES:
            there = [n for n, zone in nodes.items() if fault.zone in ("", zone)]
            strike.nodes = sorted(chance.sample(there, _count(fault, len(there)))) if fault.nodes else []
            if fault.trouble == "power_loss":
                strike.engines = [e.name for e in engines if e.kind in fault.kinds and fault.zone in ("", e.zone)]
                strike.back = {n: fault.seconds + chance.uniform(0, fault.spread_s)
                               for n in [*strike.nodes, *strike.engines, "ledger", "lists"]}
                if fault.last:
                    strike.back[fault.last] = fault.seconds + fault.spread_s + 2
                strike.wall_off = {n: chance.choice([-1, 1]) * fault.wall_off_s for n in strike.nodes}
        elif fault.trouble not in ON_TRAFFIC:
            names = [e.name for e in engines if (not fault.kinds or e.kind in fault.kinds)
                     and (not fault.zone or e.zone == fault.zone) and fault.rack in (None, e.rack)]
            strike.engines = sorted(chance.sample(names, _count(fault, len(names))))
        strikes.append(strike)
    return strikes


def _count(fault: Fault, there: int) -> int:
    wanted = max(1, round(fault.part * there)) if fault.part else fault.count
    return min(wanted, there)


def _ops(day: Day, chance: Random) -> list[Op]:
    names, weights = list(day.types), [t.share for t in day.types.values()]
    openings = {n: [_text(chance, _between(chance, t.shared_tokens), f"opening {n} {i}") for i in range(t.openings)]
                for n, t in day.types.items()}
    sessions: dict[str, list[tuple[str, str, list[dict[str, str]]]]] = {n: [] for n in names}
    ops: list[Op] = []
    at = 0.0
    while True:
        at += chance.expovariate(day.traffic.per_s * _factor(day, at))
        if at >= day.seconds:
            return ops
        name = chance.choices(names, weights)[0]
        ops.append(_op(day, chance, len(ops), at, name, day.types[name], openings[name], sessions[name]))


def _factor(day: Day, at: float) -> float:
    return max([1.0, *(f.size for f in _active(day, at, "burst"))])


def _active(day: Day, at: float, trouble: str) -> list[Fault]:
    return [f for f in day.troubles if f.trouble == trouble and f.at <= at < f.at + f.seconds]


def _op(day: Day, chance: Random, number: int, at: float, name: str, t: TypeTraffic, openings: list[str],
        sessions: list[tuple[str, str, list[dict[str, str]]]]) -> Op:
    tokens = _between(chance, t.prompt_tokens)
    for tail in _active(day, at, "heavy_tail"):
        if chance.random() < tail.share:
            tokens = round(tokens * tail.size)
    again = sessions and chance.random() < 1 - 1 / t.turns
    hot = next((f for f in _active(day, at, "hot_key") if chance.random() < f.share), None)
    if hot:  # a beginning that nobody has seen before
        session, system, before = f"hot-{number}", _text(Random(f"{hot.at}"), round(1500 * hot.size), "hot"), []
    elif again:
        session, system, before = sessions.pop(chance.randrange(len(sessions)))
    else:
        session, system, before = f"{name}-{number}", chance.choice(openings), []
    messages = [*before, {"role": "user", "content": _text(chance, tokens, f"turn {number}")}]
    if len(messages) < 12 and not hot:
        sessions.append((session, system, [*messages, {"role": "assistant", "content": "noted"}]))
    prompt = sum(len(m["content"]) for m in messages) + len(system)
    thousands = prompt / CHARS_PER_TOKEN / 1000
    abandon = (t.abandon_ms + t.abandon_ms_per_1000_tokens * thousands) * chance.uniform(*day.traffic.try_share)
    leaving = _active(day, at, "give_up")
    customers = day.traffic.customers
    customer = chance.choices(list(customers), customers.values())[0] if len(customers) > 1 else next(iter(customers))
    marked = t.effect == "tokened" or t.claimed or day.traffic.marked > 0 and chance.random() < day.traffic.marked
    stranger = day.traffic.strangers > 0 and chance.random() < day.traffic.strangers
    leaves = chance.random() < (leaving[0].share if leaving else day.traffic.leaves)
    # Without returns no chance is drawn for them, so that older days stay as they were.
    away = chance.uniform(0.1, 1.0) if day.traffic.returns and chance.random() < day.traffic.returns else 0.0
    backoff = chance.uniform(*day.traffic.backoff_ms) / 1000
    return Op(number, at, chance.choice(day.zones), name, t.effect, session, system, messages,
              _between(chance, t.output_tokens), round((t.latency_slo_ms + t.slo_ms_per_1000_tokens * thousands) * 1000),
              round(abandon * 1000), day.traffic.tries, chance.random() < t.streamed, chance.random(),
              chance.uniform(0.02, 0.3) if leaves else 0.0, backoff, "" if stranger else customer,
              "" if stranger else f"{customer}-key-1", f"op-{number}" if marked else "",
              t.repeat_window_ms / 1000, comes_again=t.claimed and not stranger, away_after_s=0.0 if leaves or stranger else away)


def _between(chance: Random, span: list[float]) -> int:
    return max(1, round(chance.uniform(*span)))


def _text(chance: Random, tokens: int, mark: str) -> str:
    """A text of about so many tokens, unlike others from its first word."""
    chars = round(tokens * CHARS_PER_TOKEN)
    head = f"{mark} {chance.getrandbits(32):08x} "
    return (head + FILLER * (chars // len(FILLER) + 1))[:max(chars, len(head))]
