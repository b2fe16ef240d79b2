"""What memory the process holds, as the system counts it.

The platform kills a process for its anonymous memory: the pages of files that are mapped, as the libraries' code, can be dropped and read
again (proc(5), ``statm``).
"""
from __future__ import annotations

import ctypes
import resource
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from ..admission.memory import MEGABYTE

STATM = Path("/proc/self/statm")
M_TRIM_THRESHOLD, M_MMAP_THRESHOLD = -1, -3  # malloc.h
LARGE_BLOCK = 32_768  # bytes; from this size on a block has pages of its own
KEPT_FREE = 131_072   # bytes at the top of the heap


@dataclass(slots=True, frozen=True)
class ProcessMemory:
    """Bytes that a process holds: ``resident`` in all, ``anonymous`` without the pages of files."""

    resident: int = 0
    anonymous: int = 0


def process_memory() -> ProcessMemory:
    """Memory that this process holds now; zeros where the system does not tell, or has no file left to tell it by."""
    try:
        _, resident, shared, *_ = STATM.read_bytes().split()
    except (OSError, ValueError):
        return ProcessMemory()
    page = resource.getpagesize()
    return ProcessMemory(int(resident) * page, (int(resident) - int(shared)) * page)


def return_freed_memory() -> None:
    """Has the C library give large blocks back to the system as soon as they are freed, whatever was freed before (mallopt(3)).

    Left to itself it keeps ever larger blocks for itself, and what a crowd has left behind stays with the process.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt:
        mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK)
        mallopt(M_TRIM_THRESHOLD, KEPT_FREE)


def trim() -> None:
    """Gives back to the system what the C library keeps free (malloc_trim(3))."""
    malloc_trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if malloc_trim:
        malloc_trim(0)


class MemoryGauge:
    """Follows the anonymous memory of the process, and the most of it since it was told last.

    Args:
        limit: bytes at which the process is killed; 0: not said.
        read: what the process holds.
    """

    def __init__(self, limit: int, read: Callable[[], ProcessMemory] = process_memory) -> None:
        self.limit = limit
        self.anonymous = self.peak = 0
        self._read = read

    def sample(self) -> int:
        """Reads anew. Returns the anonymous bytes."""
        self.anonymous = self._read().anonymous
        self.peak = max(self.peak, self.anonymous)
        return self.anonymous

    def line(self) -> str:
        """For the log; the peak begins anew."""
        held = self._read()
        peak, self.peak = max(self.peak, held.anonymous), held.anonymous
        of_limit = f" of {self.limit // MEGABYTE}" if self.limit else ""
        return f"{held.resident // MEGABYTE} MB, {held.anonymous // MEGABYTE} anonymous, {peak // MEGABYTE} at most{of_limit}"
