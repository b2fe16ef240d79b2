"""A listener that gets along with what Linux documents for accept(2).

Errors that are pending on one connection are passed over. Errors of the system (no descriptor, no memory) end the turn, and the listener
rests a moment: its queue stays readable and would wake the loop at once. No connection is closed unread to make room.
"""
from __future__ import annotations

import errno
import os
import select
import socket
from collections import Counter
from collections.abc import Callable

from twisted.internet.interfaces import IListeningPort

# Of one connection, which is taken off the queue; and an interrupted call.
PENDING = frozenset({errno.ECONNABORTED, errno.EPROTO, errno.ENETDOWN, errno.ENOPROTOOPT, errno.EHOSTDOWN, errno.ENONET, errno.EHOSTUNREACH,
                     errno.EOPNOTSUPP, errno.ENETUNREACH, errno.ETIMEDOUT, errno.ECONNRESET, errno.EPERM, errno.EINTR})
SYSTEM = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
PENDING_MOST = 64     # passed over in one call
RESTS_S = 0.02        # after an error of the system


class ListeningSocket:
    """A listening socket whose ``accept`` raises nothing but errors of the system, as ENFILE, and EAGAIN.

    Twisted closes all that waits in the queue on EMFILE, to be rid of it; on ENFILE it leaves it there.
    """

    def __init__(self, inner: socket.socket) -> None:
        self._inner = inner
        self.errors: Counter[str] = Counter()

    def accept(self) -> tuple[socket.socket, object]:
        """The next connection.

        Raises:
            OSError: ENFILE for any error of the system; EAGAIN where nothing waits.
        """
        for _ in range(PENDING_MOST):
            try:
                return self._inner.accept()
            except OSError as problem:
                if problem.errno in (errno.EAGAIN, errno.EWOULDBLOCK):
                    raise
                self.errors[errno.errorcode.get(problem.errno, str(problem.errno))] += 1
                if problem.errno in SYSTEM:
                    raise OSError(errno.ENFILE, os.strerror(problem.errno)) from problem
                if problem.errno not in PENDING:
                    raise
        raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))

    def __getattr__(self, name: str) -> object:
        return getattr(self._inner, name)


class Acceptor:
    """Bounds what a port takes in a turn, and lets it rest after errors of the system.

    Args:
        port: a listening TCP port of Twisted's.
        room: how many connections there is room for.
        rested: called after each rest, to have the port take connections again if that is wanted.
    """

    def __init__(self, port: IListeningPort, room: Callable[[], int], rested: Callable[[], None]) -> None:
        self._port, self._room, self._rested, self._turn = port, room, rested, port.doRead
        self.socket = port.socket = ListeningSocket(port.socket)
        port.doRead = self._read

    @property
    def waiting(self) -> bool:
        """Whether connections wait in the system's queue."""
        return bool(select.select([self._port.fileno()], [], [], 0)[0])

    def _read(self) -> None:
        if not self._take() and accepts(self._port, False):
            self._port.reactor.callLater(RESTS_S, self._rested)

    def _take(self) -> bool:
        """One turn. Whether any connection was taken."""
        before = self._port.sessionno
        self._port.numberAccepts = self._room()
        self._turn()
        return self._port.sessionno > before

    def drain(self) -> bool:
        """Takes all that waits, before the listener closes over it. False: the system refused, and some wait still."""
        while self.waiting:
            if not self._take():
                return False
        return True


def accepts(port: IListeningPort | None, wanted: bool) -> bool:
    """Has a listener take new connections, or leave them in the system's queue. Returns whether that changed anything."""
    if port is None or not port.connected or (port in port.reactor.getReaders()) is wanted:
        return False
    port.startReading() if wanted else port.stopReading()
    return True
