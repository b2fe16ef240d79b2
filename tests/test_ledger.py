"""The ledger on disk: against a plain model, killed at any byte, altered, full; and a node's books on sockets."""
import os
import shutil
import signal
import sqlite3
import subprocess
import sys
import time

import pytest
from click.testing import CliRunner
from hypothesis import settings as examples, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from twisted.internet import threads

from aniserudder.eventloop import reactor

from aniserudder.cli import main
from aniserudder.ledger.books import bounded
from aniserudder.ledger.entries import Ended, Sent, Taken, Told, encode, put_together
from aniserudder.ledger.service import Ask, Asks, LedgerService
from aniserudder.ledger.store import LedgerBroken, LedgerFull, Missing, Store
from stand import on_loop, sleep, until
from test_sockets import Site, engine

S = 1_000_000
WRITER = """
import sys
from aniserudder.ledger.store import Store
from aniserudder.ledger.entries import Taken, Sent
store = Store(sys.argv[1])
n = store.last
while True:
    n = store.append([Taken(f"s{n}", n, "t", "draft", "m"), Sent(f"s{n}", 0, "e")], "n1")
    print(n, flush=True)
"""


def some(n):
    return [Taken(f"s{n}", n * S, "t", "draft", f"m{n}"), Sent(f"s{n}", 0, "e1"),
            Told(f"s{n}", 0, "generated", 10, 5, n), Ended(f"s{n}", n * S + 1, "generated")]


def whole(store):
    lines = store.bill(0, 1 << 62, [], 0, "operator")
    return {(b.tenant, b.type): (b.operations, b.tries, b.charged.row(), b.lost.row(), b.repeated.row()) for b in lines}


class LedgerModel(RuleBasedStateMachine):
    """A ledger that is written, shipped, compacted, closed and opened, against a list."""

    def __init__(self):
        super().__init__()
        self.folder = f"/tmp/ledger-test-{os.getpid()}-{id(self)}"
        os.makedirs(self.folder)
        self.store, self.kept, self.n = Store(f"{self.folder}/a"), [], 0

    @rule(finals=st.sampled_from(["generated", "aborted", "left", "rejected"]), told=st.booleans(), mark=st.integers(0, 2),
          written=st.integers(0, 99), later=st.sampled_from([1, 1, 100_000]))
    def sequence(self, finals, told, mark, written, later):
        self.n += later  # seconds; a key lasts a day
        seq = f"s{self.n}"
        fresh = [Taken(seq, self.n * S, "t", "draft", f"m{mark}", mark == 1), Sent(seq, 0, "e", estimate=5, most=99)]
        fresh += [Told(seq, 0, finals, 7, 3, written)] if told else []
        fresh += [Ended(seq, self.n * S + 1, finals)]
        self.store.append(fresh, "n1")
        self.kept += fresh

    @rule()
    def tell_all(self):
        for sent in self.store.pending():
            told = Told(sent.seq, sent.ordinal, "late", 1, 1, 1)
            self.store.append([told], "n1")
            self.kept.append(told)

    @rule()
    def reopen(self):
        self.store.close()
        self.store = Store(f"{self.folder}/a")

    @precondition(lambda self: self.n)
    @rule(part=st.floats(0, 1))
    def compact(self, part):
        self.store.compact(round(self.n * part) * S, 0)

    @invariant()
    def agrees(self):
        from aniserudder.tenants.billing import bill
        model = bill(put_together(("n1", e) for e in self.kept).values(), 0, 1 << 62, [], 0)
        assert whole(self.store) == {(b.tenant, b.type): (b.operations, b.tries, b.charged.row(), b.lost.row(),
                                                          b.repeated.row()) for b in model}
        self.store.verify()

    def teardown(self):
        self.store.close()
        shutil.rmtree(self.folder)


TestLedgerModel = LedgerModel.TestCase
TestLedgerModel.settings = examples(max_examples=20, stateful_step_count=12, deadline=None)


