"""Follows the engine list from wherever the settings say, and tells the router and the pool.

While a source is away the last list stands: an engine is dropped only when a source says so.
"""
from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import yaml
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.interfaces import IDelayedCall, IReactorTCP
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from ..core.router import Router
from ..core.source_silence import SourceSilence
from ..durable import Ground, Inline, Kind, Lane
from ..recovery.ascent import Ascent
from ..recovery.asks import AGAIN, Asks
from ..recovery.trust import Since, of_list
from ..settings.schema import RosterSource, Row
from ..wire.client import ClientConnection
from . import cache, codec, older
from .older import Lists, Order

CLOCK_OFF = 5.0   # seconds by which a wall clock may differ from the list server's before that one is believed
PROMPT = 2.0      # seconds from a connection's making within which its first line says what time it is
LINE_MOST = 4_194_304  # bytes of one line: some tens of thousands of engines


class Follower:
    """What all sources share: the list as last told.

    Args:
        router: told of every change.
        locate: told each engine's address before the router hears of it.
        source: of the settings.
        log: of the node.
        ascent: told what is known of the engines.
        asks: which engines are asked themselves, where the list on disk is all there is; with ``ask_up``, which asks one.
        keeping: who keeps the last list, and how much of it is believed at a start.
        lane: writes the last list, and looks at files.
    """

    def __init__(self, router: Router, locate: Callable[[str, str], None], source: RosterSource,
                 reactor: IReactorTCP, log: Callable[..., None], ascent: Ascent, keeping: cache.Keeping | None = None,
                 lane: Lane | Inline | None = None, asks: Asks | None = None,
                 ask_up: Callable[[str, Callable[[object], None]], None] | None = None) -> None:
        self.asks, self.ask_up = asks, ask_up
        self.ascent, self.keeping, self.lane = ascent, keeping or cache.Keeping("", Ground()), lane or Inline()
        self.router, self.locate, self.source, self.reactor, self.log = router, locate, source, reactor, log
        self.rows: dict[str, Row] = {}
        self.lists = Lists()
        self.heard_at = 0.0  # on the router's clock; 0: never
        self.asked_at = 0    # microseconds of that clock; when the source was asked for what it tells now
        self.confirmation = ascent.confirmation
        self.silence = SourceSilence(reactor, self.confirmation, lambda: self._unread, lambda: None, self._is_down)
        self._offset = reactor.seconds() - self.keeping.ground.wall()
        self._timer: IDelayedCall | None = None
        self._stopped = False

    @property
    def epoch(self) -> int:
        """Of the newest list that is known."""
        return self.lists.epoch

    def start(self) -> None:
        """Asks the disk for the last list and the source for what holds, whichever answers first."""
        if self.source.last_list:
            self.lane.put(Kind.READING, lambda: cache.last(self.keeping, Path(self.source.last_list)), self._read_back, "last list")
        else:
            self.ascent.read(False, False, self._now())
        self.confirmation.begins(self._now())
        self.silence.watch()
        self._ask()

    def stop(self) -> None:
        """Asks no more."""
        self._stopped = True
        self.silence.stop()
        if self._timer and self._timer.active():
            self._timer.cancel()

    def _ask(self) -> None:
        raise NotImplementedError

    @property
    def _unread(self) -> bool:
        """Whether the kernel holds something from the source that the loop has not come to."""
        return False

    def _is_down(self) -> None:
        self.log("list source counts as down", level="warning", reason="the list at hand is sent on, though nobody has confirmed it")

    def _now(self) -> int:
        return round(self.reactor.seconds() * 1e6)

    def _read_back(self, kept: tuple[codec.News, Since] | None, problem: Exception | None) -> None:
        usable = cold = False
        if problem:
            self.log("last list set aside", level="warning", reason=f"{self.source.last_list}: {problem}")
        elif kept and not self.ascent.heard:  # else the source was quicker
            news, between = kept
            believed = of_list(self.keeping.policy, between)
            usable, cold = believed.usable, not believed.starts
            if usable:
                self._take(news, keep=False, cold=cold, told=False)
                if cold:
                    self._ask_engines([row.engine for row in news.rows if row.availability == "running"])
            self.log("started from the last list" if usable else "last list not used", level="info",
                     reason=f"{len(news.rows)} engines, {'cold until confirmed, ' if cold else ''}{believed.reason}")
        self.ascent.read(usable, cold, self._now())

    def _again(self, after_ms: float) -> None:
        if not self._stopped:
            self._timer = self.reactor.callLater(after_ms / 1000, self._ask)

    def _ask_engines(self, engines: list[str]) -> None:
        """Asks each since when it is up, spread over the fleet."""
        if self.asks and self.ask_up:
            for delay, engine in self.asks.plan(engines):
                self.reactor.callLater(delay / 1e6, self._ask_engine, engine)

    def _ask_engine(self, engine: str) -> None:
        """One that counts as cold because nobody has said otherwise: it knows itself since when it is up."""
        row = self.rows.get(engine)
        if self._stopped or row is None or not self.asks.due(engine):
            return

        def said(up_s: object) -> None:
            started = self.asks.said(engine, up_s, self.router.now())
            if started is not None and not self._stopped and engine in self.rows:
                at = self._on_list(started)
                row = self.lists.confirmed(engine, at) or self.rows[engine].model_copy(update={"started_at": at})
                self.rows[engine] = row
                self.router.roster([replace(codec.told(row, self._offset), started_at=started)], False)
                if not self.asks.open:
                    self.ascent.engines_told(max(self.asks.confirmed.values()) + self.ascent.bounds.warm, self._now())
            elif self.asks.open.get(engine):
                self.reactor.callLater(AGAIN / 1e6, self._ask_engine, engine)
        self.ask_up(engine, said)

    def _on_list(self, started: int) -> float:
        """A start on the router's clock, as a row has it; a little earlier, as a start that moved on by rounding would pass for a restart."""
        return (started - 2) / 1e6 - self._offset

    def _take(self, news: codec.News, keep: bool = True, cold: bool = False, doubted: bool = False, told: bool = True) -> None:
        """``cold``: every engine counts as started now, whatever the list says. ``doubted``: its source may not know what holds. ``told``: the
        source has said it; else it is from before this process."""
        self.heard_at = self.reactor.seconds()
        if news.complete:
            self.rows = {}
        for row in news.rows:
            self.rows[row.engine] = row
            self.locate(row.engine, row.address)
        rows = [codec.told(r, self._offset) for r in news.rows]
        if cold:
            now = self.router.now()
            rows = [replace(row, started_at=now) for row in rows]
            self.rows = {name: row.model_copy(update={"started_at": self._on_list(now)}) for name, row in self.rows.items()}
        self.router.roster(rows, news.complete, self.asked_at if told else None)
        if told and (news.complete or doubted):
            self.confirmation.confirmed()
        self.rows = {name: row for name, row in self.rows.items() if row.availability != "gone"}
        self.lists.epoch = max(self.lists.epoch, news.epoch)
        if not cold and not doubted and (keep or not self.source.last_list):
            started = max((r.started_at for r in self.rows.values()), default=0.0)
            warm = round((started + self._offset) * 1e6) + self.ascent.bounds.warm if started else 0
            if self.asks:
                self.asks.list_heard()
            self.ascent.list_heard(len(self.rows), min(warm, self._now() + self.ascent.bounds.warm), self._now())
        if keep and self.source.last_list:
            cache.keep(self.lane, self.keeping, Path(self.source.last_list), news.epoch, self.rows, self._kept)

    def _kept(self, _: None, problem: Exception | None) -> None:
        if isinstance(problem, OSError):
            self.log("last list not kept", level="warning", reason=str(problem))


