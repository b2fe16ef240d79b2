"""What is charged, from the ledger's entries alone. Pure: the same entries in any order give the same bill.

An **operation** is what a client wanted; each of its tries is a sequence. Tries belong together by a mark: the client's
idempotency key, or, where it sent none, the digest of its prompt within ``recognise`` of the try before. One try of an operation is
charged: the one that was generated, else the one of which the client got most. What that try ran in vain (a read that was lost, a
writer that died before a token came) is *lost work*, and all work of the other tries is *repeated work*; neither is the tenant's unless
``lost_to`` says so. Every token that an engine counted stands on exactly one line.
"""
from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from datetime import date
from decimal import ROUND_HALF_EVEN, Decimal

MILLION = Decimal(1_000_000)
CENT = Decimal("0.0001")
SERVED = "generated"
S = 1_000_000
KEY_FOR = 86_400 * S  # a client's key names the same operation for so long after its last try


@dataclass(slots=True)
class Work:
    """One schedule attempt as the ledger has it. Tokens: ``read`` were read anew, ``kept`` were found kept."""
    ordinal: int
    engine: str
    reads: bool
    fetched: bool                # it was given a state, so it read nothing itself
    read: int = 0
    kept: int = 0
    written: int = 0
    outcome: str = ""
    told: bool = False           # an engine has said what ran
    flag: str = ""               # why its figures are not the engine's own
    behind: int = 0              # tokens of the answer that other writers had sent before it


@dataclass(slots=True)
class Try:
    """One sequence."""
    node: str
    seq: str
    mark: str
    keyed: bool                  # the mark is the client's own
    tenant: str
    type: str
    at: int                      # wall time of its arrival, microseconds
    final: str = ""              # generated, rejected, aborted, left; empty: its node died
    ended: int = 0
    works: dict[int, Work] = field(default_factory=dict)


@dataclass(slots=True)
class Tokens:
    """A sum of tokens."""
    read: int = 0
    kept: int = 0
    written: int = 0

    def add(self, work: Work) -> None:
        self.read += work.read
        self.kept += work.kept
        self.written += work.written

    def row(self) -> tuple[int, int, int]:
        return self.read, self.kept, self.written


@dataclass(slots=True)
class Line:
    """One line of a bill: a tenant's traffic of one type."""
    tenant: str
    type: str
    operations: int = 0
    tries: int = 0
    charged: Tokens = field(default_factory=Tokens)
    lost: Tokens = field(default_factory=Tokens)
    repeated: Tokens = field(default_factory=Tokens)
    unconfirmed: int = 0         # attempts whose figures are not an engine's own
    amount: Decimal = Decimal(0)

    def whole(self) -> tuple[int, int, int]:
        """All tokens on this line, as engines count them."""
        sums = (self.charged, self.lost, self.repeated)
        return sum(t.read for t in sums), sum(t.kept for t in sums), sum(t.written for t in sums)


@dataclass(slots=True, frozen=True)
class Folded:
    """One operation whose entries were compacted: when its first try came, and its line."""
    at: int
    line: Line


@dataclass(slots=True, frozen=True)
class Price:
    """Prices for a million tokens since a day."""
    since: date
    read: Decimal
    kept: Decimal
    written: Decimal
    types: dict[str, Decimal]


def charge(one: Try) -> tuple[list[Work], list[Work]]:
    """Parts a try's attempts into those that brought the client what it got, and those that ran in vain.

    Of a stream that went on after its writer was lost, each writer brought the client what the next one began behind. The
    prompt is charged once, with the first of them: reading it again for the others is lost work, as are tokens that a
    writer wrote and that never came through.
    """
    works = [one.works[n] for n in sorted(one.works)]
    if one.final in ("rejected", ""):
        return [], works
    writers = [w for w in works if not w.reads and w.written]
    if not writers:
        return [], works
    marks = [w.behind for w in writers[1:]] + [writers[-1].behind + writers[-1].written]
    brought = {w.ordinal: min(w.written, mark - w.behind) for w, mark in zip(writers, marks) if mark > w.behind}
    first = next(w for w in writers if w.ordinal in brought)
    fed = None
    if first.fetched:
        fed = next((w for w in reversed(works) if w.reads and w.ordinal < first.ordinal and w.outcome == "read"), None)
    served, vain = [], []
    for work in works:
        if work is fed:
            served.append(work)
        elif work.ordinal in brought:
            rest = work.written - brought[work.ordinal]
            if work is first:
                served.append(replace(work, written=brought[work.ordinal]) if rest else work)
                if rest:
                    vain.append(replace(work, read=0, kept=0, written=rest))
            else:
                served.append(replace(work, read=0, kept=0, written=brought[work.ordinal]))
                if rest or work.read or work.kept:
                    vain.append(replace(work, written=rest))
        else:
            vain.append(work)
    return served, vain


