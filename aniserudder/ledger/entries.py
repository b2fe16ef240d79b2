"""The ledger's entries, and how tries are put together from them."""
from __future__ import annotations

from collections.abc import Iterable

import msgspec

from ..tenants.billing import Try, Work


class Taken(msgspec.Struct, tag="taken", tag_field="entry", omit_defaults=True):
    """A sequence was taken. Times are whole microseconds of wall time."""
    seq: str
    at: int
    tenant: str
    type: str
    mark: str
    keyed: bool = False
    claimed: bool = False        # it must not run twice: ``claims.py``


class Sent(msgspec.Struct, tag="sent", tag_field="entry", omit_defaults=True):
    """A schedule attempt is about to be sent: written before its first byte goes out."""
    seq: str
    ordinal: int
    engine: str
    reads: bool = False
    fetched: bool = False
    estimate: int = 0            # prompt tokens as the node estimated them
    most: int = 0                # written tokens that it may have at most
    behind: int = 0              # tokens of the answer that other writers had sent before: it goes on from there


class Told(msgspec.Struct, tag="told", tag_field="entry", omit_defaults=True):
    """What an attempt ran, as an engine told it, or bounded by what the node saw."""
    seq: str
    ordinal: int
    outcome: str = ""
    read: int = 0
    kept: int = 0
    written: int = 0
    flag: str = ""


class Ended(msgspec.Struct, tag="ended", tag_field="entry", omit_defaults=True):
    """A sequence's final answer, or that its client left."""
    seq: str
    at: int
    final: str


Entry = Taken | Sent | Told | Ended
encode = msgspec.json.Encoder().encode
decode = msgspec.json.Decoder(Entry).decode


class Row(msgspec.Struct):
    """An entry as nodes ship it: the node's own number and the entry's bytes."""
    number: int
    body: msgspec.Raw


class Shipment(msgspec.Struct):
    """Entries on their way to the ledger service, in order. ``file`` names the file that numbers them, ``life`` the process that ships."""
    node: str
    after: int
    rows: list[Row]
    file: str = ""
    life: str = ""


def put_together(rows: Iterable[tuple[str, Entry]]) -> dict[str, Try]:
    """Tries by sequence. An entry that comes twice changes nothing."""
    tries: dict[str, Try] = {}
    late: list[Entry] = []
    for node, entry in rows:
        if isinstance(entry, Taken):
            tries.setdefault(entry.seq, Try(node, entry.seq, entry.mark, entry.keyed, entry.tenant, entry.type, entry.at))
        else:
            late.append(entry)
    for entry in sorted(late, key=lambda e: isinstance(e, Told)):
        one = tries.get(entry.seq)
        if one is None:
            continue
        match entry:
            case Sent():
                one.works.setdefault(entry.ordinal, Work(entry.ordinal, entry.engine, entry.reads, entry.fetched,
                                                                  behind=entry.behind))
            case Told():
                work = one.works.get(entry.ordinal)
                if work and (not work.told or work.flag and not entry.flag):
                    work.read, work.kept, work.written = entry.read, entry.kept, entry.written
                    work.outcome, work.told, work.flag = entry.outcome, True, entry.flag
            case Ended():
                if not one.final:
                    one.final, one.ended = entry.final, entry.at
    return tries
