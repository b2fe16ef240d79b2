"""What a loss of power cost, from the record of what was seen at the sockets: when answers came back, against what the engines' own
warming allows; and what was spent of budgets beyond them, against what is allowed."""
from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from ..settings.schema import TenantForm
from .audit import Verdict, share_of
from .bills import Agreement

S = 1_000_000
WINDOW = 2 * S     # over which a rate is taken
AFTER = 60 * S     # of what comes back: what is counted
BACK = 0.95        # of the rate before
ESTIMATE = 1.3     # a reservation may be too low by so much


@dataclass(slots=True)
class Outage:
    """Times in microseconds since power was lost."""
    before: float = 0.0             # generated a second
    first: int = -1                 # answer
    back: int = -1                  # until 95 % of the rate before
    bound: int = -1                 # until engines could carry that again, by their own warming alone
    in_slo: int = 0                 # operations of those asked after the loss
    asked: int = 0
    nodes_back: int = 0             # until the last node listened
    overspent: dict[str, int] = field(default_factory=dict)  # tokens, by budget
    allowed: dict[str, int] = field(default_factory=dict)


def account(lines: list[dict[str, Any]]) -> Outage:
    """From a record with one loss of power."""
    lost = next(x["at"] for x in lines if x["what"] == "trouble" and x["trouble"] == "power_loss")
    asked = {x["ref"]: x for x in lines if x["what"] == "asked"}
    answers = sorted(x["at"] for x in lines if x["what"] == "answered" and x["kind"] == "generated")
    firsts = {x["ref"]: x["at"] for x in lines if x["what"] == "first"}
    made = Outage()
    begun = next(x["at"] for x in lines if x["what"] == "begun")
    since = max(begun + 2 * S, lost - 8 * S)  # the first seconds fill the fleet
    made.before = sum(since <= at < lost for at in answers) / ((lost - since) / S)
    after = [at for at in answers if at > lost + S // 20]
    made.first = after[0] - lost if after else -1
    end = max(x["at"] for x in lines)
    for at in range(lost + WINDOW, end - WINDOW, S // 10):
        if sum(at - WINDOW < one <= at for one in after) / (WINDOW / S) >= BACK * made.before:
            made.back = at - lost
            break
    ups = {x["engine"]: x for x in lines if x["what"] == "engine_up" and x["at"] > lost}
    untouched = {x["engine"]: x for x in lines if x["what"] == "engine_up" and x["at"] <= lost and x["engine"] not in ups}
    roles = {x["engine"]: x["role"] for x in lines if x["what"] == "engine"}
    for at in range(lost, end, S // 10):
        carries = {"reader": 0.0, "writer": 0.0}
        for name, up in {**untouched, **ups}.items():
            rate = up["rate"] * share_of(up, at - up["at"]) if at >= up["at"] else 0.0
            for role in ("reader", "writer") if roles[name] == "mixed" else (roles[name],):
                carries[role] += rate
        if min(carries.values()) >= BACK * made.before:
            made.bound = at - lost
            break
    made.nodes_back = max([x["at"] - lost for x in lines if x["what"] == "node_started" and x["at"] > lost], default=0)
    ops: dict[int, bool] = {}
    kinds = {x["ref"]: x["kind"] for x in lines if x["what"] == "answered"}
    for ref, one in asked.items():
        if lost <= one["at"] < lost + AFTER:
            at = firsts.get(ref)
            good = kinds.get(ref) == "generated" and at is not None and at - one["at"] <= one["slo_us"]
            ops[one["op"]] = ops.get(one["op"], False) or good
    made.asked, made.in_slo = len(ops), sum(ops.values())
    return made


def budgets(made: Outage, tenants: dict[str, TenantForm], agreed: Agreement, nodes: int, lives: int, overdraft: int,
            largest: int) -> None:
    """What was charged beyond each budget, and what may be: for each life of a node its overdraft, and for each life what its
    reservations of the last moment were too low by."""
    spent: dict[tuple[str, str], int] = {}
    for line in agreed.lines:
        tenant: str | None = line.tenant
        while tenant:
            for kind, n in (("read", line.charged.read), ("written", line.charged.written)):
                spent[tenant, kind] = spent.get((tenant, kind), 0) + n
            tenant = tenants[tenant].parent if tenant in tenants else None
    for name, form in tenants.items():
        for budget in form.budgets:
            key = f"{name}/{budget.of}"
            made.overspent[key] = max(0, spent.get((name, budget.of), 0) - budget.tokens)
            made.allowed[key] = lives * (overdraft + round((ESTIMATE - 1) * largest))


def line(kept: Outage, verdict: Verdict, trust: Outage, wait: Outage) -> tuple[str, bool]:
    """The last line. True: something of it is not as it should be."""
    over, allowed = sum(kept.overspent.values()), sum(kept.allowed.values())
    broken = len(verdict.broken)
    twice = sum(f.rule == 2 for f in verdict.findings)
    passed = any(kept.overspent[k] > kept.allowed[k] for k in kept.overspent)
    text = (f"power-loss: first answer {_s(kept.first)}, {_s(kept.back)} to 95 % of the rate before (trust all {_s(trust.back)}, wait "
            f"{_s(wait.back)}; engines' own warming {_s(kept.bound)}), in SLO after it {_part(kept)} (trust all {_part(trust)}, wait "
            f"{_part(wait)}), {twice} effects twice, overspent {over} of {allowed} allowed; rules: {5 - broken} kept, {broken} broken")
    return text, passed or bool(twice) or kept.back < 0


def _s(us: int) -> str:
    return "never" if us < 0 else f"{us / S:.1f} s"


def _part(one: Outage) -> str:
    return f"{100 * one.in_slo / max(1, one.asked):.1f} %"
