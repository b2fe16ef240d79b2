"""What all commands share: bad input is one plain line on standard error and exit 2."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import click

from ..settings import BadSettings

if TYPE_CHECKING:
    from ..durable import Ground


class Plain(click.Group):
    """Bad input is one plain line on standard error and exit 2, whichever command met it."""

    def invoke(self, ctx: click.Context) -> object:
        try:
            return super().invoke(ctx)
        except BadSettings as wrong:
            for problem in wrong.problems:
                click.echo(problem, err=True)
            ctx.exit(2)


def ground() -> Ground:
    """The machine's own, or what a stand-in put in its place."""
    from ..durable import Ground

    return click.get_current_context().obj or Ground()


def fail(problem: str) -> None:
    """Bad input."""
    click.echo(problem, err=True)
    sys.exit(2)
