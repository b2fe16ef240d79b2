"""The books of one node: it reserves before a sequence is taken, writes what is sent before it is sent, learns from engines
what ran, and ships all of it to the ledger service.

``MeteredEngines`` stands between the router and the pool and sees each schedule attempt; ``MeteredAnswer`` stands between
the router and a client and sees its final answer. The file is written by a lane of its own (``durable``): a send waits there for
its entry, and nothing else waits with it. Attempts of which no engine has told what ran, be it that the connection
was cut, the attempt called off or the node killed, are asked for by name until an engine tells or ``tell_s`` is over; then they stand
with what the node saw itself, flagged.
"""
from __future__ import annotations

import os
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
import xxhash
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IDelayedCall, IReactorTCP
from twisted.internet.protocol import Factory

from ..core.ports import Answer, Attempt, Engines, Request, Usage
from ..decisions.interface import Outcome
from ..durable import Inline, Kind, Lane, State
from ..tenants.billing import Try, Work, charge
from ..tenants.keeper import Account, Keeper, Refusal
from ..tenants.authority import Hand
from ..tenants.shares import Lease
from ..tenants.windows import WindowLease, rolled, rolling
from ..wire.client import ClientConnection
from .claimant import Claimant
from .entries import Ended, Entry, Row, Sent, Shipment, Taken, Told
from .service import Ask, Asks, Grant, Hold, Reply
from .store import LedgerFull, Store

PROVEN = frozenset({Outcome.FULL, Outcome.NO_STATE, Outcome.NO_ROUTE, Outcome.NOT_SENT, Outcome.EXHAUSTED})  # nothing ran
SHIP_MOST = 500       # entries in one shipment
ASK_PENDING = 64      # attempts that are asked for at a time
BEAT_S = 0.5          # a node shows itself to the ledger so often: one that has started anew waits for what nodes hold and have yet to ship
OVER_S = 5.0          # seconds between asks of a process whose name another one has
SAY_EVERY = 1.0       # seconds between lines on entries that could not be written
BAD = (State.SLOW, State.FAILING, State.CLOSED)
_encode, _dict = msgspec.json.Encoder().encode, msgspec.json.Decoder(dict[str, Any]).decode
_reply = msgspec.json.Decoder(Reply).decode


@dataclass(slots=True, eq=False)
class Open:
    """One sequence that is not settled."""
    tenant: str
    one: Try
    taken: Taken | None              # until it is written, with the first that is sent or with the end


class MeteredAttempt:
    """A schedule attempt on its way through the books (``core.ports.Attempt``)."""

    __slots__ = ("books", "inner", "seq_id", "ordinal", "engine", "reads", "request", "state", "time_out", "send_by", "gone_out")

    def __init__(self, books: Books, inner: Attempt) -> None:
        self.books, self.inner = books, inner
        self.seq_id, self.ordinal, self.engine = inner.seq_id, inner.ordinal, inner.engine
        self.reads, self.request, self.state, self.time_out = inner.reads, inner.request, inner.state, inner.time_out
        self.send_by = inner.send_by
        self.gone_out = False    # its entry is on the disk, and it was handed on

    def goes_out(self) -> int:
        return self.inner.goes_out()

    def continues(self, at: int, digest: str) -> None:
        self.inner.continues(at, digest)

    def text(self, piece: str) -> None:
        self.books.saw(self.seq_id, self.ordinal)
        self.inner.text(piece)

    def ended(self, outcome: Outcome, usage: Usage = Usage(), state: dict[str, Any] | None = None, reason: str = "",
              report: dict[str, float] | None = None) -> None:
        self.books.ended(self, outcome, usage)
        self.inner.ended(outcome, usage, state, reason, report)


