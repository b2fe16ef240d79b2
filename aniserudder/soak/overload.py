"""One node process at the least memory that a deployment gives it, under abusive clients or engines, with usual clients beside them.

Engines and usual clients live in the caller's process, abusive clients in one of their own. What is measured is what the process would die
of, its anonymous memory, and what the usual clients see.
"""
from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from .abusive_clients import ClientLoad, Form, command, request
from .processor_share import ProcessorShare, ProcessorTime
from .stage import anonymous_mb, settings

HOST = f"127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}.1"  # runs beside each other share no port
MEMORY_MB, DESCRIPTORS = 32, 1024
DEADLINES = {"draft": 4.0, "mark": 4.0, "send": 4.0}
READY_S = 20.0
USUAL_EVERY_S, USUAL_TIMEOUT_S = 0.1, 1.0
LATE_S = 0.55        # behind its time an answer may still come
LOOK_S = 0.005       # between looks at the node's memory
BEHIND_S = 1.0       # from the end of the load to the last look
TRACED_LINES_MOST = 200
TICK_S = 0.05        # between looks at how late the caller's own loop is
HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"word word word word word word"},"finish_reason":null}]}\n\n'
LAST = b'data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":2}}\n\ndata: [DONE]\n\n'
READ = b'HTTP/1.1 202 Accepted\r\ncontent-length: 19\r\n\r\n{"cached_tokens":0}'

Plan = Callable[[asyncio.StreamReader, asyncio.StreamWriter, str], Awaitable[bool]]


def _request_of(line: str) -> str:
    """Which request a line of the node's log is about; empty: none."""
    try:
        told = json.loads(line)
    except ValueError:
        return ""
    return str(told.get("seq", "")) if isinstance(told, dict) else ""


