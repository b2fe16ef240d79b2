"""What an attempt leaves at its engine after the node has given it up is released in time.

A client left while its prompt was being read. The node closed the connection to the reader and at once released what the request held. The
release overtook the end of the read: the reader had nothing to free yet, confirmed it, and kept what it read 71 ms later. The node took the
confirmation for the end of the matter and forgot the request, so the state lay at the reader for 26 s, until the fleet was stopped. It was the
same where a reader stood still and ended its read behind the confirmation of another engine, and where a writer had not noted yet that it was
given up: a release spares what an attempt waits for. One run of 20 s with seven engines and 144 clients left 84 states, and no node's monitor
counted one. The node's lines of one of them, and its reader's:

    12.173836Z attempt ended   left     r0  recalled: called off
    12.175426Z state released           r0  try 1
    12.246     state held               r0  (the reader's own line)
"""
import math

import pytest
from twisted.internet.defer import Deferred, gatherResults

from aniserudder.core.invariants import Violation
from aniserudder.eventloop import reactor
from aniserudder.core import reservation_tracker
from aniserudder.core.late_releases import FOLLOW_S, SELDOM_S
from aniserudder.core.given_up import GOES_ON_S, SILENT_MOST_S
from node_process import NodeProcess
from platform_stand import EVENT, HEAD, READ, Site, ask, chunked
from reservation_stand import ReservationStand
from stand import on_loop, sleep, until

ALLOWED_S = 0.65  # 0.3 of the settings, 0.3 of slack, 0.05 by which each limit is longer
WATCHED_S = 5.0   # in which a state that is held has to go
LONG = "prompt_len=9000,max_out=80"


class Engines:
    """Readers and writers that hold states together. A release frees what is held when it comes, but what a writer waits for."""

    def __init__(self):
        self.held, self.waited, self.wanted, self.stands_still, self.put_off = {}, [], set(), set(), []
        self.read_ends, self.hears_late, self.streams, self.at_work = {}, 0.0, False, []
        self.site = Site({"r1": self.read, "r2": self.read, "w1": self.write})
        for party in self.site.engines.values():
            party.answer = self.hearing(party, party.answer)

    def hearing(self, party, answer):
        def heard(connection, request):
            if party.name in self.stands_still:
                return self.put_off.append((heard, connection, request))
            if request.startswith(b"DELETE"):
                self.free(request.split(b" ")[1].rpartition(b"/")[2].decode())
            answer(connection, request)
        return heard

    def go_on(self):
        """Engines that stood still do what they had begun, and then take up what came meanwhile."""
        self.stands_still.clear()
        put_off, self.put_off = self.put_off, []
        for heard, connection, request in put_off:
            heard(connection, request)

    def reset(self, name):
        for connection in self.site.engines[name].connections:
            connection.transport.abortConnection()

    def read(self, connection, request):
        """The reader's work takes as long as the test says, and ends early only if it hears that its node has given it up."""
        id, name = self.id_of(request), connection.name
        ends_s = self.read_ends[name]
        self.at_work.append(name)

        def ends():
            if name in self.stands_still:
                return reactor.callLater(0.01, ends)
            self.held.setdefault(id, reactor.seconds())
            connection.say(READ)
        call = reactor.callLater(ends_s, ends)
        lost = connection.connectionLost

        def closed(reason=None):
            lost(reason)
            if name not in self.stands_still and self.hears_late < math.inf and call.active():
                reactor.callLater(self.hears_late, lambda: call.active() and call.cancel())
        connection.connectionLost = closed

    def write(self, connection, request):
        id = self.id_of(request)
        if self.streams:  # it fetches the state, and with that all else of the request goes
            self.held.pop(id, None)
            connection.say(HEAD)
            for number in range(30):
                reactor.callLater(0.1 * number, connection.say, chunked(EVENT % b"one"))
            return
        self.wanted.add(id)
        self.at_work.append("w1")
        lost = connection.connectionLost

        def closed(reason=None):
            lost(reason)
            reactor.callLater(self.hears_late, self.no_longer_wanted, id)
        connection.connectionLost = closed

    def no_longer_wanted(self, id):
        self.wanted.discard(id)
        if id in self.held:
            self.held[id] = reactor.seconds()  # the time stood still while the writer had the request

    @staticmethod
    def id_of(request):
        return next(line for line in request.split(b"\r\n") if line.lower().startswith(b"request-id")).split(b": ")[1].decode()

    def free(self, id):
        if id not in self.wanted and id in self.held:
            self.waited.append(reactor.seconds() - self.held.pop(id))


