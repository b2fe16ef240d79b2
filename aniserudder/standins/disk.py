"""A disk that is slow, full, read-only or stuck, and that loses what was not flushed when power goes.

It lies under one process: ``python -m aniserudder.cli.faulty_disk SCRIPT COMMAND ...`` runs the program's own COMMAND with it in
place of the machine's (``durable.Files``). Databases go through a VFS of apsw, whose SQLite asks for each write, cut and
flush; other files through the same calls. All that happens between flushes is noted in a journal, with what stood there
before, and ``lose_power`` takes back a part of it drawn by a seed once the process is dead: sectors of 512 bytes get there or
not, each for itself, so that writes are torn and reordered; a name that was moved without a flush of its folder may lead to
the old file again. Flushes do not reach the machine's disk: how long one takes is the script's to say.

The script is a file that is looked at before each step: whoever plays the day writes it anew when the disk falls ill.
"""
from __future__ import annotations

import errno
import os
import signal
import sqlite3
import struct
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from random import Random
from typing import Any, BinaryIO, Literal

import apsw
import msgspec

from ..durable import Files

SECTOR = 512
ERRNOS = {"full": errno.ENOSPC, "read-only": errno.EROFS, "errors": errno.EIO}
STUCK_STEP = 0.02  # seconds between looks whether a stuck disk is well again
_pack, _unpack = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder(tuple[str, str, int, bytes, bytes]).decode


class Script(msgspec.Struct):
    """What the disk does now."""
    flush_ms: float = 0    # of a flush
    trouble: Literal["", "full", "read-only", "stuck", "errors", "short", "killed"] = ""
    part: float = 1.0      # of writes and flushes that the trouble befalls
    seed: int = 1          # of which ones
    journal: str = ""      # where what is not flushed is noted; empty: nothing can be lost
    wall_off_s: float = 0  # by how much the process's wall clock is wrong
    boot: str = ""         # names the time since power was last lost
    at_once: bool = False  # the reactor's thread writes


