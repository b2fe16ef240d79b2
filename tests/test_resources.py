"""What bounds the sum: memory by account, turns by what they cost, names over all engines; and chunks by the byte that shows them bad."""
import pytest
from twisted.internet.task import Clock

from aniserudder.admission.memory import MEGABYTE, MemoryBudget, Purpose
from aniserudder.admission.turns import SLICE_S, WAITS_TOO_LONG_S, RefusalPace, Spender, TurnQueue
from aniserudder.decisions.remembered import Remembered
from aniserudder.decisions.state import Engine
from aniserudder.wire.chunked import BadChunk, ChunkedBody
from platform_stand import EVENT, HEAD, LAST, WHOLE, Site, ask, chunked
from stand import on_loop, sleep, until


def test_the_largest_part_of_a_request_gives_way_before_an_unread_answer_and_whole_requests_never_do():
    budget, gone = MemoryBudget(limit=34 * MEGABYTE, own=24 * MEGABYTE), []
    accounts = {name: budget.account(purpose, lambda name=name: gone.append(name)) for name, purpose in (
        ("answer", Purpose.UNREAD_ANSWERS), ("small", Purpose.REQUEST_PARTS), ("large", Purpose.REQUEST_PARTS))}
    whole = budget.account(Purpose.REQUESTS)
    for account, size in ((whole, 2), (accounts["answer"], 1), (accounts["small"], 0.5), (accounts["large"], 1)):
        assert account.hold(int(size * MEGABYTE))
    assert whole.hold(3 * MEGABYTE) and gone == ["large"]
    assert whole.hold(4 * MEGABYTE) and gone == ["large", "small"]
    assert whole.hold(5 * MEGABYTE) and gone == ["large", "small", "answer"]
    assert not whole.hold(6 * MEGABYTE) and budget.held[Purpose.REQUESTS] == budget.total == 6 * MEGABYTE


def test_a_connection_that_never_asked_goes_before_those_that_ask_at_full_speed():
    clock, spent, taken = Clock(), [0.0], []
    queue = TurnQueue(clock, lambda: spent[0])

    def work(name, examined):
        taken.append((name, examined))
        spent[0] += 2 * SLICE_S if examined else SLICE_S / 10
        clock.rightNow += WAITS_TOO_LONG_S / 5 if examined else 0.001
    greedy, fresh = Spender(), Spender()
    for number in range(20):
        queue.submit(greedy, lambda examined, number=number: work(number, examined), 4.0)
    queue.submit(fresh, lambda examined: work("fresh", examined), 4.0)
    for _ in range(200):
        clock.advance(0.05)
    assert ("fresh", True) in taken[:3]
    assert len(taken) == 21 and sum(not examined for _, examined in taken) > 5


def test_answers_to_unsound_requests_wait_beyond_a_rate_and_never_longer_than_they_may():
    pace = RefusalPace(Clock(), rate=100, burst=20)
    delays = [pace.delay(2.0) for _ in range(400)]
    assert max(delays[:20]) < 0.001 and 0.9 < delays[120] < 1.1 and max(delays) <= 2.0


def test_beginnings_are_bounded_over_all_engines_and_the_oldest_are_forgotten():
    remembered = Remembered(32 * MEGABYTE)
    engines = [Engine(f"e{n}", None, None) for n in range(40)]
    for number in range(3 * remembered.most):
        engines[number % 40].kept[f"name{number}"] = (1, number)
        remembered.added(engines)
    kept = [at for engine in engines for _, at in engine.kept.values()]
    assert len(kept) <= remembered.most and min(kept) >= 3 * remembered.most - remembered.most


@pytest.mark.parametrize("size", [1, 2, 3, 7, 1000])
def test_a_chunked_body_is_read_alike_in_pieces_of_any_size(size):
    wire, read, body = chunked(b"abc", b"d" * 40) + b"0;x=y\r\nt: 1\r\n\r\nbehind", b"", ChunkedBody(100)
    data = [wire[at:at + size] for at in range(0, len(wire), size)]
    rest = b""
    while data and not body.complete:
        rest = data.pop(0)
        while rest and not body.complete:
            piece, rest = body.feed(rest)
            read += piece
    assert body.complete and read == b"abc" + b"d" * 40 and rest + b"".join(data) == b"behind"


@pytest.mark.parametrize("wire", [b"g", b"\r\n", b"65", b"0" * 17, b"5;" + b"x" * 300, b"1\r\nab", b"1\r\na\rb", b"1\n", b"0\r\n" + b"t: " + b"x" * 9000])
def test_what_can_be_no_chunk_is_found_out_before_its_line_ends(wire):
    body = ChunkedBody(100)
    with pytest.raises(BadChunk):
        while wire:
            _, wire = body.feed(wire)


def test_many_requests_in_one_write_are_each_answered():
    async def scene(count, after):
        site = await Site({"m1": lambda connection, request: connection.say(WHOLE)}).up()
        client = await site.client(b"".join(ask(f"a{n}") for n in range(count)))
        await until(lambda: client.data.count(b"HTTP/1.1 ") == count)
        await sleep(after)
        await site.close()
        return client.data
    for count in (5, 30):
        assert on_loop(lambda: scene(count, 0.1)).count(b"HTTP/1.1 429") == count


def test_a_burst_behind_an_answer_that_is_owed_does_not_cut_it_off():
    async def scene():
        site = await Site({"m1": lambda connection, request: connection.say(HEAD + chunked(EVENT % b"one"))}).up()
        client = await site.client(ask("a1", "send"))
        await until(lambda: b"one" in client.data)
        client.say(b"".join(ask(f"b{n}") for n in range(9)))
        await sleep(3.0)
        site.engines["m1"].connections[-1].say(chunked(LAST) + b"0\r\n\r\n")
        await until(lambda: client.over)
        await site.close()
        return client.data
    data = on_loop(scene)
    assert LAST in data and data.count(b"HTTP/1.1 ") >= 6


def test_a_request_that_cannot_be_handled_is_answered_and_others_go_on():
    async def scene():
        site = await Site({"m1": lambda connection, request: connection.say(WHOLE)}).up()
        take = site.node.router.take
        site.node.router.take = lambda id, *more: 1 / 0 if id == "bad" else take(id, *more)
        client = await site.client(ask("a1") + ask("bad"))
        await until(lambda: client.over)
        other = await site.client(ask("a2"))
        await until(lambda: b"[DONE]" in other.data)
        await site.close()
        return client.data
    data = on_loop(scene)
    assert b"[DONE]" in data and b"HTTP/1.1 500" in data


def test_what_gives_way_in_the_midst_of_its_own_read_holds_nothing_afterwards():
    async def scene():
        site = Site({"m1": lambda connection, request: connection.say(WHOLE)})
        await site.up()
        budget = site.node.budget
        budget.limit = 300_000  # for one that comes in part, and not for as much again
        body = b'{"x":"%b"}' % (b"y" * 200_000)
        client = await site.client(ask("a1", body=body))
        await until(lambda: b"HTTP/1.1 503" in client.data)
        client.transport.abortConnection()
        await until(lambda: not site.node.clients.factory.connections, 6)
        held = budget.total - budget.held[Purpose.TABLES]
        await site.close()
        return held
    assert on_loop(scene) == 0