class Fixed(Follower):
    """Rows that stand in the settings."""

    def _ask(self) -> None:
        self.asked_at = self._now()
        self._take(codec.News(1, True, tuple(self.source.rows)), keep=False)


class Watched(Follower):
    """A YAML file of rows, read again when it changes. A file that cannot be used changes nothing."""

    _seen: tuple[int, int] | None = None

    def _ask(self) -> None:
        self.asked_at = self._now()
        self.lane.put(Kind.READING, lambda seen=self._seen: self._look(seen), self._looked, self.source.file)

    def _look(self, seen: tuple[int, int] | None) -> tuple[tuple[int, int], list[Row] | None]:
        """On the lane's thread: the file's mark, and its rows if that is not the one seen last."""
        path = Path(self.source.file)
        stat = path.stat()
        mark = (stat.st_mtime_ns, stat.st_size)
        if mark == seen:
            return mark, None
        rows = yaml.safe_load(path.read_text(encoding="utf-8"))
        if not isinstance(rows, list):
            raise codec.BadLine("not a list of rows", mark)
        try:
            news = codec.decode(codec.msgspec.json.encode({"complete": True, "rows": rows}))
        except (TypeError, codec.BadLine) as wrong:
            raise codec.BadLine(str(wrong), mark) from None
        return mark, list(news.rows)

    def _looked(self, found: tuple[tuple[int, int], list[Row] | None] | None, problem: Exception | None) -> None:
        if self._stopped:
            return
        if problem:
            if len(problem.args) > 1 and isinstance(problem, codec.BadLine):
                self._seen = problem.args[1]  # told once for each state of the file
            said = problem.args[0] if isinstance(problem, codec.BadLine) else problem
            self.log("roster file not used", level="warning", reason=f"{self.source.file}: {said}".replace("\n", " "))
        elif found:
            self._seen, rows = found
            if rows is not None:
                self._take(codec.News(self.epoch + 1, True, tuple(rows)))
        self._again(self.source.poll_ms)