def test_nothing_acknowledged_is_lost_by_a_kill(tmp_path):
    path, acknowledged = tmp_path / "ledger", 0
    for _ in range(3):
        child = subprocess.Popen([sys.executable, "-c", WRITER, str(path)], stdout=subprocess.PIPE, text=True)
        end = time.monotonic() + 0.5
        while time.monotonic() < end:
            acknowledged = int(child.stdout.readline())
        child.send_signal(signal.SIGKILL)
        rest = child.communicate()[0].split("\n")
        acknowledged = max([acknowledged, *(int(x) for x in rest[:-1] if x)])
        store = Store(path)
        done = store.verify()
        assert done.last >= acknowledged and done.rows % 2 == 0 and done.pending == done.rows // 2
        store.close()


def test_a_tail_torn_at_any_byte_is_cut(tmp_path):
    store = Store(tmp_path / "a")
    for n in range(6):
        store.append(some(n), "n1")
    wal = (tmp_path / "a-wal").read_bytes()
    counts = []
    for cut in [*range(0, len(wal), 997), len(wal) - 1, len(wal)]:
        other = tmp_path / "b"
        for old in tmp_path.glob("b*"):
            old.unlink()
        shutil.copy(tmp_path / "a", other)
        (tmp_path / "b-wal").write_bytes(wal[:cut])
        opened = Store(other)
        rows = opened.verify().rows
        assert rows % 4 == 0  # whole commits only
        counts.append(rows)
        opened.append(some(99), "n1")
        assert opened.verify().rows == rows + 4
        opened.close()
    assert counts == sorted(counts) and counts[-1] == 24
    store.close()


@pytest.mark.parametrize("harm", ["UPDATE log SET body = replace(body, 's3', 's4') WHERE no = 14",
                                  "DELETE FROM log WHERE no = 9", "UPDATE log SET sum = 'x' WHERE no = 20"])
def test_rows_that_were_altered_are_found(tmp_path, harm):
    store = Store(tmp_path / "a")
    for n in range(6):
        store.append(some(n), "n1")
    store.close()
    db = sqlite3.connect(tmp_path / "a")
    db.execute(harm.replace("replace(body, 's3', 's4')", "CAST(replace(CAST(body AS TEXT), 's3', 's4') AS BLOB)"))
    db.commit()
    db.close()
    with pytest.raises(LedgerBroken, match="does not add up"):
        Store(tmp_path / "a")
    got = CliRunner().invoke(main, ["ledger", "check", str(tmp_path / "a")])
    assert got.exit_code == 1 and "does not add up" in got.stderr


def test_what_is_no_ledger_is_not_opened(tmp_path):
    (tmp_path / "a").write_text("no database at all, but long enough to be taken for one" * 20)
    with pytest.raises(LedgerBroken):
        Store(tmp_path / "a")


def test_shipped_twice_is_counted_once(tmp_path):
    store = Store(tmp_path / "central")
    rows = [(n + 1, encode(e)) for n, e in enumerate(some(1) + some(2))]
    assert store.receive("n1", 0, rows[:5]) == 5 and store.receive("n1", 0, rows) == 8 and store.receive("n1", 0, rows) == 8
    assert whole(store)["t", "draft"][0] == 2 and store.verify().rows == 8
    with pytest.raises(Missing, match="only those up to 8"):
        store.receive("n1", 9, [(10, rows[0][1])])
    store.close()


def test_a_full_disk_writes_nothing_of_a_call(tmp_path):
    store = Store(tmp_path / "a")
    store.append(some(1), "n1")
    store._db.execute(f"PRAGMA max_page_count = {store._db.execute('PRAGMA page_count').fetchone()[0]}")
    with pytest.raises(LedgerFull):
        for n in range(2, 2000):
            store.append(some(n), "n1")
    rows = store.verify().rows
    assert rows % 4 == 0
    store._db.execute("PRAGMA max_page_count = 100000")
    store.append(some(9999), "n1")
    assert store.verify().rows == rows + 4
    store.close()


