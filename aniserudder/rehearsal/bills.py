"""Holds the bills of a rehearsed day against what the stand-in engines counted themselves."""
from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ..ledger.store import LedgerBroken, Store
from ..tenants.billing import Line, S

Sums = tuple[int, int, int]  # read, kept, written


@dataclass(slots=True)
class Agreement:
    """Both sides, by tenant and traffic type."""
    billed: dict[tuple[str, str], Sums]
    counted: dict[tuple[str, str], Sums]
    lines: list[Line]
    sequences: int = 0
    pending: int = 0
    problems: list[str] = field(default_factory=list)

    @property
    def difference(self) -> int:
        """Tokens by which the two sides differ, all columns and rows added up without their signs."""
        keys = self.billed.keys() | self.counted.keys()
        return sum(abs(a - b) for k in keys for a, b in zip(self.billed.get(k, (0, 0, 0)), self.counted.get(k, (0, 0, 0))))


def counted(lines: list[dict[str, Any]]) -> dict[tuple[str, str], Sums]:
    """What the engines counted, by the tenant and type that the asking client had."""
    asked = {x["ref"]: (x["customer"], x["type"]) for x in lines if x["what"] == "asked"}
    sums: dict[tuple[str, str], list[int]] = defaultdict(lambda: [0, 0, 0])
    for x in lines:
        if x["what"] == "attempt_end":
            row = sums[asked[x["ref"]]]
            for i, name in enumerate(("read", "did_kept", "written")):
                row[i] += x[name]
    return {k: tuple(v) for k, v in sums.items() if any(v)}


def compare(folder: Path, lines: list[dict[str, Any]]) -> Agreement:
    """Bills out of the ledger service's file, against the engines' counts."""
    seen = counted(lines)
    try:
        store = Store(folder / "central.ledger")
        store.verify()
        tries = store.tries()
        bill = store.bill(0, 1 << 62, [], 10 * S, "operator")
    except LedgerBroken as broken:
        return Agreement({}, seen, [], problems=[str(broken)])
    made = Agreement({(b.tenant, b.type): b.whole() for b in bill if any(b.whole())}, seen, bill, len(tries),
                     len(store.pending()))
    store.close()
    return made
