"""``python -m aniserudder.cli.faulty_disk SCRIPT COMMAND ...``: any command of the program over a disk that fails as a script says."""

from __future__ import annotations

import sys
import time
from pathlib import Path

from ..durable import Ground
from ..standins.disk import FaultyFiles
from . import main


def run(script: Path, command: list[str]) -> None:
    """Runs a command over the disk of a script."""
    files = FaultyFiles(script)
    form = files.platter.script
    main(command, obj=Ground(files, lambda: time.time() + files.platter.wall_off_s, form.boot, form.at_once))


if __name__ == "__main__":
    run(Path(sys.argv[1]), sys.argv[2:])
