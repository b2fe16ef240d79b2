"""Releases of what is held reach an engine in time though kept connections have fallen silent, or no connection can be made."""
import errno
import socket

from twisted.internet import defer
from twisted.internet.error import ConnectError, ConnectionLost
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from aniserudder.core.invariants import Violation
from aniserudder.eventloop import reactor
from aniserudder.wire import connections
from aniserudder.wire.client import ClientConnection
from platform_stand import READ, WHOLE, Site, ask
from stand import on_loop, sleep, until

LONG = "prompt_len=9000,max_out=80"
ALLOWED_S = 0.6  # 0.3 of the settings, 0.3 of slack


class Engines:
    """A site of one reader and three writers. ``deaf`` connections lose releases; from ``stuck`` on writers say nothing."""

    def __init__(self):
        self.deaf, self.stuck, self.read_at = set(), False, 0.0
        self.site = Site({"r1": self.read, "w1": self.write, "w2": self.write, "w3": self.write})
        for party in self.site.engines.values():
            party.answer = self.hearing(party.answer)

    def hearing(self, answer):
        def heard(connection, request):
            if not (connection in self.deaf and request.startswith(b"DELETE")):
                answer(connection, request)
        return heard

    def read(self, connection, request):
        self.read_at = reactor.seconds()
        connection.say(READ)

    def write(self, connection, request):
        if not self.stuck:
            reactor.callLater(0.1, connection.say, WHOLE)

    async def keep_connections(self):
        """Several kept connections to each engine."""
        await self.site.up()
        clients = [await self.site.client(ask(f"k{number}", left="3.0", info=LONG)) for number in range(24)]
        await until(lambda: all(client.data.endswith(b"0\r\n\r\n") for client in clients))
        await sleep(0.1)
        assert all(len(place.idle) >= 2 for place in self.site.node.engines.places.values())

    async def released_after(self, id):
        """Seconds from a read's answer to the release of its state, with writers that say nothing."""
        self.stuck = True
        await self.site.client(ask(id, left="3.0", info=LONG))
        await until(lambda: any(held == id for _, held in self.site.deleted))
        return reactor.seconds() - self.read_at


def test_a_release_is_tried_on_a_fresh_connection_where_kept_ones_have_fallen_silent():
    """Found by the soak, seed 2004: eleven tries went into kept connections, each lost for 75 ms."""
    async def scene():
        engines = Engines()
        await engines.keep_connections()
        engines.deaf = {connection for party in engines.site.engines.values() for connection in party.connections}
        took = await engines.released_after("a1")
        await engines.site.close()
        return took
    assert on_loop(scene) < ALLOWED_S


def test_a_release_takes_a_kept_connection_where_this_system_can_make_none(monkeypatch):
    """Found by the soak, seed 2029: no connection could be made for a while, while kept ones to other engines rested."""
    async def scene():
        engines = Engines()
        await engines.keep_connections()
        site = engines.site
        reader = site.node.engines.places["r1"]
        monkeypatch.setattr(connections, "connect_tcp", lambda *args: defer.fail(ConnectError(osError=errno.EADDRNOTAVAIL, string="no port")))
        for connection, _ in reader.idle[1:]:
            connection.drop()  # the only kept one to the reader takes the read
        del reader.idle[1:]
        site.engines["r1"].answer = lambda connection, request: (engines.read(connection, request), connection.transport.loseConnection())
        took = await engines.released_after("a1")
        await site.close()
        return took
    assert on_loop(scene) < ALLOWED_S


def test_a_release_takes_a_kept_connection_where_connects_time_out_at_once(monkeypatch):
    """Found by the soak, seed 81019: for 2.2 s nine in ten connects failed with ETIMEDOUT as they were made, as if no engine could be reached."""
    async def scene():
        engines = Engines()
        await engines.keep_connections()
        monkeypatch.setattr(connections, "connect_tcp", lambda *args: defer.fail(ConnectError(osError=errno.ETIMEDOUT, string="timed out")))
        for place in engines.site.node.engines.places.values():
            if place.engine != "r1":
                place.idle = place.idle[:1]  # in use by the fetch, or kept for the releases
        engines.site.engines["r1"].answer = lambda connection, request: (engines.read(connection, request), connection.transport.loseConnection())
        took = await engines.released_after("a1")
        await engines.site.close()
        return took
    assert on_loop(scene) < ALLOWED_S


