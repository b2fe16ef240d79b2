"""Stand-ins for the operators' platform: engines, the discovery agent and clients in one process, the node under test in another.

Everything listens on 127.0.0.1 at free ports. The node is started by `run` of deploy/balancer.toml, through /bin/sh, as the operators do.
All times are seconds of one monotonic clock since the case began. Nothing here judges; each case has its own check.
"""
from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import subprocess
import socket
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RELEASE = "/internal/reservations/"
EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"%b"},"finish_reason":null}]}\n\n'
LAST = (b'data: {"choices":[{"index":0,"delta":{"content":""},"finish_reason":"stop"}]}\n\n'
        b'data: {"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}}}\n\n'
        b"data: [DONE]\n\n")
STREAM_HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
TICK_S = 0.005
LATE_MOST_S = 0.3  # of the stand-ins' own loop, beyond which a case says nothing
LATEST_S = 1.0  # behind its time, that a client of a case still listens for an answer; the check says which was too late


class CannotRun(Exception):
    """The case could not be played: exit code 2."""


def answer(status: str, body: bytes = b"", *headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status}", f"content-length: {len(body)}", "content-type: application/json", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Http(asyncio.Protocol):
    """One accepted connection: hands whole requests over, and tells of its end."""

    def __init__(self, owner) -> None:
        self.owner, self.data, self.open, self.on_end = owner, b"", True, None

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.owner.connections.add(self)

    def data_received(self, data: bytes) -> None:
        self.data += data
        while True:
            head, end, rest = self.data.partition(b"\r\n\r\n")
            if not end:
                return
            lines = head.decode("latin-1").split("\r\n")
            headers = {k.strip().lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:])}
            length = int(headers.get("content-length", 0))
            if len(rest) < length:
                return
            self.data = rest[length:]
            method, target, _ = lines[0].split(" ", 2)
            self.owner.asked(self, method, target, headers, rest[:length])

    def eof_received(self) -> bool:
        self._ended()
        return False

    def connection_lost(self, problem) -> None:
        self._ended()
        self.owner.connections.discard(self)

    def _ended(self) -> None:
        if self.open:
            self.open = False
            on_end, self.on_end = self.on_end, None
            if on_end:
                on_end()

    def say(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)


@dataclass(eq=False)
class Attempt:
    """One schedule attempt as an engine has it."""
    id: str
    engine: str
    connection: Http
    at: float
    told: float
    reads: bool          # at a reader: it only reads
    begun: float = 0.0
    left: float = 0.0    # tokens still to be read
    tokens: int = 0      # that it has to read
    kept: int = 0
    over: float = 0.0    # when its node had its end, or gave it up
    given_up: bool = False
    ended: bool = False  # the engine is done with it
    how: str = ""        # what it was answered


@dataclass
class Habits:
    """How engines of a kind work; the site files have such figures."""
    rate: float = 20_000.0        # prompt tokens read a second, by all that run
    at_once: int = 8
    queue: int = 30
    events: int = 6
    event_s: float = 0.02
    goes_on: bool = True          # a cancel or a time-out does not stop running work
    cancel_drops_waiting: bool = True
    cold_share: float = 0.28
    cold_s: float = 13.0


