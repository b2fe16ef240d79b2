"""A page of memory shared between the soak's driver and one node process: clock offset and system call failures.

The driver writes, the process reads at each call, so that a fault begins and ends without a message to the process.
"""
from __future__ import annotations

import mmap
import struct
from enum import IntEnum
from pathlib import Path

_VALUE = struct.Struct("d")


class Slot(IntEnum):
    """Values of the page, in order. Each ``*_ERRNO`` is raised with the probability in the slot behind it."""
    WALL_OFFSET_S = 0
    ACCEPT_ERRNO = 1
    ACCEPT_PART = 2
    SOCKET_ERRNO = 3
    SOCKET_PART = 4
    CONNECT_ERRNO = 5
    CONNECT_PART = 6
    RECEIVE_ERRNO = 7
    RECEIVE_PART = 8
    SEND_ERRNO = 9
    SEND_PART = 10
    SHORT_PART = 11  # of reads and writes that move one byte only


class ControlPage:
    """One page, backed by a file that both processes map.

    Args:
        path: created with zeros if it is not there.
    """

    def __init__(self, path: Path) -> None:
        size = _VALUE.size * len(Slot)
        if not path.exists():
            path.write_bytes(bytes(size))
        with path.open("r+b") as file:
            self._memory = mmap.mmap(file.fileno(), size)

    def get(self, slot: Slot) -> float:
        """The present value."""
        return _VALUE.unpack_from(self._memory, slot * _VALUE.size)[0]

    def set(self, slot: Slot, value: float) -> None:
        """Changes a value; the other process sees it at its next call."""
        _VALUE.pack_into(self._memory, slot * _VALUE.size, value)
