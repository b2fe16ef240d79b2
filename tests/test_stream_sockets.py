"""Streams that outlive their writers, on real loopback sockets: what clients see, byte for byte."""
import msgspec
import pytest
from hypothesis import given, settings as examples, strategies as st
from twisted.internet import task

from aniserudder.eventloop import reactor
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol

from aniserudder.core.ports import Usage
from aniserudder.decisions.interface import Outcome
from aniserudder.engines import codec
from aniserudder.standins.words import in_order, reference
from aniserudder.wire.client import ClientConnection
from stand import on_loop, sleep, until
from test_sockets import Site, View, engine

KEYS = "customers: {members: {keys: [members-key-1]}, others: {keys: [others-key-1]}}"
MINE, THEIRS = ("x-api-key", "members-key-1"), ("x-api-key", "others-key-1")


def streams(*roles, more="", step=20, spec=(), **limits):
    made = [engine(f"{role[0]}{n}", role, **dict(spec)) for n, role in enumerate(roles, 1)]
    for one in made:
        one.spec.step_ms = step
    return Site(made, more=f"{KEYS}\n{more}", **limits)


class Heard(View):
    """A client's view of a stream, its text taken together."""

    def text(self):
        return "".join(d["delta"]["text"] for d in self.told() if "delta" in d and "text" in d["delta"])

    def told(self):
        return [msgspec.json.decode(line[5:]) for line in self.data.split(b"\n") if line.startswith(b"data:")]

    def ids(self):
        return [line[4:].decode() for line in self.data.split(b"\n") if line.startswith(b"id: ")]


async def ask(s, *headers, model="note", max_tokens=24, ref="a1", stream=True, method="POST", path="/v1/messages"):
    view = Heard()
    host, port = s.node.address
    factory = Factory.forProtocol(lambda: ClientConnection("x", lambda c: None, lambda c: None))
    view.connection = await TCP4ClientEndpoint(reactor, host, port).connect(factory)
    asked = {"model": model, "max_tokens": max_tokens, "stream": stream,
             "messages": [{"role": "user", "content": f"hello [ref {ref}]"}]}
    view.connection.ask(method, path, list(headers), msgspec.json.encode(asked) if method == "POST" else b"", view)
    return view


def whole(ref="a1", max_tokens=24):
    return "".join(reference(ref, f"hello [ref {ref}]", max_tokens))


def running(s):
    return next((e for e in s.engines if e.running), None)


async def some(view, count):
    await until(lambda: len(view.text().split()) >= count or view.over)


@pytest.mark.parametrize("deaths", [1, 2, 3])
def test_writers_die_one_after_the_other(deaths):
    async def scene():
        s = await streams("reader", *["writer"] * 5, max_attempts=9).up()
        view = await ask(s)
        for n in range(deaths):
            await some(view, 2 + 2 * n)
            await until(lambda: running(s))
            running(s).kill()
        await until(lambda: view.over)
        counts, ids = s.node.router.counts, view.ids()
        await s.close()
        return view.text(), view.events()[-1], counts.gone_on, ids
    text, last, gone_on, ids = on_loop(scene)
    assert text == whole() and last == "message_stop" and gone_on == deaths
    assert ids == [f"seq-b-1.{n}" for n in range(1, len(ids) + 1)]


@pytest.mark.parametrize("forced, good", [("repeats", True), ("ignores", False), ("lies", False)])
def test_what_a_writer_makes_of_a_forced_beginning(forced, good):
    async def scene():
        s = await streams("reader", "writer", "writer").up()
        for one in s.engines:
            one.faults.forced = forced
        view = await ask(s)
        await some(view, 4)
        before = running(s)
        before.kill()
        await until(lambda: view.over)
        misfits = s.node.router.counts.misfits
        await s.close()
        return view.text(), view.events()[-1], misfits
    text, last, misfits = on_loop(scene)
    if good:
        assert text == whole() and last == "message_stop" and not misfits
    else:
        assert whole().startswith(text) and last == "error" and misfits == 1


