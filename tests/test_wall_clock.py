"""The wall clock of a running node is stepped; the monotonic clock runs on. Spans stay spans of real time."""
import time
from itertools import product

import pytest

from aniserudder.soak.control import Slot
from node_process import NodeProcess
from platform_stand import EVENT, HEAD, LAST, WHOLE, Site, chunked
from stand import on_loop, sleep, until

HOUR_S = 3600.0


def slow_stream(connection, request):
    """Five events 0.3 s apart: the stream outlasts any step of the clock that falls into it."""
    from aniserudder.eventloop import reactor
    connection.say(HEAD)
    for number in range(5):
        reactor.callLater(0.3 * number, connection.say, chunked(EVENT % b"%d" % number))
    reactor.callLater(1.5, connection.say, chunked(LAST) + b"0\r\n\r\n")


def whole(connection, request):
    connection.say(WHOLE)


def silent(connection, request):
    pass


def test_streams_under_way_are_not_cut_by_steps_of_the_wall_clock(tmp_path):
    async def scene():
        node = await NodeProcess(Site({"m1": slow_stream}), tmp_path).up()
        ends, offset = [], 0.0
        for number, step in enumerate((5.0, HOUR_S, -HOUR_S, -5.0)):
            client = await node.ask(f"a{number}")
            await until(lambda: b'"content":"0"' in client.data)
            await sleep(0.4)
            offset += step
            node.page.set(Slot.WALL_OFFSET_S, offset)
            await until(lambda: client.data.endswith(b"0\r\n\r\n") or client.over, 4)
            ends.append(b"[DONE]" in client.data)
        await node.close()
        return ends, len(node.site.engines["m1"].requests)
    assert on_loop(scene, 40) == ([True] * 4, 4)


def test_requests_beside_a_step_are_answered_within_their_real_deadlines(tmp_path):
    """Their engine never says a word, so the final answer is the node's own and hangs on its timers."""
    async def scene(folder, step, asked_first):
        node = await NodeProcess(Site({"m1": silent}), folder).up()
        began = time.monotonic()
        client = await node.ask("a1", kind="send", left="1.5") if asked_first else None
        await until(lambda: not asked_first or node.site.engines["m1"].requests)
        node.page.set(Slot.WALL_OFFSET_S, step)
        client = client or await node.ask("a1", kind="send", left="1.5")
        await until(lambda: client.data or client.over or time.monotonic() - began > 3)
        took = time.monotonic() - began
        await node.close()
        return client.data[:10], 1.2 < took < 2.0
    for number, (step, asked_first) in enumerate(product((HOUR_S, -HOUR_S, -5.0), (True, False))):
        folder = tmp_path / str(number)
        folder.mkdir()
        assert on_loop(lambda: scene(folder, step, asked_first)) == (b"HTTP/1.1 5", True), (step, asked_first)


@pytest.mark.parametrize("step", [HOUR_S, -HOUR_S])
def test_a_node_ends_in_time_after_a_step(tmp_path, step):
    async def scene():
        node = await NodeProcess(Site({"m1": whole}), tmp_path).up()
        node.page.set(Slot.WALL_OFFSET_S, step)
        code = await node.ends(3.7)
        await node.close()
        return code
    assert on_loop(scene) == 0


def test_a_drain_told_after_a_step_back_is_heeded(tmp_path):
    """The watch that is out falls silent as the clock steps back: it has to be opened anew in real seconds."""
    async def scene():
        node = await NodeProcess(Site({"m1": whole, "m2": whole}), tmp_path).up()
        site = node.site
        site.tell(site.listed(site.member("m2", "DELETED"), complete=False))
        await until(lambda: site.watches)
        node.page.set(Slot.WALL_OFFSET_S, -HOUR_S)
        site.watches.pop()  # it is never answered
        news = site.listed(site.member("m1", "DRAINING"), site.member("m2"))
        site.listed = lambda *members, **more: news
        await sleep(6.0)
        for number in range(8):
            client = await node.ask(f"b{number}")
            await until(lambda: client.data or client.over)
        await node.close()
        return len(site.engines["m1"].requests), len(site.engines["m2"].requests)
    assert on_loop(scene, 40) == (0, 8)