def chunk(data: bytes) -> bytes:
    """One chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


@dataclass(slots=True)
class Answer:
    """What a usual client saw; seconds since it asked."""

    id: str = ""
    status: int = 0
    whole: bool = False
    took: float = 0.0
    last_event_at: float = 0.0
    body: bytes = b""


@dataclass(slots=True)
class Report:
    """What came of an overload run.

    Attributes:
        peak_mb: most anonymous memory of the node.
        rest_mb: what it held before, and ``after_mb`` what it held a second after the abusive clients had gone.
        killed: it was killed for its memory, as the platform does.
        usual: answers of the usual clients.
        abusive: answers of the abusive clients by status.
        processor_s: time that the node ran on a processor while usual clients asked, in ``wall_s`` seconds.
        waited_s: time of these in which it could have run and no processor was free.
        own_late_s: the most that the caller's own loop, which plays engines and usual clients, came late.
    """

    rest_mb: float = 0.0
    peak_mb: float = 0.0
    after_mb: float = 0.0
    killed: bool = False
    ended: int | None = None
    usual: list[Answer] = field(default_factory=list)
    abusive: dict[str, int] = field(default_factory=dict)
    log: str = ""
    processor_s: float = 0.0
    waited_s: float = 0.0
    wall_s: float = 0.0
    own_late_s: float = 0.0

    @property
    def without_answer(self) -> list[Answer]:
        """Usual requests without an answer in their time and its slack."""
        return [a for a in self.usual if not a.status or a.took > USUAL_TIMEOUT_S + LATE_S and not a.last_event_at]

    @property
    def unanswered(self) -> int:
        """How many these are."""
        return len(self.without_answer)

    def note_processor(self, since: ProcessorTime, now: ProcessorTime) -> None:
        """Notes what the node was given between two looks."""
        self.processor_s, self.waited_s, self.wall_s = now.ran_s - since.ran_s, now.waited_s - since.waited_s, now.at - since.at

    def trace(self) -> str:
        """The line, each request without an answer, and what the node logged of it and of no request."""
        ids = {answer.id for answer in self.without_answer}
        requests = [f"{a.id}: status {a.status}, {a.took:.2f} s, {len(a.body)} bytes" for a in self.without_answer]
        logged = [line for line in self.log.splitlines() if _request_of(line) in ids or not _request_of(line)]
        return "\n".join([self.line(), *requests, *logged[-TRACED_LINES_MOST:]])

    def line(self) -> str:
        """For a person."""
        took = sorted(a.took for a in self.usual) or [0.0]
        served = sum(a.whole and a.status == 200 for a in self.usual)
        end = "killed for its memory" if self.killed else f"ended with {self.ended}" if self.ended is not None else "runs"
        return (f"{self.rest_mb:.1f} MB at rest, {self.peak_mb:.1f} at most, {self.after_mb:.1f} after; {end}; usual: {len(self.usual)} asked, "
                f"{served} served, {self.unanswered} unanswered, median {took[len(took) // 2]:.2f} s, worst {took[-1]:.2f} s; abusive: {self.abusive}; "
                f"the node ran {self.processor_s:.2f} of {self.wall_s:.2f} s and waited {self.waited_s:.2f} for a processor, "
                f"the caller's loop at most {self.own_late_s:.2f} s late")


class Engines:
    """Engines and a discovery agent on loopback.

    Args:
        plan: asked about each request that a writer gets; may take it over, and returns True then.
        reads_per_s: bytes of requests that an engine takes a second; 0: any.
        event_s: seconds between events of a stream.
        indent: spaces a level with which lists come; None: on one line.
    """

    def __init__(self, plan: Plan | None = None, reads_per_s: int = 0, event_s: float = 0.05, indent: int | None = None) -> None:
        self.plan, self.reads_per_s, self.event_s, self.indent = plan, reads_per_s, event_s, indent
        self.members: list[dict[str, Any]] = []
        self.servers: list[asyncio.Server] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def up(self, count: int = 1) -> str:
        """Starts them, each listed under so many ids. Returns the agent's address."""
        for name, flavor in (("r1", "prefill"), ("r2", "prefill"), ("w1", "decode"), ("w2", "decode"), ("m1", "mixed"), ("m2", "mixed")):
            listener = socket.socket()
            if self.reads_per_s:
                listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            listener.bind((HOST, 0))
            reads = flavor == "prefill"
            server = await asyncio.start_server(lambda r, w, reads=reads: self._serve(r, w, reads), sock=listener, limit=8_192 if self.reads_per_s else 1 << 20,
                                                backlog=512)
            self.servers.append(server)
            for number in range(count):
                self.members.append({"id": f"{name}{f'~{number}' * bool(number)}", "host_port": "%s:%d" % server.sockets[0].getsockname()[:2],
                                     "locality": "a", "flavor": flavor, "cell": 1, "phase": "SERVING", "size": 1.0, "up_since_ms": 0})
        return await self.open_agent()

    async def open_agent(self) -> str:
        """One more discovery agent. Returns its address."""
        agent = await asyncio.start_server(self._agent, HOST, 0)
        self.servers.append(agent)
        return "%s:%d" % agent.sockets[0].getsockname()[:2]

    def known(self) -> dict[str, Any]:
        return {"revision": 1, "complete": True, "members": self.members}

    async def _agent(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"?from=" in head:
                    await asyncio.sleep(2.0)
                news = {"revision": 1, "complete": False, "members": []} if b"?from=" in head else self.known()
                body = json.dumps(news, indent=self.indent).encode()
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body))
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, reads: bool) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0] or 0)
                await self._take(reader, length)
                if head.startswith(b"DELETE"):
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                elif reads:
                    await asyncio.sleep(0.03)
                    writer.write(READ)
                elif not (self.plan and await self.plan(reader, writer, _field(head, "request-id"))):
                    await self._stream(writer, int(_field(head, "x-events") or 0))
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.transport.abort()

    async def _take(self, reader: asyncio.StreamReader, length: int) -> None:
        if not self.reads_per_s:
            await reader.readexactly(length)
            return
        while length:
            piece = await reader.readexactly(min(length, 1_500))
            length -= len(piece)
            await asyncio.sleep(len(piece) / self.reads_per_s)

    async def _stream(self, writer: asyncio.StreamWriter, at_once: int) -> None:
        writer.write(HEAD)
        if at_once:
            writer.write(chunk(EVENT * 10) * (at_once // 10))
        else:
            for _ in range(5):
                writer.write(chunk(EVENT))
                await asyncio.sleep(self.event_s)
        writer.write(chunk(LAST) + b"0\r\n\r\n")
        await writer.drain()

    def close(self) -> None:
        for server in self.servers:
            server.close()


def _field(head: bytes, name: str) -> str:
    return head.lower().partition(b"\r\n%b: " % name.encode())[2].split(b"\r\n")[0].decode()


class MeasuredNode:
    """The node's process, watched as the platform does.

    Args:
        engines: that run.
        agent: address of discovery.
        share: of a core, by stopping and continuing it; 1: all of it.
    """

    def __init__(self, engines: Engines, agent: str, share: float = 1.0, memory_mb: int = MEMORY_MB, descriptors: int = DESCRIPTORS) -> None:
        self.folder = tempfile.TemporaryDirectory(prefix="overload-")
        self.memory_mb, self.report = memory_mb, Report()
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            self.port = probe.getsockname()[1]
        self._file = Path(self.folder.name) / "config.json"
        self._engines, self._share = engines, share
        self._limits = {"cores": share, "memory_mb": memory_mb, "sockets": descriptors}
        self._configure(agent)
        self.log = Path(self.folder.name) / "log"
        self._environment = {**os.environ, "NODE_CONFIG": str(self._file), "NODE_LOG_LEVEL": "info"}
        self._over = threading.Event()
        self._watcher = threading.Thread(target=self._watch, daemon=True)
        self._ration: ProcessorShare | None = None
        self.process: subprocess.Popen[bytes] | None = None

    def _configure(self, agent: str) -> None:
        self._file.write_text(json.dumps({
            "name": "n0", "listen": f"{HOST}:{self.port}", "discovery": agent, "seed": "1f", "known": self._engines.known(),
            "limits": self._limits, "settings": settings(1, DEADLINES)}, indent=self._engines.indent))

    def move_discovery(self, agent: str) -> None:
        """A new configuration names another agent, and SIGHUP says so."""
        self._configure(agent)
        self.process.send_signal(signal.SIGHUP)

    def start(self) -> None:
        """Starts it and watches its memory from then on."""
        self.process = subprocess.Popen([sys.executable, "-m", "aniserudder", "node"], env=self._environment, stderr=self.log.open("wb"))
        self._watcher.start()
        if self._share < 1:
            self._ration = ProcessorShare(self.process, self._share)
            self._ration.start()

    async def ready(self) -> None:
        """Waits until it is ready.

        Raises:
            RuntimeError: it is not, in time.
        """
        until = time.monotonic() + READY_S
        while b'"ready"' not in self.log.read_bytes():
            if time.monotonic() > until or self.process.poll() is not None:
                raise RuntimeError(f"the node is not ready: {self.log.read_text()[-500:]}")
            await asyncio.sleep(0.02)

    def anonymous_mb(self) -> float:
        """Anonymous memory at this moment; 0: it has ended."""
        return anonymous_mb(self.process.pid)

    def processor_time(self) -> ProcessorTime:
        """What the scheduler gave it up to now."""
        return ProcessorTime.of(self.process.pid)

    def _watch(self) -> None:
        while not self._over.is_set() and self.process.poll() is None:
            held = self.anonymous_mb()
            self.report.peak_mb = max(self.report.peak_mb, held)
            if held > self.memory_mb:
                self.report.killed = True
            time.sleep(LOOK_S)

    def end(self) -> Report:
        """Ends it and returns what was seen."""
        self.report.ended = self.process.poll()
        self._over.set()
        if self._ration:
            self._ration.stop()
        self._watcher.join()
        self.process.kill()
        self.process.wait()
        self.report.log = self.log.read_text()
        self.folder.cleanup()
        return self.report


async def ask(port: int, id: str, within: float, timeout: float = USUAL_TIMEOUT_S, body: bytes = b"{}", kind: str = "draft") -> Answer:
    """One request on a connection of its own, as a usual client sends it, waited for so long."""
    answer, began = Answer(id), time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(within):
            reader, writer = await asyncio.open_connection(HOST, port, limit=1 << 20)
            writer.write(request(id, body, timeout, kind=kind))
            await writer.drain()
            began = time.monotonic()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            answer.status = int(head.split(" ")[1])
            if "chunked" not in head:
                await reader.readexactly(int(head.partition("content-length: ")[2].split("\r\n")[0]))
            while "chunked" in head and (size := int(await reader.readuntil(b"\r\n"), 16)):
                answer.body += (await reader.readexactly(size + 2))[:-2]
                answer.last_event_at = time.monotonic() - began
            answer.whole = True
    except (OSError, EOFError, TimeoutError):
        pass
    finally:
        answer.took = time.monotonic() - began
        if writer:
            writer.transport.abort()
    return answer


async def _note_own_lateness(report: Report) -> None:
    while True:
        due = time.monotonic() + TICK_S
        await asyncio.sleep(TICK_S)
        report.own_late_s = max(report.own_late_s, time.monotonic() - due)


async def run_overload(form: Form, count: int, seconds: float, share: float = 1.0, engines: Engines | None = None, copies: int = 1,
                  before_start: bool = False, wait_s: float = 4.0) -> Report:
    """Plays abusive clients of one form against a node, with usual clients beside them.

    Args:
        form: of the abusive clients.
        count: of them.
        seconds: that they stay.
        share: of a core that the node has.
        engines: that it routes to; their plan may be abusive, too.
        copies: ids under which each engine is listed.
        before_start: they come before the node is started.
        wait_s: that a usual client waits beyond what it tells.
    """
    engines = engines or Engines()
    node = MeasuredNode(engines, await engines.up(copies), share)
    load = ClientLoad(form.value, HOST, node.port, count, seconds)
    abusive = None
    try:
        if before_start:
            abusive = await asyncio.create_subprocess_exec(*command(load), stdout=subprocess.PIPE)
            await asyncio.sleep(0.5)
        node.start()
        await node.ready()
        await asyncio.sleep(0.2)
        node.report.rest_mb = node.anonymous_mb()
        abusive = abusive or await asyncio.create_subprocess_exec(*command(load), stdout=subprocess.PIPE)
        lateness = asyncio.ensure_future(_note_own_lateness(node.report))
        since = node.processor_time()
        asked = []
        for number in range(int(seconds / USUAL_EVERY_S)):
            asked.append(asyncio.ensure_future(ask(node.port, f"u{number}", USUAL_TIMEOUT_S + wait_s)))
            await asyncio.sleep(USUAL_EVERY_S)
        said, _ = await abusive.communicate()
        node.report.abusive = json.loads(said or b"{}")
        node.report.usual = list(await asyncio.gather(*asked))
        lateness.cancel()
        node.report.note_processor(since, node.processor_time())
        await asyncio.sleep(BEHIND_S)
        node.report.after_mb = node.anonymous_mb()
    finally:
        if abusive and abusive.returncode is None:
            abusive.kill()
            await abusive.wait()
        engines.close()
        report = node.end()
    return report


def main() -> None:
    """``python -m aniserudder.soak.overload FORM COUNT SECONDS [SHARE [COPIES]]`` prints one line."""
    form, count, seconds, *rest = sys.argv[1:]
    share = float(rest[0]) if rest else 1.0
    copies = int(rest[1]) if len(rest) > 1 else 1
    report = asyncio.run(run_overload(Form(form), int(count), float(seconds), share, copies=copies))
    print(f"{form}, {count}, a share of {share:g}: {report.line()}")


if __name__ == "__main__":
    main()
