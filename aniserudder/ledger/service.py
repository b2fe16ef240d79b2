"""The ledger service: takes entries from all nodes and leads their leases. HTTP on loopback, one process.

``POST /v1/lease``: ``{"node", "life", "term", "asks": [{"budget", "most", "begin", "wanted", "used"}], "returns": [...]}`` is
answered with grants and the ledger's term. A node that names another term is told to tell first what it holds (``say: tell``);
while a term is young, nothing is granted yet (``say: wait``): ``recovery/gather.py``. A grant is on disk before it is told; the file
is written by a lane of its own, so that a slow disk delays no other answer. ``POST /v1/entries``: a ``Shipment``, answered with how
far its node's entries are here. ``POST /v1/claim``: a ``claims.Claim``, answered with a ``claims.Answer``. ``GET /v1/status``: the
term, what is out of each budget, and how many operations are claimed.
"""
from __future__ import annotations

import os
import time
from collections import OrderedDict
from collections.abc import Callable

import msgspec
from twisted.internet.interfaces import IListeningPort, IReactorTCP

from ..durable import Inline, Kind, Lane
from ..recovery.gather import Gathering, Phase, Said, Term
from ..tenants.authority import CLOCK_SLACK, Authority, Clock, Form
from ..tenants.periods import Period
from ..tenants.shares import Grantor
from ..tenants.windows import Window, rolled, rolling
from ..wire.server import Bounds, Exchange, ServerFactory
from . import claims
from .claims import Claim
from .entries import Shipment
from .store import Flushed, LeaseRow, Missing, Store


class Ask(msgspec.Struct):
    """One node's wish for one budget, which has ``most`` in a ``period`` (``tenants.periods``) as its settings say. ``begin`` names the
    period as its own clock has it; where something of a rolling one goes back, the ledger's bucket that it was granted in."""
    budget: str
    most: int
    begin: int
    wanted: int
    used: int
    period: str = ""
    window: int = 0
    offset: int = 0


class Hold(msgspec.Struct):
    """What one life of a node was granted of one budget, and what it has heard to be out of it in all. Of a rolling one (``window``) in
    the ledger's bucket ``begin``."""
    budget: str
    begin: int
    life: str
    leased: int
    out: int = 0
    window: int = 0


class Asks(msgspec.Struct):
    """``term``: as last heard. ``tells``: ``holds`` is all that the node was granted, in this life and in former ones that it knows of,
    and ``last`` the number of its newest entry. ``number`` grows with each ask of a life; ``at``: the node's wall clock. ``file`` names its
    ledger file."""
    node: str
    life: str
    asks: list[Ask] = []
    returns: list[Ask] = []
    term: str = ""
    tells: bool = False
    holds: list[Hold] = []
    last: int = 0
    number: int = 0
    at: int = 0
    file: str = ""


class Grant(msgspec.Struct):
    """``bucket``: of a rolling budget, the ledger's own in which it was granted. ``part``: the node's part of what all need."""
    budget: str
    begin: int
    granted: int
    left: int
    out: int = 0
    bucket: int = 0
    part: float = 0.0


class Reply(msgspec.Struct):
    """``say``: "tell", "wait", "over" (another process has this node's name by now), "again" (as before, but that one is silent: begin a new life), "late" (a newer ask was answered) or empty. ``now``: what
    time it is for budgets. ``upto``: how far this file has the node's entries, where it was proven to be old; else -1."""
    grants: list[Grant] = []
    term: str = ""
    say: str = ""
    upto: int = -1
    now: int = 0


GONE_S = 10.0        # a life that was not heard for so long does not keep its name from an older one
LIVES_MOST = 20_000  # lives of nodes that are over and remembered as such
_asks, _shipment = msgspec.json.Decoder(Asks).decode, msgspec.json.Decoder(Shipment).decode
_claim = msgspec.json.Decoder(Claim).decode
_encode = msgspec.json.Encoder().encode