class Engine:
    """An engine: reads prompts in shared turns, keeps texts, holds states, streams answers."""

    def __init__(self, world: World, name: str, flavor: str, role: str, cell: int, habits: Habits) -> None:
        self.world, self.name, self.flavor, self.role, self.cell, self.habits = world, name, flavor, role, cell, habits
        self.phase, self.up_since_ms, self.started = "SERVING", 0, -1e9
        self.slower, self.hangs = 1.0, False
        self.connections: set[Http] = set()
        self.running: list[Attempt] = []
        self.waiting: list[Attempt] = []
        self.kept: dict[str, int] = {}
        self.arrivals: list[Attempt] = []
        self.frozen: list = []

    async def listen(self) -> None:
        self.server = await asyncio.get_running_loop().create_server(lambda: Http(self), "127.0.0.1", 0, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]

    def member(self) -> dict:
        return {"id": self.name, "host_port": f"127.0.0.1:{self.port}", "locality": "a", "flavor": self.flavor, "cell": self.cell,
                "phase": self.phase, "size": 1.0, "up_since_ms": self.up_since_ms}

    def share(self, at: float) -> float:
        """Of its capacity that it has: from the cold share to all of it, evenly over the cold time."""
        h = self.habits
        return min(1.0, h.cold_share + (1 - h.cold_share) * max(0.0, at - self.started) / h.cold_s)

    def restart(self) -> None:
        """A new process in its place: cold, keeps nothing, holds nothing."""
        for connection in list(self.connections):
            connection.transport.abort()
        self.running, self.waiting, self.kept = [], [], {}
        self.started, self.up_since_ms = self.world.now(), int(time.time() * 1000)
        for state in [s for s in self.world.states.values() if s.engine == self.name]:
            self.world.state_gone(state, "its engine restarted")

    def asked(self, connection: Http, method: str, target: str, headers: dict, body: bytes, came: float = 0.0) -> None:
        world = self.world
        came = came or world.now()
        if self.hangs:  # its machine has the request; the process looks at it when it goes on
            self.frozen.append((connection, method, target, headers, body, came))
            one = world.requests.get(headers.get("request-id", ""))
            if method == "POST" and one:
                waits = Attempt(one.id, self.name, connection, world.now(), float(headers.get("request-timeout", "nan")), self.role == "read")
                waits.ended = True
                one.attempts.append(waits)
                world.note("lies unread", one.id, f"at {self.name}, which hangs")

                def over() -> None:
                    waits.given_up, waits.over = True, world.now()
                connection.on_end = over
            return
        if method == "DELETE" and target.startswith(RELEASE):
            world.release(target[len(RELEASE):], self.name)
            return connection.say(b"HTTP/1.1 204 No Content\r\n\r\n")
        if method != "POST" or not target.startswith("/v1/"):
            return connection.say(answer("404 Not Found"))
        id = headers.get("request-id", "")
        one = world.requests.get(id)
        if one is None:
            world.note("foreign", id, f"at {self.name}")
            return connection.say(answer("400 Bad Request"))
        attempt = Attempt(id, self.name, connection, came, float(headers.get("request-timeout", "nan")), self.role == "read")
        one.attempts.append(attempt)
        self.arrivals.append(attempt)
        connection.on_end = lambda: self.given_up(attempt)
        state = world.states.get(id)
        attempt.kept = max(self.kept.get(one.session, 0), self.kept.get(one.shared, 0)) if attempt.reads or state is None else 0
        attempt.kept = min(attempt.kept, one.tokens)
        attempt.tokens = attempt.left = one.tokens - attempt.kept if attempt.reads or state is None else 0
        world.note("arrived", id, f"{'read' if attempt.reads else 'write'} at {self.name}, told {attempt.told:.3f} s, {attempt.tokens} tokens to read")
        if self.phase != "SERVING":
            self.over(attempt, answer("503 Service Unavailable", b"", "not-started: 1"), "turned away, draining")
        elif len(self.running) < self.habits.at_once:
            self.begin(attempt)
        elif len(self.waiting) < self.habits.queue:
            self.waiting.append(attempt)
        else:
            self.over(attempt, answer("503 Service Unavailable", b"", "not-started: 1"), "full")

    def begin(self, attempt: Attempt) -> None:
        attempt.begun = self.world.now()
        self.running.append(attempt)
        if not attempt.reads and self.world.states.get(attempt.id):
            self.world.state_taken(attempt)
            attempt.left = 0
        if not attempt.reads:
            asyncio.ensure_future(self.stream(attempt))

    def tick(self, seconds: float) -> None:
        """Reads on: all that run share the engine's pace."""
        if self.hangs:
            return
        now = self.world.now()
        reading = [a for a in self.running if a.left > 0 or a.reads]
        each = seconds * self.habits.rate * self.share(now) / self.slower / max(1, len(reading))
        for attempt in reading:
            attempt.left -= each
            if attempt.left <= 0:
                attempt.left = 0
                self.keep(attempt)
                if attempt.reads:
                    self.running.remove(attempt)
                    attempt.ended = True
                    self.world.state_held(attempt)
                    self.over(attempt, answer("202 Accepted", b'{"cached_tokens":%d}' % attempt.kept), "read")
        while self.waiting and len(self.running) < self.habits.at_once:
            attempt = self.waiting.pop(0)
            if now - attempt.at < attempt.told:  # a sequence whose time is up is not begun
                self.begin(attempt)
            else:
                self.over(attempt, answer("504 Gateway Timeout", b"", "not-started: 1"), "its time is up")

    def keep(self, attempt: Attempt) -> None:
        one = self.world.requests[attempt.id]
        self.kept[one.session] = one.tokens
        if one.shared:
            self.kept[one.shared] = one.shared_tokens

    async def stream(self, attempt: Attempt) -> None:
        one, first = self.world.requests[attempt.id], True
        while attempt.left > 0:
            await asyncio.sleep(TICK_S)
        for n in range(self.habits.events):
            await asyncio.sleep(self.habits.event_s)
            while self.hangs:
                await asyncio.sleep(0.05)
            if attempt.given_up or attempt not in self.running:
                break  # a stream that nobody reads ends
            if first:
                one.ran.append((self.world.now(), self.name))
                self.world.note("runs", attempt.id, f"at {self.name}")
                attempt.connection.say(STREAM_HEAD)
            first = False
            self.piece(attempt, EVENT % f"{attempt.id[:6]}-{n} ".encode())
        else:
            last = LAST % (one.tokens, self.habits.events * 4, attempt.kept)
            attempt.connection.say(b"%x\r\n%b\r\n0\r\n\r\n" % (len(last), last))
            self.over(attempt, b"", "streamed")
        if attempt in self.running:
            self.running.remove(attempt)
        attempt.ended = True

    @staticmethod
    def piece(attempt: Attempt, data: bytes) -> None:
        attempt.connection.say(b"%x\r\n%b\r\n" % (len(data), data))

    def over(self, attempt: Attempt, data: bytes, how: str) -> None:
        """The attempt's answer goes out, if its node still listens."""
        if attempt.given_up:
            return
        attempt.over, attempt.how = self.world.now(), how
        attempt.connection.on_end = None
        self.world.note("answered", attempt.id, f"{how} at {self.name}")
        if data:
            attempt.connection.say(data)

    def given_up(self, attempt: Attempt) -> None:
        attempt.given_up, attempt.over = True, self.world.now()
        self.world.note("given up", attempt.id, f"at {self.name}, {attempt.over - attempt.at:.3f} s after it came")
        if attempt in self.waiting and self.habits.cancel_drops_waiting:
            self.waiting.remove(attempt)
        elif attempt in self.running and attempt.reads and not self.habits.goes_on:
            self.running.remove(attempt)

    def wakes(self) -> None:
        self.hangs = False
        frozen, self.frozen = self.frozen, []
        for connection, *asked in frozen:
            if connection.open:
                id, connection.on_end = asked[2].get("request-id", ""), None
                if id in self.world.requests:  # from here on it is an attempt like others
                    one = self.world.requests[id]
                    one.attempts = [a for a in one.attempts if a.connection is not connection or a.over]
                self.asked(connection, *asked)


