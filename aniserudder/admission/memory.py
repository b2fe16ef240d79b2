"""What peers may make the process hold, in bytes, against the limit of its memory; decides who gives way when it is used up.

Everything whose size a peer decides has an account here: connections, requests that have come in part, requests that are under way,
answers that their clients do not read, answers of engines, lists. A bound on each of them is kept where it is read; this bounds the sum.

=============== =============================================== ==========================================================
purpose         what it is for                                  gives way
=============== =============================================== ==========================================================
request parts   a request whose last byte has not come          first, the largest: refused, as it was never passed on
unread answers  events that wait for a client that is slow      then, the largest: its client is cut off
requests        whole ones, until they are answered             never; one that finds no room is refused before it begins
connections     buffers and objects of each open connection     never; the descriptors bound their number
engine answers  a part of an event that an engine writes        then, the largest: that stream ends
lists           answers of discovery                            of several the one that has come furthest is read on; it
                                                                alone may fill all, and fails beyond
tables          what is remembered by name, records of requests never; what is remembered has its bounds in entries
=============== =============================================== ==========================================================
"""
from __future__ import annotations

from collections.abc import Callable
from enum import Enum

MEGABYTE = 1 << 20
UNKNOWN_LIMIT = 192 * MEGABYTE  # of a process whose settings name none: the most that any names
PEERS_PART = 0.5                # of what is left beside the process's own; the rest is for the allocator and for what lives a turn
PEERS_LEAST = MEGABYTE
GIVES_WAY_LEAST = 2_048         # bytes; ending less than this would make no room


class Purpose(Enum):
    """What memory is held for, in the order in which it gives way."""

    REQUEST_PARTS = "request parts"
    UNREAD_ANSWERS = "unread answers"
    ENGINE_ANSWERS = "engine answers"
    REQUESTS = "requests"
    CONNECTIONS = "connections"
    LISTS = "lists"
    TABLES = "tables"


class Account:
    """What one holder holds. ``gives_way`` is called to make room: the account has to be empty when it returns; None: it never does."""

    __slots__ = ("budget", "purpose", "size", "gives_way")

    def __init__(self, budget: MemoryBudget, purpose: Purpose, gives_way: Callable[[], None] | None) -> None:
        self.budget, self.purpose, self.gives_way = budget, purpose, gives_way
        self.size = 0

    def hold(self, size: int) -> bool:
        """It holds so many bytes now. Others give way for it, and so may it itself. Returns whether there is room for all that is held."""
        return self.budget.hold(self, size)

    def release(self) -> None:
        """It holds nothing any more."""
        self.budget.hold(self, 0)


class MemoryBudget:
    """Accounts of everything that peers make the process hold.

    Args:
        limit: bytes at which the process is killed; 0: not said.
        own: bytes that it holds itself.
    """

    def __init__(self, limit: int = 0, own: int = 0) -> None:
        self.process_limit = limit or UNKNOWN_LIMIT
        self.held: dict[Purpose, int] = dict.fromkeys(Purpose, 0)
        self.gave_way: dict[Purpose, int] = dict.fromkeys(Purpose, 0)
        self.total = self.peak = 0
        self._yielding: dict[Purpose, dict[Account, None]] = {purpose: {} for purpose in Purpose}
        self._making_room = False
        self.limit = 0
        self.own_is(own)

    def own_is(self, own: int) -> None:
        """The process itself holds so many bytes, without anything of its peers."""
        self.limit = max(PEERS_LEAST, int(PEERS_PART * (self.process_limit - own)))

    def account(self, purpose: Purpose, gives_way: Callable[[], None] | None = None) -> Account:
        """A new account, which holds nothing yet."""
        return Account(self, purpose, gives_way)

    @property
    def short(self) -> bool:
        """Whether all is held that may be."""
        return self.total > self.limit

    def hold(self, account: Account, size: int) -> bool:
        """Notes what an account holds now; see ``Account.hold``."""
        grows = size > account.size
        self.held[account.purpose] += size - account.size
        self.total += size - account.size
        account.size = size
        self.peak = max(self.peak, self.total)
        if account.gives_way:
            yielding = self._yielding[account.purpose]
            if size >= GIVES_WAY_LEAST:
                yielding[account] = None
            else:
                yielding.pop(account, None)
        if grows and self.short and not self._making_room:
            self._make_room()
        return not self.short

    def _make_room(self) -> None:
        self._making_room = True
        try:
            for purpose, yielding in self._yielding.items():
                while self.short and yielding:
                    self._end(purpose, max(yielding, key=lambda account: account.size))
        finally:
            self._making_room = False

    def _end(self, purpose: Purpose, account: Account) -> None:
        self.gave_way[purpose] += 1
        account.gives_way()
        account.release()

    def line(self) -> str:
        """For the log; the peak begins anew."""
        peak, self.peak = self.peak, self.total
        parts = [f"{purpose.value} {size // 1024}" for purpose, size in self.held.items() if size]
        ended = [f"{purpose.value} {count}" for purpose, count in self.gave_way.items() if count]
        return (f"peers hold {self.total // 1024} kB, {peak // 1024} at most of {self.limit // 1024} ({', '.join(parts) or 'nothing'}), "
                f"gave way: {', '.join(ended) or 'none'}")
