"""Signals, heeded from the program's first line on: what comes before there is a node is kept until there is one.

Without this a SIGHUP in the tenths of a second that imports take would end the process, as the system does by default.
"""
from __future__ import annotations

import signal
from collections.abc import Callable

HEEDED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class Signals:
    """What has come, in order, and who is told."""

    __slots__ = ("came", "_told")

    def __init__(self) -> None:
        self.came: list[int] = []  # that nobody has been told of
        self._told: Callable[[int], None] | None = None

    def heed(self) -> Signals:
        """From now on nothing that comes ends the process."""
        for number in HEEDED:
            signal.signal(number, self._comes)
        return self

    @property
    def ends(self) -> bool:
        """Whether the process was told to end before anybody could be told of it."""
        return signal.SIGTERM in self.came or signal.SIGINT in self.came

    def forget(self, number: int) -> None:
        """What came so far of this kind is done with."""
        self.came = [n for n in self.came if n != number]

    def tell(self, told: Callable[[int], None]) -> None:
        """Hands over to ``told``, first what has come. It is called between any two lines and must only note."""
        self._told = told
        came, self.came = self.came, []
        for number in came:
            told(number)

    def _comes(self, number: int, frame: object) -> None:
        if self._told:
            self._told(number)
        else:
            self.came.append(number)
