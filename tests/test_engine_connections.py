"""A node whose connections to engines are all in use."""

from __future__ import annotations

from dataclasses import replace

from platform_stand import FULL, WHOLE, Site, ask
from stand import on_loop, until

MOST = 4  # connections to engines


def test_a_request_that_no_connection_is_left_for_is_refused_before_it_costs_decisions():
    """Found by the soak, seed 92012: behind engines that hung each request was decided four times, 1.7 ms each, and ended with no descriptor;
    a node at the limit of its processor released states up to 1.8 s late."""

    async def scene():
        waiting = []
        site = await Site({"m1": lambda connection, request: waiting.append(connection)}).up()
        site.node.engines.keeping = replace(site.node.engines.keeping, most=MOST, urgent=0)
        clients = [await site.client(ask(f"q{number}", left="3.0")) for number in range(MOST)]
        await until(lambda: len(waiting) == MOST)
        refused = await site.client(ask("late", left="3.0"))
        await until(lambda: refused.data)
        taken = site.node.router.counts.taken
        waiting[0].say(WHOLE)
        await until(lambda: any(client.data.endswith(b"0\r\n\r\n") for client in clients))
        served = await site.client(ask("next", left="3.0"))
        await until(lambda: len(waiting) > MOST)
        waiting[-1].say(WHOLE)
        await until(lambda: served.data.endswith(b"0\r\n\r\n"))
        await site.close()
        return refused.data, taken

    answer, taken = on_loop(scene)
    assert answer.startswith(b"HTTP/1.1 503 ") and b"no descriptor is left" in answer
    assert taken == MOST


def test_a_request_that_finds_no_connection_on_its_way_is_not_decided_again():
    async def scene():
        waiting = []

        def turns_away(connection, request):
            if b"request-id: q" in request.lower():
                return waiting.append(connection)
            site.node.engines.keeping = replace(site.node.engines.keeping, most=len(waiting), urgent=0)
            connection.say(FULL.replace(b"content-length: 0", b"connection: close\r\ncontent-length: 0"))
            connection.transport.loseConnection()

        site = Site(dict.fromkeys(("m1", "m2", "m3"), turns_away))
        await site.up()
        await site.client(ask("q1", left="3.0"))
        await until(lambda: waiting)
        client = await site.client(ask("a1", left="3.0"))
        await until(lambda: client.data)
        await site.close()
        return client.data, [line for line in site.lines if line.startswith("attempt ended") and "no descriptor" in line]

    answer, exhausted = on_loop(scene)
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert len(exhausted) == 1
