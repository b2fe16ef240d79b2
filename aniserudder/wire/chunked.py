"""The chunked transfer coding as it is read (RFC 9112, 7.1): a codec without input or output.

llhttp tells neither the stated size of a chunk nor how long a size line or a trailer section has grown. A peer that states gigabytes, or
never ends a line, is found out here by the byte that shows it.
"""
from __future__ import annotations

from enum import Enum, auto

DIGITS_MOST = 16            # of a chunk's size
SIZE_LINE_MOST = 256        # bytes, extensions included
TRAILERS_MOST = 8_192       # bytes of the section behind the last chunk
CRLF = b"\r\n"
HEXADECIMAL = frozenset(b"0123456789abcdefABCDEF")


class BadChunk(Exception):
    """What came is no chunked body, or a larger chunk than is taken."""


class _Expects(Enum):
    SIZE = auto()
    DATA = auto()
    DATA_END = auto()
    TRAILER = auto()
    NOTHING = auto()


class ChunkedBody:
    """Reads one body.

    Args:
        chunk_most: bytes of one chunk; 0: any.
    """

    __slots__ = ("_most", "_expects", "_line", "_left", "_trailers")

    def __init__(self, chunk_most: int = 0) -> None:
        self._most, self._expects = chunk_most, _Expects.SIZE
        self._line = b""     # of a line that is not whole yet
        self._left = 0       # bytes of the chunk that have not come
        self._trailers = 0   # bytes of the trailer section so far

    @property
    def complete(self) -> bool:
        """Whether the last chunk and the trailer section have come."""
        return self._expects is _Expects.NOTHING

    def feed(self, data: bytes) -> tuple[bytes, bytes]:
        """The next piece of the body, which may be empty, and what of the data has not been read: call again while there is some.

        Raises:
            BadChunk: it can be no chunked body any more.
        """
        if self._expects is _Expects.DATA:
            piece, rest = data[:self._left], data[self._left:]
            self._left -= len(piece)
            if not self._left:
                self._expects = _Expects.DATA_END
            return piece, rest
        line, end, rest = data.partition(b"\n")
        self._line += line + end
        self._check_line()
        if end:
            line, self._line = self._line, b""
            self._take_line(line)
        return b"", rest

    def _check_line(self) -> None:
        """Finds out a line that can come to no good, whole or not."""
        match self._expects:
            case _Expects.SIZE:
                self._check_size()
            case _Expects.DATA_END if not CRLF.startswith(self._line):
                raise BadChunk("a chunk is longer than its size")
            case _Expects.TRAILER if self._trailers + len(self._line) > TRAILERS_MOST:
                raise BadChunk("the trailer section is too long")

    def _check_size(self) -> None:
        digits = len(self._line) - len(self._line.lstrip(bytes(HEXADECIMAL)))
        if digits > DIGITS_MOST or len(self._line) > SIZE_LINE_MOST:
            raise BadChunk("a chunk's size is too long")
        if digits < len(self._line) and (not digits or self._line[digits] not in b"\r; \t"):
            raise BadChunk("a chunk's size cannot be read")
        if digits and self._most and int(self._line[:digits], 16) > self._most:
            raise BadChunk("a chunk is too long")

    def _take_line(self, line: bytes) -> None:
        if not line.endswith(CRLF):
            raise BadChunk("a line does not end as it should")
        match self._expects:
            case _Expects.SIZE:
                self._left = int(line.partition(b";")[0], 16)
                self._expects = _Expects.DATA if self._left else _Expects.TRAILER
            case _Expects.DATA_END:
                self._expects = _Expects.SIZE
            case _Expects.TRAILER:
                self._trailers += len(line)
                if line == CRLF:
                    self._expects = _Expects.NOTHING
