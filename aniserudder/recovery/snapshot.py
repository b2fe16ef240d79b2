"""What is kept of a process for its next life: a head, a body and a checksum over both. No I/O.

The head says what it is, whose, from which boot of the machine, and when it was written by which wall clock. A file that is
damaged, of another node or of a newer form is set aside by whoever reads it; a torn one never passes for a whole one.
"""
from __future__ import annotations

from dataclasses import dataclass

import msgspec
import xxhash

FORM = "aniserudder kept 1"
MOST = 67_108_864  # bytes: some hundred thousand engines


class SetAside(Exception):
    """It cannot be used; the text says why, in a few words."""


class Head(msgspec.Struct):
    """Times are whole microseconds of the wall clock of then."""
    form: str
    what: str
    node: str
    boot: str
    at: int


@dataclass(slots=True, frozen=True)
class Kept:
    """What a file held. ``head`` is None for one that an older version wrote, which has neither head nor sum."""
    head: Head | None
    body: bytes


_encode, _head = msgspec.json.Encoder().encode, msgspec.json.Decoder(Head).decode


def write(what: str, node: str, boot: str, at: int, body: bytes) -> bytes:
    """A snapshot's bytes."""
    head = _encode(Head(FORM, what, node, boot, at))
    return b"\n".join((head, _sum(head, body), body))


def read(data: bytes, what: str, node: str) -> Kept:
    """A snapshot's head and body.

    Raises:
        SetAside: it is damaged, of something or somebody else, of a newer form, or too large.
    """
    if len(data) > MOST:
        raise SetAside(f"{len(data)} bytes, allowed {MOST}")
    first, _, rest = data.partition(b"\n")
    if b'"form"' not in first[:40]:
        if not data.startswith(b'{"epoch"'):
            raise SetAside("damaged: it has no head")
        return Kept(None, data)
    try:
        head = _head(first)
    except msgspec.MsgspecError:
        raise SetAside("damaged: its head cannot be read") from None
    kept, _, body = rest.partition(b"\n")
    if head.form != FORM:
        raise SetAside(f"of the form {head.form[:40]!r}, this program reads {FORM!r}")
    if kept != _sum(first, body):
        raise SetAside("damaged: its checksum does not fit")
    if (head.what, head.node) != (what, node):
        raise SetAside(f"foreign: the {head.what[:40]} of {head.node[:40]!r}")
    return Kept(head, body)


def _sum(head: bytes, body: bytes) -> bytes:
    return xxhash.xxh3_128_hexdigest(head + b"\n" + body).encode()
