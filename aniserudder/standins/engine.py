"""A reader, writer or mixed engine that stands in for a real one.

It reads prompts first come first at its pace, from where the beginnings that it has kept end; it holds read states
until they are taken, let go or expire; it writes in steps, one token for every running stream a step; slots, queue
and memory are bounded; it starts cold and, pushed too hard while cold, falls over and stays down. What it saw and did
goes to the witness, under the ``ref`` that it finds in the prompt: no label of the router's is believed.
"""
from __future__ import annotations

import re
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
import xxhash
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IDelayedCall, IReactorTCP
from twisted.internet.protocol import Factory

from ..eventloop import steady_seconds
from ..wire.client import ClientConnection
from ..wire.server import Exchange
from .listener import Listener
from .witness import Witness
from .words import length, word

LONG_UP_S = 86_400.0           # what one says that has been up for longer than anybody remembers
FETCH_S = 1.5                  # a fetch that takes longer has failed
CHARS_PER_TOKEN = 4.3          # its own tokenizer, not the router's estimate
REF = re.compile(r"\[ref ([\w./-]+)\]")
_encode, _decode = msgspec.json.Encoder().encode, msgspec.json.Decoder(dict[str, Any]).decode


@dataclass(slots=True)
class EngineSpec:
    """What an engine can do. Paces are those of a warm engine."""
    name: str
    kind: str
    role: str
    zone: str
    rack: int = 0
    slots: int = 32
    queue: int = 32
    memory: int = 200_000          # tokens
    read_per_s: float = 20_000     # prompt tokens a second
    step_ms: float = 20            # for one token of every stream
    fetch_per_s: float = 400_000   # tokens of a state a second
    held_ms: float = 4_000         # a held state expires after this
    kept_most: int = 400           # beginnings kept
    cold_share: float = 0.3
    cold_ms: float = 5_000
    fall_multiple: float = 2.5
    fall_ms: float = 1_500
    rate: float = 0.0              # sequences a second when warm; 0: it does not fall over
    size: float = 1.0
    samples: bool = False          # writes another text each time


@dataclass(slots=True)
class Faults:
    """What is wrong with it at the moment; set by the script."""
    refuse: bool = False
    reset: str = ""                # "before" or "after" the work
    stall: bool = False
    slow: float = 1.0
    lose_answers: float = 0.0      # part of the answers that are lost after the work
    draining: bool = False
    garble: str = ""               # "half line", "long line", "noise"
    trickle: float = 0.0           # seconds between the tokens of every stream, in place of its pace
    slow_words: float = 0.0        # seconds that it takes to say how it is, and what an attempt ran
    forced: str = ""               # of a forced beginning: "ignores" it, "lies" about it, "repeats" its last words


@dataclass(slots=True, eq=False)
class Work:
    """One request at the engine."""
    exchange: Exchange
    ref: str
    seq: str
    ordinal: str
    node: str
    model: str
    reads: bool
    prompt: int
    keys: list[tuple[str, int]]
    output: int
    state: dict[str, Any] | None
    stream: bool
    token: str
    forced: str = ""               # text so far that was given
    salt: str = ""
    repeats: int = 0               # words that it repeats of that
    next_at: float = 0.0           # while it trickles
    kept: int = 0
    did_read: int = 0              # prompt tokens that were read here, and that were found kept
    did_kept: int = 0
    written: int = 0
    running: bool = False
    gone: bool = False
    repeat: bool = False


@dataclass(slots=True, eq=False)
class Held:
    """A read state that waits here."""
    block: str
    ref: str
    seq: str
    ordinal: str
    tokens: int
    timer: IDelayedCall


@dataclass(slots=True)
class Repeats:
    """What a group of engines remembers of marks, so that a repeat has no second effect."""
    window_s: float
    seen: dict[str, float] = field(default_factory=dict)

    def is_repeat(self, token: str, now: float) -> bool:
        at = self.seen.get(token)
        if at is not None and now - at < self.window_s:
            return True
        self.seen[token] = now
        return False