async def client_leaves(node, engines, after_s):
    """A client that leaves some time after an engine has begun with its request."""
    client = await node.ask("a1", left="3.0", info=LONG)
    await until(lambda: engines.at_work)
    await sleep(after_s)
    client.transport.loseConnection()


async def read_ends_before_its_engine_hears(node, engines):
    engines.hears_late = 0.1
    engines.read_ends = dict.fromkeys(("r1", "r2"), 0.15)
    await client_leaves(node, engines, 0.1)
    await sleep(0.2)


async def read_ends_though_its_connection_is_silent(node, engines):
    engines.hears_late = math.inf
    engines.read_ends = dict.fromkeys(("r1", "r2"), 1.2)
    await client_leaves(node, engines, 0.1)
    await sleep(1.3)


async def reader_stands_still(node, engines):
    engines.read_ends = dict.fromkeys(("r1", "r2"), 0.2)
    client = await node.ask("a1", left="3.0", info=LONG)
    await until(lambda: engines.at_work)
    engines.stands_still = set(engines.at_work)
    client.transport.loseConnection()
    await sleep(1.5)
    engines.put_off = [one for one in engines.put_off if not one[2].startswith(b"DELETE")]  # what was called meanwhile was given up
    engines.go_on()
    await sleep(0.3)


async def connection_is_reset_in_the_middle_of_a_read(node, engines):
    engines.hears_late = math.inf
    engines.read_ends = dict.fromkeys(("r1", "r2"), 0.8)
    client = await node.ask("a1", left="3.0", info=LONG)
    await until(lambda: engines.at_work)
    await sleep(0.1)
    engines.reset(engines.at_work[0])
    await sleep(0.05)
    client.transport.loseConnection()
    await sleep(1.0)


async def writer_hears_late(node, engines):
    engines.hears_late = 0.05
    engines.read_ends = dict.fromkeys(("r1", "r2"), 0.02)
    client = await node.ask("a1", left="3.0", info=LONG)
    await until(lambda: "w1" in engines.at_work)
    await sleep(0.05)
    client.transport.loseConnection()
    await sleep(0.2)


async def another_read_serves_the_request(node, engines):
    """The first reader goes on behind a reset while the second has read and a writer streams."""
    engines.streams, engines.hears_late = True, math.inf
    engines.read_ends = dict.fromkeys(("r1", "r2"), 1.0)
    client = await node.ask("a1", left="3.0", info=LONG)
    await until(lambda: engines.at_work)
    engines.read_ends = dict.fromkeys(("r1", "r2"), 0.02)
    engines.reset(engines.at_work[0])
    await until(lambda: b"one" in client.data, 3)
    await until(lambda: engines.held, 3)


async def node_is_told_to_end(node, engines):
    engines.hears_late = math.inf
    engines.read_ends = dict.fromkeys(("r1", "r2"), 1.4)
    await client_leaves(node, engines, 0.05)
    node.process.terminate()
    await sleep(1.5)


ORDERS = (read_ends_before_its_engine_hears, read_ends_though_its_connection_is_silent, reader_stands_still,
          connection_is_reset_in_the_middle_of_a_read, writer_hears_late, another_read_serves_the_request, node_is_told_to_end)