def test_engines_that_sample_go_on_from_what_was_sent():
    async def scene():
        s = await streams("reader", "writer", "writer", spec={"samples": True}).up()
        view = await ask(s)
        await some(view, 3)
        sent = view.text()
        running(s).kill()
        await until(lambda: view.over)
        await s.close()
        return sent, view.text(), view.events()[-1]
    sent, text, last = on_loop(scene)
    assert text.startswith(sent) and in_order(text) and last == "message_stop" and text != whole()
    assert len(text.split()) == len(whole().split())


def test_a_writer_dies_between_its_last_token_and_the_end():
    async def scene():
        s = await streams("reader", "writer", "writer").up()
        def dies(one):
            for other in s.engines:
                other.__dict__.pop("_finish", None)
            one.kill()
        for one in s.engines:
            one._finish = lambda work, one=one: dies(one)
        view = await ask(s)
        await until(lambda: view.over)
        await s.close()
        return view.text(), view.events()
    text, events = on_loop(scene)
    assert text == whole() and events[-1] == "message_stop" and events.count("message_stop") == 1


def test_a_writer_dies_within_a_character_of_half_an_event():
    async def scene():
        s = await streams("reader", "writer", "writer").up()
        view = await ask(s)
        await some(view, 3)
        dying = running(s)
        dying.running[0].exchange.write('data: {"choices":[{"index":0,"delta":{"content":"w4.湖'.encode()[:-1])
        reactor.callLater(0, dying.kill)
        await until(lambda: view.over)
        await s.close()
        return view.text(), view.events()[-1]
    assert on_loop(scene) == (whole(), "message_stop")


def test_a_continuation_costs_no_second_effect_and_once_only_none_at_all():
    async def scene():
        s = await streams("reader", "writer", "writer").up()
        view = await ask(s, model="post")
        await some(view, 2)
        running(s).kill()
        await until(lambda: view.over)
        effects, last = s.effects(), view.events()[-1]
        await s.close()
        return effects, last
    assert on_loop(scene) == (["a1"], "error")


def test_a_client_returns_where_it_left():
    async def scene():
        s = await streams("reader", "writer").up()
        first = await ask(s, MINE, ("x-return-within-ms", "2000"))
        await some(first, 3)
        first.connection.drop()
        await sleep(0.1)
        kept = len(s.node.router.flights)
        again = await ask(s, MINE, ("last-event-id", first.ids()[-1]), method="GET", path="/v1/messages/seq-b-1")
        await until(lambda: again.over)
        last = await ask(s, MINE, ("last-event-id", again.ids()[-2]), method="GET", path="/v1/messages/seq-b-1")
        await until(lambda: last.over)
        await s.close()
        return first, again, kept, last
    first, again, kept, last = on_loop(scene)
    assert kept == 1 and first.text() + again.text() == whole() and again.events()[-1] == "message_stop"
    assert first.ids() + again.ids() == [f"seq-b-1.{n}" for n in range(1, len(first.ids() + again.ids()) + 1)]
    assert last.events() == ["message_stop"]  # also once all is over, for as long as it is kept


def test_a_client_that_returns_before_the_node_saw_it_go_takes_the_stream_over():
    async def scene():
        s = await streams("reader", "writer").up()
        first = await ask(s, MINE, ("x-return-within-ms", "2000"))
        await some(first, 3)
        again = await ask(s, MINE, method="GET", path="/v1/messages/seq-b-1")
        await until(lambda: again.over and first.over)
        finals = [v.events()[-1] for v in (first, again)]
        await s.close()
        return again.text(), finals
    text, finals = on_loop(scene)
    assert text == whole() and finals == ["content_block_delta", "message_stop"]


def test_a_client_that_does_not_return_in_time_has_left():
    async def scene():
        s = await streams("reader", "writer", step=60).up()
        first = await ask(s, MINE, ("x-return-within-ms", "200"))
        await some(first, 2)
        first.connection.drop()
        await until(lambda: not s.node.router.flights, 1.5)
        await until(lambda: not s.engines[1].running)
        late = await ask(s, MINE, method="GET", path="/v1/messages/seq-b-1")
        await until(lambda: late.over)
        left = s.node.router.counts.left
        await s.close()
        return left, late.events()[-1]
    assert on_loop(scene) == (1, "error")


