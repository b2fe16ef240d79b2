"""Starts the program with its wall clock and its socket calls under the control of a ``ControlPage``.

``python -m aniserudder.soak.shim PAGE node`` is ``python -m aniserudder node`` whose ``time.time`` may be off and whose socket calls may
fail as Linux documents. The monotonic clock is left alone. Nothing outside the process is touched.
"""
from __future__ import annotations

import os
import runpy
import socket
import sys
import time
from pathlib import Path
from random import Random

from .control import ControlPage, Slot

SEED_VARIABLE = "SOAK_SHIM_SEED"
_system_wall = time.time
_system_socket = socket.socket


def install(page: ControlPage, seed: int) -> None:
    """Replaces ``time.time`` and ``socket.socket`` in this process. Has to run before Twisted is imported."""
    draw = Random(seed).random

    def wall() -> float:
        return _system_wall() + page.get(Slot.WALL_OFFSET_S)

    def fail(errno_slot: Slot, part_slot: Slot) -> None:
        number = int(page.get(errno_slot))
        if number and draw() < page.get(part_slot):
            raise OSError(number, os.strerror(number))

    def short() -> bool:
        return draw() < page.get(Slot.SHORT_PART)

    class FaultySocket(_system_socket):
        """A socket whose calls fail as the page says."""

        def __init__(self, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None) -> None:
            if fileno is None:
                fail(Slot.SOCKET_ERRNO, Slot.SOCKET_PART)
            super().__init__(family, type, proto, fileno)

        def accept(self) -> tuple[socket.socket, object]:
            fail(Slot.ACCEPT_ERRNO, Slot.ACCEPT_PART)
            return super().accept()

        def connect_ex(self, address: object) -> int:
            number = int(page.get(Slot.CONNECT_ERRNO))
            if number and draw() < page.get(Slot.CONNECT_PART):
                return number
            return super().connect_ex(address)

        def recv(self, size: int, flags: int = 0) -> bytes:
            if not flags:
                fail(Slot.RECEIVE_ERRNO, Slot.RECEIVE_PART)
                size = 1 if short() else size
            return super().recv(size, flags)

        def send(self, data: bytes, flags: int = 0) -> int:
            fail(Slot.SEND_ERRNO, Slot.SEND_PART)
            return super().send(data[:1] if len(data) > 1 and short() else data, flags)

    time.time = wall
    socket.socket = FaultySocket


def main() -> None:
    """Entry point: the page's path, then the program's own arguments."""
    page, *arguments = sys.argv[1:]
    install(ControlPage(Path(page)), int(os.environ.get(SEED_VARIABLE, "1")))
    sys.argv = ["aniserudder", *arguments]
    runpy.run_module("aniserudder", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