def test_a_release_that_no_engine_ever_confirms_is_counted_by_the_monitor():
    async def scene():
        engines = Engines()
        site = await engines.site.up()
        for party in site.engines.values():  # no release is heard, on any connection
            party.answer = lambda connection, request, answer=party.answer: None if request.startswith(b"DELETE") else answer(connection, request)
        engines.stuck = True
        await site.client(ask("a1", left="3.0", info=LONG))
        await until(lambda: site.node.engines.releases_lost, 8)
        await site.close()
        return site.node.router.invariants.violations[Violation.HELD_TOO_LONG]
    assert on_loop(scene) == 1


def test_releases_that_no_engine_confirms_do_not_feed_the_jam_that_delays_them():
    """Found by the soak, seed 2036: 80 calls for each release, while answers took longer than the pause between tries."""
    async def scene():
        engines, calls = Engines(), []
        site = await engines.site.up()
        for party in site.engines.values():
            def heard(connection, request, answer=party.answer):
                calls.append(request) if request.startswith(b"DELETE") else answer(connection, request)
            party.answer = heard
        engines.stuck = True
        await site.client(ask("a1", left="3.0", info=LONG))
        await until(lambda: site.node.engines.releases_lost, 8)
        await site.close()
        return len(calls)
    assert 8 <= on_loop(scene) <= 16


def test_a_request_that_lies_unsent_for_a_fresh_connection_does_not_stop_the_clock_of_what_is_held():
    """A writer's machine took the connection and then no more than a part of the request, and said nothing. The node took a fresh connection for
    proof that the request had arrived and stopped the clock of the state as it wrote: released after 3.0 s, where 0.65 s are allowed."""
    async def scene():
        engines = Engines()
        site = await engines.site.up()
        for name in ("w1", "w2", "w3"):
            party = site.engines[name]
            party.port.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            build = party.port.factory.buildProtocol

            def takes_nothing(address, build=build):
                connection = build(address)
                reactor.callLater(0, lambda: connection.transport.pauseProducing())
                return connection
            party.port.factory.buildProtocol = takes_nothing
        client = await site.client(ask("a1", left="3.0", info=LONG, body=b'{"model":"x","stream":true,"text":"' + b"t" * 200_000 + b'"}'))
        await until(lambda: any(held == "a1" for _, held in site.deleted))
        took = reactor.seconds() - engines.read_at
        client.transport.abortConnection()
        await site.close()
        return took
    assert on_loop(scene) < ALLOWED_S + 0.05

def test_a_release_that_begins_late_in_its_slack_does_not_wait_for_a_lost_try():
    """Every kept connection to the reader has fallen silent and the writers took nothing: the clock ran for 0.4 s before the first try, a node
    may be held up for 0.15 s, and the second try would come 0.075 s behind the first."""
    async def scene():
        engines = Engines()
        await engines.keep_connections()
        engines.deaf = {*engines.site.engines["r1"].connections}
        return await engines.released_after("a1"), await engines.site.close()
    took, _ = on_loop(scene)
    assert took < 0.45


def test_a_release_goes_on_over_kept_connections_while_no_new_one_can_be_made(monkeypatch):
    """For 0.5 s all kept connections are busy or silent, and none can be made for longer: tries behind the slack took new ones alone."""
    async def scene():
        engines, tried = Engines(), []
        await engines.keep_connections()
        site = engines.site
        site.node.engines.release_at = lambda route, request, patience_s, done: tried.append(route.fresh) or (lambda: None)
        site.node.engines.let_go("a1", "r1", 0, None)
        await until(lambda: len(tried) >= 12)
        await site.close()
        return tried[-4:]
    assert set(on_loop(scene)) == {False, True}


class Told:
    """An exchange that notes how it ended."""

    def __init__(self):
        self.ends = []

    def head(self, status):
        pass

    body = head

    def complete(self):
        self.ends.append("complete")

    def lost(self, reason, malformed):
        self.ends.append("lost")


def test_a_connection_that_carried_a_release_and_is_reset_under_the_next_request_has_lost_it():
    """Found by the soak, seed 6118: a writer's connection had carried a release, whose 204 has no length, and was reset under the fetch of a
    state. The node took the reset for the end of an answer without a length ("attempt ended ... error: status 0"), so the fetch passed for
    answered and was not followed, and the state that the writer still waited for lay for 23 s."""
    connection, release, fetch = ClientConnection("w1", lambda c: None, lambda c: None), Told(), Told()
    transport = StringTransport()
    transport.setTcpNoDelay = lambda enabled: None
    connection.makeConnection(transport)

    def ask(exchange):
        assert connection.ask("POST", "/", [], b"", exchange)
        for _ in range(2):  # the transport has written all
            connection.resumeProducing()
    ask(release)
    connection.dataReceived(b"HTTP/1.1 204 No Content\r\n\r\n")
    ask(fetch)
    connection.connectionLost(Failure(ConnectionLost()))
    assert (release.ends, fetch.ends) == (["complete"], ["lost"])


