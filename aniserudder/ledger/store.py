"""Keeps entries: append-only, chained by checksums, in SQLite with a write-ahead log.

SQLite brings what is hard: a kill at any byte leaves the last whole commit, and a torn tail is cut when the file is
opened. The chain over it (xxh3, 128 bits, each row's sum over the last sum and its own bytes) shows rows that were changed,
lost or added by other means. An entry is acknowledged when ``append`` returns: with ``power`` durability it is then on the
disk, with ``process`` it is the operating system's, which survives any end of this process but not of the machine.
"""
from __future__ import annotations

import os
import sqlite3
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
import xxhash

from ..durable import Files
from ..tenants.windows import rolling
from ..tenants.billing import KEY_FOR, Folded, Line, Price, Tokens, Try, bill, operations
from . import claims, entries
from .claims import Answer, Claim, Place, Row
from .entries import Entry, Sent, Taken, Told

FORM = "aniserudder ledger 1"
TAIL = 2_000  # rows whose chain is checked when the file is opened; ``check`` goes over all

SCHEMA = """
CREATE TABLE meta (key TEXT PRIMARY KEY, value TEXT NOT NULL) WITHOUT ROWID;
CREATE TABLE log (no INTEGER PRIMARY KEY, node TEXT NOT NULL, number INTEGER NOT NULL, body BLOB NOT NULL, sum TEXT NOT NULL);
CREATE TABLE pending (seq TEXT NOT NULL, ordinal INTEGER NOT NULL, body BLOB NOT NULL, PRIMARY KEY (seq, ordinal)) WITHOUT ROWID;
CREATE TABLE shipped (node TEXT PRIMARY KEY, upto INTEGER NOT NULL) WITHOUT ROWID;
CREATE TABLE lease (budget TEXT NOT NULL, begin INTEGER NOT NULL, node TEXT NOT NULL, life TEXT NOT NULL,
  leased INTEGER NOT NULL, used INTEGER NOT NULL, closed INTEGER NOT NULL, PRIMARY KEY (budget, node)) WITHOUT ROWID;
CREATE TABLE folded (at INTEGER NOT NULL, tenant TEXT NOT NULL, type TEXT NOT NULL, mark TEXT NOT NULL, tries INTEGER NOT NULL,
  figures TEXT NOT NULL, unconfirmed INTEGER NOT NULL, PRIMARY KEY (tenant, type, mark, at)) WITHOUT ROWID;
"""
# Of lives of nodes that are over: files of before have all of them in one row of ``lease`` without a node.
LIVES = """CREATE TABLE IF NOT EXISTS lives (budget TEXT NOT NULL, begin INTEGER NOT NULL, node TEXT NOT NULL, life TEXT NOT NULL,
  leased INTEGER NOT NULL, PRIMARY KEY (budget, node, life)) WITHOUT ROWID"""
# Operations that must not run twice, where each may have run, and the sequences that were tries of them; ``claims.py``.
CLAIMS = """CREATE TABLE IF NOT EXISTS claims (mark TEXT PRIMARY KEY, seq TEXT NOT NULL, node TEXT NOT NULL, at INTEGER NOT NULL,
  places BLOB NOT NULL) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS claimants (seq TEXT PRIMARY KEY, mark TEXT NOT NULL, at INTEGER NOT NULL) WITHOUT ROWID;
CREATE INDEX IF NOT EXISTS claims_at ON claims (at);
CREATE INDEX IF NOT EXISTS claimants_at ON claimants (at);"""
PURGE_EVERY = 1_000  # claims between looks for those that are over
_places, _place_list = msgspec.json.Encoder().encode, msgspec.json.Decoder(list[Place]).decode
LeaseRow = tuple[str, int, str, str, int, int, bool]  # budget, begin, node, life, leased, used, whether the life is over


class LedgerBroken(Exception):
    """A ledger that cannot be opened or does not add up."""


@dataclass(slots=True, frozen=True)
class Flushed:
    """A work of a group that has to survive a loss of power, whatever the ledger's durability."""
    work: Callable[[Store], Any]

    def __call__(self, store: Store) -> Any:
        return self.work(store)


class Missing(Exception):
    """Shipped entries do not follow what is here, which is ``upto``."""

    def __init__(self, text: str, upto: int) -> None:
        super().__init__(text)
        self.upto = upto


class LedgerFull(Exception):
    """An entry could not be written; nothing of the call was."""
    of_the_disk = True


@dataclass(slots=True, frozen=True)
class Checked:
    """What a check went over."""
    rows: int
    first: int
    last: int
    pending: int


