"""What the ledger costs: appends a second, recovery time and file size by length, and a reservation on the hot path."""
from __future__ import annotations

import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from ..ledger.entries import Ended, Entry, Sent, Taken, Told
from ..ledger.store import Store
from ..settings.schema import BudgetForm, TenantForm
from ..tenants.keeper import Keeper
from ..tenants.tree import Tree

TENANTS = 100_000


@dataclass(slots=True)
class Length:
    """Figures of a ledger of one length."""
    sequences: int
    entries: int
    append_s: float
    open_ms: float
    check_ms: float
    size: int
    compact_ms: float
    compact_size: int


def of_sequence(n: int, at: int) -> list[list[Entry]]:
    """The appends of one ordinary sequence."""
    seq = f"seq-0123456789ab-{n}"
    return [[Taken(seq, at, f"tenant-{n % 50}", "draft", f"words {n:032x}")], [Sent(seq, 0, "prefill-1", True, False, 900, 200)],
            [Told(seq, 0, "read", 700, 200, 0)], [Sent(seq, 1, "decode-1", False, True, 900, 200)],
            [Told(seq, 1, "generated", 0, 0, 120)], [Ended(seq, at + 900_000, "generated")]]


def length(sequences: int, power: bool = False) -> Length:
    """Writes a ledger of so many sequences, one append at a time as a node does, and takes its figures."""
    with tempfile.TemporaryDirectory(prefix="books-") as folder:
        path = Path(folder) / "ledger"
        store, count = Store(path, power), 0
        began = time.perf_counter()
        for n in range(sequences):
            for fresh in of_sequence(n, 1_000_000 * n):
                count += store.append(fresh, "n1") > 0
        appended = time.perf_counter() - began
        store.close()
        size = sum(p.stat().st_size for p in Path(folder).iterdir())
        began = time.perf_counter()
        store = Store(path)
        opened = time.perf_counter() - began
        began = time.perf_counter()
        store.verify()
        checked = time.perf_counter() - began
        began = time.perf_counter()
        store.compact(1 << 60, 0)
        compacted = time.perf_counter() - began
        store.close()
        small = sum(p.stat().st_size for p in Path(folder).iterdir())
    return Length(sequences, count, count / appended, opened * 1e3, checked * 1e3, size, compacted * 1e3, small)


def reservation(rounds: int) -> tuple[float, float, float]:
    """Microseconds of a reservation with its settlement: without budgets, in a tree of ``TENANTS``, and that with the
    node's entries for one sequence written."""
    budgets = [BudgetForm(tokens=1 << 50, of="read", period="day"), BudgetForm(tokens=1 << 50, of="written", period="day")]
    forms = {"top": TenantForm(budgets=budgets)}
    forms |= {f"mid-{n}": TenantForm(parent="top", budgets=budgets) for n in range(100)}
    forms |= {f"t-{n}": TenantForm(parent=f"mid-{n % 100}", budgets=budgets) for n in range(TENANTS - 101)}
    names = [f"t-{n * 97 % (TENANTS - 101)}" for n in range(rounds)]

    def run(keeper: Keeper, store: Store | None) -> float:
        began = time.perf_counter()
        for n, name in enumerate(names):
            assert keeper.reserve(f"s{n}", name, "", 900, 200, 1_000_000) is None
            if store:
                for fresh in of_sequence(n, 1_000_000 * n):
                    store.append(fresh, "n1")
            keeper.settle(f"s{n}", 700, 120, 1_000_000)
        return (time.perf_counter() - began) / rounds * 1e6

    with tempfile.TemporaryDirectory(prefix="books-") as folder:
        store = Store(Path(folder) / "ledger")
        tree = Tree(forms)
        found = run(Keeper(Tree({}), 0, alone=True), None), run(Keeper(tree, 0, alone=True), None), run(
            Keeper(tree, 0, alone=True), store)
        store.close()
    return found
