"""``aniserudder standin``: engines and lists to try a node with."""

from __future__ import annotations

import sys

import click


@click.group()
def standin() -> None:
    """Run a stand-in engine or roster server by itself."""


@standin.command("engine")
@click.option("--name", default="standin-1", show_default=True)
@click.option("--role", type=click.Choice(["reader", "writer", "mixed"]), default="mixed", show_default=True)
@click.option("--port", default=0, help="0: any; it is printed.")
@click.option("--slots", default=32, show_default=True, type=click.IntRange(1))
@click.option("--queue", default=32, show_default=True, type=click.IntRange(0))
@click.option("--memory", default=200_000, show_default=True, type=click.IntRange(1000), help="Tokens.")
@click.option("--read-per-s", default=20_000.0, show_default=True, type=click.FloatRange(1), help="Prompt tokens.")
@click.option("--step-ms", default=20.0, show_default=True, type=click.FloatRange(0.1), help="For one token of each.")
@click.option(
    "--fault",
    type=click.Choice(["stall", "reset before", "reset after", "half line", "long line", "noise", "draining"]),
    help="What is wrong with it from the start.",
)
@click.option("--quiet", is_flag=True, help="Do not print what it sees.")
def standin_engine(
    name: str, role: str, port: int, slots: int, queue: int, memory: int, read_per_s: float, step_ms: float, fault: str | None, quiet: bool
) -> None:
    """Run one stand-in engine until a signal; prints what it sees as lines of JSON."""
    from ..standins.alone import engine
    from ..standins.engine import EngineSpec

    sys.exit(engine(EngineSpec(name, role, role, "any", 0, slots, queue, memory, read_per_s, step_ms), port, fault or "", quiet))


@standin.command("roster")
@click.argument("rows", type=click.Path(dir_okay=False))
@click.option("--port", default=0, help="0: any; it is printed.")
def standin_roster(rows: str, port: int) -> None:
    """Serve the engine list in the YAML file ROWS; changes of the file are streamed to the nodes."""
    from ..standins.alone import roster

    sys.exit(roster(rows, port))
