"""The door to the disk. All of it may block: it is called from a lane's thread, or before the reactor runs."""
from __future__ import annotations

import os
import sqlite3
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import BinaryIO


class Files:
    """The disk as it is. Stand-ins put troubles behind the same calls (``standins/disk.py``)."""

    def read(self, path: Path) -> bytes | None:
        """All of a file, or None where there is none.

        Raises:
            OSError: it cannot be read.
        """
        try:
            return path.read_bytes()
        except FileNotFoundError:
            return None

    def keep(self, path: Path, data: bytes) -> None:
        """Puts a file in place of another; a kill or a loss of power leaves the old one or the new one, whole.

        The folder is flushed too: without it the name may still lead to the old file after a loss of power.

        Raises:
            OSError: the old one stands.
        """
        fresh = path.with_name(path.name + ".new")
        fresh.parent.mkdir(parents=True, exist_ok=True)
        with fresh.open("wb") as out:
            out.write(data)
            out.flush()
            os.fsync(out.fileno())
        os.replace(fresh, path)
        folder = os.open(path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def set_aside(self, path: Path) -> None:
        """Moves a file that cannot be used out of the way, for whoever looks into it.

        Raises:
            OSError: it stays where it is.
        """
        os.replace(path, path.with_name(path.name + ".aside"))

    def fresh(self, path: Path) -> BinaryIO:
        """A new file that is written through at once.

        Raises:
            OSError: it cannot be made, or is there already.
        """
        path.parent.mkdir(parents=True, exist_ok=True)
        return path.open("xb", buffering=0)

    def database(self, path: Path) -> sqlite3.Connection:
        """A database, used by one thread at a time.

        Raises:
            sqlite3.Error: it cannot be opened.
            OSError: its folder cannot be made.
        """
        path.parent.mkdir(parents=True, exist_ok=True)
        return sqlite3.connect(path, isolation_level=None, timeout=5, check_same_thread=False)


@dataclass(slots=True, frozen=True)
class Ground:
    """What a process stands on: its disk, its wall clock in seconds since 1970, the machine's boot, and whether the reactor's
    thread itself writes (a baseline to measure against)."""
    files: Files = field(default_factory=Files)
    wall: Callable[[], float] = time.time
    boot: str = ""           # names the time since the machine last went dark; empty: the machine's own
    at_once: bool = False

    def booted(self) -> str:
        """The boot's name, or nothing where the machine tells none."""
        if self.boot:
            return self.boot
        try:
            return Path("/proc/sys/kernel/random/boot_id").read_text().strip()
        except OSError:
            return ""
