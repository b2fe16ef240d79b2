"""What was used of budgets that nodes share, from the record of what was seen at the sockets, against what they allow."""
from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import Any

from ..settings.schema import TenantForm

S = 1_000_000


@dataclass(slots=True, frozen=True)
class Used:
    """One budget: the most that was used of it in any period, in tokens. ``allowed``: beyond it."""
    name: str
    tokens: int
    most: int
    allowed: int
    unused: int      # of a calendar budget, in the end

    @property
    def over(self) -> int:
        return max(0, self.most - self.tokens)


def used(lines: list[dict[str, Any]], tenants: dict[str, TenantForm], overdraft: int) -> list[Used]:
    """Each budget of written tokens whose tenant is a customer. A sequence counts when its client asked, with what its longest attempt wrote:
    what other attempts lost is the operator's. Each life of a node may use one overdraft, of a rolling budget in each window."""
    asked = {x["ref"]: (x["at"], x["customer"]) for x in lines if x["what"] == "asked"}
    wrote: dict[str, int] = defaultdict(int)
    for x in lines:
        if x["what"] == "attempt_end" and x["ref"] in asked:
            wrote[x["ref"]] = max(wrote[x["ref"]], x["written"])
    lives = sum(x["what"] == "node_started" for x in lines)
    found = []
    for name, tenant in tenants.items():
        takes = sorted((asked[ref][0], n) for ref, n in wrote.items() if n and asked[ref][1] == name)
        for budget in tenant.budgets:
            if budget.of != "written":
                continue
            whole = sum(n for _, n in takes)
            most = within(takes, budget.rolling_s * S) if budget.period == "rolling" else whole
            unused = 0 if budget.period == "rolling" else max(0, budget.tokens - whole)
            found.append(Used(f"{name}/{budget.of}/{budget.period}", budget.tokens + budget.burst, most, lives * overdraft, unused))
    return found


def within(takes: list[tuple[int, int]], window: int) -> int:
    """The most that was taken within any window."""
    most = inside = first = 0
    for at, n in takes:
        inside += n
        while takes[first][0] <= at - window:
            inside -= takes[first][1]
            first += 1
        most = max(most, inside)
    return most


def line(found: list[Used], broken: int) -> tuple[str, bool]:
    """The last line. True: more was used than is allowed, or so little that nothing was put to the proof."""
    said = ", ".join(f"{u.name} {u.most} of {u.tokens} used, {u.over} over of {u.allowed} allowed" for u in found)
    bad = any(u.over > u.allowed or u.most < 0.7 * u.tokens for u in found) or not found
    return f"shares: {said}; rules: {5 - broken} kept, {broken} broken", bad