class PartedEngines:
    """Three readers and four writers that hold states together; those that are away read nothing, on kept and on new connections."""

    def __init__(self):
        self.away, self.put_off, self.held, self.released_at = set(), [], {}, {}
        names = ("r1", "r2", "r3", "w1", "w2", "w3", "w4")
        self.site = Site(dict.fromkeys(names, self.serve))
        for party in self.site.engines.values():
            party.answer = self.hearing(party.name)
        self.stays = ""  # the one engine that stays when a read of ``parted_by`` ends
        self.refuse = ()  # engines whose processes are gone then
        self.parted_by = "a1"

    def hearing(self, name):
        def heard(connection, request):
            if name in self.away:
                self.put_off.append((heard, connection, request))
            elif request.startswith(b"DELETE"):
                id = request.split(b" ")[1].rpartition(b"/")[2].decode()
                if id in self.held:
                    self.released_at.setdefault(id, reactor.seconds())
                connection.say(b"HTTP/1.1 204 No Content\r\n\r\n")
            else:
                self.serve(connection, request)
        return heard

    def serve(self, connection, request):
        id = next(line for line in request.split(b"\r\n") if line.lower().startswith(b"request-id")).split(b": ")[1].decode()
        if connection.name[0] == "w":
            if id in self.held:
                self.released_at.setdefault(id, reactor.seconds())  # the writer has taken it
            return connection.say(WHOLE)
        self.held[id] = reactor.seconds()
        connection.say(READ)
        if id == self.parted_by:
            self.away = set(self.site.engines) - {self.stays}
            for name in self.refuse:
                self.site.engines[name].stop()

    def come_back(self):
        self.away = set()
        put_off, self.put_off = self.put_off, []
        for heard, connection, request in put_off:
            if not connection.over:
                heard(connection, request)

    async def meet_all(self):
        """Connections to all engines are made and kept."""
        await self.site.up()
        clients = [await self.site.client(ask(f"k{number}", left="3.0", info=LONG)) for number in range(24)]
        await until(lambda: all(client.data.endswith(b"0\r\n\r\n") for client in clients))
        await sleep(0.1)


def test_a_release_finds_the_one_engine_that_can_be_reached_in_time():
    """Found by the soak, seed 71002: ten tries went to engines that were cut off, and the one that answered was not among them."""
    async def scene(stays):
        engines = PartedEngines()
        engines.stays = stays
        await engines.meet_all()
        await engines.site.client(ask("a1", left="3.0", info=LONG))
        await until(lambda: "a1" in engines.released_at, 8)
        await engines.site.close()
        return engines.released_at["a1"] - engines.held["a1"]
    took = {stays: on_loop(lambda stays=stays: scene(stays)) for stays in ("r1", "r2", "r3", "w1", "w2", "w3", "w4")}
    assert all(seconds < ALLOWED_S + 0.05 for seconds in took.values()), took


def test_a_node_that_could_reach_no_engine_releases_when_one_is_back_though_nobody_asks_for_anything():
    """Behind ten tries a release was put aside until an engine was heard, and on a node without traffic none is."""
    async def scene(stops):
        engines = PartedEngines()
        engines.refuse = ("w1", "w2", "w3", "w4")  # no attempt is out or was given up: the release alone is left
        await engines.meet_all()
        await engines.site.client(ask("a1", left="0.6", info=LONG))
        await until(lambda: engines.away)
        if stops:
            engines.site.node.stop()
        await sleep(3.9)
        engines.put_off.clear()  # what was called meanwhile was given up
        engines.come_back()
        back_at = reactor.seconds()
        await until(lambda: "a1" in engines.released_at or reactor.seconds() - back_at > 2.0, 4)
        await engines.site.close()
        return engines.released_at.get("a1", float("inf")) - back_at
    took = {stops: on_loop(lambda stops=stops: scene(stops), 20) for stops in (False, True)}
    assert all(seconds < ALLOWED_S - 0.3 for seconds in took.values()), took