class StandinEngine:
    """One engine on loopback.

    Args:
        zones: it listens once for each, so that each can be cut off from it; the first is enough where none is cut.
        chance: a bound ``random`` of a seeded ``random.Random``, for answers that get lost.
        wall: seconds since 1970; by itself they do not step.
        repeats: by repeat group, shared with the other engines of the group.
    """

    def __init__(self, reactor: IReactorTCP, spec: EngineSpec, witness: Witness, zones: list[str],
                 chance: Callable[[], float], repeats: Repeats | None = None, port: int = 0,
                 listener: type[Listener] = Listener, wall: Callable[[], float] = steady_seconds) -> None:
        self.wall = wall
        self.reactor, self.spec, self.witness, self.chance, self.repeats = reactor, spec, witness, chance, repeats
        self.listeners = {z: listener(reactor, lambda e, z=z: self._asked(e, z), port=port if i == 0 else 0)
                          for i, z in enumerate(zones)}
        self.faults = Faults()
        self.down = False
        self.paused_until = 0.0
        self.started_at = 0.0          # on ``wall``; 0: long past
        self.blocks = 0
        self.fell = False
        self.usage: dict[tuple[str, str], dict[str, Any]] = {}  # what each attempt ran; outlives the process, as a log would
        self._clear()

    def _clear(self) -> None:
        self.reading: deque[Work] = deque()
        self.waiting: deque[Work] = deque()
        self.running: list[Work] = []
        self.fetching: list[Work] = []
        self.held: dict[str, Held] = {}
        self.kept: OrderedDict[str, int] = OrderedDict()
        self.cold_work: deque[tuple[float, str]] = deque()
        self._read_timer: IDelayedCall | None = None
        self._step_timer: IDelayedCall | None = None

    def address(self, zone: str) -> str:
        """Where it listens for a zone."""
        return self.listeners.get(zone, next(iter(self.listeners.values()))).address

    # Its life.

    def stop(self) -> None:
        self._drop_all()
        for listener in self.listeners.values():
            listener.stop()

    def kill(self) -> None:
        """The process dies: connections are reset, all is lost, nobody listens."""
        self.down = True
        self.witness.note("engine_down", engine=self.spec.name)
        self._drop_all()
        for listener in self.listeners.values():
            listener.close()

    def start(self) -> None:
        """The process starts, empty and cold."""
        self.down, self.fell, self.faults = False, False, Faults()
        self.started_at = self.wall()
        self.witness.note("engine_up", engine=self.spec.name, rate=self.spec.rate, cold_share=self.spec.cold_share,
                          cold_us=round(self.spec.cold_ms * 1000), fall_multiple=self.spec.fall_multiple,
                          fall_us=round(self.spec.fall_ms * 1000))
        for listener in self.listeners.values():
            listener.open()

    def forget(self) -> None:
        """Kept beginnings are void."""
        self.kept.clear()

    def pause(self, seconds: float) -> None:
        """Freezes: takes bytes, does nothing, goes on where it was."""
        self.paused_until = self.reactor.seconds() + seconds

    def _drop_all(self) -> None:
        for timer in (self._read_timer, self._step_timer):
            if timer and timer.active():
                timer.cancel()
        for held in self.held.values():
            if held.timer.active():
                held.timer.cancel()
            self.witness.note("lost_state", engine=self.spec.name, ref=held.ref, block=held.block)
        for work in [*self.reading, *self.waiting, *self.running, *self.fetching]:
            work.exchange.gone = None
            self._over(work, "engine died")
        self._clear()

    def share(self) -> float:
        """The part of its capacity that it has at the moment."""
        if not self.started_at:
            return 1.0
        age = (self.wall() - self.started_at) * 1000 / self.spec.cold_ms
        return min(1.0, self.spec.cold_share + (1 - self.spec.cold_share) * age)

    def _speed(self) -> float:
        return self.share() / self.faults.slow

    # Requests.

    def _asked(self, exchange: Exchange, zone: str) -> None:
        if self.faults.garble:
            return self._garbled(exchange)
        if exchange.path == "/v1/kv/release":
            return self._release(exchange)
        if exchange.path == "/v1/kv/take":
            return self._take(exchange)
        if self.faults.slow_words and exchange.path.startswith(("/v1/status", "/v1/usage?")):
            self.reactor.callLater(self.faults.slow_words, self._tell, exchange)
        elif exchange.path.startswith(("/v1/status", "/v1/usage?")):
            self._tell(exchange)
        else:
            self._generate(exchange)

    def _tell(self, exchange: Exchange) -> None:
        """How it is, or what an attempt ran."""
        if self.down or not exchange.open:
            return
        if exchange.path.startswith("/v1/status"):
            return exchange.reply(200, _encode({"inflight": len(self.running) + len(self.waiting) + len(self.held),
                                                "x0": self._memory_used() / self.spec.memory,
                                                "up_s": round(self.wall() - self.started_at, 3) if self.started_at else LONG_UP_S}))
        self._tell_usage(exchange)

    def _generate(self, exchange: Exchange) -> None:
        if exchange.path != "/v1/chat/completions":
            return exchange.reply(404, b"{}")
        try:
            work = self._work(exchange)
        except (msgspec.DecodeError, KeyError, TypeError, ValueError, AttributeError):
            return exchange.reply(400, b'{"error":{"code":"bad_request","message":"cannot be read"}}')
        held_back = getattr(exchange.connection, "thawed_at", -1.0)
        self.witness.note("attempt", engine=self.spec.name, ref=work.ref, node=work.node, reads=work.reads,
                          local=not work.reads and work.state is None, model=work.model, tokens=work.prompt,
                          forced=len(work.forced.split()), held_back=held_back > self.reactor.seconds() - 0.05)
        self._use(work, "running")
        self._pushed(work)
        if self.down:
            return self._over(work, "engine died")
        if self.faults.reset == "before":
            return self._answer_over(work, "reset before the work", exchange.cut)
        if self.faults.draining:
            return self._refuse(work, 503, "draining")
        if work.reads:
            if len(self.reading) >= self.spec.queue:
                return self._refuse(work, 503, "full")
            exchange.gone = lambda reason: self._left(work)
            self.reading.append(work)
            self._read_next()
        else:
            if len(self.running) + len(self.waiting) + len(self.fetching) >= self.spec.slots + self.spec.queue:
                return self._refuse(work, 503, "full")
            exchange.gone = lambda reason: self._left(work)
            self.waiting.append(work)
            self._admit()

    def _work(self, exchange: Exchange) -> Work:
        body = _decode(bytes(exchange.body))
        texts = [str(m["content"]) for m in body["messages"]]
        keys, chars, name = [], 0, body["model"]
        for text in texts:
            chars += len(text)
            name = xxhash.xxh3_64_hexdigest(f"{name}\0{text}".encode())
            keys.append((name, max(1, round(chars / CHARS_PER_TOKEN))))
        params = body.get("kv_transfer_params") or {}
        reads = bool(params.get("do_remote_decode"))
        state = params if params.get("do_remote_prefill") else None
        h = exchange.headers
        forced = texts.pop() if body.get("continue_final_message") else ""
        found = REF.findall(texts[-1])
        ref, there = found[-1] if found else "", len(forced.split())
        output = length(texts[-1], int(body["max_tokens"]) + there) - there if not reads else 1
        salt = f"{h.get('x-request-id')}/{h.get('x-attempt')}" if self.spec.samples else ref
        repeats = min(3, there) if self.faults.forced == "repeats" else 0
        if forced and self.faults.forced == "ignores":
            salt, forced, there = f"other {salt}", "", 0
        return Work(exchange, ref, h.get("x-request-id", ""), h.get("x-attempt", ""),
                    h.get("x-node", ""), body["model"], reads, keys[-1][1], keys, max(0, output), state,
                    bool(body.get("stream")), h.get("x-repeat-token", ""), forced, salt, repeats)

    def _pushed(self, work: Work) -> None:
        """Counts what a cold engine is sent, refused work too; past its budget it falls over and stays down."""
        if not self.spec.rate or self.share() >= 1:
            self.cold_work.clear()
            return
        now, window = self.reactor.seconds(), self.spec.fall_ms / 1000
        self.cold_work.append((now, work.node))
        while self.cold_work[0][0] < now - window:
            self.cold_work.popleft()
        if len(self.cold_work) > self.spec.fall_multiple * self.share() * self.spec.rate * window + 4:
            self.fell = True
            self.witness.note("fell", engine=self.spec.name)
            self.kill()

    def _refuse(self, work: Work, status: int, code: str) -> None:
        body = _encode({"error": {"code": code, "message": f"{self.spec.name} is {code}"}})
        self._answer_over(work, code, lambda: work.exchange.reply(status, body))

    def _answer_over(self, work: Work, result: str, answer: Callable[[], None]) -> None:
        work.exchange.gone = None
        answer()
        self._over(work, result)

    def _over(self, work: Work, result: str) -> None:
        if not work.gone:
            work.gone = True
            self.witness.note("attempt_end", engine=self.spec.name, ref=work.ref, result=result, kept=work.kept,
                              read=work.did_read, did_kept=work.did_kept, written=work.written, model=work.model)
            self._use(work, "over", result)

    def _use(self, work: Work, state: str, outcome: str = "") -> None:
        """Keeps what an attempt ran, for whoever asks."""
        self.usage[work.seq, work.ordinal] = {"state": state, "outcome": outcome, "read": work.did_read + work.did_kept,
                                              "kept": work.did_kept, "written": work.written}

    def _tell_usage(self, exchange: Exchange) -> None:
        query = dict(p.partition("=")[::2] for p in exchange.path.partition("?")[2].split("&"))
        key = query.get("request_id", ""), query.get("attempt", "")
        exchange.reply(200, _encode(self.usage.get(key, {"state": "unknown"})))

    def _left(self, work: Work) -> None:
        """Whoever asked is gone: work that waits is dropped, a stream that nobody reads ends."""
        for group in (self.waiting, self.running, self.fetching):
            if work in group:
                group.remove(work)
        if work in self.reading and self.reading[0] is not work:
            self.reading.remove(work)
        self._over(work, "left")
        self._admit()

    # Reading.

    def _find(self, work: Work) -> int:
        """Tokens of the prompt that are kept here."""
        return max((tokens for key, tokens in work.keys if key in self.kept), default=0)

    def _keep(self, work: Work) -> None:
        for key, tokens in work.keys:
            self.kept[key] = tokens
            self.kept.move_to_end(key)
        while len(self.kept) > self.spec.kept_most:
            self.kept.popitem(last=False)

    def _read_seconds(self, work: Work) -> float:
        work.kept = min(self._find(work), work.prompt - 1)
        return 0.002 + (work.prompt - work.kept) / (self.spec.read_per_s * self._speed())

    def _read_next(self) -> None:
        if self.reading and not (self._read_timer and self._read_timer.active()):
            self._read_timer = self.reactor.callLater(self._read_seconds(self.reading[0]), self._read_done)

    def _read_done(self) -> None:
        if self._frozen():
            self._read_timer = self.reactor.callLater(0.02, self._read_done)
            return
        work = self.reading.popleft()
        self._keep(work)
        if not work.gone:
            work.did_read, work.did_kept = work.prompt - work.kept, work.kept
            if self._memory_used() + work.prompt > self.spec.memory:
                self._refuse(work, 503, "full")
            elif not self._answer_goes_out(work):
                self._hold(work)
            else:
                held = self._hold(work)
                params = {"do_remote_prefill": True, "do_remote_decode": False, "remote_engine_id": self.spec.name,
                          "remote_block_ids": [held.block], "tokens": work.prompt,
                          "remote_addresses": {z: x.address for z, x in self.listeners.items()}}
                body = _encode({"id": work.seq, "choices": [{"index": 0, "message": {"content": ""},
                                                             "finish_reason": "length"}],
                                "usage": self._usage(work, 1), "kv_transfer_params": params})
                self._answer_over(work, "read", lambda: work.exchange.reply(200, body))
        self._read_next()

    def _hold(self, work: Work) -> Held:
        self.blocks += 1
        block = f"{self.spec.name}-{self.blocks}"
        timer = self.reactor.callLater(self.spec.held_ms / 1000, self._expire, block)
        held = self.held[block] = Held(block, work.ref, work.seq, work.ordinal, work.prompt, timer)
        self.witness.note("held", engine=self.spec.name, ref=work.ref, block=block, tokens=work.prompt,
                          node=work.node)
        return held

    def _drop_state(self, held: Held, what: str) -> None:
        del self.held[held.block]
        if held.timer.active():
            held.timer.cancel()
        self.witness.note(what, engine=self.spec.name, ref=held.ref, block=held.block)

    def _expire(self, block: str) -> None:
        self._drop_state(self.held[block], "expired")

    def _release(self, exchange: Exchange) -> None:
        try:
            body = _decode(bytes(exchange.body))
        except msgspec.DecodeError:
            return exchange.reply(400, b"{}")
        seq, ordinal = str(body.get("request_id")), str(body.get("attempt"))
        for work in [w for w in self.reading if w.seq == seq and w.ordinal == ordinal]:
            self._left(work)  # named while it still waits or is read
        found = self._named(body, seq, ordinal)
        for held in found:
            self._drop_state(held, "let_go")
        exchange.reply(200 if found else 404, b"{}")

    def _named(self, body: dict[str, Any], seq: str, ordinal: str) -> list[Held]:
        """What a letting go names. That it was asked is witnessed also where the engine is in no state to do it."""
        named = set((body.get("kv_transfer_params") or {}).get("remote_block_ids") or ())
        found = [h for h in self.held.values() if h.block in named or h.seq == seq and h.ordinal == ordinal]
        for held in found:
            self.witness.note("let_go_asked", engine=self.spec.name, ref=held.ref, block=held.block)
        return found

    def _take(self, exchange: Exchange) -> None:
        """A writer fetches a state; the memory is free once it has it."""
        body = _decode(bytes(exchange.body))
        held = self.held.get(str(body.get("block")))
        if held is None:
            return exchange.reply(404, b"{}")
        self.witness.note("fetch", engine=self.spec.name, ref=held.ref, block=held.block)

        def sent() -> None:
            if self.down or not exchange.open:
                return
            if held.block not in self.held:
                return exchange.reply(404, b"{}")
            self._drop_state(held, "taken")
            exchange.reply(200, _encode({"tokens": held.tokens}))
        self.reactor.callLater(held.tokens / (self.spec.fetch_per_s / self.faults.slow), sent)

    # Writing.

    def _memory_used(self) -> int:
        return (sum(h.tokens for h in self.held.values())
                + sum(w.prompt + w.written for w in [*self.running, *self.fetching]))

    def _admit(self) -> None:
        while self.waiting and len(self.running) + len(self.fetching) < self.spec.slots:
            work = self.waiting[0]
            if self._memory_used() + work.prompt > self.spec.memory and (self.running or self.fetching):
                break
            self.waiting.popleft()
            self.fetching.append(work)
            if work.state is not None:
                self._fetch(work)
            else:  # reads by itself, between the steps of its answers
                wait = self._read_seconds(work) * (1 + len(self.running) / self.spec.slots)
                self.reactor.callLater(wait, self._begin, work)

    def _fetch(self, work: Work) -> None:
        addresses = work.state.get("remote_addresses") or {}
        address = addresses.get(self.spec.zone) or next(iter(addresses.values()), "")
        host, _, port = address.rpartition(":")

        def failed(*_: object) -> None:
            if work in self.fetching and not self.down:
                self.fetching.remove(work)
                self._refuse(work, 409, "no_state")
                self._admit()

        if not port.isdigit():
            return failed()
        self.reactor.callLater(FETCH_S, lambda: work.running or work.gone or failed())
        factory = Factory.forProtocol(lambda: ClientConnection(address, lambda c: c.drop(), lambda c: None))
        factory.noisy = False
        body = _encode({"block": (work.state.get("remote_block_ids") or [""])[0]})
        TCP4ClientEndpoint(self.reactor, host, int(port), timeout=0.3).connect(factory).addCallbacks(
            lambda c: c.ask("POST", "/v1/kv/take", [], body, _Fetch(lambda: self._begin(work), failed)) or failed(),
            failed)

    def _begin(self, work: Work) -> None:
        """The first step of an answer: from here on it has had its effect."""
        if work not in self.fetching or self.down:
            return
        self.fetching.remove(work)
        if work.gone:
            return
        self._keep(work)
        if work.state is None:
            work.did_read, work.did_kept = work.prompt - work.kept, work.kept
        work.running = True
        if work.token and self.repeats and self.repeats.is_repeat(work.token, self.reactor.seconds()):
            work.repeat = True
        self.witness.note("repeat" if work.repeat else "effect", engine=self.spec.name, ref=work.ref,
                          model=work.model, token=work.token)
        if self.faults.reset == "after":
            return self._answer_over(work, "reset after the work", work.exchange.cut)
        self.running.append(work)
        if not self._answer_goes_out(work):
            work.running = False
        self._plan_step()

    def _answer_goes_out(self, work: Work) -> bool:
        """False: the work is done and its answer never arrives."""
        if self.faults.stall or self.faults.lose_answers and self.chance() < self.faults.lose_answers:
            return False
        return True

    def _plan_step(self) -> None:
        if self.running and not (self._step_timer and self._step_timer.active()):
            self._step_timer = self.reactor.callLater(self.spec.step_ms / 1000 / self._speed(), self._step)

    def _step(self) -> None:
        if self._frozen():
            self._step_timer = self.reactor.callLater(0.02, self._step)
            return
        for work in list(self.running):
            if work.gone or self.faults.stall:
                continue
            if self.faults.trickle:
                if self.reactor.seconds() < work.next_at:
                    continue
                work.next_at = self.reactor.seconds() + self.faults.trickle
            begins = not work.exchange.began and work.running
            if work.output:
                work.written += 1
            if not work.running:  # its answers are lost
                if work.written >= work.output:
                    self.running.remove(work)
                continue
            if begins:
                work.exchange.begin(200)
                self._join(work)
            if work.output:
                word = self._word(work, len(work.forced.split()) + work.written)
                work.exchange.write(b'data: {"choices":[{"index":0,"delta":{"content":"%s"}}]}\n\n' % word.encode())
            if work.written >= work.output and work in self.running:
                self.running.remove(work)
                self._finish(work)
        self._admit()
        self._plan_step()

    def _word(self, work: Work, number: int) -> str:
        return word(work.salt, number)

    def _join(self, work: Work) -> None:
        """Says where its text begins, if a beginning was forced, and repeats the end of it where it does that."""
        if not work.forced:
            return
        words = work.forced.split(" ")[:-1]
        again = "".join(f"{w} " for w in words[len(words) - work.repeats:]) if work.repeats else ""
        before = work.forced.encode()[:len(work.forced.encode()) - len(again.encode())]
        said = xxhash.xxh3_64_hexdigest(before if self.faults.forced != "lies" else b"another text")
        work.exchange.write(b"data: " + _encode({"choices": [], "continues": {"at": len(before), "digest": said}}) + b"\n\n")
        if again:
            work.exchange.write(b"data: " + _encode({"choices": [{"index": 0, "delta": {"content": again}}]}) + b"\n\n")

    def _finish(self, work: Work) -> None:
        last = {"choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}], "usage": self._usage(work, work.written)}
        work.exchange.gone = None
        work.exchange.write(b"data: " + _encode(last) + b"\n\ndata: [DONE]\n\n")
        work.exchange.end()
        self._over(work, "generated")

    def _usage(self, work: Work, written: int) -> dict[str, Any]:
        return {"prompt_tokens": work.prompt, "completion_tokens": written,
                "prompt_tokens_details": {"cached_tokens": work.kept}}

    def _frozen(self) -> bool:
        return self.reactor.seconds() < self.paused_until

    def _garbled(self, exchange: Exchange) -> None:
        connection = exchange.connection
        if exchange.path == "/v1/kv/release":
            body = _decode(bytes(exchange.body))
            self._named(body, str(body.get("request_id")), str(body.get("attempt")))
        if self.faults.garble == "noise":
            connection.transport.write(b"\x16\x03\x01\x00 this is no HTTP\r\n\r\n")
            return
        exchange.begin(200)
        if self.faults.garble == "half line":
            exchange.write(b'data: {"choices":[{"index":0,"delta":{"cont')
            exchange.end()
        else:
            exchange.write(b"data: " + b"x" * 2_000_000)


class _Fetch:
    """The exchange of one fetch. What is no proper answer brings no state, whatever its status says."""

    def __init__(self, done: Callable[[], None], failed: Callable[[], None]) -> None:
        self.done, self.failed, self.status, self.data = done, failed, 0, b""

    def head(self, status: int) -> None:
        self.status = status

    def body(self, data: bytes) -> None:
        self.data = (self.data + data)[:1024]

    def complete(self) -> None:
        try:
            good = self.status == 200 and "tokens" in _decode(self.data)
        except msgspec.DecodeError:
            good = False
        self.done() if good else self.failed()

    def lost(self, reason: str, malformed: bool) -> None:
        self.failed()
