"""Clients that send many requests at once on a connection: what is behind the fourth closes it over those before."""
import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
import stand

CLIENTS = 6          # of them the odd ones wait until their first request is answered in part
AT_ONCE = 8          # requests on a connection; STANDING: "many commands at once"
LONG_EVENTS = 100    # of a stream of 5 s
TIME_S = 6.0        # that each request's client waits
SLACK_S = 0.5 + 0.05  # STANDING: "Up to half a second after its time it only earns nothing"


async def client(node: stand.Node, number: int) -> list[str]:
    """Returns the requests of one client that were lost: on its connection, which the node closed, came no answer, or a stream broke off that
    its engine was still writing."""
    reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
    streams = number % 2 == 1
    ids = [f"c{number}q{n}" for n in range(AT_ONCE)]
    if streams:
        ids[0] += "-long"
    requests = [stand.request_bytes(id, kind="send", timeout=TIME_S) for id in ids]
    lost = []
    try:
        if stand.TROUBLE:
            writer.write(requests[0] if streams else b"")
            await asyncio.sleep(0.5 if streams else 0)
            writer.write(b"".join(requests[1 if streams else 0:]))
            node.record.note("sent at once", client=number, requests=len(ids) - streams)
        for id, request in zip(ids, requests):
            if not stand.TROUBLE:
                writer.write(request)
            answer = await stand.read_answer(reader, TIME_S + SLACK_S)
            node.record.note("answer", client=number, request=id, answer=answer, text=answer.body[:110] if answer.status != 200 else "")
            if answer.why in ("the connection ended", "ConnectionResetError"):
                lost.append(id)
    finally:
        writer.close()
    return lost


async def longer(engine: stand.Engine, id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
    """Some answers are long."""
    if engine.role == "read" or not id.endswith("-long"):
        return False
    await engine.writes(id, writer, LONG_EVENTS)
    return True


async def case(record: stand.Record) -> str:
    site, agent, node = await stand.deployment(record, events=3, plan=longer)
    node.start()
    try:
        await node.ready()
        await stand.ask(node, "first")
        lost = [id for ids in await asyncio.gather(*(client(node, n) for n in range(CLIENTS))) for id in ids]
        forwarded = {id for _, id, _ in site.arrived}
        cut = sorted(forwarded & set(lost))
        record.note("requests", sent=CLIENTS * AT_ONCE, lost=len(lost), forwarded_and_cut_off=",".join(cut))
        if node.process.poll() is not None:
            return f"the node ended with {node.process.returncode}"
        return f"the node closed connections over {len(lost)} of {CLIENTS * AT_ONCE} requests, {len(cut)} of them streams under way" if lost else ""
    finally:
        node.end()
        await site.close()


stand.play(str(HERE), case)
