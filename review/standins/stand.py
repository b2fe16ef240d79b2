"""Stand-ins for the platform: engines, the discovery agent, clients and a proxy on loopback, and a node started as the deploy file says.

They follow ``PROTOCOL.md``; where that page is silent they behave like a sound engine, agent or client. Standard library only. Everything of a
case but the node runs in one process and on one clock (``now``), so that the record is in one order.
"""
from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"%b"},"finish_reason":null}]}\n\n'
STOP = b'data: {"choices":[{"index":0,"delta":{"content":""},"finish_reason":"stop"}]}\n\n'
USAGE = b'data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":%d,"prompt_tokens_details":{"cached_tokens":4}}}\n\n'
DONE = b"data: [DONE]\n\n"
STREAM_HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
READ_DONE = b'HTTP/1.1 202 Accepted\r\ncontent-type: application/json\r\ncontent-length: 19\r\n\r\n{"cached_tokens":0}'
TURNED_AWAY = b"HTTP/1.1 503 Service Unavailable\r\nnot-started: 1\r\ncontent-length: 0\r\n\r\n"
NO_STATE = b"HTTP/1.1 410 Gone\r\nnot-started: 1\r\ncontent-length: 0\r\n\r\n"
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n"
RELEASED = b"HTTP/1.1 204 No Content\r\n\r\n"


class CannotRun(Exception):
    """The case could not be played; it says nothing of the rule."""


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class Record:
    """``record.txt``: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.began = time.monotonic()
        self.note("case", trouble=int(TROUBLE))

    def now(self) -> float:
        return time.monotonic() - self.began

    def note(self, what: str, **fields: Any) -> float:
        at = self.now()
        said = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{at:9.4f} {what:<22} {said}\n")
        self.file.flush()
        return at


class Head:
    """A message's first line and headers."""

    def __init__(self, raw: bytes) -> None:
        lines = raw.decode("latin-1").split("\r\n")
        self.first = lines[0].split(" ", 2)
        self.headers = {n.strip().lower(): v.strip() for n, _, v in (line.partition(":") for line in lines[1:] if line)}


async def read_message(reader: asyncio.StreamReader) -> tuple[Head, bytes]:
    """A whole HTTP message with a body of a told length, or in chunks.

    Raises:
        EOFError, ConnectionError: the connection ended.
    """
    head = Head((await reader.readuntil(b"\r\n\r\n"))[:-4])
    if "chunked" in head.headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                return head, body
            body += piece[:-2]
    length = int(head.headers.get("content-length", "0"))
    return head, await reader.readexactly(length) if length else b""