async def longest_held(order, folder):
    """Seconds for which a state was held with nothing out for it; infinite where it still is, negative where none ever was."""
    engines = Engines()
    node = await NodeProcess(engines.site, folder).up()
    await order(node, engines)
    until_s = reactor.seconds() + WATCHED_S
    while engines.held and reactor.seconds() < until_s:
        await sleep(0.02)
    await node.close()
    return math.inf if engines.held else max(engines.waited, default=-1.0)


def test_what_given_up_attempts_leave_is_released_in_time(tmp_path):
    async def scene():
        folders = {order: tmp_path / order.__name__ for order in ORDERS}
        for folder in folders.values():
            folder.mkdir()
        told = await gatherResults([Deferred.fromCoroutine(longest_held(order, folder)) for order, folder in folders.items()])
        return {order.__name__: round(seconds, 3) for order, seconds in zip(ORDERS, told)}
    held = on_loop(scene, 60)
    assert all(0.0 <= seconds <= ALLOWED_S for seconds in held.values()), "\n".join(f"{name}: {seconds} s" for name, seconds in held.items())


def test_releases_go_on_until_an_engine_that_stood_still_has_done_with_what_it_had():
    there = ReservationStand()
    there.still = {"r1"}
    there.gives_up_read()
    there.run(12)
    there.go_on()
    there.run(FOLLOW_S + 1.0)
    last = there.times()[-1]
    assert 12 - GOES_ON_S + FOLLOW_S <= last < 12 + FOLLOW_S + 0.7 and not there.tracker.records and not there.tracker.followed
    assert there.longest_gap(0.0, last) < 0.5
    there.run(sum(SELDOM_S))
    there.invariants.look_for_held(round(there.reactor.seconds() * 1e6), 300_000)
    assert not there.invariants.total


@pytest.mark.parametrize("told_s", [1.0, 5.0])
def test_an_engine_that_runs_is_followed_for_as_long_as_it_may_go_on(told_s):
    """Each let-go time until then, and behind it a known number of times more, so that neither calls nor memory grow without end."""
    there = ReservationStand()
    there.gives_up_read(told_s=told_s)
    there.run(told_s + FOLLOW_S + 1.0)
    last = there.times()[-1]
    assert told_s + FOLLOW_S <= last < told_s + FOLLOW_S + 0.7 and there.longest_gap(0.0, last) < 0.5
    assert not there.tracker.records and not there.tracker.followed
    before = len(there.calls)
    there.run(2 * sum(SELDOM_S))
    assert len(there.calls) == before + len(SELDOM_S) and not len(there.tracker.late)


def test_what_an_engine_that_stood_still_for_a_minute_goes_on_with_is_released_in_time():
    """Behind 30 s of silence the request was forgotten, and the read that its engine ended then was held for good."""
    there = ReservationStand()
    there.still = {"r1"}
    there.gives_up_read()
    there.run(60)
    assert len(there.calls) < 2 * SILENT_MOST_S / 0.3  # no longer every let-go time
    there.go_on()
    begin = there.reactor.seconds()
    there.run(10)
    assert there.longest_gap(begin, begin + GOES_ON_S) < 0.5 and not there.tracker.records


def test_what_an_attempt_needs_is_not_released_behind_another_that_was_given_up():
    there = ReservationStand()
    there.gives_up_read()
    there.run(0.1)
    there.sends_read()
    before = len(there.calls)
    there.run(20)
    assert len(there.calls) == before
    there.tracker.ended("a1", arrived=True)
    there.run(0.4)
    assert len(there.calls) > before


def test_more_given_up_attempts_than_can_be_followed_are_counted_here_and_by_the_monitor(monkeypatch):
    monkeypatch.setattr(reservation_tracker, "RECORDS_MOST", 400)
    there = ReservationStand()
    there.still = {"r1", "w1"}
    for number in range(401):
        there.gives_up_read(f"q{number}")
    assert (len(there.tracker.records), there.tracker.dropped) == (400, 1)
    there.tracker.close()
    there.invariants.look_for_held(60_000_000, 300_000)
    assert there.invariants.violations[Violation.HELD_TOO_LONG] == 401