class Streamed(Follower):
    """A roster server: one long answer whose lines are changes. Lost for a while, it is asked again."""

    _rest = b""
    _connection: ClientConnection | None = None
    _made_at = 0.0

    def _ask(self) -> None:
        host, _, port = self.source.server.rpartition(":")
        factory = Factory.forProtocol(lambda: ClientConnection(self.source.server, lambda c: c.drop(), lambda c: None))
        factory.noisy = False
        endpoint = TCP4ClientEndpoint(self.reactor, host, int(port), timeout=2)
        endpoint.connect(factory).addCallbacks(self._made, self._away)

    def stop(self) -> None:
        super().stop()
        if self._connection:
            self._connection.drop()

    def _made(self, connection: ClientConnection) -> None:
        if self._stopped:
            return connection.drop()
        self._rest, self._connection, self._made_at = b"", connection, self.reactor.seconds()
        self.asked_at = self._now()
        path = f"/v1/roster?node={self.router.recorded_as}"
        if not connection.ask("GET", path, [], b"", self):
            return self._away("connection went")
        self.confirmation.asked(self.asked_at)

    @property
    def _unread(self) -> bool:
        return self._connection is not None and self._connection.unread

    def head(self, status: int) -> None:
        if status != 200:
            self._connection.drop()
            return self._away(f"status {status}")
        self._spoke()

    def _spoke(self) -> None:
        """A part of what the source says has come: it is not down."""
        self.confirmation.spoke(self._now())
        self.silence.watch()

    def body(self, data: bytes) -> None:
        self._spoke()
        lines = (self._rest + data).split(b"\n")
        self._rest = lines.pop()
        try:
            for line in lines:
                if line.strip():
                    news = codec.decode(line)
                    self._set_clock(news)
                    self._in_order(news)
            if len(self._rest) > LINE_MOST:
                raise codec.BadLine("a line is too long")
        except codec.BadLine as wrong:
            # Changes build on one another: after one that cannot be read a complete list is needed.
            self._connection.drop()
            self.confirmation.not_read(self._now())
            self.silence.watch()
            self._away(f"a line cannot be used: {wrong}")

    def _in_order(self, news: codec.News) -> None:
        """Takes a list or a change; one that is older than what is known, as evidence only."""
        now, before = self._now(), self.lists.older_since
        order = self.lists.judge(news, now)
        if order is Order.NEWER:
            return self._take(news)
        if order is Order.ANEW:
            self.log("list server counts anew", level="warning", reason=f"epoch {news.epoch} for {older.OLDER_FOR // 1_000_000} s and more")
            return self._take(self.lists.careful(news, self.rows))
        if before < 0:
            self.log("list is older than what is known", level="warning", reason=f"epoch {news.epoch}, {self.epoch} is known: the more careful of the two holds")
            self.reactor.callLater(older.OLDER_FOR / 1e6 + 0.1, self._ask_for_all)
        known = set(self.lists.doubtful)
        rows = self.lists.merged(news, self.rows)
        self._take(codec.News(self.epoch, False, rows), keep=False, doubted=True)
        self._ask_engines(sorted(set(self.lists.doubtful) - known))

    def _ask_for_all(self) -> None:
        """The source is still older: its whole list is asked for, to be taken as a new one."""
        if not self._stopped and self.lists.due(self._now()) and self._connection:
            self._connection.drop()
            self._again(0)

    def _set_clock(self, news: codec.News) -> None:
        """Engines' starts are told on the server's wall clock. Where this machine's is far from that, cold engines would pass for
        warm ones, or all for cold. Only a connection's first line is fresh enough to say so."""
        if not (news.complete and news.now and self.reactor.seconds() - self._made_at < PROMPT):
            return
        offset = self.reactor.seconds() - news.now
        if abs(offset - self._offset) > CLOCK_OFF:
            self.log("wall clock is off", level="warning", reason=f"by {self._offset - offset:+.0f} s against the list server's, which is used")
            self._offset = offset

    def complete(self) -> None:
        self._away("the stream ended")

    def lost(self, reason: str, malformed: bool) -> None:
        self._away(reason)

    def _away(self, reason: str | Failure) -> None:
        if isinstance(reason, Failure) and reason.check(ConnectionRefusedError):
            self.confirmation.refused()
            self.silence.watch()
        said = reason.value.__class__.__name__ if isinstance(reason, Failure) else reason
        if not self._stopped:
            self.log("roster server away", level="warning", reason=said)
        self._again(self.source.again_ms)


def follow(router: Router, locate: Callable[[str, str], None], source: RosterSource, reactor: IReactorTCP,
           log: Callable[..., None], ascent: Ascent, keeping: cache.Keeping | None = None,
           lane: Lane | Inline | None = None,
           asks: Asks | None = None, ask_up: Callable[[str, Callable[[object], None]], None] | None = None) -> Follower:
    """The follower that fits the settings."""
    kind = Streamed if source.server else Watched if source.file else Fixed
    return kind(router, locate, source, reactor, log, ascent, keeping, lane, asks, ask_up)