def operations(tries: Iterable[Try], recognise: int) -> list[list[Try]]:
    """Tries that belong together, in order of their arrival."""
    marked: dict[tuple[str, str], list[Try]] = defaultdict(list)
    for one in tries:
        marked[one.tenant, one.mark].append(one)
    found: list[list[Try]] = []
    for group in marked.values():
        group.sort(key=lambda t: (t.at, t.seq))
        present: list[Try] = []
        for one in group:
            if present:
                waited = one.at - max(present[-1].ended, present[-1].at)
                # Without a key, what follows a full answer, or comes late, is a new wish in the same words.
                new = waited > KEY_FOR if one.keyed else waited > recognise or any(t.final == SERVED for t in present)
                if new:
                    found.append(present)
                    present = []
            present.append(one)
        found.append(present)
    return found


def bill(tries: Iterable[Try], since: int, until: int, prices: list[Price], recognise: int = 10 * S,
         lost_to: str = "operator", folded: Iterable[Folded] = ()) -> list[Line]:
    """The lines of a period. An operation belongs to the period of its first try."""
    lines: dict[tuple[str, str], Line] = {}
    for tried in operations(tries, recognise):
        first = tried[0]
        if not since <= first.at < until:
            continue
        line = lines.setdefault((first.tenant, first.type), Line(first.tenant, first.type))
        line.operations += 1
        line.tries += len(tried)
        parted = [(one, *charge(one)) for one in tried]
        chosen = max(parted, key=lambda p: (p[0].final == SERVED, sum(w.written for w in p[1]), -p[0].at, p[0].seq))[0]
        due = Tokens()
        for one, served, vain in parted:
            for work in one.works.values():
                line.unconfirmed += bool(work.flag) or not work.told
            for work in served:
                (line.charged if one is chosen else line.repeated).add(work)
                if one is chosen:
                    due.add(work)
            for work in vain:
                (line.lost if one is chosen else line.repeated).add(work)
                if one is chosen and lost_to == "tenant":
                    due.add(work)
        line.amount += money(due, first.at, first.type, prices)
    for one in folded:
        if since <= one.at < until:
            fresh = one.line
            line = lines.setdefault((fresh.tenant, fresh.type), Line(fresh.tenant, fresh.type))
            line.operations += 1
            line.tries += fresh.tries
            line.unconfirmed += fresh.unconfirmed
            due = Tokens()
            for mine, its, paid in ((line.charged, fresh.charged, True), (line.lost, fresh.lost, lost_to == "tenant"),
                                    (line.repeated, fresh.repeated, False)):
                for sums in (mine, due) if paid else (mine,):
                    sums.read, sums.kept, sums.written = (sums.read + its.read, sums.kept + its.kept,
                                                          sums.written + its.written)
            line.amount += money(due, one.at, fresh.type, prices)
    for line in lines.values():
        line.amount = line.amount.quantize(CENT, ROUND_HALF_EVEN)
    return [lines[key] for key in sorted(lines)]


def money(due: Tokens, at: int, kind: str, prices: list[Price]) -> Decimal:
    """What tokens of a traffic type cost at the prices that were in force on the day of the first try."""
    day = date.fromordinal(date(1970, 1, 1).toordinal() + at // (86_400 * S))
    valid = [p for p in prices if p.since <= day]
    if not valid:
        return Decimal(0)
    price = max(valid, key=lambda p: p.since)
    factor = price.types.get(kind, Decimal(1))
    return (due.read * price.read + due.kept * price.kept + due.written * price.written) * factor / MILLION
