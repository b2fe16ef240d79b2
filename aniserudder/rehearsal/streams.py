"""What became of streams whose writers were lost, with and without continuation: from what clients and engines saw."""
from __future__ import annotations

from dataclasses import dataclass, field

from .audit import Record, Try

AFTER = 3_000_000   # microseconds after a writer's death in which arrivals are looked at for harm


@dataclass(slots=True)
class Streams:
    """One traffic type's streams, or all."""
    started: int = 0         # had a first token, and their client stayed
    completed: int = 0
    hit: int = 0             # lost a writer, or were moved away from one, after that
    saved: int = 0           # of these, completed
    pauses: list[int] = field(default_factory=list)  # of those saved: the longest gap between tokens, microseconds
    extra: int = 0           # prompt tokens read anew for continuations
    read: int = 0            # prompt tokens read in all
    missing: int = 0
    doubled: int = 0

    def pause(self, part: float) -> float:
        """Milliseconds; 0 where nothing was saved."""
        marks = sorted(self.pauses)
        return marks[min(len(marks) - 1, int(part * len(marks)))] / 1000 if marks else 0.0


@dataclass(slots=True)
class Account:
    """A whole day."""
    types: dict[str, Streams]
    after: list[int]         # new arrivals' first tokens just after a death, microseconds
    after_in_slo: int = 0
    after_asked: int = 0
    returned: int = 0        # clients that came back by event id
    moved: int = 0

    @property
    def all(self) -> Streams:
        whole = Streams()
        for one in self.types.values():
            for name in ("started", "completed", "hit", "saved", "extra", "read", "missing", "doubled"):
                setattr(whole, name, getattr(whole, name) + getattr(one, name))
            whole.pauses += one.pauses
        return whole

    @property
    def share_after(self) -> float:
        return self.after_in_slo / max(1, self.after_asked)


def hit(one: Try) -> bool:
    """Whether a stream lost its writer after its first token."""
    return one.first >= 0 and any(
        a.forced or a.end >= one.first and a.result == "engine died" for a in one.attempts if not a.reads)


def account(record: Record) -> Account:
    """Adds a day up, by operations' first tries. Nodes that were killed took their streams with them: those are not counted."""
    made = Account({}, [])
    deaths = [begin for name, spells in record.downs.items() for begin, _ in spells
              if any(not a.reads for a in record.by_engine[name])]
    for one in record.tries.values():
        row = made.types.setdefault(one.asked["type"], Streams())
        row.read += sum(a.read for a in one.attempts)
        row.extra += sum(a.read for a in one.attempts if a.forced)
        left = any(e["what"] in ("left", "gave_up") for e in one.ends)
        at = one.asked["at"]
        if not left and any(0 <= at - death < AFTER for death in deaths):
            made.after_asked += 1
            if one.first >= 0:
                made.after.append(one.first - at)
                made.after_in_slo += one.first - at <= one.asked["slo_us"]
        made.returned += one.back
        made.moved += any(a.forced for a in one.attempts) and any(
            a.result == "left" and 0 <= one.first <= a.end for a in one.attempts if not a.reads)
        # A client's further tries are left out: without continuation there are more of them.
        if one.first < 0 or left or not one.asked["streamed"] or record.died(one.asked["node"], at) or not one.ref.endswith(".0"):
            continue
        final = one.finals[0] if one.finals else None
        good = final is not None and final["kind"] == "generated"
        row.started += 1
        row.completed += good
        if final:
            row.missing += final["missing"]
            row.doubled += final["doubled"]
        if hit(one):
            row.hit += 1
            row.saved += good
            if good:
                row.pauses.append(final["gap_us"])
    return made


def plot(kept: Account, without: Account, path: str) -> None:
    """Streams saved by type, pauses, and new arrivals after a death, with and without continuation."""
    import matplotlib
    matplotlib.use("Agg")
    from matplotlib import pyplot
    figure, (left, middle, right) = pyplot.subplots(1, 3, figsize=(13, 3.8), layout="constrained")
    names = sorted(kept.types)
    for n, (made, label, colour) in enumerate(((without, "without", "#b8b8b8"), (kept, "with continuation", "#1f6f8b"))):
        rows = [made.types.get(name) for name in names]
        shares = [100 * r.saved / r.hit if r and r.hit else 0 for r in rows]
        bars = left.bar([i + 0.4 * n for i in range(len(names))], shares, 0.38, label=label, color=colour)
        left.bar_label(bars, [f"{r.saved}/{r.hit}" if r else "" for r in rows], fontsize=8)
        waits = sorted(t / 1000 for t in made.after)
        right.plot(waits, [(i + 1) / len(waits) for i in range(len(waits))], label=label, color=colour)
    left.set_xticks([i + 0.2 for i in range(len(names))], names)
    left.set_ylim(0, 140)
    left.set_ylabel("% of streams that lost a writer")
    left.set_title("completed")
    left.legend(fontsize=8, loc="upper right")
    pauses = sorted(p / 1000 for p in kept.all.pauses)
    middle.plot(pauses, [(i + 1) / len(pauses) for i in range(len(pauses))], color="#1f6f8b")
    middle.set_xlabel("longest gap between tokens, ms")
    middle.set_title("pause of streams that went on")
    right.set_xlabel("first token of new sequences, ms")
    right.set_title(f"arrivals within {AFTER / 1e6:g} s of a death")
    right.legend(fontsize=8)
    for axis in (middle, right):
        axis.set_ylabel("share")
        axis.grid(alpha=0.3)
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
