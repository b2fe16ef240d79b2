"""Behind a discovery agent that is slow for each answer a change of the list is heard by the time at which it counts as told."""

from __future__ import annotations

import json
import re

from twisted.internet.defer import ensureDeferred, gatherResults

from aniserudder.decisions.interface import Availability
from aniserudder.eventloop import reactor
from platform_stand import EVENT, Raw, Site
from stand import on_loop, sleep, until

TOLD_S = 6.0  # STANDING: a change counts as told at the latest so long after discovery had it
SLACK_S = 0.05  # PROTOCOL: every time limit is so much longer
DELAYS_S = (0.0, 1.0, 2.0, 3.0, 4.0, 5.0, 5.5)
PHASES_S = (0.2, 1.0, 1.9, 2.6, 4.0, 7.0)  # from the first watch to the change


class SlowAgent(Site):
    """One engine, and an agent whose answers take so long: an answer tells what the agent had when it began."""

    def __init__(self, delay_s: float) -> None:
        self.delay_s = 0.0
        self.changed, self.phase = 0, "SERVING"
        self.pending: list[tuple[Raw, int]] = []
        super().__init__({"m1": lambda connection, request: connection.say(EVENT)})
        self.delay_s = delay_s

    def _discovers(self, connection: Raw, request: bytes) -> None:
        asked = re.search(rb"from=(\d+)&hold_ms=(\d+)", request)
        if asked is None:
            return self._begin(connection, True)
        self.watches.append(connection)
        if int(asked[1]) < self.revision:
            return self._begin(connection, False)
        self.pending.append((connection, int(asked[1])))
        reactor.callLater(int(asked[2]) / 1000, self._hold_over, connection)

    def _hold_over(self, connection: Raw) -> None:
        if any(waiting is connection for waiting, _ in self.pending):
            self.pending = [(waiting, has) for waiting, has in self.pending if waiting is not connection]
            self._begin(connection, False)

    def _begin(self, connection: Raw, complete: bool) -> None:
        members = [self.member("m1", self.phase)] if complete or self.changed else []
        body = json.dumps({"revision": self.revision, "complete": complete, "members": members}).encode()
        answer = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body)
        reactor.callLater(self.delay_s, lambda: connection.over or connection.say(answer))

    def drain(self) -> None:
        self.revision, self.phase, self.changed = self.revision + 1, "DRAINING", self.revision + 1
        pending, self.pending = self.pending, []
        for connection, _ in pending:
            self._begin(connection, False)

    async def heard_after(self, phase_s: float) -> float:
        """Seconds from the change to the node's hearing of it."""
        self.node.start()
        await until(lambda: self.watches, 20)
        await sleep(phase_s)
        self.drain()
        drained_at = reactor.seconds()
        await until(lambda: self.node.router.node.engines["m1"].row.availability is Availability.DRAINING, 20)
        took = reactor.seconds() - drained_at
        await self.close()
        return took


def test_a_drain_is_heard_in_time_behind_an_agent_that_is_slow():
    """Found by the review, 8 s behind an agent that takes 4 s: a watch was given up at 3.9 s, and what was asked in its place took 4 s as well."""
    orders = [(delay_s, phase_s) for delay_s in DELAYS_S for phase_s in PHASES_S]

    async def scene():
        return await gatherResults([ensureDeferred(SlowAgent(delay_s).heard_after(phase_s)) for delay_s, phase_s in orders])

    took = dict(zip(orders, on_loop(scene, 60), strict=True))
    assert max(took.values()) <= TOLD_S + SLACK_S, took
