"""The entry queue: requests that wait to be taken up, when more come than the node can take up at once.

Bounded, and aware of each one's time: what could no longer be answered in time is answered at once instead of late. It decides nothing of how a
sequence is served: the module does that for each one that is taken. Three disciplines were weighed (docs/admission.md): first come first,
last come first under pressure, and by utility for the time left.
"""
from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

Item = TypeVar("Item")


class Discipline(Enum):
    """In what order requests are taken up."""
    FIFO = "fifo"
    LIFO = "lifo"        # under pressure only: while the queue is more than half full
    UTILITY = "utility"  # most utility first, among equals the one whose time is up first


@dataclass(slots=True, frozen=True)
class Waiting(Generic[Item]):
    """One request that waits. Times in seconds."""
    item: Item
    came: float
    due: float           # taken up later than that it cannot be in time
    utility: float


class EntryQueue(Generic[Item]):
    """A queue of at most ``most`` requests."""

    __slots__ = ("most", "discipline", "_line", "_heap", "_number", "expired", "full")

    def __init__(self, most: int, discipline: Discipline) -> None:
        self.most, self.discipline = most, discipline
        self._line: deque[Waiting[Item]] = deque()
        self._heap: list[tuple[float, float, int, Waiting[Item]]] = []
        self._number = self.expired = self.full = 0

    def __len__(self) -> int:
        return len(self._line) + len(self._heap)

    def put(self, one: Waiting[Item], now: float) -> list[Waiting[Item]]:
        """Adds one. Returns those that are to be refused for it: itself or another, and any whose time is over."""
        gone = self._sweep(now)
        if len(self) >= self.most:
            self.full += 1
            worst = max(self._heap, default=None)
            if worst is None or (-one.utility, one.due) >= worst[:2]:
                return [*gone, one]
            self._heap.remove(worst)
            heapq.heapify(self._heap)
            gone.append(worst[3])
        if self.discipline is Discipline.UTILITY:
            self._number += 1
            heapq.heappush(self._heap, (-one.utility, one.due, self._number, one))
        else:
            self._line.append(one)
        return gone

    def take(self, now: float) -> tuple[Waiting[Item] | None, list[Waiting[Item]]]:
        """The next to be taken up, and those that are refused because their time is over."""
        gone: list[Waiting[Item]] = []
        while len(self):
            if self._heap:
                one = heapq.heappop(self._heap)[3]
            elif self.discipline is Discipline.LIFO and len(self._line) > self.most // 2:
                one = self._line.pop()
            else:
                one = self._line.popleft()
            if one.due > now:
                return one, gone
            self.expired += 1
            gone.append(one)
        return None, gone

    def drop(self, item: Item) -> bool:
        """A client left while it waited."""
        for one in self._line:
            if one.item is item:
                self._line.remove(one)
                return True
        for entry in self._heap:
            if entry[3].item is item:
                self._heap.remove(entry)
                heapq.heapify(self._heap)
                return True
        return False

    def _sweep(self, now: float) -> list[Waiting[Item]]:
        """Where the queue is full, those whose time is over make room."""
        if len(self) < self.most:
            return []
        gone = [w for w in self._line if w.due <= now] + [e[3] for e in self._heap if e[3].due <= now]
        if gone:
            self.expired += len(gone)
            self._line = deque(w for w in self._line if w.due > now)
            self._heap = [e for e in self._heap if e[3].due > now]
            heapq.heapify(self._heap)
        return gone
