"""What one node grants: reserves on arrival, settles at the end, refuses with a reason. No I/O.

A sequence needs room in every budget of its tenant and of all that the tenant stands under. It is all or nothing: a
budget that refuses gives back what others had reserved. A reservation never outlives its sequence.
"""
from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from .authority import CLOCK_SLACK
from .periods import BUCKETS, Period, Spent
from .shares import FixedPart, Lease, Lot
from .tree import Budget, Tree
from .windows import WindowLease

MARKS_KEPT = 20_000  # operations that a node remembers as charged


@dataclass(slots=True, frozen=True)
class Refusal:
    """Why a sequence is not taken. Times in microseconds of wall time; ``left`` in tokens."""
    budget: str
    kind: str
    wanted: int
    left: int
    renews: int
    come_back: int

    def text(self) -> str:
        return (f"budget {self.budget} is spent: {self.wanted} {self.kind} tokens wanted, {max(0, self.left)} left at this "
                f"node")


@dataclass(slots=True, eq=False)
class Account:
    """One budget at one node: its part, and what was spent of it here."""
    budget: Budget
    part: Lease | FixedPart
    spent: Spent
    reserved: int = 0
    warned: bool = False


@dataclass(slots=True, eq=False)
class Reservation:
    """What one sequence has reserved."""
    tenant: str
    mark: str
    amounts: dict[str, int]                 # by kind
    accounts: list[tuple[Account, int, Lot]] = field(default_factory=list)  # how much, and what it came from


class Keeper:
    """Budgets at one node.

    Args:
        tree: tenants and budgets.
        overdraft: tokens of each budget that may be used while no lease comes.
        on_soft: told of a budget of which the soft mark was passed.
        alone: this node has the budgets for itself: no ledger is asked.
        steady: seconds, for leases that end by themselves.
        ahead: seconds of its own use that this node holds of a budget while the ledger has much left, for when that is away.
    """

    def __init__(self, tree: Tree, overdraft: int, on_soft: Callable[[Budget, int], None] | None = None,
                 alone: bool = False, steady: Callable[[], float] = time.monotonic, ahead: float = 0.0) -> None:
        self.tree, self.overdraft, self.alone, self.steady, self.ahead = tree, overdraft, alone, steady, ahead
        self.on_soft = on_soft or (lambda budget, spent: None)
        self.accounts: dict[str, Account] = {}
        self.open: dict[str, Reservation] = {}
        self.charged: OrderedDict[str, dict[str, int]] = OrderedDict()
        self.refused = 0
        self.settled = 0

    def account(self, budget: Budget, now: int) -> Account:
        """A budget's account in its present period."""
        account = self.accounts.get(budget.name)
        if account is None:
            part = FixedPart(budget.most) if self.alone else Lease(self.overdraft, ahead=self.ahead)
            if budget.period is Period.ROLLING and not self.alone:
                part = WindowLease(self.overdraft, valid=budget.window / BUCKETS / 1e6, window=budget.window, clock=self.steady)
            account = self.accounts[budget.name] = Account(
                budget, part, Spent(budget.period, budget.window, budget.offset_minutes))
        if account.spent.begin > now + CLOCK_SLACK:  # begun by a clock that was far ahead: what is owed is still owed
            account.spent = Spent(budget.period, budget.window, budget.offset_minutes)
            account.spent.turn(now)
        before = account.spent.total
        if account.spent.turn(now):
            account.warned = False
            if isinstance(account.part, FixedPart):  # what is reserved stays so
                account.part.room += before - account.spent.total
            elif account.spent.begin and account.spent.total == 0:
                account.part.renewed()
        return account

    def reserve(self, seq: str, tenant: str, mark: str, read: int, written: int, now: int) -> Refusal | None:
        """Reserves an estimate for a sequence, or says which budget refuses it.

        ``mark`` names the operation: one that was charged already needs room only for what it may take beyond that.
        """
        paid = self.charged.get(f"{tenant}\0{mark}", {}) if mark else {}
        amounts = {"read": max(0, read - paid.get("read", 0)), "written": max(0, written - paid.get("written", 0))}
        made = Reservation(tenant, mark, {"read": read, "written": written})
        for at in self.tree.find(tenant).path():
            for budget in at.budgets:
                account, amount = self.account(budget, now), amounts[budget.kind]
                if amount and not account.part.take(amount, now):
                    self._free(made, now)
                    self.refused += 1
                    left = account.part.room
                    renews = account.spent.renews(now)
                    return Refusal(budget.name, budget.kind, amount, left, renews, max(0, renews - now))
                account.reserved += amount
                made.accounts.append((account, amount, account.part.lot))
        self.open[seq] = made
        return None

    def settle(self, seq: str, read: int, written: int, now: int) -> None:
        """A sequence is over and ``read`` and ``written`` are charged for it; the rest of its reservation goes back."""
        made = self.open.pop(seq, None)
        if made is None:
            return
        self.settled += 1
        ran = {"read": read, "written": written}
        key = f"{made.tenant}\0{made.mark}"
        paid = self.charged.get(key, {}) if made.mark else {}
        if made.mark:
            self.charged[key] = {k: max(paid.get(k, 0), ran[k]) for k in ran}
            self.charged.move_to_end(key)
            while len(self.charged) > MARKS_KEPT:
                self.charged.popitem(last=False)
        for account, reserved, lot in made.accounts:
            kind = account.budget.kind
            due = max(0, ran[kind] - paid.get(kind, 0))
            account.reserved -= reserved
            account.part.give(reserved - due, now, lot)
            account.spent.turn(now)
            account.spent.add(due)
            self._soft(account)

    def replant(self, tree: Tree, now: int) -> None:
        """Another tree, by reload. What is reserved stays reserved; only what comes next meets the new budgets."""
        self.tree = tree
        budgets = {b.name: b for t in tree.tenants.values() for b in t.budgets}
        for name, account in self.accounts.items():
            budget = budgets.get(name)
            if budget:
                if isinstance(account.part, FixedPart):
                    account.part.room += budget.most - account.budget.most
                account.budget = budget

    def _free(self, made: Reservation, now: int) -> None:
        for account, amount, lot in made.accounts:
            account.reserved -= amount
            account.part.give(amount, now, lot)

    def _soft(self, account: Account) -> None:
        if not account.warned and account.spent.total >= account.budget.soft * account.budget.tokens:
            account.warned = True
            self.on_soft(account.budget, account.spent.total)
