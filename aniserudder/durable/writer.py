"""Carries writes out: one thread for each lane, so that no flush ever holds the reactor's thread up.

A lane that is stuck in the disk is left behind by a stop: its thread is a daemon, and what it had not written was told to
nobody.
"""
from __future__ import annotations

import errno
import threading
import time
from collections.abc import Callable
from typing import Any, BinaryIO

from twisted.internet.interfaces import IDelayedCall, IReactorThreads, IReactorTime

from .order import POLICIES, Full, Kind, Late, Queue, State, Superseded, Told, Write

LEISURE_S = 0.02  # seconds that a write waits for others to go with where nobody waits for it
LOOK_S = 0.25  # seconds between looks at the lanes' states
Run = Callable[[list[Any]], list[tuple[Any, Exception | None]]]  # a group's works; for each its result or why it failed


def each(works: list[Callable[[], Any]]) -> list[tuple[Any, Exception | None]]:
    """Runs works that have nothing to do with one another."""
    said = []
    for work in works:
        try:
            said.append((work(), None))
        except Exception as problem:  # whoever waits is told; the lane goes on
            said.append((None, problem))
    return said


class Inline:
    """A lane that writes at once, where it is asked: for tests, tools and clocks that are not real."""

    def __init__(self, run: Run = each) -> None:
        self.run = run
        self.failing = ""

    def put(self, kind: Kind, work: Any, told: Told | None = None, name: str = "", patience: int = 0, soon: bool = True) -> bool:
        [(result, problem)] = self.run([work])
        self.failing = str(problem) if getattr(problem, "of_the_disk", False) or isinstance(problem, OSError) else ""
        if told:
            told(result, problem)
        return True

    def state(self) -> State:
        return State.FAILING if self.failing else State.IDLE

    @property
    def quiet(self) -> bool:
        return True

    def close(self, last: Callable[[], None] | None = None) -> None:
        if last:
            last()


class Lane:
    """Writes of one file, or of files that may wait for one another, on a thread of their own.

    Args:
        reactor: whose thread asks and is told.
        run: carries a group out, on the lane's thread.
    """

    def __init__(self, reactor: IReactorThreads | IReactorTime, name: str, run: Run = each) -> None:
        self.reactor, self.name, self.run = reactor, name, run
        self.queue = Queue()
        self._lock = threading.Condition()
        self._thread: threading.Thread | None = None
        self._timer: IDelayedCall | None = None
        self._leisure: IDelayedCall | None = None
        self._last: Callable[[], None] | None = None

    # On the reactor's thread.

    def put(self, kind: Kind, work: Any, told: Told | None = None, name: str = "", patience: int = 0, soon: bool = True) -> bool:
        """Asks for a write. ``told`` is called once, later, on the reactor's thread: with its result, or with why not.

        Returns whether it was taken. ``patience``: microseconds, in place of the kind's own. Not ``soon``: nobody waits for it, so it
        goes with the next write, or after ``LEISURE_S``.
        """
        write = Write(kind, name, work, told, self._now(), patience or POLICIES[kind].patience)
        try:
            with self._lock:
                replaced = self.queue.put(write)
                if soon:
                    self._lock.notify()
        except Full as full:
            if told:
                self.reactor.callLater(0, told, None, full)
            return False
        if replaced:
            self._tell(replaced, None, Superseded(f"{replaced.kind.value} {replaced.name}"))
        if self._thread is None:
            self._thread = threading.Thread(target=self._work, name=f"disk {self.name}", daemon=True)
            self._thread.start()
        if not soon and not (self._leisure and self._leisure.active()):
            self._leisure = self.reactor.callLater(LEISURE_S, self._wake)
        if told and write.patience:
            self._look_in(write.patience / 1e6)
        return True

    def _wake(self) -> None:
        with self._lock:
            self._lock.notify()

    def join(self, seconds: float) -> None:
        """Waits so long for the thread of a closed lane."""
        if self._thread:
            self._thread.join(seconds)

    def state(self) -> State:
        with self._lock:
            return self.queue.state(self._now())

    @property
    def quiet(self) -> bool:
        """Whether nothing waits and nothing is under way."""
        with self._lock:
            return not self.queue.waiting and not self.queue.under_way

    def close(self, last: Callable[[], None] | None = None) -> None:
        """Takes nothing more; what waits is still written, then ``last`` is run on the lane's thread. Does not wait."""
        with self._lock:
            self.queue.closed, self._last = True, last
            self._lock.notify()
        for timer in (self._timer, self._leisure):
            if timer and timer.active():
                timer.cancel()
        if self._thread is None and last:
            last()

    def _look(self) -> None:
        """Tells those who have waited long enough."""
        now = self._now()
        with self._lock:
            late, due = self.queue.expired(now), self.queue.next_due()
        if due:
            self._look_in(max(0.001, (due - now) / 1e6))
        for write in late:
            write.told(None, Late(f"the disk has not answered for {(now - write.at) // 1000} ms"))

    def _look_in(self, seconds: float) -> None:
        if self._timer and self._timer.active():
            if self._timer.getTime() <= self.reactor.seconds() + seconds:
                return
            self._timer.cancel()
        self._timer = self.reactor.callLater(seconds, self._look)

    def _over(self, ended: list[tuple[Write, Any, Exception | None]]) -> None:
        for write, result, problem in ended:
            self._tell(write, result, problem)

    def _tell(self, write: Write, result: Any, problem: Exception | None) -> None:
        if not write.settled:
            write.settled = True
            if write.told:
                write.told(result, problem)

    def _now(self) -> int:
        return round(self.reactor.seconds() * 1e6)

    # On the lane's own thread.

    def _work(self) -> None:
        while True:
            with self._lock:
                while not (group := self.queue.take(self._now())):
                    if self.queue.closed:
                        break
                    self._lock.wait()
                if not group:
                    break
            try:
                said = self.run([w.work for w in group])
            except Exception as failure:  # a fault in a work must not end the lane
                said = [(None, failure)] * len(group)
            with self._lock:
                ended = self.queue.over([problem for _, problem in said], self._now())
            told = [(w, result, problem) for w, (result, problem) in zip(ended, said) if w.told]
            if told:
                self.reactor.callFromThread(self._over, told)
        if self._last:
            self._last()


