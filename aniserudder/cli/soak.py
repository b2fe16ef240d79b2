"""``aniserudder soak``: randomized faults on real processes, one seed after the other."""

from __future__ import annotations

import shutil
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import click

from ..soak import scenario
from ..soak.driver import play
from ..soak.plan import Profile


@contextmanager
def _folder(keep: str, seed: int) -> Iterator[Path]:
    """Where one soak's logs lie: kept, or gone with the soak unless a rule was broken."""
    if keep:
        folder = Path(keep) / f"seed-{seed}"
        folder.mkdir(parents=True)
        yield folder
        return
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    yield folder
    shutil.rmtree(folder, ignore_errors=True)


def show(
    seeds: list[int], seconds: float, keep: str, copies: int | None = None, clients: int | None = None, profile: Profile = Profile.MIXED
) -> int:
    """Plays each seed and prints what came of it. Returns how many rules were broken in all.

    ``copies`` and ``clients`` replace what a seed draws (``scenario.draw``).
    """
    broken = 0
    for seed in seeds:
        with _folder(keep, seed) as folder:
            result = play(seed, seconds, folder, scenario.draw(seed, copies, clients, profile))
            broken += len(result.breaches)
            for line in result.lines():
                click.echo(line)
    return broken