class Platter:
    """What all files of one process share: the script, and the journal of what is not flushed."""

    def __init__(self, path: Path) -> None:
        self.path, self._seen = path, 0
        script = self.script = self._now()
        self._lock = threading.Lock()
        self._draw = Random(script.seed).random
        self._journal = os.open(script.journal, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600) if script.journal else -1

    def about_to_write(self) -> None:
        """Waits while the disk is stuck.

        Raises:
            OSError: it is full, read-only or fails.
        """
        while (trouble := self._now().trouble) == "stuck":
            time.sleep(STUCK_STEP)
        if trouble in ERRNOS and self.strikes():
            raise OSError(ERRNOS[trouble], os.strerror(ERRNOS[trouble]))

    def strikes(self) -> bool:
        """Whether the trouble befalls this step."""
        return self._draw() < self.script.part

    def half(self, write: Callable[[bytes], int], data: bytes) -> int:
        """A write that ends half way: short, as write(2) may be, or because the process is killed in it."""
        if self.script.trouble not in ("short", "killed") or not self.strikes():
            return write(data)
        done = write(data[:max(1, len(data) // 2)])
        if self.script.trouble == "killed":
            os.kill(os.getpid(), signal.SIGKILL)
        return done

    @property
    def wall_off_s(self) -> float:
        """By how much the wall clock is wrong now."""
        return self._now().wall_off_s

    def flush(self) -> None:
        """Takes as long as a flush takes now."""
        self.about_to_write()
        time.sleep(self.script.flush_ms / 1000)

    def note(self, what: str, path: str, at: int = 0, before: bytes = b"", now: bytes = b"") -> None:
        if self._journal >= 0:
            frame = _pack((what, path, at, before, now))
            with self._lock:
                os.write(self._journal, struct.pack("<I", len(frame)) + frame)

    def _now(self) -> Script:
        changed = self.path.stat().st_mtime_ns
        if changed != self._seen:
            self._seen, self.script = changed, msgspec.json.decode(self.path.read_bytes(), type=Script)
        return self.script


class _File(apsw.VFSFile):
    """A file of a database."""

    def __init__(self, name: Any, flags: list[int], platter: Platter) -> None:
        super().__init__("unix", name, flags)
        self.path = name.filename() if isinstance(name, apsw.URIFilename) else name or ""
        self.platter = platter

    def xWrite(self, data: bytes, offset: int) -> None:
        self._allowed()
        there = self.xFileSize()
        before = super().xRead(min(len(data), there - offset), offset) if offset < there else b""
        self.platter.note("write", self.path, offset, before, bytes(data))
        self.platter.half(lambda part: super(_File, self).xWrite(part, offset) or len(part), bytes(data))

    def xTruncate(self, size: int) -> None:
        self._allowed()
        there = self.xFileSize()
        if size < there:
            self.platter.note("cut", self.path, size, super().xRead(there - size, size))
        super().xTruncate(size)

    def xSync(self, flags: int) -> None:
        try:
            self.platter.flush()
        except OSError as problem:
            raise apsw.IOError(str(problem)) from None
        self.platter.note("flush", self.path)

    def _allowed(self) -> None:
        try:
            self.platter.about_to_write()
        except OSError as problem:
            raise apsw.FullError(str(problem)) from None


class _Vfs(apsw.VFS):
    def __init__(self, name: str, platter: Platter) -> None:
        super().__init__(name, "unix")
        self.platter = platter

    def xOpen(self, name: Any, flags: list[int]) -> apsw.VFSFile:
        return _File(name, flags, self.platter)

    def xDelete(self, name: str, sync: bool) -> None:
        super().xDelete(name, sync)
        self.platter.note("flush", name)


class _Database:
    """The calls of ``sqlite3.Connection`` that the program makes, and its exceptions."""

    def __init__(self, path: Path, vfs: str) -> None:
        self._db = apsw.Connection(str(path), vfs=vfs)
        self._db.set_busy_timeout(5000)
        self.execute("PRAGMA locking_mode=EXCLUSIVE")  # a VFS in Python has no shared memory for the log's index

    def execute(self, sql: str, values: tuple[Any, ...] = ()) -> apsw.Cursor:
        return self._do(self._db.execute, sql, values)

    executescript = execute

    def executemany(self, sql: str, rows: list[tuple[Any, ...]]) -> apsw.Cursor:
        return self._do(self._db.executemany, sql, rows)

    @property
    def in_transaction(self) -> bool:
        return self._db.in_transaction

    def close(self) -> None:
        self._do(self._db.close)

    @staticmethod
    def _do(call: Any, *args: Any) -> Any:
        try:
            return call(*args)
        except apsw.Error as problem:
            raise sqlite3.OperationalError(f"{type(problem).__name__}: {problem}") from None


class _Paper:
    """A file that is only added to."""

    def __init__(self, path: Path, platter: Platter) -> None:
        self.path, self.platter, self._size = str(path), platter, 0
        self._out = path.open("xb", buffering=0)

    def write(self, data: bytes) -> int:
        self.platter.about_to_write()
        self.platter.note("add", self.path, self._size, b"", data)
        done = self.platter.half(self._out.write, data)
        self._size += done
        return done

    def close(self) -> None:
        self._out.close()


class FaultyFiles(Files):
    """A disk after a script. One in a process."""

    VFS = "aniserudder faulty"

    def __init__(self, script: Path) -> None:
        self.platter = Platter(script)
        self._vfs = _Vfs(self.VFS, self.platter)

    def keep(self, path: Path, data: bytes) -> None:
        fresh = path.with_name(path.name + ".new")
        path.parent.mkdir(parents=True, exist_ok=True)
        self.platter.about_to_write()
        before = path.read_bytes() if path.exists() else b""
        fresh.write_bytes(data)
        self.platter.flush()
        self.platter.note("move", str(path), int(path.exists()), before, data)
        os.replace(fresh, path)
        self.platter.flush()
        self.platter.note("flush", str(path))

    def fresh(self, path: Path) -> BinaryIO:
        path.parent.mkdir(parents=True, exist_ok=True)
        return _Paper(path, self.platter)

    def database(self, path: Path) -> sqlite3.Connection:
        path.parent.mkdir(parents=True, exist_ok=True)
        return _Database(path, self.VFS)


def play(path: Path, script: Script) -> None:
    """Puts a script in place, for a process that starts or runs."""
    fresh = path.with_name(path.name + ".new")
    fresh.write_bytes(msgspec.json.encode(script))
    os.replace(fresh, path)


def lose_power(journal: Path, chance: Random) -> dict[str, int]:
    """Takes back what the dead process had not flushed, as far as chance says; returns lost bytes by file.

    A file fares in one of four ways, drawn for each: nothing of what was not flushed is there, all of it, its beginning, or
    any of its sectors.
    """
    loose: dict[str, list[tuple[str, int, bytes, bytes]]] = {}
    for what, path, at, before, now in _frames(journal):
        if what == "flush":
            loose.pop(path, None)
        else:
            loose.setdefault(path, []).append((what, at, before, now))
    lost = {}
    for path in sorted(loose):
        kept = _fare(loose[path], chance)
        gone = sum(len(now) for _, _, _, now in loose[path]) - sum(len(now) for _, _, _, now in kept)
        if gone or len(kept) != len(loose[path]):
            lost[path] = gone
            _play(Path(path), loose[path], kept)
    journal.unlink(missing_ok=True)
    return lost


def _fare(steps: list[tuple[str, int, bytes, bytes]], chance: Random) -> list[tuple[str, int, bytes, bytes]]:
    way = chance.choice(["none", "all", "beginning", "sectors"])
    if steps[0][0] == "move":  # of a name there is no half
        return steps if way in ("all", "sectors") else []
    if steps[0][0] == "add" and way == "sectors":  # a file that only grows is cut off, not holed
        way = "beginning"
    if way == "beginning":
        return steps[:chance.randrange(len(steps) + 1)]
    if way != "sectors":
        return steps if way == "all" else []
    kept = []
    for what, at, before, now in steps:
        if what != "write":
            if chance.random() < 0.5:
                kept.append((what, at, before, now))
            continue
        begin = 0
        while begin < len(now):  # up to the next border of a sector
            end = min(len(now), begin + SECTOR - (at + begin) % SECTOR)
            if chance.random() < 0.5:
                kept.append((what, at + begin, b"", now[begin:end]))
            begin = end
    return kept


def _play(path: Path, undone: list[tuple[str, int, bytes, bytes]], done: list[tuple[str, int, bytes, bytes]]) -> None:
    if undone[0][0] == "move":
        if done:
            return
        _, there, before, _ = undone[0]
        return path.write_bytes(before) and None if there else path.unlink(missing_ok=True)
    if not path.exists():
        return
    data = bytearray(path.read_bytes())
    for what, at, before, now in reversed(undone):
        if what == "cut":
            data[at:] = before
        elif len(before) < len(now):  # it had made the file longer
            data[at:] = before
        else:
            data[at:at + len(now)] = before
    for what, at, _, now in done:
        if what == "cut":
            del data[at:]
        else:
            data.extend(bytes(max(0, at - len(data))))
            data[at:at + len(now)] = now
    path.write_bytes(data)


def _frames(journal: Path) -> Iterator[tuple[str, str, int, bytes, bytes]]:
    data = journal.read_bytes() if journal.exists() else b""
    at = 0
    while at + 4 <= len(data):
        (size,) = struct.unpack_from("<I", data, at)
        if at + 4 + size > len(data):
            return  # the process was killed while it noted this: the write itself was not made
        yield _unpack(data[at + 4:at + 4 + size])
        at += 4 + size
