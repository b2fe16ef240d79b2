"""Ports that stay a process's own while whoever listens there is down.

A port that the kernel hands out is free for anybody while its listener is down: another rehearsal's process, or a connection going out, may have it by
the time the listener comes back. Clients would then talk to another day's node. So stand-ins draw ports below the range that the kernel hands out
from, and hold a name for each that no two processes can hold.
"""
from __future__ import annotations

import os
import socket
from collections.abc import Iterator

FIRST, LAST = 15_000, 31_999  # below what Linux hands out (32,768 and up)


class Ports:
    """Ports of one process, held until it ends."""

    def __init__(self) -> None:
        self._held: list[socket.socket] = []
        self._next = self._numbers()

    def draw(self) -> int:
        """A port that is free, and that no other process draws.

        Raises:
            OSError: none is left.
        """
        for port in self._next:
            name = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
            try:
                name.bind(f"\0aniserudder port {port}")
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind(("127.0.0.1", port))
            except OSError:
                name.close()
                continue
            self._held.append(name)
            return port
        raise OSError("no port is left")

    @staticmethod
    def _numbers() -> Iterator[int]:
        """Each once, beginning somewhere else in each process."""
        count = LAST - FIRST + 1
        begin = os.getpid() * 97 % count
        for n in range(count):
            yield FIRST + (begin + n) % count


PORTS = Ports()
