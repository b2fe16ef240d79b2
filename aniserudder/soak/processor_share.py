"""A process that is given a share of one core, as a platform's processor limit does it, and what the scheduler really gave it.

The limit is played with SIGSTOP and SIGCONT, as no control groups are at hand. Time in which the process waits for a processor of a busy
machine is none of its turn and doesn't put off its next one: beside other processes it gets the same share as on an idle machine, as long
as the machine has it to give.
"""
from __future__ import annotations

import signal
import subprocess
import threading
import time
from dataclasses import dataclass
from pathlib import Path

TURN_S = 0.01    # of one turn of the process
LOOK_S = 0.001   # least time between two looks within a turn
RUNNABLE = "R"   # state of a process that runs or waits for a processor (proc(5), ``stat``)


@dataclass(frozen=True, slots=True)
class ProcessorTime:
    """What the scheduler gave a process since it began (proc(5), ``schedstat``); zeros where the system does not tell.

    Attributes:
        ran_s: seconds that it ran.
        waited_s: seconds in which it could run and no processor was free, as of the last such wait that ended.
        at: when this was read, seconds of the monotonic clock.
        runnable: at this moment it runs or waits for a processor.
    """

    ran_s: float = 0.0
    waited_s: float = 0.0
    at: float = 0.0
    runnable: bool = False

    @classmethod
    def of(cls, pid: int) -> ProcessorTime:
        """Of a process, up to now."""
        try:
            ran, waited, _ = Path(f"/proc/{pid}/schedstat").read_text().split()
            state = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
        except (OSError, ValueError, IndexError):
            return cls(at=time.monotonic())
        return cls(int(ran) / 1e9, int(waited) / 1e9, time.monotonic(), state == RUNNABLE)


class Turn:
    """How much of its turn a process has used: time that it ran and time in which it had nothing to do, not time that it waited for a
    processor, nor time that the machine itself was not given one by its host."""

    def __init__(self, start: ProcessorTime) -> None:
        self._before, self._used_s = start, 0.0

    def used_s(self, now: ProcessorTime) -> float:
        """Seconds up to this look. Of a process that is runnable only what it ran counts: the rest is a wait, ended or not."""
        before, self._before = self._before, now
        ran_s = now.ran_s - before.ran_s
        idle_s = 0.0 if now.runnable else now.at - before.at - ran_s - (now.waited_s - before.waited_s)
        self._used_s += ran_s + max(0.0, idle_s)
        return self._used_s


class ProcessorShare:
    """Lets a process run a turn of each period, in a thread of its own, until it is told to stop.

    Args:
        process: which may end meanwhile.
        share: of one core, over 0 and under 1.
    """

    def __init__(self, process: subprocess.Popen[bytes], share: float) -> None:
        self._process, self._period_s = process, TURN_S / share
        self._look = ProcessorTime.of(process.pid)
        self._over = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Begins with a turn."""
        self._thread.start()

    def stop(self) -> None:
        """Gives the process the whole core again."""
        self._over.set()
        self._thread.join()

    def _run(self) -> None:
        due, overrun = time.monotonic(), 0.0
        while not self._over.is_set():
            self._process.send_signal(signal.SIGCONT)
            overrun = max(0.0, self._take_turn(TURN_S - overrun - self._ran_since_last_look()))
            self._process.send_signal(signal.SIGSTOP)
            due = max(due + self._period_s, time.monotonic())
            self._over.wait(due - time.monotonic())
        self._process.send_signal(signal.SIGCONT)

    def _take_turn(self, allowed_s: float) -> float:
        """Returns the seconds by which the process used more than that."""
        turn = Turn(self._look)
        left = allowed_s
        while left > 0 and not self._over.is_set():
            time.sleep(max(left, LOOK_S))
            self._look = ProcessorTime.of(self._process.pid)
            left = allowed_s - turn.used_s(self._look)
        return -left

    def _ran_since_last_look(self) -> float:
        """Seconds that it ran between the end of a turn and its stop; the system tells them late."""
        before, self._look = self._look, ProcessorTime.of(self._process.pid)
        return self._look.ran_s - before.ran_s