@dataclass(eq=False)
class State:
    """What a read has left at a reader."""
    id: str
    engine: str
    since: float
    until: float = 0.0
    how: str = ""


@dataclass(eq=False)
class Request:
    """One request of a client, and what became of it."""
    id: str
    kind: str
    session: str
    shared: str
    tokens: int
    shared_tokens: int
    timeout: float
    sent: float = 0.0
    first: float = 0.0
    ended: float = 0.0
    status: int = 0
    whole: bool = False
    left: float = 0.0
    how: str = ""
    body: bytes = b""
    attempts: list[Attempt] = field(default_factory=list)
    ran: list[tuple[float, str]] = field(default_factory=list)


class Agent:
    """The discovery agent on the node's machine."""

    def __init__(self, world: World) -> None:
        self.world, self.revision, self.changed = world, 1, {}
        self.connections: set[Http] = set()
        self.watches: list[tuple[Http, int, asyncio.TimerHandle]] = []
        self.answers_after = 0.0  # seconds that each answer takes
        self.silent = False
        self.told: dict[str, list[tuple[float, str]]] = {}  # by engine: since when the agent has which phase
        self.lists = 0

    async def listen(self) -> None:
        self.server = await asyncio.get_running_loop().create_server(lambda: Http(self), "127.0.0.1", 0, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]

    def leave(self) -> None:
        """Discovery is elsewhere: no new connection is accepted, and the open ones are closed."""
        self.server.close()
        for connection in list(self.connections):
            connection.transport.abort()

    def whole(self) -> dict:
        return {"revision": self.revision, "complete": True,
                "members": [e.member() for e in self.world.engines.values() if e.phase != "DELETED"]}

    def has_changed(self, *engines: Engine) -> None:
        """The agent has been sent a change of these engines' entries; watches are answered."""
        self.revision += 1
        for engine in engines:
            self.changed[engine.name] = self.revision
            self.told.setdefault(engine.name, []).append((self.world.now(), engine.phase))
            self.world.note("listed", engine.name, f"{engine.phase}, up since {engine.up_since_ms}, revision {self.revision}")
        watches, self.watches = self.watches, []
        for connection, since, timer in watches:
            timer.cancel()
            self.answer(connection, since)

    def asked(self, connection: Http, method: str, target: str, headers: dict, body: bytes) -> None:
        if self.silent:
            return
        path, _, query = target.partition("?")
        asked = dict(part.partition("=")[::2] for part in query.split("&") if part)
        if "from" not in asked:
            self.lists += 1
            return self.later(connection, json.dumps(self.whole()).encode())
        since = int(asked["from"])
        if self.revision > since:
            return self.answer(connection, since)
        timer = asyncio.get_running_loop().call_later(int(asked["hold_ms"]) / 1000, self.hold_over, connection, since)
        self.watches.append((connection, since, timer))

    def hold_over(self, connection: Http, since: int) -> None:
        self.watches = [w for w in self.watches if w[0] is not connection]
        self.answer(connection, since)

    def answer(self, connection: Http, since: int) -> None:
        if not self.silent:
            members = [self.world.engines[n].member() for n, revision in self.changed.items() if revision > since]
            self.later(connection, json.dumps({"revision": self.revision, "complete": False, "members": members}).encode())

    def later(self, connection: Http, body: bytes) -> None:
        asyncio.get_running_loop().call_later(self.answers_after, connection.say, answer("200 OK", body))