class LedgerService:
    """The service's sockets and its grantors, one for each budget's present period.

    Args:
        lane: writes ``store``, which nobody else may touch while it does.
        nonce: tells this start apart from others of copies of the file.
        wall: microseconds since 1970.
        steady: seconds of a clock that never jumps; by default the reactor's.
        forms: budgets as the ledger's own settings have them, by name; they count whatever nodes say.

    Raises:
        LedgerFull: its term could not be written.
    """

    def __init__(self, reactor: IReactorTCP, store: Store, log: Callable[..., None],
                 lane: Lane | Inline | None = None, nonce: str = "",
                 wall: Callable[[], int] = lambda: time.time_ns() // 1000, forms: dict[str, Form] | None = None,
                 steady: Callable[[], float] | None = None) -> None:
        self.own_wall, self.clock, self.steady = wall, Clock(), steady or reactor.seconds
        self.reactor, self.store, self.log = reactor, store, log
        self.lane = lane or Inline(store.group)
        self.grantors: dict[str, tuple[int, Grantor | Window]] = {}
        self.authorities: dict[str, Authority] = {name: Authority(form) for name, form in (forms or {}).items()}
        self.lives: dict[str, tuple[str, int, str, float]] = {}  # of nodes: the newest life, the number of its last ask, its file, when heard
        self.over: OrderedDict[tuple[str, str], None] = OrderedDict()  # lives that others have followed
        for budget, begin, node, life, leased, used, over in store.leases():
            known, part = self.grantors.get(budget), rolling(life)
            if part:  # of a window: a row for each bucket
                known = known or self.grantors.setdefault(budget, (0, Window(0, part[1])))
                known[1].load(node, part[0], begin, leased)
                continue
            if over and node:
                self.over[node, life] = None
            if known and known[0] > begin:
                continue  # of a period that was over when its successor could not be written
            if known is None or known[0] < begin:
                known = self.grantors[budget] = begin, Grantor(0)
            known[1].load(node, life, leased, used, over)
        self._log_at: dict[str, float] = {}
        holders = frozenset(node for _, grantor in self.grantors.values() if isinstance(grantor, Grantor)
                            for node, held in grantor.held.items() if held.leased)
        self.gathering = Gathering(Term(store.new_term(), nonce or os.urandom(4).hex()), holders, self._now())
        self.settling = claims.Settling(self._now())
        self.unheard = store.shippers()               # nodes that ship, and have not told in this term: they are waited for
        self.behind: dict[str, tuple[int, int]] = {}  # nodes that have told in this term: entries still to be shipped, and until when they are waited for
        self.factory = ServerFactory(reactor, Bounds(16_384, 8_388_608, 10, 60, 8_388_608), self._asked)
        self._port: IListeningPort | None = None
        self._aged: list[tuple[str, int]] = []  # rolling budgets, and their first bucket that counts

    def start(self, host: str, port: int) -> tuple[str, int]:
        self._port = self.reactor.listenTCP(port, self.factory, interface=host)
        at = self._port.getHost()
        self.log("ledger listening", level="info", reason=f"{at.host}:{at.port}, {self.store.last} entries")
        return at.host, at.port

    def stop(self) -> None:
        if self._port:
            self._port.stopListening()
        self.factory.stop()
        self.lane.close(self.store.close)

    def lease(self, asks: Asks, now: float, told: Callable[[Reply, Exception | None], None]) -> None:
        """Answers asks; what it grants is written, and flushed, before ``told`` hears of it. What could not be written, or was not
        in time, is taken back: nobody was told of it.

        Raises:
            ValueError: the term that it names is none.
        """
        rows, dropped, grants, before = [], [], [], self.gathering.phase
        if refused := self._late_or_over(asks):
            return told(Reply(term=str(self.gathering.term), say=refused, now=self.wall()), None)
        self._evidence(asks, now)
        said = self.gathering.asks(asks.node, Term.read(asks.term), asks.tells, self._now())
        if said is Said.OVERTAKEN:
            return self._overtaken(asks, told)
        if before is Phase.GATHERING and self.gathering.phase is Phase.LEADING:
            self.log("ledger leads", level="info", reason=f"term {self.gathering.term}: {len(self.gathering.told)} nodes have told, "
                     f"{len(self.gathering.known - self.gathering.told)} known ones have not")
        if said is Said.TELL:
            return told(Reply(term=str(self.gathering.term), say="tell", now=self.wall()), None)
        if asks.tells:
            self.unheard.discard(asks.node)
            self.behind[asks.node] = asks.last, self._now() + claims.CATCH_UP
            rows += self._take_up(asks)
            said = self.gathering.asks(asks.node, self.gathering.term, False, self._now())
        for ask in asks.returns:
            begin, grantor = self._grantor(ask.budget)
            if isinstance(grantor, Window):
                grantor.give_back(asks.node, asks.life, ask.wanted, ask.begin)
            elif begin == ask.begin:
                grantor.give_back(asks.node, asks.life, ask.wanted)
            if begin == ask.begin or isinstance(grantor, Window):
                rows += self._rows(ask.budget, begin, grantor, asks.node)
        for ask in asks.asks if said is Said.GRANT else ():
            begin, grantor = self._turned(ask, now, dropped)
            if isinstance(grantor, Grantor) and begin != ask.begin:
                # Of a clock that is ahead, or behind, or stepped back: its own answer, and nothing changes for others. What is left is not
                # said, so that it goes on asking; ``now`` puts its clock right.
                grants.append(Grant(ask.budget, ask.begin, 0, 1))
                continue
            granted, left = grantor.ask(asks.node, asks.life, ask.wanted, ask.used, now)
            grants.append(Grant(ask.budget, ask.begin, granted, left, grantor.out, grantor.bucket if isinstance(grantor, Window) else 0, 0.0 if isinstance(grantor, Window) else grantor.part(asks.node, now)))
            rows += self._rows(ask.budget, begin, grantor, asks.node)
        aged, self._aged = self._aged, []

        def written(upto: int | None, problem: Exception | None) -> None:
            if asks.tells and upto is not None:
                self._caught_up(asks.node, upto)
            if problem:
                for grant in grants:
                    begin, grantor = self._grantor(grant.budget)
                    if begin == grant.begin or isinstance(grantor, Window):
                        grantor.take_back(asks.node, asks.life, grant.granted)
            old = self.gathering.old and upto is not None
            told(Reply(grants, str(self.gathering.term), "wait" if said is Said.WAIT else "", upto if old else -1, self.wall()), problem)

        def write(store: Store) -> int | None:
            store.keep_leases(rows, dropped, aged)
            return store.shipped(asks.node, asks.file) if asks.tells else None
        if rows or dropped or aged or asks.tells:
            self.lane.put(Kind.LEASES, Flushed(write), written)
        else:
            written(None, None)

    def claim(self, ask: Claim, told: Callable[[claims.Answer | None, Exception | None], None]) -> None:
        """Answers an ask for an operation; what it grants is flushed before ``told`` hears of it."""
        now = self._now()
        self.gathering.look(now)
        self.behind = {node: (last, until) for node, (last, until) in self.behind.items() if until > now}
        if now >= self.settling.began + claims.CATCH_UP:
            self.unheard.clear()
        if self.gathering.phase is Phase.GATHERING or self.behind or self.unheard:
            return told(claims.Answer(claims.Said.WAIT), None)
        settled = self.settling.asks(ask.mark, now)

        def written(answer: claims.Answer | None, problem: Exception | None) -> None:
            may_send = problem is not None or answer.said is claims.Said.GO  # one that is late may be written all the same
            self.settling.answered(ask.mark, may_send, self._now())
            told(answer, problem)
        self.lane.put(Kind.LEASES, Flushed(lambda store: store.claim(ask, settled, self.wall())), written)

    # Who says what counts.

    def _late_or_over(self, asks: Asks) -> str:
        """Two processes may have one name, and messages may come late. The newest life that was heard of a node is the one that counts; of its
        asks, the newest."""
        key, now = (asks.node, asks.life), self.steady()
        life, number, _, heard = self.lives.get(asks.node, ("", 0, "", now - GONE_S))
        if key in self.over:
            if now - heard >= GONE_S:
                return "again"
            self._say(f"over {asks.node}", "life of a node is over", f"{asks.node} {asks.life}: another process has that name by now")
            return "over"
        if life and life != asks.life:
            self.over[asks.node, life] = None
            while len(self.over) > LIVES_MOST:
                self.over.popitem(last=False)
            number = 0
        if asks.number and asks.number <= number:
            return "late"
        self.lives[asks.node] = asks.life, asks.number, asks.file, now
        return ""

    def _evidence(self, asks: Asks, now: float) -> None:
        """What a node says of the time and of budgets."""
        if asks.at:
            self.clock.heard(asks.node, asks.at, self.steady())
        for ask in asks.asks:
            if ask.period:
                form = Form.read(ask.most, ask.period, ask.window, ask.offset)
                authority = self.authorities.setdefault(ask.budget, Authority())
                changes = authority.changes
                authority.heard(asks.node, form, now)
                if authority.changes > changes:
                    self.log("budget changed", level="info", reason=f"{ask.budget}: {authority.counts.most} for {authority.counts.period.value}")
                if form != authority.counts:
                    self._say(f"form {asks.node}", "node has other settings", f"{asks.node}: {ask.budget} is {form.most} for {form.period.value}, "
                              f"{authority.counts.most} for {authority.counts.period.value} counts")

    def reload(self, forms: dict[str, Form]) -> None:
        """Budgets as the ledger's own settings have them by now; what they do not name any more is what nodes say."""
        for name in self.authorities.keys() | forms.keys():
            self.authorities.setdefault(name, Authority()).fixed = forms.get(name)
        self.log("reloaded", level="info", reason=f"{len(forms)} budgets")

    def wall(self) -> int:
        """What time it is for budgets."""
        own = self.own_wall()
        correction = self.clock.correction(own, self.steady())
        if correction:
            self._say("clock", "wall clock is off", f"by {-correction / 1e6:.1f} s, by the clocks of {len(self.clock.at)} nodes")
        return own + correction

    def _turned(self, ask: Ask, now: float, dropped: list[str]) -> tuple[int, Grantor | Window]:
        """A budget in its present period, of the form that counts."""
        begin, grantor = self._grantor(ask.budget)
        authority = self.authorities.get(ask.budget)
        form = authority.look(now) if authority else None
        if form is None:  # a node of before, which does not say how the budget renews
            if begin < ask.begin <= self.wall() + CLOCK_SLACK:
                begin, grantor = ask.begin, Grantor(ask.most)
                dropped.append(ask.budget)
            grantor.most = ask.most
        elif form.period is Period.ROLLING:
            if not isinstance(grantor, Window) or grantor.window != form.window:
                begin, grantor = 0, Window(form.most, form.window)
                dropped.append(ask.budget)
            grantor.most, first = form.most, grantor.turn(self.wall())
            self._aged.append((ask.budget, first))
        else:
            due = form.begin(self.wall())
            ahead = begin > due + CLOCK_SLACK  # it was begun by a clock that was wrong: nobody could be granted anything until then
            if begin < due or ahead or isinstance(grantor, Window):
                if ahead and isinstance(grantor, Grantor):
                    self.log("period lay ahead", level="warning", reason=f"{ask.budget}: by {(begin - due) / 1e6:.0f} s")
                begin, grantor = due, Grantor(form.most)
                dropped.append(ask.budget)
            grantor.most = form.most
        self.grantors[ask.budget] = begin, grantor
        return begin, grantor

    def _say(self, what: str, event: str, reason: str) -> None:
        """One line a minute for each."""
        now = self.reactor.seconds()
        if now - self._log_at.get(what, -61.0) > 60:
            if len(self._log_at) > 1_000:
                self._log_at.clear()
            self._log_at[what] = now
            self.log(event, level="warning", reason=reason)

    def _take_up(self, asks: Asks) -> list[LeaseRow]:
        """What a node proves to hold. Returns what is to be written of it."""
        rows = []
        for hold in asks.holds:
            begin, grantor = self._grantor(hold.budget)
            if hold.begin > self.wall() + CLOCK_SLACK:
                continue
            if hold.window:
                if not isinstance(grantor, Window):
                    begin, grantor = 0, Window(0, hold.window)
                    self.grantors[hold.budget] = begin, grantor
                if hold.begin < grantor.turn(self.wall()):
                    continue
                more = grantor.prove(asks.node, hold.life, hold.begin, hold.leased)
            elif isinstance(grantor, Window) or hold.begin < begin:
                continue
            else:
                if hold.begin > begin:  # granted in a period that this file has not seen
                    begin, grantor = hold.begin, Grantor(grantor.most)
                    self.grantors[hold.budget] = begin, grantor
                more = grantor.prove(asks.node, hold.life, hold.leased, asks.life)
            grantor.heard_out(hold.out)
            if more:
                self.log("ledger was old", level="warning", reason=f"{asks.node} holds {more} more of {hold.budget} than the file says")
                self.gathering.proven_old(self._now())
            rows += self._rows(hold.budget, begin, grantor, asks.node)
        return rows

    def _overtaken(self, asks: Asks, told: Callable[[Reply, Exception | None], None]) -> None:
        """A node has heard of a term that this file does not know: it is an old copy, or there are two ledgers."""
        heard = Term.read(asks.term)
        self.log("ledger was old", level="warning", reason=f"{asks.node} has heard of term {heard}, this one is {self.gathering.term}")
        for _, grantor in self.grantors.values():
            grantor.rebase()
        self.unheard |= self.lives.keys()
        self.settling, self.behind = claims.Settling(self._now()), {}  # claims that this file does not know may be recent
        self.gathering = self.gathering.overtaken(heard, os.urandom(4).hex(), self._now())
        reply = Reply(term=str(self.gathering.term), say="tell", now=self.wall())
        self.lane.put(Kind.LEASES, Flushed(lambda store: store.new_term(heard.number)), lambda _, problem: told(reply, problem))

    def _now(self) -> int:
        return round(self.reactor.seconds() * 1e6)

    def _grantor(self, budget: str) -> tuple[int, Grantor | Window]:
        return self.grantors.setdefault(budget, (0, Grantor(0)))

    @staticmethod
    def _rows(budget: str, begin: int, grantor: Grantor | Window, node: str) -> list[LeaseRow]:
        if isinstance(grantor, Window):
            rows = {(life, bucket) for kept in (grantor.old, grantor.fresh) for of, life, bucket in kept if of == node}
            return [(budget, bucket, node, rolled(life, bucket, grantor.window), grantor.of(node, life, bucket), 0, True) for life, bucket in sorted(rows)]
        rows = [(budget, begin, node, life, leased, leased, True) for (of, life), leased in grantor.ended.items() if of == node]
        mine = grantor.held.get(node)
        return [*rows, (budget, begin, node, mine.life, mine.leased, mine.used, False)] if mine else rows

    def _asked(self, exchange: Exchange) -> None:
        try:
            match exchange.path:
                case "/v1/lease":
                    self.lease(_asks(bytes(exchange.body)), self.reactor.seconds(),
                               lambda reply, problem: self._answer(exchange, reply, problem))
                case "/v1/entries":
                    sent = _shipment(bytes(exchange.body))
                    rows = [(r.number, bytes(r.body)) for r in sent.rows]
                    if (sent.node, sent.life) in self.over and sent.file == self.lives.get(sent.node, ("", 0, "", 0.0))[2]:
                        return exchange.reply(410, _encode({"error": "another process has this node's name and a copy of its file"}))
                    self.lane.put(Kind.SHIPPED, lambda store: store.receive(sent.node, sent.after, rows, sent.file),
                                  lambda upto, problem: self._received(exchange, sent.node, upto, problem))
                case "/v1/claim":
                    self.claim(_claim(bytes(exchange.body)), lambda answer, problem: self._answer(exchange, answer, problem))
                case "/v1/status":
                    exchange.reply(200, _encode(self.status()))
                case _:
                    exchange.reply(404, b'{"error":"no such path"}')
        except (msgspec.DecodeError, ValueError) as wrong:
            exchange.reply(400, _encode({"error": str(wrong)[:300]}))

    def _received(self, exchange: Exchange, node: str, upto: int | None, problem: Exception | None) -> None:
        if problem is None:
            self._caught_up(node, upto)
        self._answer(exchange, {"upto": upto}, problem)

    def _caught_up(self, node: str, upto: int) -> None:
        if node in self.behind and upto >= self.behind[node][0]:
            del self.behind[node]

    def status(self) -> dict[str, object]:
        """Which term leads, and what is out of each budget."""
        term = self.gathering
        term.look(self._now())
        rows = []
        for budget, (begin, grantor) in sorted(self.grantors.items()):
            held, ended = grantor.parts()
            authority = self.authorities.get(budget)
            rows.append({"budget": budget, "begin": begin, "most": grantor.most, "out": grantor.out, "held": held, "ended": ended,
                         "hearsay": grantor.out - held - ended, "dissent": authority.dissent() if authority else 0})
        return {"term": str(term.term), "phase": term.phase.value, "old": term.old, "told": len(term.told), "budgets": rows,
                "claims": len(self.settling.recent), "behind": sorted(self.behind.keys() | self.unheard)}

    def _answer(self, exchange: Exchange, said: Reply | claims.Answer | dict[str, int], problem: Exception | None) -> None:
        match problem:
            case None:
                exchange.reply(200, _encode(said))
            case Missing():  # this file is older than what the node remembers: it was restored
                self.log("entries are missing", level="warning", reason=str(problem))
                exchange.reply(409, _encode({"upto": problem.upto}))
            case ValueError() | msgspec.MsgspecError():
                exchange.reply(400, _encode({"error": str(problem)[:300]}))
            case _:
                self.log("ledger cannot be written", level="error", reason=str(problem))
                exchange.reply(507, _encode({"error": str(problem)}))
