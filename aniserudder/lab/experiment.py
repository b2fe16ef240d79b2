"""Experiments: a plan of factors, seeds and policies, run over all cores, resumable, and what its results say.

A plan is YAML: ``day`` (a shipped name or a path), ``policies``, ``seeds`` and ``factors``, each a dotted key of the day with its
levels. Every cell (policy, levels, seed) is one day in simulated time; its result is a row of a SQLite file, written when the day is
over, so a plan that was killed goes on where it stopped. Differences are paired by seed and have bootstrap intervals.
"""
from __future__ import annotations

import sqlite3
import tempfile
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass
from importlib import resources
from itertools import product
from pathlib import Path
from random import Random
from typing import Annotated, Any, Literal

import msgspec
import xxhash
import yaml
from pydantic import Field, model_validator

from ..rehearsal.audit import Record, audit
from ..rehearsal.day import Day, find
from ..rehearsal.plan import draw
from ..settings import BadSettings, load, load_text
from ..settings.schema import Part
from .baselines import POLICIES
from .stage import run

RESAMPLES = 2_000
MEASURES = ("in_slo", "utility", "median_ms", "p99_ms", "rejected", "aborted", "lost")


class Plan(Part):
    """The form of an experiment."""
    about: str = ""
    day: str
    policies: list[Literal["module", "random", "least streams", "hash only", "bits frozen"]] = Field(["module"], min_length=1)
    seeds: Annotated[int, Field(ge=1, le=10_000)] = 5
    first_seed: int = 1
    factors: dict[str, list[Any]] = Field(default_factory=dict, description="dotted keys of the day, each with its levels")

    @model_validator(mode="after")
    def _levels(self) -> Plan:
        for key, levels in self.factors.items():
            if not levels:
                raise ValueError(f"factors.{key}: has no levels")
        return self

    def cells(self) -> list[Cell]:
        """All days of the plan, seeds innermost, so that pairs are done together."""
        return [Cell(self.day, policy, tuple(zip(self.factors, levels)), seed)
                for levels in product(*self.factors.values()) for seed in range(self.first_seed, self.first_seed + self.seeds)
                for policy in self.policies]


def find_plan(name: str) -> Plan | None:
    """A shipped plan by its name, or one by the path of its file; None: it is a day.

    Raises:
        BadSettings: it cannot be used.
    """
    inside = resources.files(__package__) / "plans" / f"{name}.yaml"
    if "/" not in name and inside.is_file():
        return load_text(inside.read_text(encoding="utf-8"), f"{name}.yaml", Plan)
    path = Path(name)
    if not path.is_file():
        return None
    try:
        form = yaml.safe_load(path.read_text(encoding="utf-8"))
    except (yaml.YAMLError, UnicodeDecodeError):
        return None  # whoever reads it as a day says what is wrong
    return load(name, Plan) if isinstance(form, dict) and "day" in form else None


def shipped_plans() -> dict[str, str]:
    """The plans that come with the program: name and what they are about."""
    names = sorted(p.name.removesuffix(".yaml") for p in (resources.files(__package__) / "plans").iterdir()
                   if p.name.endswith(".yaml"))
    return {name: find_plan(name).about for name in names}


@dataclass(slots=True, frozen=True)
class Cell:
    """One day of an experiment."""
    day: str
    policy: str
    levels: tuple[tuple[str, Any], ...]
    seed: int

    @property
    def key(self) -> str:
        return xxhash.xxh3_128_hexdigest(msgspec.json.encode([_digest(self.day), self.policy, self.levels, self.seed]))

    @property
    def group(self) -> str:
        """What it is apart from its seed."""
        return ", ".join([self.policy, *(f"{key.rpartition('.')[2]} {level}" for key, level in self.levels)])


