"""The laboratory: its clock, its network, and days played with the real nodes in simulated time."""
import pytest
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionLost, ConnectionRefusedError, TimeoutError
from twisted.internet.protocol import Factory, Protocol

from aniserudder.lab.clock import HeapClock
from aniserudder.lab.network import Network
from aniserudder.lab.stage import run
from aniserudder.rehearsal.audit import Record, audit
from aniserudder.rehearsal.day import find
from aniserudder.rehearsal.plan import draw


class Ear(Protocol):
    """Notes what it hears, and when."""

    def __init__(self, clock, echo=False):
        self.clock, self.echo, self.heard, self.over = clock, echo, [], None

    def dataReceived(self, data):
        self.heard.append((round(self.clock.seconds(), 3), data))
        if self.echo:
            self.transport.write(data)

    def connectionLost(self, reason):
        self.over = reason.type

    def pauseProducing(self):
        self.paused = True

    def resumeProducing(self):
        self.paused = False


class Pair:
    """A server and a client process, 10 ms apart, and a connection between them."""

    def __init__(self, timeout=0.5):
        self.clock = HeapClock(0.0)
        self.network = Network(self.clock, lambda one, other: 0.01)
        self.server, self.client = self.network.process("server"), self.network.process("client")
        self.ears = []

        def made():
            self.ears.append(Ear(self.clock, echo=True))
            return self.ears[-1]
        self.port = self.server.listenTCP(0, Factory.forProtocol(made))
        self.failed, self.mine, self.timeout = [], None, timeout

    def connect(self):
        ear = Ear(self.clock)
        TCP4ClientEndpoint(self.client, "127.0.0.1", self.port.number, self.timeout).connect(
            Factory.forProtocol(lambda: ear)).addCallbacks(
            lambda p: setattr(self, "mine", p), lambda f: self.failed.append((round(self.clock.seconds(), 3), f.type)))
        return ear


def test_bytes_arrive_in_order_a_latency_later():
    p = Pair()
    ear = p.connect()
    p.clock.run(0.02)
    for n in range(3):
        ear.transport.write(b"%d" % n)
    p.clock.run(1)
    assert ear.heard == [(0.04, b"0"), (0.04, b"1"), (0.04, b"2")]


def test_a_closed_port_refuses_a_cut_one_is_silent():
    p = Pair()
    p.port.stopListening()
    p.connect()
    p.clock.run(1)
    assert p.failed == [(0.02, ConnectionRefusedError)]
    p = Pair()
    p.network.cut.add(p.port.number)
    p.connect()
    p.clock.run(1)
    assert p.failed == [(0.5, TimeoutError)]


def test_a_killed_process_resets_its_peers_and_runs_no_more():
    p = Pair()
    ear, ran = p.connect(), []
    p.server.callLater(0.5, ran.append, 1)
    p.clock.run(0.1)
    p.server.kill()
    ear.transport.write(b"x")
    p.connect()
    p.clock.run(1)
    assert ear.over is ConnectionLost and not ran and p.failed == [(0.12, ConnectionRefusedError)]
    assert p.ears[0].over is None and not p.ears[0].heard


def test_a_reader_that_pauses_pauses_the_writer():
    p = Pair()
    ear = p.connect()
    p.clock.run(0.1)
    ear.transport.registerProducer(ear, True)
    p.ears[0].transport.pauseProducing()
    ear.transport.write(b"x" * 100_000)
    assert ear.paused
    p.clock.run(0.2)
    assert not p.ears[0].heard and ear.paused
    p.ears[0].transport.resumeProducing()
    p.clock.run(0.3)
    assert not ear.paused and len(p.ears[0].heard[0][1]) == 100_000


def test_calls_of_one_moment_run_in_the_order_asked_for_and_cancelled_ones_not():
    clock, ran = HeapClock(0.0), []
    calls = [clock.callLater(1, ran.append, n) for n in range(5)]
    calls[2].cancel()
    clock.callLater(0.5, lambda: clock.callLater(0.5, ran.append, "later"))
    assert clock.run(2) == 6 and ran == [0, 1, 3, 4, "later"] and not calls[0].active()


def play(name, seed, tmp_path, **changes):
    day = find(name).model_copy(update=changes)
    done = run(day, draw(day, seed), seed, tmp_path, lambda line: None)
    assert not done.ran.trouble and not done.ran.unequal
    return done


def test_a_bad_day_keeps_the_rules_and_its_records_replay(tmp_path):
    done = play("bad-day", 5, tmp_path)
    verdict = audit(Record(done.ran.lines))
    assert not verdict.findings and verdict.sequences > 700 and done.ran.replayed > 3000
    assert {x["what"] for x in done.ran.lines} >= {"node_killed", "cut", "healed", "engine_down", "node_stopping"}


def test_a_day_is_the_same_each_time(tmp_path):
    first = play("preempt", 3, tmp_path / "a")
    again = play("preempt", 3, tmp_path / "b")
    other = play("preempt", 4, tmp_path / "c")
    assert first.ran.lines == again.ran.lines != other.ran.lines


@pytest.mark.parametrize("name", ["streams", "roster_gone"])
def test_other_days_keep_the_rules(name, tmp_path):
    done = play(name, 2, tmp_path, seconds=16, troubles=[f for f in find(name).troubles if f.at < 15])
    assert not audit(Record(done.ran.lines)).findings


def test_a_rule_that_is_broken_is_seen_here_too(tmp_path, monkeypatch):
    """A node that sends once-only sequences again."""
    from aniserudder.decisions.rules import Node
    monkeypatch.setattr(Node, "_repeats", lambda *_: True)
    monkeypatch.setattr(Node, "_may_send", lambda self, seq, engine: engine.listed)
    assert 2 in audit(Record(play("bad_engines", 1, tmp_path).ran.lines)).broken