@pytest.mark.parametrize("headers, path, status", [
    ([THEIRS], "seq-b-1", 404), ([], "seq-b-1", 404), ([("x-api-key", "nobodys-key")], "seq-b-1", 401),
    ([MINE, ("last-event-id", "seq-b-1.9999")], "seq-b-1", 400), ([MINE, ("last-event-id", "seq-b-2.1")], "seq-b-1", 400),
    ([MINE, ("last-event-id", "garbage")], "seq-b-1", 400), ([MINE], "seq-other-1", 421), ([MINE], "seq-b-77", 404),
    ([MINE], "..%2f..", 400)])
def test_who_may_not_return(headers, path, status):
    async def scene():
        s = await streams("reader", "writer").up()
        first = await ask(s, MINE, ("x-return-within-ms", "2000"))
        await some(first, 2)
        wrong = await ask(s, *headers, method="GET", path=f"/v1/messages/{path}")
        await until(lambda: wrong.over and first.over)
        await s.close()
        return wrong.status, first.text()
    assert on_loop(scene) == (status, whole())


def test_the_client_comes_again_to_a_broken_stream_where_settings_leave_it_to_it():
    async def scene():
        s = await streams("reader", "writer", "writer", "writer", more="streams: {resume: client}").up()
        first = await ask(s, MINE)
        await some(first, 3)
        running(s).kill()
        await until(lambda: first.over)
        again = await ask(s, MINE, ("last-event-id", first.ids()[-1]), method="GET", path="/v1/messages/seq-b-1")
        await some(again, 2)
        running(s).kill()
        await until(lambda: again.over)
        third = await ask(s, MINE, ("last-event-id", again.ids()[-1]), method="GET", path="/v1/messages/seq-b-1")
        await until(lambda: third.over)
        attempts = [x["node"] for e in s.engines for x in e.witness.lines if x["what"] == "attempt"]
        await s.close()
        return first, again, third, len(attempts)
    first, again, third, attempts = on_loop(scene)
    assert [v.events()[-1] for v in (first, again, third)] == ["error", "error", "message_stop"]
    assert first.text() + again.text() + third.text() == whole() and attempts >= 3


def test_off_is_off():
    async def scene():
        s = await streams("reader", "writer", "writer", more="streams: {resume: 'off'}").up()
        view = await ask(s, MINE)
        await some(view, 3)
        running(s).kill()
        await until(lambda: view.over)
        await s.close()
        return view.events()[-1], view.text()
    last, text = on_loop(scene)
    assert last == "error" and whole().startswith(text)


def test_a_node_without_room_for_journals_still_streams_to_clients_that_read():
    async def scene():
        s = await streams("reader", "writer", "writer", step=5, more="streams: {journal_bytes: 65536}").up()
        s.node.messages.shelf.most = 1500
        views = [await ask(s, MINE, ref=f"v{n}", max_tokens=60) for n in range(6)]
        await until(lambda: all(v.over for v in views))
        given_up = s.node.messages.shelf.given_up
        broken = await ask(s, MINE, ref="b", max_tokens=2000)
        await until(lambda: len(broken.text().split()) > 120 or broken.over)
        running(s).kill()
        await until(lambda: broken.over)
        await s.close()
        return [v.text() for v in views], given_up, broken.events()[-1], broken.text()
    texts, given_up, last, text = on_loop(scene)
    assert texts == [whole(f"v{n}", 60) for n in range(6)] and given_up >= 3
    assert last == "error" and whole("b", 2000).startswith(text)


class Deaf(Protocol):
    """A client that takes one byte at a time, or nothing."""

    def __init__(self, request):
        self.request, self.got = request, b""

    def connectionMade(self):
        self.transport.pauseProducing()
        self.transport.write(self.request)

    def dataReceived(self, data):
        self.got += data

    def sip(self):
        try:
            self.got += self.transport.getHandle().recv(1)
        except BlockingIOError:
            pass


async def deaf(s, max_tokens):
    body = msgspec.json.encode({"model": "note", "max_tokens": max_tokens, "stream": True,
                                "messages": [{"role": "user", "content": "hello [ref deaf]"}]})
    request = (b"POST /v1/messages HTTP/1.1\r\nhost: x\r\nx-api-key: members-key-1\r\ncontent-length: %d\r\n\r\n" % len(body)) + body
    host, port = s.node.address
    import socket
    endpoint = TCP4ClientEndpoint(reactor, host, port)
    client = await endpoint.connect(Factory.forProtocol(lambda: Deaf(request)))
    client.transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    return client