class Result(msgspec.Struct):
    """What a day came to. Shares are of the operations that were asked for."""
    group: str
    policy: str
    levels: dict[str, Any]
    seed: int
    broken: list[int]
    sequences: int
    in_slo: float
    utility: float
    median_ms: float
    p99_ms: float
    rejected: float
    aborted: float
    lost: float
    by_type: dict[str, float]
    line: list[float]        # share within SLO by twentieths of the day
    events: int
    trouble: str = ""


def changed(day: Day, levels: tuple[tuple[str, Any], ...]) -> Day:
    """A day with some of its keys set.

    Raises:
        BadSettings: a key is none of the form, or a level does not fit.
    """
    form = day.model_dump()
    for key, level in levels:
        *parents, last = key.split(".")
        at: Any = form
        for name in parents:
            at = at.get(name) if isinstance(at, dict) else None
        if not isinstance(at, dict) or last not in at:
            raise BadSettings([f"factors.{key}: no such key of the day"])
        at[last] = level
    try:
        return Day.model_validate(form)
    except ValueError as wrong:
        raise BadSettings([f"factors: {str(wrong).splitlines()[2].strip() if len(str(wrong).splitlines()) > 2 else wrong}"]) from None


def play(cell: Cell) -> Result:
    """Plays one cell."""
    day = changed(find(cell.day), cell.levels)
    with tempfile.TemporaryDirectory(prefix="lab-") as folder:
        done = run(day, draw(day, cell.seed), cell.seed, Path(folder), lambda line: None, False, POLICIES[cell.policy])
    record = Record(done.ran.lines)
    verdict = audit(record)
    asked: dict[int, str] = {}
    good: dict[int, bool] = {}
    at: dict[int, int] = {}
    for one in record.tries.values():
        op = one.asked["op"]
        asked[op], at[op] = one.asked["type"], min(at.get(op, 1 << 60), one.asked["at"])
        final = one.finals[0] if one.finals else None
        took = (one.first if one.first >= 0 else final["at"] if final else 0) - one.asked["at"]
        good[op] = good.get(op, False) or bool(final) and final["kind"] == "generated" and took <= one.asked["slo_us"]
    worth = {name: t.utility for name, t in day.types.items()}
    took = sorted(t for row in verdict.types.values() for t in row.latency)
    begun = next((x["at"] for x in done.ran.lines if x["what"] == "begun"), 0)
    bins: list[list[int]] = [[0, 0] for _ in range(20)]
    for op, when in at.items():
        spot = bins[min(19, int(20 * (when - begun) / (day.seconds * 1e6)))]
        spot[0] += good[op]
        spot[1] += 1
    rows, count = verdict.types.values(), max(1, len(asked))
    return Result(
        cell.group, cell.policy, dict(cell.levels), cell.seed, verdict.broken, verdict.sequences,
        sum(good.values()) / count,
        sum(worth[asked[op]] for op, ok in good.items() if ok) / max(1e-9, sum(worth[k] for k in asked.values())),
        took[len(took) // 2] / 1000 if took else 0.0, took[min(len(took) - 1, int(0.99 * len(took)))] / 1000 if took else 0.0,
        sum(r.rejected for r in rows) / count, sum(r.aborted for r in rows) / count, sum(r.lost for r in rows) / count,
        {name: sum(good[op] for op, k in asked.items() if k == name) / max(1, sum(k == name for k in asked.values()))
         for name in sorted(day.types)},
        [a / b if b else -1.0 for a, b in bins], done.events, done.ran.trouble)


class Results:
    """A durable store of results, one row a cell."""

    def __init__(self, path: str) -> None:
        self._rows = sqlite3.connect(path)
        self._rows.execute("pragma journal_mode=wal")
        self._rows.execute("create table if not exists results (key text primary key, body blob)")
        self._rows.commit()

    def have(self, key: str) -> bool:
        return self._rows.execute("select 1 from results where key = ?", (key,)).fetchone() is not None

    def keep(self, key: str, result: Result) -> None:
        self._rows.execute("insert or replace into results values (?, ?)", (key, msgspec.json.encode(result)))
        self._rows.commit()

    def all(self, cells: list[Cell] | None = None) -> list[Result]:
        """Results of these cells, in their order; without cells, all."""
        rows = dict(self._rows.execute("select key, body from results"))
        if cells is not None:
            return [msgspec.json.decode(rows[c.key], type=Result) for c in cells if c.key in rows]
        found = [msgspec.json.decode(body, type=Result) for body in rows.values()]
        return sorted(found, key=lambda r: (msgspec.json.encode(r.levels), list(POLICIES).index(r.policy), r.seed))

    def close(self) -> None:
        self._rows.close()


def carry_out(plan: Plan, store: Results, processes: int | None, say: Callable[[str], None]) -> list[Result]:
    """Plays what the store lacks, over all cores; results in the plan's order, whatever order they came in."""
    cells = plan.cells()
    find(plan.day)
    for cell in cells[:: max(1, plan.seeds * len(plan.policies))]:
        changed(find(plan.day), cell.levels)  # a bad level is told before hours are spent
    wanted = [c for c in cells if not store.have(c.key)]
    say(f"{len(cells)} days, {len(cells) - len(wanted)} of them are in the store")
    with ProcessPoolExecutor(processes) as pool:
        running = {pool.submit(play, c): c for c in wanted}
        for number, done in enumerate(as_completed(running), 1):
            cell, result = running[done], done.result()
            store.keep(cell.key, result)
            say(f"{number:4d} of {len(wanted)}: {cell.group}, seed {cell.seed}: {result.in_slo:.3f} in SLO"
                + (f", BROKE {result.broken}" if result.broken else ""))
    return store.all(cells)


@dataclass(slots=True, frozen=True)
class Interval:
    """A mean, and where it lies with 95 % confidence."""
    mean: float
    low: float
    high: float

    def __str__(self) -> str:
        return f"{self.mean:.3f} [{self.low:.3f}, {self.high:.3f}]"


def bootstrap(values: list[float], seed: int = 1) -> Interval:
    """A percentile bootstrap of the mean; the same values give the same interval."""
    if not values:
        return Interval(0.0, 0.0, 0.0)
    chance, count = Random(seed), len(values)
    means = sorted(sum(chance.choices(values, k=count)) / count for _ in range(RESAMPLES))
    return Interval(sum(values) / count, means[int(0.025 * RESAMPLES)], means[int(0.975 * RESAMPLES) - 1])


def differences(results: list[Result], one: str, other: str, measure: str = "in_slo") -> Interval:
    """How far group ``one`` lies above ``other``, paired by seed.

    Raises:
        BadSettings: they have no seed in common.
    """
    by: dict[str, dict[int, float]] = {}
    for r in results:
        by.setdefault(r.group, {})[r.seed] = getattr(r, measure)
    for name in (one, other):
        if name not in by:
            raise BadSettings([f"{name!r} is none of the results' groups ({'; '.join(by)})"])
    pairs = [by[one][s] - by[other][s] for s in sorted(by[one].keys() & by[other].keys())]
    if not pairs:
        raise BadSettings([f"{one!r} and {other!r} have no seed in common"])
    return bootstrap(pairs)


def base_of(results: list[Result], group: str) -> str:
    """What a group is held against: the first policy at the same levels, or, where it is that itself, the first group."""
    mine = next(r for r in results if r.group == group)
    like = next(r for r in results if r.levels == mine.levels)
    return like.group if like.group != group else results[0].group


def groups(results: list[Result]) -> Iterator[tuple[str, list[Result]]]:
    """Results by group, in the order in which groups first come."""
    by: dict[str, list[Result]] = {}
    for r in results:
        by.setdefault(r.group, []).append(r)
    yield from by.items()


def _digest(day: str) -> str:
    """Names a day by what stands in it: results of a day that was changed are not taken for the new one's."""
    return xxhash.xxh3_64_hexdigest(find(day).model_dump_json().encode())