class MeteredEngines:
    """The engines' side with the books in front of it."""

    def __init__(self, inner: Engines, books: Books) -> None:
        self.inner, self.books = inner, books
        self._out: dict[Attempt, MeteredAttempt] = {}

    def send(self, attempt: Attempt) -> None:
        metered = self._out[attempt] = MeteredAttempt(self.books, attempt)
        claimed = self.books.claims is not None and attempt.request.claimed and not attempt.reads
        waits = {"the ledger cannot be written"} | ({"its operation is not granted"} if claimed else set())

        def told(what: str, good: bool) -> None:
            if self._out.get(attempt) is not metered:
                return  # called off while it waited, or the other has refused already
            waits.discard(what)
            if not good:
                metered.ended(Outcome.NOT_SENT, reason=what)
            elif not waits:
                metered.gone_out = True
                self.inner.send(metered)

        def placed(until: int) -> None:
            metered.send_by = until
            told("its operation is not granted", until > 0)
        self.books.sent(metered, lambda written: told("the ledger cannot be written", written))
        if claimed:
            self.books.claims.place(attempt.request.mark, attempt.seq_id, attempt.ordinal, attempt.engine,
                                    self.books.rules.patience_for(attempt), placed)

    def call_off(self, attempt: Attempt) -> None:
        metered = self._out.pop(attempt, None)
        if metered and metered.gone_out:
            self.inner.call_off(metered)
        elif metered:
            self.books.never_ran(metered)

    def hold(self, attempt: Attempt, held: bool) -> None:
        metered = self._out.get(attempt)
        if metered and metered.gone_out:
            self.inner.hold(metered, held)

    def let_go(self, seq_id: str, engine: str, ordinal: int, state: dict[str, Any] | None) -> None:
        self.inner.let_go(seq_id, engine, ordinal, state)

    def probe(self, engine: str, done: Any) -> None:
        self.inner.probe(engine, done)

    def over(self, attempt: Attempt) -> None:
        """Its end was told."""
        self._out.pop(attempt, None)


class MeteredAnswer:
    """A client's side with the books behind it (``core.ports.Answer``)."""

    __slots__ = ("books", "inner", "seq")

    def __init__(self, books: Books, inner: Answer, seq: str) -> None:
        self.books, self.inner, self.seq = books, inner, seq

    def text(self, piece: str) -> None:
        self.inner.text(piece)

    def generated(self, reason: str, usage: Usage) -> None:
        self.books.final(self.seq, "generated")
        self.inner.generated(reason, usage)

    def rejected(self, come_back: int, reason: str) -> None:
        self.books.final(self.seq, "rejected")
        self.inner.rejected(come_back, reason)

    def aborted(self, reason: str) -> None:
        self.books.final(self.seq, "aborted")
        self.inner.aborted(reason)


@dataclass(slots=True)
class Rules:
    """What an operator sets for the books. Times in seconds."""
    when_full: str = "refuse"     # or "serve": go on, and log each sequence that is not written
    lease_s: float = 0.1          # between asks for leases and shipments
    tell_s: float = 3600.0        # how long engines are asked what an attempt ran
    ask_again_s: float = 0.5
    patience: int = 400_000       # microseconds that a send waits for the disk
    patience_held: int = 180_000  # and one to which a read state is held: rule 5 goes on meanwhile
    service: str = ""             # host:port of the ledger service; empty: this node is alone

    def patience_for(self, attempt: Attempt) -> int:
        return self.patience if attempt.state is None else self.patience_held