class Writer:
    """The lanes of one process.

    Args:
        log: told of a lane that fails or recovers, a line each.
    """

    def __init__(self, reactor: IReactorThreads | IReactorTime, log: Callable[..., None]) -> None:
        self.reactor, self.log = reactor, log
        self.lanes: list[Lane] = []
        self._seen: dict[str, State] = {}
        self._timer: IDelayedCall | None = None

    def lane(self, name: str, run: Run = each) -> Lane:
        made = Lane(self.reactor, name, run)
        self.lanes.append(made)
        if self._timer is None:
            self._timer = self.reactor.callLater(LOOK_S, self._look)
        return made

    @property
    def quiet(self) -> bool:
        return all(lane.quiet for lane in self.lanes)

    def close(self) -> None:
        """Each lane writes what it has and ends; nobody waits for one that is stuck."""
        if self._timer and self._timer.active():
            self._timer.cancel()
        for lane in self.lanes:
            if not lane.queue.closed:
                lane.close()

    def join(self, seconds: float) -> None:
        """When the reactor has stopped: waits for what is still written, so long at most."""
        until = time.monotonic() + seconds
        for lane in self.lanes:
            lane.join(max(0.0, until - time.monotonic()))

    def _look(self) -> None:
        """Says once when a lane turns bad and once when it is well again."""
        for lane in self.lanes:
            state = lane.state()
            bad = state in (State.SLOW, State.FAILING)
            if bad != (self._seen.get(lane.name) in (State.SLOW, State.FAILING)):
                self.log("disk is slow or fails" if bad else "disk is well again", level="warning",
                         reason=f"{lane.name}: {state.value} {lane.queue.failing}".strip())
            self._seen[lane.name] = state
        self._timer = self.reactor.callLater(LOOK_S, self._look)



class AtOnce:
    """Lanes that write where they are asked (``Inline``), in place of a ``Writer``."""

    quiet = True

    def lane(self, name: str, run: Run = each) -> Inline:
        return Inline(run)

    def close(self) -> None:
        pass

    def join(self, seconds: float) -> None:
        pass


class Paper:
    """A file that is only added to, by a lane of its own. It ends at the first line that cannot be written or that finds too
    many waiting: one with a gap would say what never was."""

    def __init__(self, writer: Writer | AtOnce, name: str, out: BinaryIO, log: Callable[..., None]) -> None:
        self._out, self._log, self._ended = out, log, False
        self._lane = writer.lane(name, self._add)

    def write(self, data: bytes) -> None:
        if self._ended or self._lane.put(Kind.RECORD, data):
            return
        self._ended = True
        self._log("record ends here", level="warning", reason="the disk is too slow for it")

    def close(self) -> None:
        self._ended = True
        self._lane.close(self._out.close)

    def _add(self, lines: list[bytes]) -> list[tuple[None, Exception | None]]:
        problem = None
        try:
            self._write_all(b"".join(lines))
        except (OSError, ValueError) as wrong:
            self._ended, problem = True, wrong
        return [(None, problem)] * len(lines)

    def _write_all(self, data: bytes) -> None:
        """Writes on where a call took a part only, as write(2) may.

        Raises:
            OSError: a call failed, or took nothing.
        """
        while data:
            taken = self._out.write(data)
            if not taken:
                raise OSError(errno.EIO, "nothing was written")
            data = data[taken:]
