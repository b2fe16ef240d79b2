"""A node's configuration: one JSON file, named by the environment. Reads it, says in one line what is wrong with it.

The settings in it are decoded by ``boot``, as the simulator's first message is. What is taken besides are facts of the
protocol and limits of the machine.
"""
from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from ..boot import decode_settings, micros
from ..decisions.interface import Settings
from . import discovery

VARIABLE = "NODE_CONFIG"


class BadConfig(Exception):
    """The configuration cannot be used; one plain line says why."""


@dataclass(slots=True, frozen=True)
class Facts:
    """What the protocol's side has to know of the deployment; times in microseconds."""
    connect: int          # a connection that is not made by then never is
    idle: int             # engines close connections that were idle for so long
    let_go: int           # what is held for a sequence is taken or let go within this
    drain_grace: int      # nothing is sent to an engine so long after its drain was told; 0: not said


@dataclass(slots=True, frozen=True)
class Config:
    """A node's configuration."""
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    descriptors: int
    known: discovery.News
    settings: Settings
    facts: Facts


def path_of(environment: Mapping[str, str] = os.environ) -> Path:
    """The file that the environment names.

    Raises:
        BadConfig: it names none.
    """
    name = environment.get(VARIABLE)
    if not name:
        raise BadConfig(f"{VARIABLE} is not set: it names the node's configuration")
    return Path(name)


def read(path: Path) -> Config:
    """Reads a configuration.

    Raises:
        BadConfig: it is not there, no JSON, or lacks what a node needs.
    """
    try:
        data = msgspec.json.decode(path.read_bytes())
    except OSError as problem:
        raise BadConfig(f"{path}: {problem.strerror}") from None
    except msgspec.DecodeError as wrong:
        raise BadConfig(f"{path}: no JSON: {wrong}") from None
    if not isinstance(data, dict):
        raise BadConfig(f"{path}: not an object")
    try:
        return decode(data)
    except KeyError as missing:
        raise BadConfig(f"{path}: lacks {missing}") from None
    except (TypeError, ValueError, AttributeError) as wrong:
        raise BadConfig(f"{path}: {wrong}") from None


def decode(data: dict[str, Any]) -> Config:
    """A configuration from its JSON.

    Raises:
        KeyError, TypeError, ValueError, AttributeError: it is none.
    """
    settings = data["settings"]
    bounds, family = settings.get("bounds", {}), settings.get("family-info", {})
    facts = Facts(connect=micros(bounds.get("connect-timeout", 0.25)), idle=micros(bounds.get("conn-idle", 15.0)),
                  let_go=micros(family.get("let-go-by", 0.3)), drain_grace=micros(settings.get("rules", {}).get("drain-grace")))
    seed = data.get("seed", 0)
    return Config(str(data["name"]), address(data["listen"]), address(data["discovery"]),
                  int(seed, 16) if isinstance(seed, str) else int(seed), int(data.get("limits", {}).get("sockets", 1024)),
                  discovery.read(data.get("known") or {"revision": 0, "complete": True, "members": []}),
                  decode_settings(settings), facts)


def address(text: str) -> tuple[str, int]:
    """Host and port of ``host:port``.

    Raises:
        ValueError: it is no address.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65_535:
        raise ValueError(f"{text!r} is no address, wanted: host:port")
    return host, int(port)
