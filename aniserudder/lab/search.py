"""Looks for bad days: faults and times at which a rule breaks, or most is lost. What it finds is shrunk to a small day.

First random scripts, then changes to the worst ones found: a fault moved, lengthened, widened, swapped, added or taken out. A broken
rule comes before any loss; else a day is as bad as its share of utility within SLO is low. Shrinking takes faults out and shortens
them one by one while the day stays as bad, then cuts its end off. Every day is drawn by the same traffic seed, so only faults differ.
"""
from __future__ import annotations

import tempfile
from collections.abc import Callable
from concurrent.futures import Executor
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import yaml

from ..rehearsal.audit import Record, audit
from ..rehearsal.day import Day
from ..rehearsal.plan import draw
from .stage import run

KINDS_OF_TROUBLE = ("balancer_crash", "node_stop", "flush", "hang", "slow", "zone_cut", "preempt", "mass_restart", "pauses", "answer_lost",
                    "refuse", "reset_before", "reset_after", "garble", "roster_away", "role_swap", "trickle", "burst", "give_up")
ON_ENGINES = {"flush", "hang", "slow", "preempt", "mass_restart", "pauses", "answer_lost", "refuse", "reset_before", "reset_after", "garble",
              "role_swap", "trickle"}
MOST_FAULTS, KEPT = 5, 8
AS_BAD = 0.01   # a shrunk day may be so much better


@dataclass(slots=True)
class Found:
    """One day tried."""
    troubles: list[dict[str, Any]]
    broken: list[int] = field(default_factory=list)
    utility: float = 1.0
    trouble: str = ""

    @property
    def badness(self) -> float:
        """Higher is worse; a broken rule or a day that could not be played above all."""
        return (10.0 if self.broken or self.trouble else 0.0) + 1 - self.utility


def judge(job: tuple[Day, list[dict[str, Any]], int]) -> Found:
    """Plays a day with these troubles."""
    base, troubles, seed = job
    day = Day.model_validate(base.model_dump() | {"troubles": troubles})
    with tempfile.TemporaryDirectory(prefix="lab-") as folder:
        done = run(day, draw(day, seed), seed, Path(folder), lambda line: None, False)
    verdict = audit(Record(done.ran.lines))
    worth = {name: t.utility for name, t in day.types.items()}
    whole = sum(worth[n] * r.asked for n, r in verdict.types.items())
    return Found(troubles, verdict.broken, sum(worth[n] * r.in_slo for n, r in verdict.types.items()) / max(1e-9, whole),
                 done.ran.trouble)


class Search:
    """One search.

    Args:
        base: the day whose fleet and traffic are kept.
        seed: of the search; ``traffic`` of the arrivals.
    """

    def __init__(self, base: Day, seed: int, traffic: int) -> None:
        self.base = base.model_copy(update={"twin": "", "troubles": []})
        self.chance, self.traffic = Random(f"{seed} search"), traffic
        self.kinds = sorted({e.kind for e in base.engines})
        self.best: list[Found] = []
        self.tried = 0

    def look(self, days: int, pool: Executor, width: int, say: Callable[[str], None]) -> Found:
        """Tries so many days; the worst."""
        while self.tried < days:
            count = min(width, days - self.tried)
            scripts = [self._script() for _ in range(count)]
            for found in pool.map(judge, [(self.base, s, self.traffic) for s in scripts]):
                self.tried += 1
                self.best.append(found)
            self.best = sorted(self.best, key=lambda f: -f.badness)[:KEPT]
            say(f"{self.tried:4d} days: worst {_say(self.best[0])}")
        return self.best[0]

    def shrink(self, found: Found, pool: Executor, say: Callable[[str], None]) -> Found:
        """A smaller script that is as bad: the same rule broken, or as little utility."""
        smaller = True
        while smaller:
            smaller = False
            tries = [found.troubles[:n] + found.troubles[n + 1:] for n in range(len(found.troubles)) if len(found.troubles) > 1]
            for n, one in enumerate(found.troubles):
                if one.get("seconds", 0) > 1:
                    tries.append([*found.troubles[:n], one | {"seconds": round(one["seconds"] / 2, 1)}, *found.troubles[n + 1:]])
                if one.get("count", 1) > 1:
                    tries.append([*found.troubles[:n], one | {"count": one["count"] // 2}, *found.troubles[n + 1:]])
            for made in pool.map(judge, [(self.base, t, self.traffic) for t in tries]):
                as_bad = set(found.broken) <= set(made.broken) if found.broken else made.badness >= found.badness - AS_BAD
                if as_bad:
                    say(f"shrunk to {len(made.troubles)} faults: {_say(made)}")
                    found, smaller = made, True
                    break
        return found

    def _script(self) -> list[dict[str, Any]]:
        if self.tried < 2 * KEPT or self.chance.random() < 0.25 or not self.best:
            return self._sorted([self._fault() for _ in range(self.chance.randint(1, 4))])
        script = [dict(t) for t in self.chance.choice(self.best).troubles]
        spot = self.chance.randrange(len(script))
        match self.chance.choice(("move", "longer", "wider", "swap", "add", "drop")):
            case "move":
                script[spot]["at"] = self._at(script[spot]["at"])
            case "longer":
                script[spot]["seconds"] = round(min(8.0, script[spot]["seconds"] * self.chance.uniform(0.6, 2.0)), 1)
            case "wider":
                script[spot]["count"] = min(8, script[spot]["count"] + self.chance.randint(1, 2))
            case "swap":
                script[spot] = self._fault()
            case "add" if len(script) < MOST_FAULTS:
                script.append(self._fault())
            case "drop" if len(script) > 1:
                del script[spot]
        return self._sorted(script)

    def _fault(self) -> dict[str, Any]:
        name = self.chance.choice(KINDS_OF_TROUBLE)
        fault: dict[str, Any] = {"at": self._at(None), "trouble": name, "seconds": round(self.chance.uniform(0.5, 5), 1),
                                 "count": self.chance.randint(1, 4)}
        if name in ON_ENGINES:
            fault["kinds"] = [self.chance.choice(self.kinds)]
            fault["late_s"] = round(self.chance.choice((0.1, 0.5, 1.5)), 1)
        if name in ("slow", "burst", "trickle"):
            fault["size"] = round(self.chance.uniform(1.5, 4), 1)
        if name in ("answer_lost", "give_up"):
            fault["share"] = round(self.chance.uniform(0.2, 0.8), 1)
        if name == "zone_cut":
            fault["zone"] = self.chance.choice(self.base.zones)
        return fault

    def _at(self, near: float | None) -> float:
        last = self.base.seconds - 1
        if near is None:
            return round(self.chance.uniform(0.5, last), 1)
        return round(min(last, max(0.2, near + self.chance.gauss(0, 1.0))), 1)

    @staticmethod
    def _sorted(script: list[dict[str, Any]]) -> list[dict[str, Any]]:
        return sorted(script, key=lambda f: (f["at"], f["trouble"]))


def as_day(name: str, found: Found, seed: int) -> str:
    """The YAML of a day that was found."""
    about = f"found by search on {name}, traffic seed {seed}: " + (f"breaks {found.broken}" if found.broken else
                                                                   f"{found.utility:.3f} of the utility within SLO")
    return yaml.safe_dump({"about": about, "like": name, "twin": "", "troubles": found.troubles}, sort_keys=False, width=140,
                          default_flow_style=None)


def _say(found: Found) -> str:
    how = f"breaks {found.broken}" if found.broken else found.trouble or f"{found.utility:.3f} of the utility"
    return f"{how}: " + ", ".join(f"{t['trouble']} at {t['at']:g}" for t in found.troubles)