class Site:
    """All engines' shared memory: which requests have a read state that waits, and what has run."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.engines: dict[str, Engine] = {}
        self.held: dict[str, str] = {}             # request: reader
        self.read: set[str] = set()                # requests that were read at a reader at some time
        self.arrived: list[tuple[float, str, str]] = []  # attempts: when their last byte came, request, engine
        self.ran: dict[str, list[str]] = {}        # request: writers at which it was begun

    async def add(self, name: str, role: str, **more: Any) -> Engine:
        engine = self.engines[name] = Engine(self, name, role, **more)
        await engine.listen()
        return engine

    def members(self) -> list[dict[str, Any]]:
        return [e.member() for e in self.engines.values()]

    async def close(self) -> None:
        for engine in self.engines.values():
            engine.server.close()


KINDS = {"read": "prefill", "write": "decode-a", "both": "mixed"}


class Engine:
    """One engine. ``plan`` is asked what to do with each attempt and may take it over: ``plan(engine, id, reader, writer)``."""

    def __init__(self, site: Site, name: str, role: str, read_s: float = 0.05, wait_s: float = 0.05, events: int = 5, event_s: float = 0.05,
                 zone: str = "a", cell: int = 1, plan: Callable[..., Awaitable[bool]] | None = None) -> None:
        self.site, self.name, self.role, self.zone, self.cell = site, name, role, zone, cell
        self.read_s, self.wait_s, self.events, self.event_s, self.plan = read_s, wait_s, events, event_s, plan
        self.phase, self.since_ms, self.attempts, self.open = "SERVING", 0, 0, 0
        self.address = ""

    def member(self) -> dict[str, Any]:
        return {"id": self.name, "host_port": self.address, "locality": self.zone, "flavor": KINDS[self.role], "cell": self.cell,
                "phase": self.phase, "size": 1.0, "up_since_ms": self.since_ms}

    async def listen(self) -> None:
        self.server = await asyncio.start_server(self._connected, "127.0.0.1", 0, limit=1 << 20, backlog=512)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open += 1
        try:
            while True:
                head, body = await read_message(reader)
                await self._asked(head, body, reader, writer)
        except (EOFError, ConnectionError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            self.open -= 1
            writer.close()

    async def _asked(self, head: Head, body: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        method, target = head.first[0], head.first[1]
        if method == "DELETE":
            request = target.rpartition("/")[2]
            was = self.site.held.pop(request, None)
            self.site.record.note("release", engine=self.name, request=request, held_at=was)
            writer.write(RELEASED)
            return
        id = head.headers.get("request-id", "")
        if method != "POST" or not id or target.startswith("/internal"):
            writer.write(NOT_FOUND)
            return
        self.attempts += 1
        at = self.site.record.note("attempt arrived", engine=self.name, request=id, told=head.headers.get("request-timeout"))
        self.site.arrived.append((at, id, self.name))
        work = asyncio.ensure_future(self._work(id, reader, writer))
        work.add_done_callback(lambda task: task.cancelled() or task.exception())
        gone = asyncio.ensure_future(self._ended(reader))
        await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        if work.done():
            gone.cancel()
            work.result()
        else:
            self.site.record.note("attempt given up", engine=self.name, request=id)
            work.cancel()
            raise EOFError

    @staticmethod
    async def _ended(reader: asyncio.StreamReader) -> None:
        """Returns when the node has ended its sending. Nothing else comes while an answer is owed."""
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.005)

    async def _work(self, id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.plan and await self.plan(self, id, reader, writer):
            return
        if self.role == "read":
            return await self.reads(id, writer)
        await self.writes(id, writer)

    async def reads(self, id: str, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.read_s)
        self.site.held[id] = self.name
        self.site.read.add(id)
        self.site.record.note("read", engine=self.name, request=id)
        writer.write(READ_DONE)

    async def writes(self, id: str, writer: asyncio.StreamWriter, events: int = 0) -> None:
        events = events or self.events
        await asyncio.sleep(self.wait_s)
        if id in self.site.read and id not in self.site.held:
            self.site.record.note("no state", engine=self.name, request=id)
            writer.write(NO_STATE)
            return
        self.site.held.pop(id, None)
        self.site.ran.setdefault(id, []).append(self.name)
        self.site.record.note("begun", engine=self.name, request=id)
        writer.write(STREAM_HEAD)
        for number in range(events):
            writer.write(chunk(EVENT % f"{id}-{number} ".encode()))
            await asyncio.sleep(self.event_s)
        writer.write(chunk(STOP) + chunk(USAGE % events) + chunk(DONE) + b"0\r\n\r\n")
        self.site.record.note("ran", engine=self.name, request=id)

    def answer_of(self, id: str) -> bytes:
        """All events of the stream that this engine makes for a request."""
        return b"".join(EVENT % f"{id}-{n} ".encode() for n in range(self.events)) + STOP + USAGE % self.events + DONE


class Agent:
    """The discovery agent: whole lists and watches. ``delay_s``: each answer comes so much later. ``silent``: nothing is answered."""

    def __init__(self, site: Site, record: Record) -> None:
        self.site, self.record, self.revision, self.delay_s, self.silent = site, record, 1, 0.0, False
        self.changed = asyncio.Event()
        self.changes: dict[int, list[dict[str, Any]]] = {}
        self.calls = self.watches = 0

    async def listen(self) -> str:
        self.server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self.address

    def tell(self, *engines: Engine) -> float:
        """These engines' entries have changed. Returns when the agent had it."""
        self.revision += 1
        self.changes[self.revision] = [e.member() for e in engines]
        at = self.record.note("agent has", revision=self.revision, engines=",".join(f"{e.name}:{e.phase}" for e in engines))
        self.changed.set()
        self.changed = asyncio.Event()
        return at

    def whole(self) -> dict[str, Any]:
        return {"revision": self.revision, "complete": True, "members": [m for m in self.site.members() if m["phase"] != "DELETED"]}

    def newer(self, known: int) -> dict[str, Any]:
        rows = {m["id"]: m for revision, changed in sorted(self.changes.items()) if revision > known for m in changed}
        return {"revision": self.revision, "complete": False, "members": list(rows.values())}

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head, _ = await read_message(reader)
                self.calls += 1
                self.watches += "from=" in head.first[1]
                query = dict(part.partition("=")[::2] for part in head.first[1].partition("?")[2].split("&"))
                self.record.note("agent asked", query=head.first[1].partition("?")[2] or "whole")
                if "from" in query:
                    known, until = int(query["from"]), time.monotonic() + int(query.get("hold_ms", "0")) / 1000
                    while self.revision <= known and time.monotonic() < until:
                        try:
                            await asyncio.wait_for(self.changed.wait(), max(0.0, until - time.monotonic()))
                        except TimeoutError:
                            pass
                else:
                    known = -1
                if self.silent:
                    await asyncio.sleep(3600)
                await asyncio.sleep(self.delay_s)
                news = self.whole() if known < 0 else self.newer(known)  # as it is when the answer goes out
                body = json.dumps(news).encode()
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body))
                self.record.note("agent answered", revision=news["revision"], complete=news["complete"], rows=len(news["members"]))
        except (EOFError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()


def settings(**more: Any) -> dict[str, Any]:
    """Settings of a small deployment: the example of the operators' page, with four kinds of engine."""
    found: dict[str, Any] = {
        "balancers": 1, "clients": {"marks-retry": False}, "dcs": ["a", "b"], "zone": "a", "discovery": "automatic", "workload": "twostage",
        "kinds": ["prefill", "decode-a", "decode-b", "mixed"], "me": 0, "orgs": [], "over-share-worth": 0.1, "stage": 0, "tick": 0.002,
        "tiers": ["caption-fleet"], "value-by": "work", "weights": "rough",
        "bounds": {"cancelling": True, "conn-idle": 15.0, "connect-timeout": 0.25, "max-attempts": 5, "max-retry-after": 0.5,
                   "open-cap": 26200, "peers": False, "probing": True, "retry-after": True, "second-copies": False, "streams-per-conn": 1},
        "family-info": {"aim-us-per-1000-prompt-tokens": [40000.0, 40000.0], "duty-by-kind": ["read", "write", "write", "both"],
                        "let-go-by": 0.3, "may-reserve": True, "memory-tokens": [197071, 135141, 164993, 231678], "move-fee": 0.04,
                        "resume": False, "self-prefill": True, "token-aim": [0.07, 0.08]},
        "feedback": {"columns": [], "how": "silent"},
        "rules": {"answer-slack": 0.008, "ask-within": 10.0, "cold": 13.0, "cold-share": 0.28, "drain-grace": 0.5, "fall": 1.5,
                  "fall-multiple": 2.5},
        "services": [{"deadline": 6.0, "goal-time": 1.5, "group": "all", "late-worth": 0.1, "name": "draft", "points": 1.0,
                      "semantics": "pure", "stream": True, "window": 5.0},
                     {"deadline": 10.0, "goal-time": 2.5, "group": "all", "late-worth": 0.3, "name": "send", "points": 3.0,
                      "semantics": "side_effect", "stream": True, "window": 5.0}]}
    for name, value in more.items():
        found[name.replace("_", "-")] = value
    return found


class Node:
    """One node, started with the deploy file's ``run``."""

    def __init__(self, record: Record, agent: str, known: dict[str, Any], conf: dict[str, Any] | None = None, sockets: int = 256,
                 name: str = "n1") -> None:
        self.record, self.name = record, name
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.port = probe.getsockname()[1]
        self.file = self.folder / "config.json"
        self.data = {"name": name, "listen": f"127.0.0.1:{self.port}", "discovery": agent, "seed": "8c1f30d27a5be964",
                     "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets}, "known": known, "settings": conf or settings()}
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        self.file.write_text(json.dumps(self.data))
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        (self.folder / "tmp").mkdir(exist_ok=True)
        environment = {**os.environ, "NODE_NAME": self.name, "NODE_LISTEN": self.data["listen"], "NODE_DISCOVERY": self.data["discovery"],
                       "NODE_CONFIG": str(self.file), "TMPDIR": str(self.folder / "tmp")}
        environment.pop("NODE_LOG_LEVEL", None)
        self.process = subprocess.Popen(["/bin/sh", "-c", deploy["run"]], cwd=ROOT, env=environment, stdout=subprocess.DEVNULL,
                                        stderr=(self.folder / "log").open("ab"))
        self.record.note("node started", pid=self.process.pid)

    async def ready(self, within: float = 30.0) -> None:
        until = time.monotonic() + within
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"the node ended with {self.process.returncode}")
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n")
                head, _ = await asyncio.wait_for(read_message(reader), 5)
                writer.close()
                if head.first[1] == "200":
                    self.record.note("node ready")
                    return
            except (OSError, EOFError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("the node is not ready")

    def signal(self, number: int) -> None:
        self.record.note("signal", number=signal.Signals(number).name)
        self.process.send_signal(number)

    @property
    def log(self) -> str:
        return (self.folder / "log").read_text(errors="replace")

    def anonymous_mb(self) -> float:
        """Memory that the process alone holds, without files; 0: it has ended."""
        try:
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def watch_memory(self) -> tuple[float, float]:
        """Kills the node as the platform does, once it is over its limit. Returns when, and how much it held; is cancelled by its caller."""
        most = 0.0
        while True:
            held = self.anonymous_mb()
            if held > most + 10:
                most = held
                self.record.note("node holds", mb=f"{held:.0f}")
            if held > self.data["limits"]["memory_mb"]:
                at = self.record.note("over the limit", mb=f"{held:.0f}", limit=self.data["limits"]["memory_mb"])
                self.signal(signal.SIGKILL)
                return at, held
            await asyncio.sleep(0.01)

    def end(self) -> None:
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()
            self.record.note("node ended", code=self.process.returncode)
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def deployment(record: Record, sockets: int = 256, conf: dict[str, Any] | None = None, **engines: Any) -> tuple[Site, Agent, Node]:
    """Two readers, two writers and two mixed engines, their agent, and one node that is not started yet."""
    site = Site(record)
    for name, role in (("r1", "read"), ("r2", "read"), ("w1", "write"), ("w2", "write"), ("m1", "both"), ("m2", "both")):
        await site.add(name, role, **engines)
    agent = Agent(site, record)
    await agent.listen()
    return site, agent, Node(record, agent.address, agent.whole(), conf, sockets)


def request_bytes(id: str, kind: str = "draft", timeout: float = 4.0, prompt: int = 400, max_out: int = 80, extra: str = "",
                  body: bytes = b"", session: str = "") -> bytes:
    """A client's request, as PROTOCOL shows it."""
    body = body or json.dumps({"model": "chat", "stream": True, "max_tokens": max_out,
                               "messages": [{"role": "user", "content": "word " * 20}]}).encode()
    return (f"POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {id}\r\nRequest-Class: {kind}\r\n"
            f"Affinity-Key: {session or 'k' + id}\r\nRequest-Timeout: {timeout:.3f}\r\n"
            f"Request-Info: prompt_len={prompt},max_out={max_out}\r\n{extra}Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Answer:
    """What a client got for one request: ``status`` 0 where nothing came; ``whole``: up to the end of the message."""

    def __init__(self) -> None:
        self.status, self.body, self.whole, self.at, self.took, self.why = 0, b"", False, 0.0, 0.0, ""

    def __str__(self) -> str:
        return f"status={self.status} whole={self.whole} bytes={len(self.body)} took={self.took:.3f} {self.why}"


async def read_answer(reader: asyncio.StreamReader, within: float) -> Answer:
    """Reads one answer of a node, and says how it ended."""
    answer, began = Answer(), time.monotonic()

    async def read() -> None:
        head = Head((await reader.readuntil(b"\r\n\r\n"))[:-4])
        answer.status = int(head.first[1])
        if "chunked" not in head.headers.get("transfer-encoding", ""):
            answer.body = await reader.readexactly(int(head.headers.get("content-length", "0")))
            answer.whole = True
            return
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                answer.whole = True
                return
            answer.body += piece[:-2]

    try:
        await asyncio.wait_for(read(), within)
    except TimeoutError:
        answer.why = "nothing more came"
    except EOFError:
        answer.why = "the connection ended"
    except ConnectionError as problem:
        answer.why = type(problem).__name__
    answer.took = time.monotonic() - began
    return answer


async def ask(node: Node, id: str, within: float = 20.0, **more: Any) -> Answer:
    """One request on a connection of its own."""
    reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
    writer.write(request_bytes(id, **more))
    node.record.note("client asked", request=id)
    answer = await read_answer(reader, within)
    node.record.note("client answered", request=id, answer=answer)
    writer.close()
    return answer


def play(folder: str, case: Callable[[Record], Awaitable[str]]) -> None:
    """Plays a case and exits: 0 the rule held, 1 it was broken, 2 it could not run. ``case`` returns what was broken; empty: nothing."""
    record = Record(Path(folder).resolve())
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(CANNOT_RUN))  # so that the node is ended, whoever ends the case

    async def bounded() -> str:
        return await asyncio.wait_for(case(record), 110)

    try:
        broken = asyncio.run(bounded())
    except Exception as problem:  # whatever went wrong here says nothing of the node
        record.note("cannot run", reason=f"{type(problem).__name__}: {problem}")
        print(f"cannot run: {type(problem).__name__}: {problem}")
        sys.exit(CANNOT_RUN)
    record.note("verdict", result=broken or "the rule held")
    print(f"broken: {broken}" if broken else "held")
    sys.exit(BROKEN if broken else HELD)
