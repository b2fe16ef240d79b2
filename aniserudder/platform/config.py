"""A node's configuration: one JSON file, named by the environment. Reads it, says in one line what is wrong with it.

The settings in it are decoded by ``boot``, as the simulator's first message is. What is taken besides are facts of the
protocol and limits of the machine.
"""
from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import msgspec

from ..admission.memory import MEGABYTE
from ..boot import decode_settings, micros
from ..decisions.interface import Settings
from . import list_codec
from .list_stream import SLICE, read_list

VARIABLE = "NODE_CONFIG"
KNOWN = "known"  # the part that names the list


class BadConfig(Exception):
    """The configuration cannot be used; one plain line says why."""


class UnfinishedConfig(BadConfig):
    """No JSON: it may be half written."""


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
    memory: int           # bytes of anonymous memory at which the process is killed; 0: not said
    known: list_codec.News
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
        parts = msgspec.json.decode(path.read_bytes(), type=dict[str, msgspec.Raw])
    except OSError as problem:
        raise BadConfig(f"{path}: {problem.strerror}") from None
    except msgspec.ValidationError:
        raise BadConfig(f"{path}: not an object") from None
    except msgspec.DecodeError as wrong:
        raise UnfinishedConfig(f"{path}: no JSON: {wrong}") from None
    try:
        return decode({name: _part(name, part) for name, part in parts.items()})
    except KeyError as missing:
        raise BadConfig(f"{path}: lacks {missing}") from None
    except (TypeError, ValueError, AttributeError) as wrong:
        raise BadConfig(f"{path}: {wrong}") from None


def _part(name: str, part: msgspec.Raw) -> Any:
    """One part of a configuration. A list of thousands of engines is read in slices, which takes less memory than decoding it at once."""
    if name != KNOWN or len(part) < SLICE:
        return msgspec.json.decode(part)
    return read_list(part)


# What a number of the settings may be, where one is given: section, name, least, most, whole.
NUMBERS = (("", "balancers", 1, 1_000_000, True),
           ("bounds", "connect-timeout", 0.001, 3600, False), ("bounds", "conn-idle", 0.001, 86_400, False),
           ("bounds", "max-attempts", 1, 1000, True), ("bounds", "max-retry-after", 0, 86_400, False),
           ("family-info", "let-go-by", 0.001, 3600, False),
           ("rules", "cold", 0, 86_400, False), ("rules", "cold-share", 0, 1, False), ("rules", "fall-multiple", 0.001, 1e6, False),
           ("rules", "drain-grace", 0, 86_400, False))
OF_A_SERVICE = (("goal-time", 0, 86_400, False), ("deadline", 0, 86_400, False), ("window", 0, 86_400, False), ("points", 0, 1e12, False))


def _section(of: dict[str, Any], name: str, kind: type, where: str) -> Any:
    """A part of the settings that may be missing.

    Raises:
        ValueError: it is of another kind.
    """
    found = of.get(name)
    if found is not None and not isinstance(found, kind):
        raise ValueError(f"{where}{name}: wanted {'an object' if kind is dict else 'a list'}, found {type(found).__name__}")
    return found or kind()


def _check_number(of: dict[str, Any], name: str, least: float, most: float, whole: bool, where: str) -> None:
    value = of.get(name)
    good = isinstance(value, int if whole else (int, float)) and not isinstance(value, bool) and least <= value <= most
    if value is not None and not good:
        raise ValueError(f"{where}{name}: {value!r} is no {'whole ' * whole}number from {least:g} to {most:g}")


def check(settings: Any) -> None:
    """Says which part of the settings cannot be meant, by its name.

    Raises:
        ValueError: one of them.
    """
    if not isinstance(settings, dict):
        raise ValueError("settings: not an object")
    for name in ("bounds", "family-info", "rules", "feedback"):
        _section(settings, name, dict, "settings: ")
    for section, name, least, most, whole in NUMBERS:
        of = _section(settings, section, dict, "settings: ") if section else settings
        _check_number(of, name, least, most, whole, f"settings: {section}{'.' * bool(section)}")
    for name in ("services", "orgs"):
        for i, one in enumerate(_section(settings, name, list, "settings: ")):
            if not isinstance(one, dict) or not isinstance(one.get("name"), str):
                raise ValueError(f"settings: {name}[{i}]: an object with a name is wanted")
            if name == "services" and not one.get("goal-time"):  # without it nothing could be in time, and all be refused
                raise ValueError(f"settings: services[{i}].goal-time is missing")
            for number in OF_A_SERVICE if name == "services" else (("allowance-per-s", 0, 1e12, False),):
                _check_number(one, *number, f"settings: {name}[{i}].")
    _section(settings, "kinds", list, "settings: ")
    _section(_section(settings, "family-info", dict, ""), "duty-by-kind", list, "settings: family-info.")


def decode(data: dict[str, Any]) -> Config:
    """A configuration from its JSON.

    Raises:
        KeyError, TypeError, ValueError, AttributeError: it is none.
    """
    settings = data["settings"]
    check(settings)
    settings = {name: value for name, value in settings.items() if value is not None}
    bounds, family, rules = ({n: v for n, v in settings.get(s, {}).items() if v is not None} for s in ("bounds", "family-info", "rules"))
    facts = Facts(connect=micros(bounds.get("connect-timeout", 0.25)), idle=micros(bounds.get("conn-idle", 15.0)),
                  let_go=micros(family.get("let-go-by", 0.3)), drain_grace=micros(rules.get("drain-grace")))
    seed, limits = data.get("seed", 0), data.get("limits", {})
    memory = int(float(limits.get("memory_mb") or 0) * MEGABYTE)
    if memory < 0:
        raise ValueError("limits.memory_mb: less than nothing")
    return Config(str(data["name"]), address(data["listen"]), address(data["discovery"]),
                  int(seed, 16) if isinstance(seed, str) else int(seed), int(limits.get("sockets", 1024)),
                  memory,
                  _known(data.get(KNOWN)),
                  replace(decode_settings(settings), memory=memory), facts)


def _known(told: Any) -> list_codec.News:
    if isinstance(told, list_codec.News):
        return told
    return list_codec.read(told) if told else list_codec.EMPTY


def address(text: str) -> tuple[str, int]:
    """Host and port of ``host:port``.

    Raises:
        ValueError: it is no address.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65_535:
        raise ValueError(f"{text!r} is no address, wanted: host:port")
    return host, int(port)