def test_a_grant_outlives_the_service(tmp_path):
    def service():
        return LedgerService(reactor, Store(tmp_path / "l"), lambda *a, **k: None)
    one = service()
    asks = [Ask("b", 1000, 5, 400, 0)]
    def lease(service, asks, now):
        said = []
        service.gathering.until, asks.term, asks.tells = 0, str(service.gathering.term), True  # as if heard, and all others too
        service.lease(asks, now, lambda reply, problem: said.extend(reply.grants))
        return said[0]
    first = lease(one, Asks("n1", "x", asks), 0.0)
    one.store.close()
    two = service()
    second = lease(two, Asks("n2", "y", [Ask("b", 1000, 5, 1000, 0)]), 1.0)
    assert first.granted and first.granted + second.granted <= 1000
    stale = lease(two, Asks("n1", "x", [Ask("b", 1000, 4, 400, 0)]), 2.0)
    assert stale.granted == 0  # a node whose clock stepped back gets nothing of a period that is over
    new = lease(two, Asks("n1", "x", [Ask("b", 1000, 6, 400, 0)]), 3.0)
    assert new.begin == 6 and new.granted > 0
    two.store.close()


def test_an_engines_figures_are_bounded_by_what_the_node_knows():
    sent = Sent("s", 0, "e", estimate=100, most=20)
    assert bounded(sent, "generated", 90, 40, 15, 15) == Told("s", 0, "generated", 50, 40, 15)
    wrong = [(90, 40, 500), (10**9, 0, 15), (-5, 0, 15), (90, 40, 3)]
    for read, kept, written in wrong:
        told = bounded(sent, "generated", read, kept, written, 15)
        assert told.flag and 0 <= told.read <= 1400 and 15 <= told.written <= 20
    assert bounded(Sent("s", 1, "e", fetched=True, most=20), "generated", 90, 0, 15, 15).read == 0


def test_a_node_with_books_from_end_to_end(tmp_path):
    more = (f"ledger: {{path: '{tmp_path}/n.ledger', recognise_s: 10}}\n"
            "customers: {members: {keys: [members-key-1]}}\n"
            "tenants: {members: {budgets: [{tokens: 12, of: written, period: month}]}}")

    async def scene():
        s = Site([engine("m1", "mixed")], more=more)
        await s.up()
        key = [("x-api-key", "members-key-1")]
        seen = []
        for n in range(4):
            view = await s.ask(ref=f"a{n}", headers=key)
            await until(lambda: view.over)
            seen.append((view.status, view.data))
        stranger = await s.ask(ref="b1")
        await until(lambda: stranger.over)
        written = sum(x["written"] for x in s.engines[0].witness.lines if x["what"] == "attempt_end")
        await s.close()
        return seen, stranger.status, written
    seen, stranger, written = on_loop(scene)
    store = Store(tmp_path / "n.ledger")
    assert sum(b.whole()[2] for b in store.bill(0, 1 << 62, [], 0, "operator")) == written and not store.pending()
    refused = [body for status, body in seen if status == 429]
    assert refused and b'"over_budget"' in refused[0] and b'"members/written/month"' in refused[0] and stranger == 200
    got = CliRunner().invoke(main, ["bills", "--period", "2026", "--ledger", str(tmp_path / "n.ledger"), "--format", "csv"])
    assert got.exit_code == 0 and "members,note," in got.stdout


def test_a_full_ledger_refuses_and_says_so(tmp_path):
    async def scene():
        s = Site([engine("m1", "mixed")], more=f"ledger: {{path: '{tmp_path}/n.ledger'}}")
        await s.up()
        s.node.books.store._write = lambda *_: (_ for _ in ()).throw(LedgerFull("disk full"))
        view = await s.ask()
        await until(lambda: view.over)
        attempts = [x for x in s.engines[0].witness.lines if x["what"] == "attempt"]
        await s.close()
        return view.status, view.data, attempts, [e for e, _ in s.logged]
    status, data, attempts, logged = on_loop(scene)
    assert status == 503 and b"the ledger cannot be written" in data and not attempts and "ledger cannot be written" in logged


