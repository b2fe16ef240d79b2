"""The engine list read as it comes, entry by entry: what is held does not depend on how the list is written. No I/O.

A list is an object with ``revision``, ``complete`` and ``members``, an array of objects. Everything outside the array is small and is decoded
at the end; of the array only the entry that has not come whole is kept as text. An entry that is as it was before costs no new strings.
"""
from __future__ import annotations

import re
from enum import Enum, auto

import msgspec

from .list_codec import Garbled, Member, News, member_of, news_of

ENTRY_MOST = 16_384      # bytes of one entry, with the white space in it
ENVELOPE_MOST = 65_536   # bytes of everything outside the entries
MEMBER_BYTES = 240       # of memory for one entry that has been read, until the list is taken
SLICE = 65_536           # bytes of a list at hand that are read at a time
MEMBERS_BEGIN = re.compile(rb'"members"\s*:\s*\[')
WHITE = re.compile(rb"[ \t\r\n]*+")
STRING = rb'"(?:[^"\\]|\\.)*+"'
LEVELS_MOST = 5          # of objects within an entry, which is one itself; the page names none


def _object(levels: int) -> bytes:
    """Pattern of an object of so many levels at most."""
    within = rb"|" + _object(levels - 1) if levels > 1 else b""
    return rb'\{(?:[^{}"]++|' + STRING + within + rb")*+\}"


ENTRY = re.compile(_object(LEVELS_MOST))


class Place(Enum):
    """What comes next."""
    MEMBERS = auto()       # the array, or something before it
    FIRST_ENTRY = auto()   # an entry, or the array's end
    ENTRY = auto()
    COMMA = auto()         # or the array's end
    REST = auto()          # what stands behind the array


class ListReader:
    """Takes one list in pieces."""

    def __init__(self) -> None:
        self._members: list[Member] = []
        self._pending = bytearray()   # has come and is not read
        self._envelope = bytearray()  # all that stands outside the entries
        self._place = Place.MEMBERS

    @property
    def held(self) -> int:
        """Bytes of memory that it holds."""
        return len(self._pending) + len(self._envelope) + MEMBER_BYTES * len(self._members)

    @property
    def entries(self) -> int:
        """Entries read so far."""
        return len(self._members)

    def feed(self, data: bytes | memoryview) -> None:
        """Takes the next piece.

        Raises:
            Garbled: it belongs to no list.
        """
        self._pending += data
        if self._place is Place.MEMBERS:
            self._find_members()
        if self._place not in (Place.MEMBERS, Place.REST):
            self._read_entries()
        if self._place is Place.REST:
            self._envelope += self._pending
            self._pending.clear()
        if len(self._envelope) > ENVELOPE_MOST:
            raise Garbled("too much stands outside the entries")

    def close(self) -> News:
        """The list is complete.

        Raises:
            Garbled: it is none.
        """
        if self._place is not Place.REST:
            raise Garbled("it ends in the middle")
        return news_of(_decoded(bytes(self._envelope)), tuple(self._members))

    def _find_members(self) -> None:
        begin = MEMBERS_BEGIN.search(self._pending)
        if begin is None:
            if len(self._pending) > ENVELOPE_MOST:
                raise Garbled("no members")
            return
        head = bytes(self._pending[:begin.end()])
        _decoded(head + b"]}")  # the array stands in the outermost object, and nothing before it is wrong
        self._envelope += head
        del self._pending[:begin.end()]
        self._place = Place.FIRST_ENTRY

    def _read_entries(self) -> None:
        """Reads what has come whole. An entry is looked for only where its end may have come."""
        at, text = 0, self._pending
        while (at := WHITE.match(text, at).end()) < len(text):
            if self._place is Place.COMMA and text[at] == ord(","):
                self._place, at = Place.ENTRY, at + 1
            elif self._place in (Place.COMMA, Place.FIRST_ENTRY) and text[at] == ord("]"):
                self._place = Place.REST
                break
            elif self._place is not Place.COMMA and text[at] == ord("{"):
                end = self._take_entry(text, at)
                if end == at:
                    break
                self._place, at = Place.COMMA, end
            else:
                raise Garbled(f"unexpected {chr(text[at])!r} between entries")
        del text[:at]

    def _take_entry(self, text: bytearray, at: int) -> int:
        """Reads the entry that begins there. Returns where it ends, or where it begins if it has not come whole."""
        whole = ENTRY.match(text, at) if text.find(b"}", at) >= 0 else None
        if whole is None:
            if len(text) - at > ENTRY_MOST:
                raise Garbled("an entry is too long")
            return at
        self._members.append(member_of(_decoded(whole.group())))
        return whole.end()


def read_list(data: bytes | memoryview) -> News:
    """A list that is at hand as a whole.

    Raises:
        Garbled: it is none.
    """
    reader, view = ListReader(), memoryview(data)
    for begin in range(0, len(view), SLICE):
        reader.feed(view[begin:begin + SLICE])
    return reader.close()


def _decoded(text: bytes) -> object:
    try:
        return msgspec.json.decode(text)
    except msgspec.DecodeError as wrong:
        raise Garbled(str(wrong)) from None