def test_each_of_hundreds_of_given_up_attempts_is_followed():
    """Of more than 256 at a time the others were never released again."""
    there = ReservationStand()
    for number in range(300):
        there.gives_up_read(f"q{number}")
    there.run(8)
    assert all(there.longest_gap(0.0, 1.0 + GOES_ON_S, f"q{number}") < 0.6 for number in range(300)) and not there.tracker.records


def test_what_no_engine_took_is_released_as_soon_as_one_is_heard_again():
    """A node that was cut off from all engines for over three seconds forgot what it had to release."""
    there = ReservationStand()
    there.cut_off = {"r1", "w1"}
    there.tracker.let_go("a1", "r1")
    there.run(6)
    assert there.tracker.overdue == 1 and there.tracker.releases and not there.calls
    there.cut_off = set()
    there.tracker.heard("w1")
    assert len(there.calls) == 1 and not there.tracker.records
    there.tracker.heard("w1")
    there.run(3)
    assert len(there.calls) == 1


def test_what_no_engine_took_is_released_soon_though_none_is_heard():
    there = ReservationStand()
    there.cut_off = {"r1", "w1"}
    for number in range(20):
        there.tracker.let_go(f"q{number}", "r1")
    there.run(60)
    there.cut_off = set()
    there.run(0.5)
    assert {call.request for call in there.calls} == {f"q{number}" for number in range(20)} and not there.tracker.records


def test_an_engine_that_runs_does_not_pass_for_silent_because_many_others_answer():
    """Found by the soak, seed 8014: of 3,220 listed engines the 40 heard last were remembered, so a reader that answered each call counted as
    silent, and one request was released 44 times in 13 s."""
    there = ReservationStand("r1", "w1", *(f"w{number}" for number in range(2, 100)))
    there.gives_up_read()
    followed_s = 0.0
    for _ in range(600):
        there.run(0.05)
        for number in range(2, 100):
            there.tracker.heard(f"w{number}")
        followed_s = there.reactor.seconds() if any(record.given_up for record in there.tracker.records.values()) else followed_s
    assert 0 < followed_s < 1.0 + GOES_ON_S + 0.7


def test_each_of_two_engines_with_given_up_attempts_is_asked_whether_it_runs():
    """Found by the soak, seed 9009: one of four repeats goes to an engine that says nothing, and with two of them it was always the second one.
    The first passed for silent for 30 s though it answers, and a node that was told to end stayed for it for 3.7 s."""
    there = ReservationStand("r1", "r2", "w1")
    for engine in ("r1", "r2"):
        there.gives_up_read(engine=engine)
    there.run(10)
    assert not there.tracker.records


def test_a_read_that_goes_on_at_an_engine_ten_times_slower_leaves_no_state_behind():
    """Found by the review: a reader 9.9 times slower ended a read over 2 s behind the time that it was told, and the state lay for good."""
    usual_s, slow_s = 0.4, 3.9

    async def scene():
        engines = Engines()
        engines.read_ends, engines.hears_late, engines.streams = {"r1": usual_s, "r2": usual_s}, math.inf, True
        site = await engines.site.up()
        usual = [await site.client(ask(f"u{number}", left="3.0", info=LONG)) for number in range(12)]
        await until(lambda: all(client.data for client in usual))
        engines.read_ends = {"r1": slow_s, "r2": slow_s}
        await site.client(ask("a1", left="1.4", info=LONG))
        await until(lambda: "a1" in engines.held, 6)
        held_at = engines.held["a1"]
        await until(lambda: "a1" not in engines.held, 4)
        took = reactor.seconds() - held_at
        await site.close()
        return took
    assert on_loop(scene) < ALLOWED_S