def test_what_a_cut_attempt_ran_is_learned_from_the_engine(tmp_path):
    async def scene():
        s = Site([engine("m1", "mixed")], more=f"ledger: {{path: '{tmp_path}/n.ledger'}}")
        await s.up()
        s.engines[0].spec.step_ms = 30
        view = await s.ask()
        await until(lambda: "content_block_delta" in view.events())
        view.connection.drop()
        await until(lambda: s.node.books.quiet)
        written = sum(x["written"] for x in s.engines[0].witness.lines if x["what"] == "attempt_end")
        await s.close()
        return written
    written = on_loop(scene)
    line = Store(tmp_path / "n.ledger").bill(0, 1 << 62, [], 0, "operator")[0]
    assert line.charged.written == written > 0 and not line.unconfirmed


def test_a_restored_service_gets_again_what_it_lost(tmp_path):
    """A node ships; the service goes back to an older copy; all is there again, once."""
    async def scene():
        def service(name, port=0):
            made = LedgerService(reactor, Store(tmp_path / name), lambda *a, **k: None)
            return made, made.start("127.0.0.1", port)[1]
        first, port = service("new")
        s = Site([engine("m1", "mixed")], more=f"ledger: {{path: '{tmp_path}/n.ledger', service: '127.0.0.1:{port}', lease_ms: 20}}")
        await s.up()
        for n in range(2):
            view = await s.ask(ref=f"a{n}")
            await until(lambda: view.over and s.node.books.quiet)
        first.stop()
        await sleep(0.05)
        old, _ = service("old", port)  # the copy is as old as can be: empty
        view = await s.ask(ref="a2")
        await until(lambda: view.over and old.store.shipped("node", s.node.books.store.file) == s.node.books.store.last)
        operations = whole(old.store)["", "note"][0]
        await s.close()
        old.stop()
        return operations
    assert on_loop(scene) == 3


def test_a_fleet_is_shown_on_its_way(tmp_path):
    """Where nodes and the ledger are; a process that does not answer is told as such and makes the exit code 1."""
    async def scene():
        service = LedgerService(reactor, Store(tmp_path / "c"), lambda *a, **k: None)
        at = "%s:%s" % service.start("127.0.0.1", 0)
        s = Site([engine("m1", "mixed")], more=f"ledger: {{path: '{tmp_path}/n.ledger', service: '{at}', lease_ms: 20}}\n"
                 "customers: {members: {keys: [members-key-1]}}\n"
                 "tenants: {members: {budgets: [{tokens: 900, of: written, period: month}]}}")
        await s.up()
        view = await s.ask(headers=[("x-api-key", "members-key-1")])
        await until(lambda: view.over and s.node.ascent.stage.value == "serving" and s.node.books.keeper.accounts[
            "members/written/month"].part.leased)
        node = "%s:%s" % s.node.address
        ask = lambda *args: subprocess.run([sys.executable, "-m", "aniserudder", "fleet", *args], capture_output=True, text=True)
        good = await threads.deferToThread(ask, node, "--ledger", at)
        bad = await threads.deferToThread(ask, node, "127.0.0.1:1")
        await s.close()
        service.stop()
        return good, bad
    good, bad = on_loop(scene)
    assert good.returncode == 0 and "serving" in good.stdout and "leading" in good.stdout and "members/written/month" in good.stdout, good
    assert bad.returncode == 1 and "refused" in bad.stdout


@pytest.mark.parametrize("command, said", [
    (["fleet"], "NODES: missing"), (["fleet", "here"], "here: expected host:port"),
    (["bills", "--period", "soon", "--ledger", "README.md"], "--period: found 'soon'"),
    (["bills", "--period", "2026", "--ledger", "nowhere"], "nowhere: No such file"),
    (["bills", "--period", "2026"], "--ledger or --settings"), (["ledger", "check", "nowhere"], "nowhere: No such file"),
    (["ledger", "compact", "README.md"], "README.md: file is not a database")])
def test_bad_input(command, said):
    got = CliRunner().invoke(main, command)
    assert got.exit_code == 2 and got.stderr.startswith(said), got.stderr