class Store:
    """One ledger file.

    Args:
        path: created if it is not there.
        power: entries survive the loss of power, at the cost of a flush of the disk for each group of them.
        files: the disk.

    Raises:
        LedgerBroken: it is no ledger, or its tail does not add up.
    """

    def __init__(self, path: str | Path, power: bool = False, files: Files = Files()) -> None:
        self.path = Path(path)
        self._deep, self._power = False, power
        try:
            self._db = files.database(self.path)
            self._db.execute("PRAGMA journal_mode=WAL")
            self._db.execute(f"PRAGMA synchronous={'FULL' if power else 'NORMAL'}")
            if not self._db.execute("SELECT count(*) FROM sqlite_master").fetchone()[0]:
                self._db.executescript(f"BEGIN;{SCHEMA}INSERT INTO meta VALUES ('form', '{FORM}'), ('base', '');COMMIT;")
            self._db.execute(LIVES)
            self._db.executescript(CLAIMS)
            self._db.execute("INSERT OR IGNORE INTO meta VALUES ('file', ?)", (os.urandom(8).hex(),))
            found, self.file = self._meta("form"), self._meta("file")
        except (sqlite3.Error, OSError) as problem:
            raise LedgerBroken(f"{path}: {problem}") from None
        if found != FORM:
            raise LedgerBroken(f"{path}: form {found!r}, this program reads {FORM!r}")
        self._last, self._sum, self._end_unknown = 0, "", True
        self._read_end()
        self._claims = bool(self._db.execute("SELECT EXISTS (SELECT 1 FROM claims)").fetchone()[0])
        self._asked = 0
        self.verify(self._last - TAIL)

    def close(self) -> None:
        self._db.close()

    # Writing.

    def append(self, fresh: Iterable[Entry], node: str = "") -> int:
        """Writes entries of this ledger's own node, all or none; returns the last number. Acknowledged on return.

        Raises:
            LedgerFull: they could not be written.
        """
        return self._write([(node, 0, entries.encode(e), e) for e in fresh])

    def receive(self, node: str, after: int, rows: Iterable[tuple[int, bytes]], file: str = "") -> int:
        """Writes entries that another node ships, which follow its entry ``after``; those that came before are passed
        over. Returns how far it has them. ``file`` names the file whose numbers they have: a node whose disk was lost begins anew at one.

        Raises:
            LedgerFull: they could not be written.
            Missing: some are missing before them; they have to come again from ``shipped`` on.
            ValueError: one cannot be read.
        """
        source = self._source(node, file, after)
        upto = self.shipped(source)
        if after > upto:
            raise Missing(f"{node}: entries after {after} came, and only those up to {upto} are here", upto)
        fresh = []
        for number, body in rows:
            if number <= upto:
                continue
            fresh.append((node, number, body, entries.decode(body)))
            upto = number
        if fresh:
            self._write(fresh, upto, source)
        return upto

    def _source(self, node: str, file: str, after: int) -> str:
        """Under which name it is kept how far a node's entries are here. What was shipped before files had names was of the file that goes on
        from there."""
        if not file:
            return node
        before = self.shipped(node)
        if before and before == after and not self.shipped(f"{node}/{file}"):
            with self.together() as db:
                db.execute("INSERT OR REPLACE INTO shipped VALUES (?, ?)", (f"{node}/{file}", before))
                db.execute("DELETE FROM shipped WHERE node = ?", (node,))
        return f"{node}/{file}"

    def _write(self, fresh: list[tuple[str, int, bytes, Entry]], upto: int = 0, source: str = "") -> int:
        with self.together() as db:
            for node, number, body, entry in fresh:
                self._last += 1
                self._sum = _chain(self._sum, body)
                db.execute("INSERT INTO log VALUES (?, ?, ?, ?, ?)", (self._last, node, number or self._last, body, self._sum))
                if isinstance(entry, Sent):
                    db.execute("INSERT OR IGNORE INTO pending VALUES (?, ?, ?)", (entry.seq, entry.ordinal, body))
                elif isinstance(entry, Told):
                    db.execute("DELETE FROM pending WHERE seq = ? AND ordinal = ?", (entry.seq, entry.ordinal))
                self._fold(node, entry)
            if upto:
                db.execute("INSERT OR REPLACE INTO shipped VALUES (?, ?)", (source or fresh[0][0], upto))
        return self._last

    @contextmanager
    def together(self, flushed: bool = False) -> Iterator[sqlite3.Connection]:
        """Writes in one transaction; inside another one they are part of that. ``flushed``: it survives a loss of power, also
        where entries need not.

        Raises:
            LedgerFull: it could not be written; nothing of it was.
        """
        if self._deep:
            yield self._db
            return
        if self._end_unknown:
            self._read_end()
        self._deep = True
        try:
            if flushed and not self._power:
                self._db.execute("PRAGMA synchronous=FULL")
            self._db.execute("BEGIN IMMEDIATE")
            yield self._db
            self._db.execute("COMMIT")
        except BaseException as problem:
            self._end_unknown = True  # a commit may be told as failed and have been made: the file says what holds
            try:
                if self._db.in_transaction:
                    self._db.execute("ROLLBACK")
            except sqlite3.Error:
                pass  # the first problem is the one to tell; an open transaction fails the next one too
            with suppress(LedgerFull):
                self._read_end()
            if isinstance(problem, sqlite3.Error):
                raise LedgerFull(str(problem)) from None
            raise
        finally:
            self._deep = False
            if flushed and not self._power and not self._db.in_transaction:
                self._db.execute("PRAGMA synchronous=NORMAL")

    def _read_end(self) -> None:
        """Takes the end of the log from the file.

        Raises:
            LedgerFull: it cannot be read now; the next transaction tries again.
        """
        try:
            self._last = self._db.execute("SELECT coalesce(max(no), 0) FROM log").fetchone()[0]
            self._sum = self._sum_before(self._last + 1)
        except sqlite3.Error as problem:
            raise LedgerFull(str(problem)) from None
        self._end_unknown = False

    def group(self, works: list[Callable[[Store], Any]]) -> list[tuple[Any, Exception | None]]:
        """Carries out what several asked for in one transaction: what cannot be used is told of that one alone, what the
        disk refuses is told to all. A ``durable.Lane`` runs it. One work that is ``flushed`` has all of them flushed."""
        said: list[tuple[Any, Exception | None]] = []
        try:
            with self.together(any(isinstance(work, Flushed) for work in works)):
                for work in works:
                    try:
                        said.append((work(self), None))
                    except (Missing, ValueError, msgspec.MsgspecError) as wrong:
                        said.append((None, wrong))
        except LedgerFull as full:
            return [(None, full)] * len(works)
        return said

    # Reading.

    @property
    def last(self) -> int:
        """Number of the newest entry."""
        return self._last

    def shipped(self, node: str, file: str = "") -> int:
        """How far this ledger has another node's entries, of that file; for its own, how far they were shipped."""
        node = f"{node}/{file}" if file else node
        row = self._db.execute("SELECT upto FROM shipped WHERE node = ?", (node,)).fetchone()
        return row[0] if row else 0

    def shippers(self) -> set[str]:
        """Nodes of whom something is among the newest entries: they may have sent what this file, if it is an older one, does not have."""
        return {node for (node,) in self._db.execute("SELECT DISTINCT node FROM log WHERE no > ? AND node != ''", (self._last - TAIL,))}

    def acknowledged(self, node: str, upto: int) -> None:
        """The ledger service has this node's entries up to there."""
        with self.together() as db:
            db.execute("INSERT OR REPLACE INTO shipped VALUES (?, ?)", (node, upto))

    def after(self, number: int, most: int) -> list[tuple[int, bytes]]:
        """Entries behind a number, in order."""
        return self._db.execute("SELECT no, body FROM log WHERE no > ? ORDER BY no LIMIT ?", (number, most)).fetchall()

    def pending(self) -> list[Sent]:
        """Attempts of which nobody has told what they ran."""
        return [entries.decode(body) for (body,) in self._db.execute("SELECT body FROM pending ORDER BY seq, ordinal")]

    def rows(self) -> Iterator[tuple[str, Entry]]:
        for node, body in self._db.execute("SELECT node, body FROM log ORDER BY no"):
            yield node, entries.decode(body)

    def tries(self) -> dict[str, Try]:
        """All tries that are not folded yet."""
        return entries.put_together(self.rows())

    def bill(self, since: int, until: int, prices: list[Price], recognise: int, lost_to: str) -> list[Line]:
        """The lines of a period, folded operations included."""
        return bill(self.tries().values(), since, until, prices, recognise, lost_to, self._folded())

    def verify(self, after: int = 0) -> Checked:
        """Goes over the chain behind a number.

        Raises:
            LedgerBroken: at the first row that does not add up.
        """
        first = max(1, after + 1)
        low = self._db.execute("SELECT coalesce(min(no), 0) FROM log").fetchone()[0]
        begin = max(first, low)
        chain, count, expect = self._sum_before(begin), 0, begin
        for no, body, kept in self._db.execute("SELECT no, body, sum FROM log WHERE no >= ? ORDER BY no", (begin,)):
            chain = _chain(chain, body)
            if no != expect or chain != kept:
                raise LedgerBroken(f"{self.path}: row {no} does not add up: it was changed, or rows before it are gone")
            count, expect = count + 1, no + 1
        pending = self._db.execute("SELECT count(*) FROM pending").fetchone()[0]
        return Checked(count, begin, expect - 1, pending)

    # Compaction.

    def compact(self, before: int, recognise: int, node: str = "") -> tuple[int, int]:
        """Folds operations that ended before a time, and of which nothing is pending, into one row each.

        ``node``: this is the ledger of a node that ships; while it has entries to ship, nothing is done.

        What goes on is written anew behind the log and the log's beginning is dropped, in one transaction: a kill leaves
        the old state or the new one. Returns how many rows went and how many operations were folded.
        """
        if node and self.shipped(node) < self._last:
            return 0, 0
        open_seqs = {s.seq for s in self.pending()}
        fold, keep = [], set()
        for tried in operations(self.tries().values(), recognise):
            # A try that may still come has to find its operation, or it would be charged anew.
            done = all(t.final and t.ended + (KEY_FOR if t.keyed else recognise) < before and t.seq not in open_seqs
                       for t in tried)
            if done:
                fold.append(tried)
            else:
                keep.update(t.seq for t in tried)
        rest = [(node, number, body) for node, number, body in
                self._db.execute("SELECT node, number, body FROM log ORDER BY no") if entries.decode(body).seq in keep]
        db, last, chain = self._db, self._last, self._sum
        try:
            db.execute("BEGIN IMMEDIATE")
            for tried in fold:
                db.execute("INSERT OR REPLACE INTO folded VALUES (?, ?, ?, ?, ?, ?, ?)", _fold(tried))
            db.execute("INSERT OR REPLACE INTO meta VALUES ('base', ?)", (chain,))
            db.execute("DELETE FROM log")
            for node, number, body in rest:
                last, chain = last + 1, _chain(chain, body)
                db.execute("INSERT INTO log VALUES (?, ?, ?, ?, ?)", (last, node, number, body, chain))
            if not rest:  # numbers never come twice, also when the log is empty
                last, body = last + 1, entries.encode(entries.Ended("", 0, "compacted"))
                chain = _chain(chain, body)
                db.execute("INSERT INTO log VALUES (?, '', ?, ?, ?)", (last, last, body, chain))
            if node:  # what was written anew was shipped under its old numbers
                db.execute("INSERT OR REPLACE INTO shipped VALUES (?, ?)", (node, last))
            db.execute("COMMIT")
        except sqlite3.Error as problem:
            self._end_unknown = True
            if db.in_transaction:
                db.execute("ROLLBACK")
            raise LedgerFull(str(problem)) from None
        gone = self._last - (len(rest) or 1)
        self._last, self._sum = last, chain
        db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
        db.execute("VACUUM")
        return max(0, gone), len(fold)

    def _folded(self) -> Iterator[Folded]:
        for at, tenant, kind, tries, figures, unconfirmed in self._db.execute(
                "SELECT at, tenant, type, tries, figures, unconfirmed FROM folded"):
            n = [int(x) for x in figures.split(",")]
            yield Folded(at, Line(tenant, kind, 1, tries, Tokens(*n[0:3]), Tokens(*n[3:6]), Tokens(*n[6:9]), unconfirmed))

    # Operations that must not run twice.

    def claim(self, ask: Claim, settled: bool, wall: int) -> Answer:
        """Carries out an ask for an operation (``claims.decide``)."""
        row, answer = claims.decide(self._claim(ask.mark), ask, settled, wall)
        if row is not None:
            self._keep_claim(ask.mark, row)
        self._asked += 1
        if self._asked % PURGE_EVERY == 0:
            with self.together() as db:
                for table in ("claims", "claimants"):
                    db.execute(f"DELETE FROM {table} WHERE at < ?", (min(wall, ask.at) - claims.KEEP,))
        return answer

    def claimed(self) -> int:
        """How many operations are kept."""
        return self._db.execute("SELECT count(*) FROM claims").fetchone()[0]

    def _fold(self, node: str, entry: Entry) -> None:
        """What an entry says of a claim."""
        if isinstance(entry, Taken):
            if not entry.claimed:
                return
            mark, self._claims = entry.mark, True
            with self.together() as db:
                db.execute("INSERT OR IGNORE INTO claimants VALUES (?, ?, ?)", (entry.seq, mark, entry.at))
        elif self._claims:
            found = self._db.execute("SELECT mark FROM claimants WHERE seq = ?", (entry.seq,)).fetchone()
            if found is None:
                return
            mark = found[0]
        else:
            return
        before = self._claim(mark)
        row = claims.fold(before, node, entry)
        if row is not None and row != before:
            self._keep_claim(mark, row)
        elif row is None and before is not None:
            with self.together() as db:
                db.execute("DELETE FROM claims WHERE mark = ?", (mark,))

    def _claim(self, mark: str) -> Row | None:
        found = self._db.execute("SELECT seq, node, at, places FROM claims WHERE mark = ?", (mark,)).fetchone()
        return Row(*found[:3], _place_list(found[3])) if found else None

    def _keep_claim(self, mark: str, row: Row) -> None:
        with self.together() as db:
            db.execute("INSERT OR REPLACE INTO claims VALUES (?, ?, ?, ?, ?)", (mark, row.seq, row.node, row.at, _places(row.places)))
        self._claims = True

    # Leases, led for all nodes by the ledger service.

    def leases(self) -> list[LeaseRow]:
        """All leases. Of the lives that are over, files of older versions have one row for all of them, without a node."""
        rows = self._db.execute("SELECT budget, begin, node, life, leased + closed, used, node = '' FROM lease "
                                "UNION ALL SELECT budget, begin, node, life, leased, leased, 1 FROM lives").fetchall()
        return [(budget, begin, node, life, leased, used, bool(over)) for budget, begin, node, life, leased, used, over in rows]

    def new_term(self, at_least: int = 0) -> int:
        """The number of a term that this file has not known, on the disk before it is told.

        Raises:
            LedgerFull: it could not be written.
        """
        number = max(int(self._meta("term") or 0), at_least) + 1
        with self.together(flushed=True) as db:
            db.execute("INSERT OR REPLACE INTO meta VALUES ('term', ?)", (str(number),))
        return number

    def end_lives(self, node: str) -> list[LeaseRow]:
        """A node's own file at its start: what its former lives were granted in the newest period of each budget that it knows."""
        rows, newest = self.leases(), {}
        for budget, begin, *_ in rows:
            newest[budget] = max(begin, newest.get(budget, 0))
        kept = [(budget, begin, node, life, leased, used, True) for budget, begin, _, life, leased, used, _ in rows
                if life and begin >= newest[budget] - 2 * (rolling(life) or ("", 0))[1]]
        self.keep_leases(kept, list(newest))
        return kept

    def keep_leases(self, rows: list[LeaseRow], dropped: list[str] = (), aged: list[tuple[str, int]] = ()) -> None:
        """Writes leases before they are told: a grant that was forgotten would be granted twice. ``aged``: rolling budgets, and their first
        bucket that still counts.

        Raises:
            LedgerFull: they could not be written.
        """
        with self.together() as db:
            for budget in dropped:
                db.execute("DELETE FROM lease WHERE budget = ?", (budget,))
                db.execute("DELETE FROM lives WHERE budget = ?", (budget,))
            for budget, first in aged:
                db.execute("DELETE FROM lives WHERE budget = ? AND begin < ?", (budget, first))
            db.executemany("INSERT OR REPLACE INTO lease VALUES (?, ?, ?, ?, ?, ?, 0)", [r[:6] for r in rows if not r[6]])
            db.executemany("INSERT OR REPLACE INTO lives VALUES (?, ?, ?, ?, ?)", [r[:5] for r in rows if r[6]])

    def _meta(self, key: str) -> str:
        row = self._db.execute("SELECT value FROM meta WHERE key = ?", (key,)).fetchone()
        return row[0] if row else ""

    def _sum_before(self, number: int) -> str:
        row = self._db.execute("SELECT sum FROM log WHERE no = ?", (number - 1,)).fetchone()
        return row[0] if row else self._meta("base")


def _chain(last: str, body: bytes) -> str:
    return xxhash.xxh3_128_hexdigest(last.encode() + body)


def _fold(tried: list[Try]) -> tuple[int, str, str, str, int, str, int]:
    line = bill(tried, 0, 1 << 62, [], 1 << 61)[0]
    figures = ",".join(str(n) for t in (line.charged, line.lost, line.repeated) for n in t.row())
    return (tried[0].at, line.tenant, line.type, tried[0].mark, len(tried), figures, line.unconfirmed)