@pytest.mark.parametrize("sips", [False, True], ids=["reads nothing", "reads a byte at a time"])
def test_a_client_that_hardly_reads_is_ended_its_writer_held_and_others_go_on(sips):
    more = "streams: {slow_ms: 1200, hold_bytes: 2000, send_buffer_bytes: 4096}"

    async def scene():
        s = await streams("reader", "writer", more=more, step=1, max_attempts=5).up()
        s.engines[1].spec.step_ms = 1
        client = await deaf(s, 4000)
        sip = task.LoopingCall(lambda: client.transport.connected and client.sip())
        if sips:
            sip.start(0.25)
        held = []
        inner = s.node.pool.hold
        s.node.pool.hold = lambda attempt, on: (held.append(on), inner(attempt, on))
        await until(lambda: held == [True], 10)
        other = await ask(s, max_tokens=300)
        began = reactor.seconds()
        await until(lambda: other.over)
        took = reactor.seconds() - began
        await until(lambda: s.node.messages.slow == 1, 10)
        await until(lambda: not s.node.router.flights)
        sip.running and sip.stop()
        client.transport.resumeProducing()
        await until(lambda: b"event: error" in client.got or not client.transport.connected, 8)
        got = client.got
        await s.close()
        return other.text(), took, got, s.logged
    text, took, got, logged = on_loop(scene, 40)
    assert text == whole(max_tokens=300) and took < 6
    assert got.count(b"event: error") == 1 and b"took nothing" in got and b"message_stop" not in got
    assert "client too slow" in [event for event, _ in logged]


def test_a_writer_that_trickles_one_token_in_two_seconds_loses_its_stream():
    async def scene():
        s = await streams("reader", "writer", "writer", "writer", max_attempts=9).up()
        peers = [await ask(s, ref=f"p{n}", max_tokens=400) for n in range(8)]
        await until(lambda: all(p.text() for p in peers))
        view = await ask(s, ref="slow", max_tokens=60)
        await some(view, 3)
        slow = next(e for e in s.engines if any(w.ref == "slow" for w in e.running))
        slow.faults.trickle = 2.0
        await until(lambda: view.over, 12)
        moved = s.node.router.counts.moved
        for p in peers:
            p.connection.drop()
        await s.close()
        return view.text(), view.events()[-1], moved
    text, last, moved = on_loop(scene, 40)
    assert text == whole("slow", 60) and last == "message_stop" and moved >= 1


EVENTS = b"".join([
    b'data: {"choices":[],"continues":{"at":4,"digest":"00ff"}}\n\n',
    'data: {"choices":[{"index":0,"delta":{"content":"湖 né 🛶"}}]}\n\n'.encode(),
    b'data: {"choices":[{"index":0,"delta":{"content":" \\u6e56"}}]}\n\n',
    b'data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":3,"completion_tokens":2}}\n\n',
    b"data: [DONE]\n\n"])


def test_a_stream_cut_at_every_byte_gives_whole_pieces_or_none():
    """Whatever came before the cut is a prefix of the pieces, and only the whole stream is an answer."""
    whole_pieces = ["湖 né 🛶", " 湖"]
    for at in range(len(EVENTS) + 1):
        stream = codec.Stream(10_000)
        pieces = stream.feed(EVENTS[:at])
        ended = stream.close()
        assert pieces == whole_pieces[:len(pieces)]
        done = at >= len(EVENTS) - 1
        assert (ended.outcome is Outcome.GENERATED) is done, at
        assert ended.outcome in (Outcome.GENERATED, Outcome.CUT)


@examples(deadline=None, max_examples=150)
@given(st.lists(st.integers(1, len(EVENTS) - 1), max_size=12))
def test_a_stream_in_any_segments_is_the_same(cuts):
    stream, pieces = codec.Stream(10_000), []
    marks = [0, *sorted(set(cuts)), len(EVENTS)]
    for a, b in zip(marks, marks[1:]):
        pieces += stream.feed(EVENTS[a:b])
    assert pieces == ["湖 né 🛶", " 湖"] and stream.continues.at == 4
    assert stream.close() == codec.Ended(Outcome.GENERATED, Usage(3, 0, 2), reason="stop")
