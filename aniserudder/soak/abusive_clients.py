"""Clients that fill a node or keep it busy: what each sends, byte by byte, and a process that plays many of them.

``python -m aniserudder.soak.abusive_clients`` reads one ``ClientLoad`` as JSON from its first argument and plays it until its time is over.
"""
from __future__ import annotations

import asyncio
import json
import socket
import sys
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass
from enum import Enum
from random import Random

PATH = "/v1/chat/completions"
SHORT_FIELDS = 2_600
BODY_STATED, BODY_SENT = 260_000, 258_000
TRAILER_SENT = 2_000_000
LONG_ANSWER_EVENTS = 3_500  # that an engine writes for it, some 350 KB
SMALL_RECEIVE_BUFFER = 2_048
SLOW_BYTE_S = 0.02
LARGE_BODY = 250_000
LARGE_TIMEOUT_S = 2.0
HOPELESS_TOKENS = 60_000
HOPELESS_TIMEOUT_S = 6.0
LONG_NAME = 220
COMES_AGAIN_S = 0.001
PIPELINED = 200             # requests in one write
STAYS_S = 20.0              # without an end from the node


class Form(Enum):
    """Kinds of clients."""

    SILENT = "silent"                # connects and says nothing
    SHORT_FIELDS = "short fields"    # a head of many short fields that never ends
    HALF_BODY = "half body"          # most of a large request, then nothing
    SLOW_HEAD = "slow head"          # a head byte by byte
    TRAILERS = "trailers"            # a body whose trailer section never ends
    NEVER_READS = "never reads"      # asks for a long answer and reads none of it
    LARGE = "large"                  # sound large requests, one after the other
    NEW_NAMES = "new names"          # sound small requests under ever new long names, one after the other
    HOPELESS = "hopeless"            # well-formed requests that no engine can serve in time, three at once, again and again
    UNKNOWN_PATHS = "unknown paths"  # hundreds of small requests in one write, again and again
    UNSOUND = "unsound"              # requests that cannot be meant, under ever new names, again and again
    MIXED = "mixed"                  # any of those that send part of a request


PARTS = (Form.SHORT_FIELDS, Form.HALF_BODY, Form.SLOW_HEAD, Form.TRAILERS)


@dataclass(slots=True, frozen=True)
class ClientLoad:
    """So many clients of one form, for so many seconds; each comes again when its connection has ended."""

    form: str
    host: str
    port: int
    count: int
    seconds: float
    seed: int = 1


