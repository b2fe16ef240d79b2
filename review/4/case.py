"""Streams spoilt by a chunk whose size cannot be read and that keeps coming: their clients are kept waiting for as long as it comes."""
import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
import stand

REQUESTS = 60
SPOILT = {"q20", "q21", "q22", "q23"}
MOST = 3_000_000_000  # bytes of a spoilt chunk; DAYS: "one declared as 3 GB that keeps coming"
BOUND_S = 5.0         # DAYS: "provided the client's connection ends within 5 s"
SLACK_S = 1.0         # for this machine; the page has none
LAST_EVENT: dict[str, float] = {}


async def spoil(engine: stand.Engine, id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
    """Two good events, and then a chunk's size of zeros without an end."""
    if not stand.TROUBLE or id not in SPOILT or engine.role == "read":
        return False
    writer.write(stand.STREAM_HEAD + stand.chunk(stand.EVENT % b"one") + stand.chunk(stand.EVENT % b"two"))
    LAST_EVENT[id] = engine.site.record.note("last event written", engine=engine.name, request=id)
    await asyncio.sleep(0.05)
    zeros, sent = b"0" * 65_536, 0
    try:
        while sent < MOST:
            writer.write(zeros)
            sent += len(zeros)
            await writer.drain()
            await asyncio.sleep(0)
    finally:
        engine.site.record.note("spoilt chunk ended", engine=engine.name, request=id, bytes=sent)
    return True


async def case(record: stand.Record) -> str:
    site, agent, node = await stand.deployment(record, plan=spoil)
    node.start()
    try:
        await node.ready()
        ended: dict[str, float] = {}

        async def ask(id: str, kind: str) -> stand.Answer:
            answer = await stand.ask(node, id, kind=kind, within=BOUND_S + SLACK_S + 3.0)
            ended[id] = record.now()
            return answer

        asks = {}
        for number in range(REQUESTS):  # 20 a second
            asks[f"q{number}"] = asyncio.ensure_future(ask(f"q{number}", ("draft", "send")[number % 2]))
            await asyncio.sleep(0.05)
        answers = dict(zip(asks, await asyncio.gather(*asks.values())))
        if node.process.poll() is not None:
            return f"the node ended with {node.process.returncode}"
        late = []
        for id in sorted(LAST_EVENT):
            answer = answers[id]
            took = ended[id] - LAST_EVENT[id]
            still = answer.why == "nothing more came"
            record.note("spoilt stream", request=id, answer=answer, after_last_event=f"{took:.2f}", still_open=still)
            if answer.whole or took > BOUND_S + SLACK_S:
                late.append(f"{id} {'still open' if still else 'ended'} {took:.1f} s after its last event{', as a whole answer' * answer.whole}")
        usual = [id for id in answers if id not in LAST_EVENT and not answers[id].whole]
        record.note("usual requests", asked=len(answers) - len(LAST_EVENT), without_a_whole_answer=len(usual))
        if stand.TROUBLE and len(LAST_EVENT) < len(SPOILT):
            raise stand.CannotRun("a request that was to be spoilt reached no writer")
        if not stand.TROUBLE and usual:
            raise stand.CannotRun(f"{len(usual)} requests without an answer, without any trouble")
        return "; ".join(late)
    finally:
        node.end()
        await site.close()


stand.play(str(HERE), case)