class Node:
    """The program under test, a process of its own."""

    def __init__(self, world: World, name: str, **more) -> None:
        self.world, self.name, self.more = world, name, more
        self.process: subprocess.Popen | None = None
        self.port = 0
        self.starts = 0

    def configure(self, known: dict, agent: Agent) -> Path:
        """Writes the node's configuration, whole, in place of the one before."""
        self.known = known
        conf = {"name": self.name, "listen": f"127.0.0.1:{self.port}", "discovery": f"127.0.0.1:{agent.port}",
                "seed": f"{self.starts:x}1f", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **self.more.get("limits", {})},
                "known": known, "settings": self.more["settings"]}
        path = self.world.folder / f"{self.name}.json"
        fresh = path.with_suffix(".new")
        fresh.write_text(json.dumps(conf))
        fresh.rename(path)
        return path

    def start(self, known: dict, agent: Agent) -> None:
        world = self.world
        if not self.port:
            self.port = free_port()
        self.starts += 1
        path = self.configure(known, agent)
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {**os.environ, "NODE_NAME": self.name, "NODE_LISTEN": f"127.0.0.1:{self.port}", "NODE_DISCOVERY": f"127.0.0.1:{agent.port}",
                       "NODE_CONFIG": str(path), "TMPDIR": str(world.folder), "NODE_LOG_LEVEL": os.environ.get("NODE_LOG_LEVEL", "info")}
        self.log = open(world.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log)
        world.note("node started", self.name, "")

    async def ready(self, within: float = 30.0) -> None:
        """As the front does: it takes the node in once /health/ready has answered 200."""
        until = self.world.now() + within
        while self.world.now() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"the node ended with {self.process.returncode}")
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 2.0)
                writer.close()
                if b" 200 " in line:
                    self.world.note("ready", self.name, "")
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.02)
        raise CannotRun("the node was not ready")

    def signal(self, number: int) -> None:
        self.world.note("signal", self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    def end(self) -> None:
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def free_port() -> int:
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        return one.getsockname()[1]


class World:
    """All stand-ins of one case, and what they saw."""

    def __init__(self, folder_of_case: Path) -> None:
        self.case = folder_of_case
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.began = time.monotonic()
        self.lines: list[str] = []
        self.engines: dict[str, Engine] = {}
        self.requests: dict[str, Request] = {}
        self.states: dict[str, State] = {}
        self.past: list[State] = []
        self.nodes: list[Node] = []
        self.agents: list[Agent] = []
        self.releases: list[tuple[float, str, str]] = []
        self.tasks: set[asyncio.Task] = set()
        self.count = 0
        self.most_late = 0.0  # seconds that the stand-ins' own loop was late at most

    def now(self) -> float:
        return time.monotonic() - self.began

    def note(self, what: str, who: str, text: str) -> None:
        self.lines.append(f"{self.now():9.3f} {what:12} {who:20} {text}")

    async def engine(self, name: str, flavor: str, role: str, cell: int, habits: Habits) -> Engine:
        engine = self.engines[name] = Engine(self, name, flavor, role, cell, habits)
        await engine.listen()
        return engine

    async def agent(self) -> Agent:
        agent = Agent(self)
        await agent.listen()
        self.agents.append(agent)
        return agent

    def node(self, name: str, settings: dict, **limits) -> Node:
        node = Node(self, name, settings=settings, limits=limits)
        self.nodes.append(node)
        return node

    async def work(self) -> None:
        """Lets the engines read on."""
        before = self.now()
        while True:
            await asyncio.sleep(TICK_S)
            now = self.now()
            self.most_late = max(self.most_late, now - before - TICK_S)
            for engine in self.engines.values():
                engine.tick(now - before)
            before = now

    # States.

    def state_held(self, attempt: Attempt) -> None:
        if attempt.id in self.states:
            self.state_gone(self.states[attempt.id], "read again")
        self.states[attempt.id] = State(attempt.id, attempt.engine, self.now())
        self.note("held", attempt.id, f"at {attempt.engine}{', its read was given up' if attempt.given_up else ''}")

    def state_taken(self, attempt: Attempt) -> None:
        self.state_gone(self.states[attempt.id], f"taken by {attempt.engine}")

    def release(self, id: str, engine: str) -> None:
        self.releases.append((self.now(), id, engine))
        state = self.states.get(id)
        if state:
            self.state_gone(state, f"released through {engine}")

    def state_gone(self, state: State, how: str) -> None:
        self.states.pop(state.id, None)
        state.until, state.how = self.now(), how
        self.past.append(state)
        self.note("let go", state.id, f"{how}, held at {state.engine} for {state.until - state.since:.3f} s")

    # Clients.

    def request(self, port: int, kind: str, session: str, shared: str, tokens: int, shared_tokens: int, timeout: float,
                leaves_after: float = 0.0, max_out: int = 60) -> Request:
        """A client's request on a connection of its own, from now on."""
        self.count += 1
        one = Request(f"{self.count:06x}{os.urandom(5).hex()}", kind, session, shared, tokens, shared_tokens, timeout)
        self.requests[one.id] = one
        task = asyncio.ensure_future(self._alone(port, one, leaves_after, max_out))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return one

    def visit(self, port: int, turns: list[tuple[Request, float]], rests: float) -> None:
        """A client that asks for one turn after the other on its one connection: (request, pause behind it). It rests then, until the node
        ends the connection or the time is over."""
        for one, _ in turns:
            self.requests[one.id] = one
        task = asyncio.ensure_future(self._visit(port, turns, rests))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def turn(self, kind: str, session: str, shared: str, tokens: int, shared_tokens: int, timeout: float) -> Request:
        self.count += 1
        return Request(f"{self.count:06x}{os.urandom(5).hex()}", kind, session, shared, tokens, shared_tokens, timeout)

    async def _visit(self, port: int, turns: list[tuple[Request, float]], rests: float) -> None:
        streams = None
        for one, pause in turns:
            streams = await self._ask(port, one, 0.0, 60, streams)
            await asyncio.sleep(pause)
        if streams:
            try:
                await asyncio.wait_for(streams[0].read(1), rests)
            except (asyncio.TimeoutError, OSError):
                pass
            streams[1].close()

    async def _alone(self, port: int, one: Request, leaves_after: float, max_out: int) -> None:
        streams = await self._ask(port, one, leaves_after, max_out, None)
        if streams:
            streams[1].close()

    async def _ask(self, port: int, one: Request, leaves_after: float, max_out: int, streams):
        """One request and its answer. Returns the connection's streams where it may be used again."""
        body = json.dumps({"model": "chat", "stream": True, "max_tokens": max_out, "messages": [{"role": "user", "content": one.id}]}).encode()
        info = f"prompt_len={one.tokens},max_out={max_out}"
        if one.shared:
            info = f"prefix={one.shared},prefix_len={one.shared_tokens}," + info
        head = (f"POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {one.id}\r\nRequest-Class: {one.kind}\r\n"
                f"Affinity-Key: {one.session}\r\nRequest-Timeout: {one.timeout:.3f}\r\nRequest-Info: {info}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n").encode()
        if streams and (streams[0].at_eof() or streams[1].is_closing()):
            streams[1].close()
            streams = None
        try:
            reader, writer = streams or await asyncio.open_connection("127.0.0.1", port)
        except OSError as problem:
            one.how, one.ended = f"no connection: {problem}", self.now()
            return None
        one.sent = self.now()
        self.note("asked", one.id, f"{one.kind}, {one.tokens} tokens, waits {one.timeout:.3f} s{', kept connection' if streams else ''}")
        writer.write(head + body)
        try:
            if leaves_after:
                await asyncio.wait_for(self._hear(reader, one), leaves_after)
            else:  # its try is over when no answer began in its time, with what one may be late by
                line = await asyncio.wait_for(reader.readline(), one.timeout + LATEST_S)
                await asyncio.wait_for(self._hear(reader, one, line), 90.0)
        except asyncio.TimeoutError:
            one.how = "left" if leaves_after else "no answer"
            one.left = self.now() if leaves_after else 0.0
        except (OSError, asyncio.IncompleteReadError) as problem:
            one.how = f"reset: {problem.__class__.__name__}"
        one.ended = self.now()
        if streams and one.how.startswith(("closed", "reset")) and not one.first:
            # The close crossed a request that the node had not read: the client sends it once more on a new connection.
            self.note("crossed", one.id, one.how)
            writer.close()
            one.how = ""
            return await self._ask(port, one, leaves_after, max_out, None)
        self.note("client", one.id, f"{one.how or one.status}{' whole' if one.whole else ''} after {one.ended - one.sent:.3f} s")
        if one.whole:
            return reader, writer
        writer.close()
        return None

    async def _hear(self, reader: asyncio.StreamReader, one: Request, line: bytes | None = None) -> None:
        line = await reader.readline() if line is None else line
        if not line:
            one.how = "closed without an answer"
            return
        one.status, one.first = int(line.split(b" ")[1]), self.now()
        length, chunked = 0, False
        while (line := await reader.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode("latin-1").lower().partition(":")
            length = int(value) if name == "content-length" else length
            chunked = chunked or name == "transfer-encoding"
        if not chunked:
            one.body = await reader.readexactly(length) if length else b""
            one.whole = True
            return
        while True:
            size = await reader.readline()
            if not size:
                one.how = "broken stream"
                return
            data = await reader.read(0) if int(size, 16) == 0 else await reader.readexactly(int(size, 16))
            await reader.readline()
            if int(size, 16) == 0:
                one.whole = True
                return
            one.body += data

    async def over(self, within: float) -> None:
        """Waits for the clients that are still here."""
        until = self.now() + within
        while self.tasks and self.now() < until:
            await asyncio.sleep(0.05)

    def close(self, summary: list[str]) -> None:
        for node in self.nodes:
            node.end()
        text = [*summary, "", *sorted(self.lines)]
        for node in self.nodes:
            log = self.folder / f"{node.name}.log"
            if log.exists():
                text += ["", f"log of {node.name}:", *log.read_text(errors="replace").splitlines()[-400:]]
        (self.case / "record.txt").write_text("\n".join(text) + "\n")
        shutil.rmtree(self.folder, ignore_errors=True)


def settings(services: list[dict] | None = None, **more) -> dict:
    """Settings of a small deployment, by the example of the wire page; ``more`` replaces whole keys or updates inner objects."""
    base = {
        "balancers": 1, "zone": "a", "dcs": ["a"], "kinds": ["prefill", "decode", "mixed"], "discovery": "automatic", "workload": "twostage",
        "bounds": {"cancelling": True, "conn-idle": 15.0, "connect-timeout": 0.25, "max-attempts": 5, "max-retry-after": 0.5, "peers": False,
                   "probing": False, "retry-after": True, "second-copies": False, "streams-per-conn": 1, "open-cap": 26200},
        "clients": {"marks-retry": False},
        "family-info": {"aim-us-per-1000-prompt-tokens": [40000.0, 40000.0], "duty-by-kind": ["read", "write", "both"], "let-go-by": 0.3,
                        "may-reserve": False, "resume": False, "self-prefill": True, "token-aim": [0.07, 0.08]},
        "feedback": {"columns": [], "how": "silent"},
        "rules": {"answer-slack": 0.008, "ask-within": 10.0, "cold": 13.0, "cold-share": 0.28, "drain-grace": 0.5, "fall": 1.5,
                  "fall-multiple": 2.5},
        "services": services or [
            {"deadline": 6.0, "goal-time": 1.5, "group": "all", "late-worth": 0.1, "name": "draft", "points": 1.0, "semantics": "pure",
             "stream": True, "window": 5.0},
            {"deadline": 10.0, "goal-time": 2.5, "group": "all", "late-worth": 0.3, "name": "send", "points": 3.0,
             "semantics": "side_effect", "stream": True, "window": 5.0}],
        "weights": "rough", "value-by": "work"}
    for key, value in more.items():
        key = key.replace("_", "-")
        base[key] = {**base[key], **value} if isinstance(value, dict) else value
    return base


def play(case: Path, script) -> int:
    """Runs a case: ``script(world)`` returns what broke the rule (empty: it held) and lines for the record."""
    if not (ROOT / ".venv/bin/python").exists():
        print("no .venv: build first")
        return 2

    async def run() -> tuple[list[str], list[str]]:
        working = asyncio.ensure_future(world.work())
        try:
            return await asyncio.wait_for(script(world), 110.0)
        finally:
            working.cancel()

    world, code, summary = World(case), 2, []
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken, told = asyncio.run(run())
        for node in world.nodes:
            if node.process and node.process.poll() not in (None, 0, -signal.SIGKILL, -signal.SIGTERM):
                broken.append(f"{node.name} ended with {node.process.returncode}")
        code = 1 if broken else 0
        summary = [f"{'BROKEN' if broken else 'HELD'} (TROUBLE={int(TROUBLE)}), {len(broken)} found", *told,
                   f"the stand-ins' loop was late by {1000 * world.most_late:.0f} ms at most", *broken[:60]]
        if broken and world.most_late > LATE_MOST_S:  # what was seen may be the machine's doing
            code, summary[0] = 2, "COULD NOT RUN: the machine was too busy to tell"
    except Exception as problem:  # a fault of the script or of the machine is no verdict on the node
        summary = [f"COULD NOT RUN: {type(problem).__name__}: {problem}"]
    finally:
        world.close(summary)
        print("\n".join(summary))
    return code


def held_too_long(world: World, limit: float) -> list[str]:
    """States for which no clock stopped within the limit: since they came to be held, or since the last attempt for them ended."""
    found, end = [], world.now()
    for state in [*world.past, *world.states.values()]:
        attempts = [a for a in world.requests[state.id].attempts if a.at <= (state.until or end)]
        until = state.until or end
        clock = state.since
        for a in sorted(attempts, key=lambda a: a.at):
            over = a.over or end
            if over <= state.since:
                continue
            if a.at - clock > limit:
                break
            clock = max(clock, over)
        if until - clock > limit:
            found.append(f"{state.id}: held at {state.engine} from {state.since:.3f}, no attempt out since {clock:.3f}, "
                         f"{state.how + f' at {until:.3f}' if state.until else 'still held at the end'}: {until - clock:.3f} s, allowed {limit:.3f}")
    return found