def request(id: str, body: bytes = b"{}", timeout: float = 4.0, tokens: int = 400, key: str = "", path: str = PATH, extra: str = "",
            kind: str = "draft") -> bytes:
    """A well-formed request."""
    return (f"POST {path} HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {id}\r\nRequest-Class: {kind}\r\n"
            f"Affinity-Key: {key or id}\r\nRequest-Timeout: {timeout:.3f}\r\nRequest-Info: prompt_len={tokens},max_out=80\r\n{extra}"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body


def json_body(size: int) -> bytes:
    """A JSON object of so many bytes."""
    frame = b'{"messages":"%b"}'
    return frame % (b"x" * (size - len(frame) + 2))


def part_of(form: Form, id: str) -> Iterator[bytes]:
    """What a client that never ends its request sends, piece by piece."""
    if form is Form.SHORT_FIELDS:
        yield f"POST {PATH} HTTP/1.1\r\nHost: a\r\n".encode() + b"".join(b"%x:1\r\n" % n for n in range(SHORT_FIELDS))
    elif form is Form.HALF_BODY:
        yield request(id, json_body(BODY_STATED))[:BODY_SENT]
    elif form is Form.SLOW_HEAD:
        for byte in request(id, extra="X: y\r\n" * 100):
            yield bytes([byte])
    elif form is Form.TRAILERS:
        head = request(id).replace(b"Content-Length: 2\r\n", b"Transfer-Encoding: chunked\r\n")[:-2]
        yield head + b"2\r\n{}\r\n0\r\n"
        for n in range(TRAILER_SENT // 4_000):
            yield b"x-%d: %b\r\n" % (n, b"a" * 4_000)


class Client:
    """One client, which comes again whenever its connection has ended."""

    def __init__(self, load: ClientLoad, number: int) -> None:
        self.load, self.number, self.asked = load, number, 0
        self.form = Form(load.form)
        self.chance = Random(f"abusive {load.seed} {number}")
        self.answers: dict[str, int] = {}

    async def run(self) -> None:
        """Comes again and again."""
        while True:
            try:
                await self._once()
            except (OSError, EOFError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(COMES_AGAIN_S)

    def _id(self) -> str:
        self.asked += 1
        return f"x{self.load.seed}-{self.number}-{self.asked}"

    async def _once(self) -> None:
        connection = socket.socket()
        connection.setblocking(False)
        if self.form is Form.NEVER_READS:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)
        await asyncio.get_running_loop().sock_connect(connection, (self.load.host, self.load.port))
        reader, writer = await asyncio.open_connection(sock=connection, limit=1 << 20 if self.form is not Form.NEVER_READS else 1)
        try:
            await self._play(reader, writer)
        finally:
            writer.transport.abort()

    async def _play(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        form = self.chance.choice(PARTS) if self.form is Form.MIXED else self.form
        if form in PARTS or form is Form.SILENT:
            return await self._part(form, reader, writer)
        if form is Form.NEVER_READS:
            reader._transport.pause_reading()
            writer.write(request(self._id(), extra=f"X-Events: {LONG_ANSWER_EVENTS}\r\n"))
            return await asyncio.sleep(STAYS_S)
        make, at_once = self._asking(form)
        while True:
            writer.write(b"".join(make() for _ in range(at_once)))
            await writer.drain()
            for _ in range(at_once):
                status = await read_answer(reader)
                self.answers[status] = self.answers.get(status, 0) + 1

    async def _part(self, form: Form, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        ended = asyncio.ensure_future(reader.read(65_536))
        try:
            for piece in part_of(form, self._id()):
                writer.write(piece)
                await writer.drain()
                if ended.done():
                    break
                await asyncio.sleep(SLOW_BYTE_S if form is Form.SLOW_HEAD else 0)
            await asyncio.wait({ended}, timeout=STAYS_S)
        finally:
            ended.cancel()

    def _asking(self, form: Form) -> tuple[Callable[[], bytes], int]:
        """What makes the next request, and how many are sent at once."""
        large = json_body(LARGE_BODY)
        name = "n" * LONG_NAME
        return {
            Form.LARGE: (lambda: request(self._id(), large, LARGE_TIMEOUT_S), 1),
            Form.NEW_NAMES: (lambda: request(self._id(), key=f"{name}{self.number}-{self.asked}"), 1),
            Form.HOPELESS: (lambda: request(self._id(), timeout=HOPELESS_TIMEOUT_S, tokens=HOPELESS_TOKENS), 3),
            Form.UNKNOWN_PATHS: (lambda: request(self._id(), path="/nowhere"), PIPELINED),
            Form.UNSOUND: (lambda: request(self._id(), kind=f"{name}{self.asked}"), 1)}[form]


async def read_answer(reader: asyncio.StreamReader) -> str:
    """Reads one answer to its end and returns its status."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    if "transfer-encoding: chunked" in head:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            await reader.readexactly(size + 2)
        await reader.readexactly(2)
    elif "content-length: " in head:
        await reader.readexactly(int(head.partition("content-length: ")[2].split("\r\n")[0]))
    return head.split(" ", 2)[1]


async def play(load: ClientLoad) -> dict[str, int]:
    """Plays an load to its end. Returns answers by status."""
    clients = [Client(load, number) for number in range(load.count)]
    tasks = [asyncio.ensure_future(client.run()) for client in clients]
    await asyncio.sleep(load.seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    total: dict[str, int] = {}
    for client in clients:
        for status, count in client.answers.items():
            total[status] = total.get(status, 0) + count
    return total


def command(load: ClientLoad) -> list[str]:
    """The command line of a process that plays it."""
    return [sys.executable, "-m", __name__ if __name__ != "__main__" else "aniserudder.soak.abusive_clients", json.dumps(asdict(load))]


if __name__ == "__main__":
    print(json.dumps(asyncio.run(play(ClientLoad(**json.loads(sys.argv[1]))))))
