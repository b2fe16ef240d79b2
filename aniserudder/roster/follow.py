"""Follows the engine list from wherever the settings say, and tells the router and the pool.

While a source is away the last list stands: an engine is dropped only when a source says so.
"""
from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

import yaml
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IDelayedCall, IReactorTCP
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from ..core.router import Router
from ..durable import Files, Inline, Kind, Lane
from ..settings.schema import RosterSource, Row
from ..wire.client import ClientConnection
from . import cache, codec

LINE_MOST = 4_194_304  # bytes of one line: some tens of thousands of engines


class Follower:
    """What all sources share: the list as last told.

    Args:
        router: told of every change.
        locate: told each engine's address before the router hears of it.
        source: of the settings.
        log: of the node.
        lane: writes the last list, and looks at files.
    """

    def __init__(self, router: Router, locate: Callable[[str, str], None], source: RosterSource,
                 reactor: IReactorTCP, log: Callable[..., None], wall: Callable[[], float] = time.time,
                 lane: Lane | Inline | None = None, files: Files = Files()) -> None:
        self.lane, self.files = lane or Inline(), files
        self.router, self.locate, self.source, self.reactor, self.log = router, locate, source, reactor, log
        self.rows: dict[str, Row] = {}
        self.epoch = 0
        self.heard_at = 0.0  # on the router's clock; 0: never
        self._offset = reactor.seconds() - wall()
        self._timer: IDelayedCall | None = None
        self._stopped = False

    def start(self) -> None:
        """Takes up the last list kept on disk, then asks the source."""
        if self.source.last_list:
            try:
                news = cache.last(self.files, Path(self.source.last_list))
            except codec.BadLine as damaged:
                self.log("last list set aside", level="warning", reason=f"{self.source.last_list}: {damaged}")
            else:
                if news:
                    self._take(news, keep=False)
                    self.log("started from the last list", level="info", reason=f"{len(news.rows)} engines")
        self._ask()

    def stop(self) -> None:
        """Asks no more."""
        self._stopped = True
        if self._timer and self._timer.active():
            self._timer.cancel()

    def _ask(self) -> None:
        raise NotImplementedError

    def _again(self, after_ms: float) -> None:
        if not self._stopped:
            self._timer = self.reactor.callLater(after_ms / 1000, self._ask)

    def _take(self, news: codec.News, keep: bool = True) -> None:
        self.heard_at = self.reactor.seconds()
        if news.complete:
            self.rows = {}
        for row in news.rows:
            self.rows[row.engine] = row
            self.locate(row.engine, row.address)
        self.router.roster([codec.told(r, self._offset) for r in news.rows], news.complete)
        self.rows = {name: row for name, row in self.rows.items() if row.availability != "gone"}
        self.epoch = news.epoch
        if keep and self.source.last_list:
            cache.keep(self.lane, self.files, Path(self.source.last_list), news.epoch, self.rows, self._kept)

    def _kept(self, _: None, problem: Exception | None) -> None:
        if isinstance(problem, OSError):
            self.log("last list not kept", level="warning", reason=str(problem))


class Fixed(Follower):
    """Rows that stand in the settings."""

    def _ask(self) -> None:
        self._take(codec.News(1, True, tuple(self.source.rows)), keep=False)


class Watched(Follower):
    """A YAML file of rows, read again when it changes. A file that cannot be used changes nothing."""

    _seen: tuple[int, int] | None = None

    def _ask(self) -> None:
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
            self.log("roster file not used", level="warning", reason=f"{self.source.file}: {problem.args[0] if isinstance(problem, codec.BadLine) else problem}".replace("\n", " "))
        elif found:
            self._seen, rows = found
            if rows is not None:
                self._take(codec.News(self.epoch + 1, True, tuple(rows)))
        self._again(self.source.poll_ms)


class Streamed(Follower):
    """A roster server: one long answer whose lines are changes. Lost for a while, it is asked again."""

    _rest = b""
    _connection: ClientConnection | None = None

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
        self._rest, self._connection = b"", connection
        path = f"/v1/roster?node={self.router.recorded_as}"
        if not connection.ask("GET", path, [], b"", self):
            self._away("connection went")

    def head(self, status: int) -> None:
        if status != 200:
            self._connection.drop()
            self._away(f"status {status}")

    def body(self, data: bytes) -> None:
        lines = (self._rest + data).split(b"\n")
        self._rest = lines.pop()
        try:
            for line in lines:
                if line.strip():
                    self._take(codec.decode(line))
            if len(self._rest) > LINE_MOST:
                raise codec.BadLine("a line is too long")
        except codec.BadLine as wrong:
            # Changes build on one another: after one that cannot be read a complete list is needed.
            self._connection.drop()
            self._away(f"a line cannot be used: {wrong}")

    def complete(self) -> None:
        self._away("the stream ended")

    def lost(self, reason: str, malformed: bool) -> None:
        self._away(reason)

    def _away(self, reason: str | Failure) -> None:
        said = reason.value.__class__.__name__ if isinstance(reason, Failure) else reason
        if not self._stopped:
            self.log("roster server away", level="warning", reason=said)
        self._again(self.source.again_ms)


def follow(router: Router, locate: Callable[[str, str], None], source: RosterSource, reactor: IReactorTCP,
           log: Callable[..., None], wall: Callable[[], float] = time.time, lane: Lane | Inline | None = None,
           files: Files = Files()) -> Follower:
    """The follower that fits the settings."""
    kind = Streamed if source.server else Watched if source.file else Fixed
    return kind(router, locate, source, reactor, log, wall, lane, files)
