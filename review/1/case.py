"""One spoilt answer that never ends: the trailer section behind its last chunk goes on and on. The node keeps all of it in memory."""
import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
import stand

REQUESTS = 40
SPOILT = "q20"
LONGEST_S = 12.0
MOST = 3_000_000_000  # DAYS: "one declared as 3 GB that keeps coming"


async def spoil(engine: stand.Engine, id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
    """The answer of one request: an event, the last chunk, and trailer fields without an end."""
    if not stand.TROUBLE or id != SPOILT or engine.role == "read":
        return False
    engine.site.record.note("spoilt answer", engine=engine.name, request=id)
    writer.write(stand.STREAM_HEAD + stand.chunk(stand.EVENT % b"word") + b"0\r\n")
    sent, number = 0, 0
    try:
        while sent < MOST:
            lines = b"".join(b"x-%d: %b\r\n" % (n, b"a" * 4000) for n in range(number, number + 16))
            writer.write(lines)
            number, sent = number + 16, sent + len(lines)
            await writer.drain()
            await asyncio.sleep(0)
    finally:
        engine.site.record.note("spoilt answer ended", engine=engine.name, request=id, bytes=sent)
    return True


async def case(record: stand.Record) -> str:
    site, agent, node = await stand.deployment(record, plan=spoil)
    node.start()
    memory = None
    try:
        await node.ready()
        memory = asyncio.ensure_future(node.watch_memory())
        asks = []
        for number in range(REQUESTS):  # 20 a second
            asks.append(asyncio.ensure_future(stand.ask(node, f"q{number}", kind=("draft", "send")[number % 2], within=10)))
            await asyncio.wait({memory}, timeout=0.05)
            if memory.done():
                break
        await asyncio.wait({memory}, timeout=LONGEST_S if stand.TROUBLE else 3.0)
        answers = await asyncio.gather(*asks, return_exceptions=True)
        unanswered = sum(isinstance(a, Exception) or not a.whole for a in answers)
        record.note("usual requests", asked=len(answers), without_a_whole_answer=unanswered)
        if memory.done():
            at, held = memory.result()
            return f"the node held {held:.0f} MB at {at:.2f} s, over its limit of {node.data['limits']['memory_mb']} MB, and was killed for it"
        if node.process.poll() is not None:
            return f"the node ended with {node.process.returncode}"
        if not stand.TROUBLE and unanswered:
            raise stand.CannotRun(f"{unanswered} requests without an answer, without any trouble")
        return ""
    finally:
        if memory:
            memory.cancel()
        node.end()
        await site.close()


stand.play(str(HERE), case)