class Books:
    """One node's books.

    Args:
        ask_usage: asks an engine what an attempt ran; calls back with the answer's body or None.
        wall: whole microseconds of wall time.
        life: names this start of the node to the ledger service.
        lane: writes ``store``, which nobody else may touch while it does.
        steady: seconds of a clock that never jumps; by default the reactor's.
    """

    def __init__(self, reactor: IReactorTCP, node: str, store: Store, keeper: Keeper, rules: Rules,
                 log: Callable[..., None], ask_usage: Callable[..., None], wall: Callable[[], int] | None = None,
                 life: str = "", lane: Lane | Inline | None = None, steady: Callable[[], float] | None = None) -> None:
        self.reactor, self.node, self.store, self.keeper, self.rules, self.log = reactor, node, store, keeper, rules, log
        self.ask_usage = ask_usage
        self.wall, self.steady = wall or (lambda: time.time_ns() // 1000), steady or reactor.seconds
        self.life = life or os.urandom(6).hex()
        self.lane = lane or Inline(store.group)
        self.last, self.upto = store.last, store.shipped(node)  # as far as the disk has told
        self.open: dict[str, Open] = {}
        self.waiting: dict[tuple[str, int], tuple[Sent, float, int]] = {}  # not told yet: since when, pieces seen
        # A start tells the ledger at once what former lives were granted, and hears which term leads.
        self.term, self._tells, self._beat = "", bool(rules.service), 0.0
        self.on_term: Callable[[], None] = lambda: None
        try:
            self.former = store.end_lives(node)  # what former lives of this node were granted
        except LedgerFull as full:               # it is told all the same; whoever comes is refused until the disk is well
            self.former = [(*row[:6], True) for row in store.leases()]
            log("ledger cannot be written", level="error", reason=str(full))
        self.outs: dict[str, tuple[int, int]] = {}  # by budget: its period, and the most that was heard to be out in all
        self.unwritten = 0
        self._said = (0, -SAY_EVERY)  # unwritten ones that the log tells of, and when it last did
        self._asked: set[tuple[str, int]] = set()
        self._service: ClientConnection | None = None
        self._busy = self._stopped = self._ships = False
        self._timers: list[IDelayedCall] = []
        self.engines: MeteredEngines | None = None
        self.claims: Claimant | None = None
        self.hand = Hand()        # how far this clock has to be moved for budgets
        self.over = False         # another process has this node's name
        self._number, self._sent_at, self._quiet_until = 0, 0, 0.0

    def start(self) -> None:
        """Takes up what a former life left open, and begins to lease and ship."""
        now = self.reactor.seconds()
        for sent in self.store.pending():
            self.waiting[sent.seq, sent.ordinal] = (sent, now, 0)
        if self.waiting:
            self.log("attempts of a former life are asked for", level="info", reason=str(len(self.waiting)))
        self._tick()
        self._ask_pending()

    def stop(self) -> None:
        self._stopped = True
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        if self._service:
            self._service.drop()
        if self.claims:
            self.claims.stop()
        self.lane.close(self.store.close)

    @property
    def quiet(self) -> bool:
        """Whether all is told, written and shipped."""
        return not self.waiting and self.lane.quiet and (not self.rules.service or self.upto >= self.last)

    def time(self) -> int:
        """What time it is for budgets: as the ledger has it, once it was heard."""
        return self.hand.time(self.wall(), self.steady())

    # The way of a sequence.

    def reserve(self, seq: str, request: Request) -> Refusal | None:
        """Before a sequence is taken. None: it may be; it has to end by ``final``."""
        if self.rules.when_full == "refuse" and self.lane.state() in BAD:  # none of its attempts could be sent
            self._unwritten(seq, "the disk is slow or full")
            return Refusal("ledger", "", 0, 0, 0, 0)
        prompt = request.prompt
        mark = request.mark or _digest(request)
        refusal = self.keeper.reserve(seq, prompt.customer, mark, prompt.tokens, prompt.max_output, self.time())
        if refusal is None:
            at = self.wall()
            one = Try(self.node, seq, mark, bool(request.mark), prompt.customer, prompt.traffic_type, at)
            self.open[seq] = Open(prompt.customer, one, Taken(seq, at, prompt.customer, prompt.traffic_type, mark,
                                                              bool(request.mark), request.claimed))
        return refusal

    def sent(self, attempt: MeteredAttempt, then: Callable[[bool], None]) -> None:
        """Before an attempt's first byte goes out. ``then`` is told, later, whether it may go."""
        sent = Sent(attempt.seq_id, attempt.ordinal, attempt.engine, attempt.reads, attempt.state is not None,
                    attempt.request.prompt.tokens, attempt.request.prompt.max_output, attempt.request.forced_tokens)
        self.waiting[sent.seq, sent.ordinal] = (sent, self.reactor.seconds(), 0)
        known = self.open.get(sent.seq)
        taken = known.taken if known else None
        if known:
            known.taken = None
            known.one.works[sent.ordinal] = Work(sent.ordinal, sent.engine, sent.reads, sent.fetched, behind=sent.behind)

        def told(written: bool) -> None:
            if not written and taken:  # perhaps it is written all the same, late: one that comes twice changes nothing
                known.taken = taken
            then(written)
        if self.rules.when_full == "refuse" and self.lane.state() in BAD:
            self._unwritten(sent.seq, "the disk is slow or full")
            self.reactor.callLater(0, told, False)
        else:
            self._write([taken, sent] if taken else [sent], told, self.rules.patience_for(attempt), soon=True)

    def never_ran(self, attempt: MeteredAttempt) -> None:
        """An attempt that had not gone out and will not."""
        if self.waiting.pop((attempt.seq_id, attempt.ordinal), None):
            self._told(Told(attempt.seq_id, attempt.ordinal, "never ran"))

    def saw(self, seq: str, ordinal: int) -> None:
        """A piece of text came by."""
        held = self.waiting.get((seq, ordinal))
        if held:
            self.waiting[seq, ordinal] = (held[0], held[1], held[2] + 1)
        known = self.open.get(seq)
        if known and ordinal in known.one.works:
            known.one.works[ordinal].written += 1

    def ended(self, attempt: MeteredAttempt, outcome: Outcome, usage: Usage) -> None:
        """An attempt ended with an answer of its engine, or with proof that nothing ran, or neither."""
        if self.engines:
            self.engines.over(attempt.inner)
        held = self.waiting.get((attempt.seq_id, attempt.ordinal))
        if held is None:
            return
        sent, _, seen = held
        if not attempt.gone_out:
            return self.never_ran(attempt)
        if outcome in PROVEN:
            self._told(Told(sent.seq, sent.ordinal, outcome.value))
        elif outcome in (Outcome.READ, Outcome.GENERATED):
            self._told(bounded(sent, outcome.value, usage.read, usage.kept, usage.written, seen))

    def final(self, seq: str, final: str) -> None:
        """A sequence has its final answer, or its client left."""
        known = self.open.pop(seq, None)
        if known is None:
            return
        known.one.final = final
        served, _ = charge(known.one)
        ended = Ended(seq, self.wall(), final)
        self._write([known.taken, ended] if known.taken else [ended])
        # A read that is still on its way to be told is charged as estimated; the bill itself waits for the engine.
        self.keeper.settle(seq, sum(w.read for w in served), sum(w.written for w in served), self.time())

    # What ran.

    def _told(self, told: Told) -> None:
        known = self.open.get(told.seq)
        if known and told.ordinal in known.one.works:
            work = known.one.works[told.ordinal]
            work.read, work.kept, work.written, work.outcome = told.read, told.kept, told.written, told.outcome
            work.told = True
        key = told.seq, told.ordinal
        self._asked.add(key)  # not asked for while it is being written

        def done(written: bool) -> None:
            self._asked.discard(key)
            if written:
                self.waiting.pop(key, None)
        self._write([told], done)

    def _ask_pending(self) -> None:
        """Asks engines for attempts that ended without telling."""
        now = self.reactor.seconds()
        running = {(m.seq_id, m.ordinal) for m in self.engines._out.values()} if self.engines else set()
        asked = 0
        for key, (sent, since, seen) in list(self.waiting.items()):
            if key in running or key in self._asked:
                continue
            if now - since > self.rules.tell_s:
                self._told(bounded(sent, "untold", 0, 0, seen, seen, "no engine told"))
                continue
            if asked >= ASK_PENDING:
                break
            asked += 1
            self._asked.add(key)
            self.ask_usage(sent.engine, sent.seq, sent.ordinal, lambda body, key=key: self._answered(key, body))
        if not self._stopped:
            self._timers[:] = [t for t in self._timers if t.active()]
            self._timers.append(self.reactor.callLater(self.rules.ask_again_s, self._ask_pending))

    def _answered(self, key: tuple[str, int], body: bytes | None) -> None:
        self._asked.discard(key)
        held = self.waiting.get(key)
        if self._stopped or held is None or body is None:
            return
        sent, _, seen = held
        try:
            said = _dict(body)
            if said.get("state") == "running":
                return
            if said.get("state") == "unknown":  # it never had the request, or has forgotten it: a claim takes no proof of that from here
                return self._told(Told(sent.seq, sent.ordinal, "not known there"))
            self._told(bounded(sent, str(said.get("outcome", "")), said["read"], said["kept"], said["written"], seen))
        except (msgspec.DecodeError, KeyError, TypeError):
            self._told(bounded(sent, "untold", 0, 0, seen, seen, "the engine's figures cannot be read"))

    # Writing, leasing, shipping.

    def _write(self, fresh: list[Entry], then: Callable[[bool], None] = lambda written: None, patience: int = 0,
               soon: bool = False) -> None:
        def told(last: int, problem: Exception | None) -> None:
            if problem is None:
                self.last = max(self.last, last)
                return then(True)
            self._unwritten(fresh[-1].seq, str(problem))
            then(self.rules.when_full == "serve")
        self.lane.put(Kind.ENTRIES, lambda store: store.append(fresh, self.node), told, patience=patience, soon=soon)

    def _unwritten(self, seq: str, reason: str) -> None:
        self.unwritten += 1
        said, at = self._said
        if self.reactor.seconds() - at >= SAY_EVERY:  # a disk that is gone would fill the log as well
            self._said = self.unwritten, self.reactor.seconds()
            self.log("ledger cannot be written", level="error", seq=seq,
                     reason=f"{reason}; {self.unwritten - said} since the last such line")

    def _tick(self) -> None:
        if self._stopped:
            return
        self._timers.append(self.reactor.callLater(self.rules.lease_s, self._tick))
        if self.lane.state() is State.FAILING:  # nothing is taken, so nothing else would find out that it is well again
            self.lane.put(Kind.SHIPPED, lambda store: store.acknowledged(self.node, store.shipped(self.node)))
        if not self.rules.service or self._busy:
            return
        now, asks, returns = self.reactor.seconds(), [], []
        beat = self._tells or now - self._beat >= BEAT_S
        for account in self.keeper.accounts.values():
            wanted, of = account.part.ask(now) if isinstance(account.part, Lease) else 0, account.budget
            if wanted or beat and isinstance(account.part, Lease) and account.part.ahead:  # with 0 it hears what is left
                (asks if wanted >= 0 else returns).append(Ask(of.name, of.most, account.spent.begin, abs(wanted), account.part.used,
                                                             of.period.value, of.window, of.offset_minutes))
        behind = self.upto < self.last
        leases = bool(asks or returns or beat)
        self._ships = behind and (not leases or not self._ships)  # in turn, so that neither starves the other
        if leases and not self._ships and now >= self._quiet_until:
            self._beat = now
            for one in returns:  # before they are told: if that gets lost they are wasted, and never granted twice
                self.keeper.accounts[one.budget].part.returned(one.wanted)
            for account in self.keeper.accounts.values():
                if isinstance(account.part, WindowLease):
                    returns += [Ask(account.budget.name, 0, bucket, amount, 0) for bucket, amount in account.part.goes_back()]
            self._number += 1
            sent, self._sent_at = Asks(self.node, self.life, asks, returns, self.term, self._tells, self._holds() if self._tells else [],
                                       self.last, self._number, self.wall(), self.store.file), self.steady()
            self._request("/v1/lease", _encode(sent), lambda s, b: self._granted(asks, s, b))
            return
        for ask in asks:
            self.keeper.accounts[ask.budget].part.unanswered()
        if behind:
            self._busy = True
            self.lane.put(Kind.SHIPPED, lambda store, after=self.upto: (after, store.after(after, SHIP_MOST)), self._ship)

    def _ship(self, found: tuple[int, list[tuple[int, bytes]]], problem: Exception | None) -> None:
        if problem or self._stopped:
            self._busy = False
            return
        after, bodies = found
        rows = [Row(n, msgspec.Raw(body)) for n, body in bodies]
        self._request("/v1/entries", _encode(Shipment(self.node, after, rows, self.store.file, self.life)), self._shipped)

    def _granted(self, asks: list[Ask], status: int, body: bytes) -> None:
        reply = _reply(body) if status == 200 else Reply()
        if reply.now:
            self.hand.heard(reply.now, self._sent_at, self.steady())
        if reply.say == "over":
            self._is_over()
        elif reply.say == "again":
            self._again()
        elif reply.term and reply.say != "late":
            self.term, self._tells = reply.term, reply.say == "tell"
            if not self._tells:
                self.on_term()
        if reply.upto >= 0:  # the service's file was restored from an older copy: what it lacks goes there again
            self.upto = min(self.upto, reply.upto)
        grants = {g.budget: g for g in reply.grants}
        for ask in asks:
            account, grant = self.keeper.accounts.get(ask.budget), grants.get(ask.budget)
            if account is None or not isinstance(account.part, Lease):
                continue
            if grant is None or grant.begin != account.spent.begin:
                account.part.unanswered()
                continue
            account.part.heard(grant.left, grant.part)
            if ask.wanted:
                if isinstance(account.part, WindowLease):
                    account.part.notes(grant.bucket, grant.granted)
                account.part.granted(grant.granted, grant.left, self.reactor.seconds())
                self._keep(account, grant)

    def _is_over(self) -> None:
        """Another process has this node's name: what this one holds counts as used, and it is granted nothing more."""
        if not self.over:
            self.log("another process has this node's name", level="error", reason=f"{self.node}: leases and claims go to it; end one of the two")
        self.over, self._quiet_until = True, self.reactor.seconds() + OVER_S

    def _again(self) -> None:
        """The other process is gone: this one goes on in a new life, with nothing of what it held."""
        self.over, self.life = False, os.urandom(6).hex()
        for account in self.keeper.accounts.values():
            if isinstance(account.part, Lease):
                account.part.anew()
        self.log("this node has its name for itself again", level="warning", reason=f"life {self.life}")

    def _keep(self, account: Account, grant: Grant) -> None:
        """What was granted, for the node's next life and for a ledger that has forgotten it."""
        budget, begin, part = account.budget.name, grant.begin, account.part
        if isinstance(part, WindowLease):
            self.outs[budget] = grant.bucket, grant.out
            row = budget, grant.bucket, self.node, rolled(self.life, grant.bucket, part.window), part.log[grant.bucket], 0, True
            self.lane.put(Kind.LEARNED, lambda store: store.keep_leases([row]), name=f"lease {budget} {grant.bucket}")
            return
        known = self.outs.get(budget, (begin, 0))
        self.outs[budget] = begin, max(grant.out, known[1] if known[0] == begin else 0)
        row = budget, begin, self.node, self.life, part.leased, part.used, False
        self.lane.put(Kind.LEARNED, lambda store: store.keep_leases([row]), name=f"lease {budget}")

    def _holds(self) -> list[Hold]:
        """What this life and former ones were granted."""
        holds = []
        for budget, begin, _, life, leased, _, _ in self.former:
            part = rolling(life)
            holds.append(Hold(budget, begin, part[0], leased, 0, part[1]) if part else Hold(budget, begin, life, leased))
        for account in self.keeper.accounts.values():
            name, begin, part = account.budget.name, account.spent.begin, account.part
            out = self.outs.get(name, (0, 0))
            if isinstance(part, WindowLease):
                newest = max(part.log, default=0)
                holds += [Hold(name, bucket, self.life, n, out[1] if bucket == newest else 0, part.window) for bucket, n in part.log.items()]
            elif isinstance(part, Lease) and part.leased:
                holds.append(Hold(name, begin, self.life, part.leased, out[1] if out[0] == begin else 0))
        return holds

    def _shipped(self, status: int, body: bytes) -> None:
        if status == 410:
            self._is_over()
        if status in (200, 409):  # 409: the service's file was restored from an older copy, so they go again from there
            self.upto = upto = int(_dict(body)["upto"])
            self.lane.put(Kind.SHIPPED, lambda store: store.acknowledged(self.node, upto))

    def _request(self, path: str, body: bytes, done: Callable[[int, bytes], None]) -> None:
        self._busy = True
        timer = self.reactor.callLater(2.0, lambda: self._service and self._service.drop() or over(0, b""))
        state = {"over": False}

        def over(status: int, data: bytes) -> None:
            if not state["over"]:
                state["over"], self._busy = True, False
                if timer.active():
                    timer.cancel()
                if not self._stopped:
                    done(status, data)

        def ready(connection: ClientConnection) -> None:
            self._service = connection
            if not connection.ask("POST", path, [], body, _Collected(over)):
                over(0, b"")

        kept = self._service
        if kept and kept.state.value == "idle" and kept.transport.connected:
            return ready(kept)
        host, _, port = self.rules.service.rpartition(":")
        factory = Factory.forProtocol(lambda: ClientConnection(self.rules.service, lambda c: None, lambda c: None))
        factory.noisy = False
        TCP4ClientEndpoint(self.reactor, host, int(port), timeout=1).connect(factory).addCallbacks(
            ready, lambda failure: over(0, b""))


def bounded(sent: Sent, outcome: str, read: int, kept: int, written: int, seen: int, flag: str = "") -> Told:
    """An engine's figures, held to what the node itself knows: no negative ones, no more written than was allowed or less
    than came by, nothing read where a state was fetched, and a prompt of at most four times the estimate."""
    if not flag and (min(read, kept, written) < 0 or kept > read):
        flag = f"an engine said {read}, {kept}, {written}"
    if sent.fetched or outcome == "never ran":
        read, kept = 0, 0
    else:
        read = read - kept if kept <= read else 0
    if sent.reads:
        written = 0
    most = 4 * sent.estimate + 1000
    held = (min(max(0, read), most), min(max(0, kept), most), min(max(written, seen), max(sent.most, seen)))
    if not flag and held != (read, kept, written):
        flag = f"an engine said {read}, {kept}, {written}"
    return Told(sent.seq, sent.ordinal, outcome, *held, flag)


class _Collected:
    """The exchange of one small request."""

    def __init__(self, over: Callable[[int, bytes], None]) -> None:
        self.over, self.status, self.data = over, 0, b""

    def head(self, status: int) -> None:
        self.status = status

    def body(self, data: bytes) -> None:
        self.data += data

    def complete(self) -> None:
        self.over(self.status, self.data)

    def lost(self, reason: str, malformed: bool) -> None:
        self.over(0, b"")


def _digest(request: Request) -> str:
    """Names a wish by its words, where the client sent no key."""
    prompt = request.prompt
    return "words " + xxhash.xxh3_128_hexdigest(_encode([prompt.customer, prompt.session, request.body]))
