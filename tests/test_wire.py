"""HTTP as a server: what is bounded, and that each connection gets a clear answer. No sockets."""
import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from aniserudder.wire.server import At, Bounds, ServerFactory


class Transport(StringTransport):
    def setTcpNoDelay(self, on):
        pass


class Served:
    def __init__(self, **bounds):
        self.clock, self.asked = Clock(), []
        factory = ServerFactory(self.clock, Bounds(**bounds), self.asked.append)
        self.transport = Transport()
        self.connection = factory.buildProtocol(None)
        self.connection.makeConnection(self.transport)

    def send(self, data):
        self.connection.dataReceived(data)
        return self

    @property
    def said(self):
        return self.transport.value()


def test_a_request_and_its_answer():
    s = Served().send(b"POST /x?y=1 HTTP/1.1\r\nhost: a\r\nX-Key: k\r\ncontent-length: 2\r\n\r\nhi")
    one = s.asked[0]
    assert (one.method, one.path, one.headers["x-key"], bytes(one.body)) == ("POST", "/x?y=1", "k", b"hi")
    one.reply(200, b"ok")
    assert s.said.startswith(b"HTTP/1.1 200 OK\r\n") and s.said.endswith(b"\r\n\r\nok")
    assert s.connection.state is At.IDLE


def test_requests_sent_ahead_are_answered_in_order():
    s = Served().send(b"GET /1 HTTP/1.1\r\nhost: a\r\n\r\nGET /2 HTTP/1.1\r\nhost: a\r\n\r\n")
    assert [e.path for e in s.asked] == ["/1"]
    s.asked[0].reply(200, b"one")
    s.clock.advance(0)
    s.asked[1].reply(200, b"two")
    assert s.said.index(b"one") < s.said.index(b"two")


def test_too_many_requests_ahead_end_it():
    s = Served().send(b"GET /1 HTTP/1.1\r\nhost: a\r\n\r\n" * 9)
    assert not s.asked and b" 429 " in s.said and s.connection.state is At.CLOSED


@pytest.mark.parametrize("told", [b"content-length: 104857600\r\n\r\n", b"transfer-encoding: chunked\r\n\r\n"])
def test_a_body_of_100_mb_is_refused_early(told):
    s = Served(body=1000).send(b"POST / HTTP/1.1\r\nhost: a\r\n" + told)
    if b"chunked" in told:
        s.send(b"400\r\n" + b"x" * 1024 + b"\r\n")
    assert b" 413 " in s.said and b"more than 1000 bytes" in s.said and s.transport.disconnecting and not s.asked


def test_one_header_byte_a_second_is_bounded():
    s = Served(request_s=5)
    for byte in b"GET /slow HT":
        if s.connection.state is At.CLOSED:
            break
        s.send(bytes([byte]))
        s.clock.advance(1)
    assert b" 408 " in s.said and s.transport.disconnecting and not s.asked


def test_headers_without_end_are_bounded():
    s = Served(head=2000).send(b"GET / HTTP/1.1\r\n")
    for n in range(100):
        if s.connection.state is not At.CLOSED:
            s.send(b"x-%d: %s\r\n" % (n, b"y" * 50))
    assert b" 431 " in s.said and not s.asked


def test_bytes_that_are_no_protocol():
    s = Served().send(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03")
    assert b" 400 " in s.said and s.transport.disconnecting


def test_idle_connections_are_closed():
    s = Served(idle_s=3)
    s.clock.advance(3)
    assert s.transport.disconnecting


def test_the_client_leaving_is_told_once():
    s = Served().send(b"GET /1 HTTP/1.1\r\nhost: a\r\n\r\n")
    gone = []
    s.asked[0].gone = gone.append
    from twisted.internet.error import ConnectionDone
    from twisted.python.failure import Failure
    s.connection.connectionLost(Failure(ConnectionDone()))
    assert gone == ["the client left"] and not s.asked[0].open
    s.asked[0].reply(200, b"late")
    assert s.said == b""


def test_what_waits_for_a_slow_client_is_bounded():
    s = Served(waiting=10_000).send(b"GET /1 HTTP/1.1\r\nhost: a\r\n\r\n")
    gone = []
    s.asked[0].gone = gone.append
    s.asked[0].begin(200)
    s.connection.pauseProducing()
    for _ in range(100):
        s.asked[0].write(b"x" * 500)
    assert gone == ["the client reads too slowly"] and s.transport.disconnected


def test_a_closed_connection_does_not_wait_for_ever_to_be_read():
    s = Served(request_s=5).send(b"GET /1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
    s.connection.pauseProducing()
    s.asked[0].reply(200, b"never read")
    s.clock.advance(5)
    assert s.transport.disconnected


def test_a_header_cannot_smuggle_a_line():
    s = Served().send(b"GET /1 HTTP/1.1\r\nhost: a\r\n\r\n")
    s.asked[0].reply(200, b"", [("x-said", "a\r\nset-cookie: b")])
    assert b"\r\nset-cookie" not in s.said
