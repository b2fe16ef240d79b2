"""The engine list as discovery writes it: from decoded JSON to typed members. No I/O."""
from __future__ import annotations

from dataclasses import dataclass
from sys import intern
from typing import Any

from ..decisions.interface import Availability, RosterRow

PHASES = {"SERVING": Availability.RUNNING, "DRAINING": Availability.DRAINING, "DELETED": Availability.GONE}


class Garbled(ValueError):
    """An answer that is no list; nothing of it is used."""


@dataclass(slots=True, frozen=True)
class Member:
    """One engine as listed; ``since`` is its last start in milliseconds since 1970, 0 for long ago."""
    id: str
    address: str
    row: RosterRow
    since: int


@dataclass(slots=True, frozen=True)
class News:
    """Changes of the list, or the whole of it."""
    revision: int
    complete: bool
    members: tuple[Member, ...]


EMPTY = News(0, True, ())
WRONG = (KeyError, TypeError, ValueError, AttributeError)  # what reading something else raises


def read(data: dict[str, Any]) -> News:
    """A list from its JSON.

    Raises:
        Garbled: it is none.
    """
    try:
        entries = data["members"]
        return news_of({**data, "members": []}, tuple(member_of(entry) for entry in entries))
    except WRONG as wrong:
        raise _garbled(wrong) from None


def news_of(envelope: Any, members: tuple[Member, ...]) -> News:
    """A list from everything but its entries, and these.

    Raises:
        Garbled: it is none.
    """
    try:
        revision, complete, further = envelope["revision"], envelope["complete"], envelope["members"]
    except WRONG as wrong:
        raise _garbled(wrong) from None
    if not isinstance(revision, int) or not isinstance(complete, bool) or further != []:
        raise Garbled("revision, complete or members is of another kind")
    return News(revision, complete, members)


def member_of(entry: Any) -> Member:
    """An engine from its JSON. Strings that are known already are not held twice.

    Raises:
        Garbled: it is none.
    """
    try:
        return _member(entry)
    except WRONG as wrong:
        raise _garbled(wrong) from None


def _garbled(wrong: Exception) -> Garbled:
    return wrong if isinstance(wrong, Garbled) else Garbled(f"{type(wrong).__name__}: {wrong}")


def _member(entry: dict[str, Any]) -> Member:
    address, phase = intern(entry["host_port"]), PHASES[entry["phase"]]
    host, _, port = address.rpartition(":")
    id = intern(entry["id"])
    if not id or not host or not port.isdigit() or int(port) > 65_535:
        raise ValueError("an engine without id or address")
    since = int(entry.get("up_since_ms") or 0)
    row = RosterRow(id, intern(str(entry.get("flavor", ""))), intern(str(entry.get("locality", ""))), phase, 0,
                    float(entry.get("size") or 1.0), int(entry.get("cell", -1)))
    return Member(id, address, row, since)
