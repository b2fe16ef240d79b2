"""Bad clients whose heads never end, in the trailer section of a request: the node keeps all of it in memory."""
import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
import stand

REQUESTS = 40
BAD_CLIENTS = 8
EACH = 60_000_000  # bytes; DAYS: "bodies of 60 MB"


async def bad(node: stand.Node, number: int) -> None:
    """A request whose body is whole, and whose trailer section does not end; 60 MB at full speed."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
    except OSError:
        return
    answer = asyncio.ensure_future(stand.read_answer(reader, 10))
    head = stand.request_bytes(f"bad{number}", body=b"{}").replace(b"Content-Length: 2\r\n", b"Transfer-Encoding: chunked\r\n")[:-2]
    sent, line = 0, 0
    try:
        writer.write(head + b"2\r\n{}\r\n0\r\n")
        while sent < EACH and not answer.done():
            lines = b"".join(b"x-%d: %b\r\n" % (n, b"a" * 4000) for n in range(line, line + 16))
            writer.write(lines)
            line, sent = line + 16, sent + len(lines)
            await writer.drain()
            await asyncio.sleep(0)
    except ConnectionError:
        pass
    node.record.note("bad client sent", client=number, bytes=sent)
    node.record.note("bad client got", client=number, answer=await answer)
    writer.close()


async def case(record: stand.Record) -> str:
    site, agent, node = await stand.deployment(record)
    node.start()
    memory = None
    try:
        await node.ready()
        memory = asyncio.ensure_future(node.watch_memory())
        asks, bads = [], []
        for number in range(REQUESTS):  # 20 a second
            asks.append(asyncio.ensure_future(stand.ask(node, f"q{number}", kind=("draft", "send")[number % 2], within=10)))
            if stand.TROUBLE and number == 20:
                bads = [asyncio.ensure_future(bad(node, n)) for n in range(BAD_CLIENTS)]
            await asyncio.wait({memory}, timeout=0.05)
            if memory.done():
                break
        await asyncio.wait({memory}, timeout=5.0 if stand.TROUBLE else 3.0)
        answers = await asyncio.gather(*asks, return_exceptions=True)
        await asyncio.gather(*bads, return_exceptions=True)
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
