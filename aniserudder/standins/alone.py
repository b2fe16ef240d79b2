"""A stand-in in a process of its own, for trying things out by hand and for measuring."""
from __future__ import annotations

import sys
from pathlib import Path
from random import Random

import yaml
from pydantic import TypeAdapter, ValidationError
from ..eventloop import reactor
from twisted.internet.error import CannotListenError

from ..settings import BadSettings
from ..settings.schema import Row
from .beside import Quiet
from .engine import EngineSpec, StandinEngine
from .roster import StandinRoster
from .witness import Witness

LOOK_EVERY = 0.5  # seconds between looks at a roster file


def engine(spec: EngineSpec, port: int, fault: str, quiet: bool) -> int:
    """Runs one engine until a signal.

    Raises:
        BadSettings: the port cannot be had.
    """
    witness = Quiet(reactor) if quiet else Witness(reactor, sys.stdout.buffer)
    try:
        one = StandinEngine(reactor, spec, witness, ["any"], Random(1).random, port=port)
    except CannotListenError as taken:
        raise BadSettings([f"port {port}: {taken.socketError.strerror}"]) from None
    faults = one.faults
    faults.stall, faults.draining = fault == "stall", fault == "draining"
    faults.reset = fault.removeprefix("reset ") if fault.startswith("reset") else ""
    faults.garble = fault if fault in ("half line", "long line", "noise") else ""
    print(f"{spec.name} ({spec.role}) listens on {one.address('any')}", file=sys.stderr, flush=True)
    reactor.run()
    return 0


def _rows(path: Path) -> list[Row]:
    try:
        return TypeAdapter(list[Row]).validate_python(yaml.safe_load(path.read_text(encoding="utf-8")))
    except OSError as problem:
        raise BadSettings([f"{path}: {problem.strerror}"]) from None
    except (yaml.YAMLError, UnicodeDecodeError):
        raise BadSettings([f"{path}: not YAML"]) from None
    except ValidationError as wrong:
        first = wrong.errors()[0]
        raise BadSettings([f"{path}: {'.'.join(map(str, first['loc']))}: {first['msg']}"]) from None


def roster(name: str, port: int) -> int:
    """Serves a file's rows until a signal.

    Raises:
        BadSettings: the file or the port cannot be used at the start. A later fault of the file changes nothing.
    """
    path = Path(name)
    rows = _rows(path)
    try:
        server = StandinRoster(reactor, rows, Quiet(reactor), lambda engine, node: server.rows[engine].address, port)
    except CannotListenError as taken:
        raise BadSettings([f"port {port}: {taken.socketError.strerror}"]) from None

    def look() -> None:
        try:
            fresh = {r.engine: r for r in _rows(path)}
        except BadSettings as wrong:
            print(wrong.problems[0], file=sys.stderr)
        else:
            for gone in [e for e in server.rows if e not in fresh]:
                server.change(gone, availability="gone")
            for row in fresh.values():
                if server.rows.get(row.engine) != row:
                    server.rows[row.engine] = row
                    server.change(row.engine)
        reactor.callLater(LOOK_EVERY, look)

    reactor.callLater(LOOK_EVERY, look)
    print(f"roster of {len(rows)} engines listens on {server.listener.address}", file=sys.stderr, flush=True)
    reactor.run()
    return 0
