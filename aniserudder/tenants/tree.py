"""The tree of tenants and their budgets."""
from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from ..settings.schema import BudgetForm, TenantForm
from .periods import Period

DEEPEST = 8  # how many tenants may stand above one another


@dataclass(slots=True, eq=False)
class Budget:
    """One budget of one tenant. ``name`` is the same at every node and at the ledger."""
    name: str
    kind: str
    tokens: int
    burst: int
    period: Period
    window: int
    offset_minutes: int
    soft: float

    @property
    def most(self) -> int:
        """All that may be spent in a period."""
        return self.tokens + self.burst


@dataclass(slots=True, eq=False)
class Tenant:
    """One tenant and what it stands under."""
    name: str
    parent: Tenant | None = None
    budgets: list[Budget] = field(default_factory=list)

    def path(self) -> Iterator[Tenant]:
        """Itself, then what it stands under, up to the top."""
        at: Tenant | None = self
        while at is not None:
            yield at
            at = at.parent


class Tree:
    """All tenants by name.

    Raises:
        ValueError: a parent is none of them, or they stand under each other in a ring or too deep.
    """

    def __init__(self, forms: dict[str, TenantForm]) -> None:
        self.tenants = {name: Tenant(name, None, [_budget(name, b) for b in form.budgets])
                        for name, form in forms.items()}
        for name, form in forms.items():
            if form.parent:
                if form.parent not in self.tenants:
                    raise ValueError(f"tenants.{name}.parent: {form.parent!r} is no tenant")
                self.tenants[name].parent = self.tenants[form.parent]
        good: set[str] = set()
        for tenant in self.tenants.values():
            at, way = tenant, []
            while at is not None and at.name not in good:
                way.append(at.name)
                if len(way) > DEEPEST:
                    raise ValueError(f"tenants.{tenant.name}.parent: a ring, or deeper than {DEEPEST}")
                at = at.parent
            good.update(way)

    def find(self, name: str) -> Tenant:
        """The tenant of a customer; a customer that the tree does not name has no budget."""
        return self.tenants.get(name) or Tenant(name)


def _budget(tenant: str, b: BudgetForm) -> Budget:
    span = f"rolling{b.rolling_s}" if b.period == "rolling" else b.period
    return Budget(f"{tenant}/{b.of}/{span}", b.of, b.tokens, b.burst, Period(b.period), b.rolling_s * 1_000_000,
                  b.offset_minutes, b.soft)
