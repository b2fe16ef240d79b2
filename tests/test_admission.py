"""The door and its structures, without sockets; then floods and exhausted descriptors on loopback."""
import errno
import socket
from collections import Counter
from random import Random

import pytest
from hypothesis import given, settings as examples, strategies as st
from pydantic import ValidationError

from aniserudder.admission.descriptors import Calm, Descriptors
from aniserudder.admission.door import Door, Why
from aniserudder.admission.entry import Discipline, EntryQueue, Waiting
from aniserudder.admission.sketch import HeavyHitters
from aniserudder.admission.trie import PrefixTrie, packed
from aniserudder.admission.wheel import TimingWheel
from aniserudder.measure.admission import DictWalk
from aniserudder.settings import load_text
from aniserudder.settings.schema import Admission
from stand import on_loop, sleep, until
from test_forms import GOOD
from test_sockets import site


def door(now=0.0, **rules):
    base = dict(connections=100, reserve_connections=20, in_flight=50, reserve_in_flight=10, address_connections=10,
                address_new_per_s=1000, address_in_flight=5, network_connections=40, client_connections=30,
                client_in_flight=20, chance_ms=100, offences=5, penalty_ms=500, watched=64)
    return Door(Admission(**(base | rules)), now)


def why(result):
    return result[1].why if result[1] else None


# Structures against plain models.

@examples(max_examples=60, deadline=None)
@given(st.integers(0, 1 << 30))
def test_the_trie_agrees_with_a_walk_over_dictionaries(seed):
    chance, trie, walk = Random(seed), PrefixTrie(), DictWalk()
    for n in range(40):
        length = chance.randint(0, 32)
        number = (chance.getrandbits(10) << 22 | chance.getrandbits(22)) >> (32 - length) << (32 - length)
        network = f"{'.'.join(map(str, number.to_bytes(4, 'big')))}/{length}"
        trie.put(network, n)
        walk.put(network, n)
    for _ in range(50):
        at = (chance.getrandbits(32)).to_bytes(4, "big")
        assert trie.find(at) == walk.find(at)


def test_addresses():
    assert packed("::ffff:10.1.2.3") == packed("10.1.2.3") and len(packed("fe80::1%eth0")) == 16


@examples(max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 20), st.sampled_from(["set", "cancel", "advance"]), st.floats(0, 3000)), max_size=60))
def test_the_wheel_agrees_with_a_heap(steps):
    wheel, model, now = TimingWheel(0.05, 0.0), {}, 0.0
    for key, what, amount in steps:
        if what == "set":
            wheel.set(key, now + amount)
            model[key] = max(int(now / 0.05) + 1, -int(-(now + amount) // 0.05))
        elif what == "cancel":
            assert wheel.cancel(key) == (model.pop(key, None) is not None)
        else:
            now += amount
            due = sorted(k for k, at in model.items() if at <= int(now / 0.05))
            assert sorted(wheel.advance(now)) == due
            for k in due:
                del model[k]
        assert len(wheel) == len(model)


@examples(max_examples=40, deadline=None)
@given(st.integers(0, 1 << 30))
def test_the_sketch_is_never_too_low_and_bounded_above(seed):
    chance, sketch, exact = Random(seed), HeavyHitters(20, 1e9), Counter()
    for _ in range(600):
        key = bytes([min(255, int(chance.paretovariate(0.7)))])
        sketch.add(key, 0.0)
        exact[key] += 1
    assert len(sketch) <= 20
    for key, count in sketch.top(20, 0.0):
        assert exact[key] <= count + 1e-6 and count <= exact[key] + 600 / 20 + 1e-6
        assert sketch.sure(key, 0.0) <= exact[key] + 1e-6


def test_the_sketch_fades_and_outlives_its_numbers():
    sketch = HeavyHitters(4, 1.0)
    for _ in range(64):
        sketch.add(b"a", 0.0)
    assert sketch.count(b"a", 3.0) == pytest.approx(8)
    for hour in range(1, 50):
        sketch.add(b"b", hour * 3600.0)
    assert sketch.count(b"b", 49 * 3600.0) == pytest.approx(1) and sketch.count(b"a", 49 * 3600.0) < 1e-6


# The door.

def test_one_address_has_its_cap_and_idle_ones_make_room_for_the_newcomer():
    d = door()
    held = [d.comes("10.0.0.1", 0.0)[0] for _ in range(10)]
    assert why(d.comes("10.0.0.1", 0.05)) is Why.ADDRESS
    ticket, _, out = d.comes("10.0.0.1", 0.2)
    assert ticket and out is held[0] and len(d.addresses[packed("10.0.0.1")].tickets) == 10


def test_a_request_in_flight_is_never_closed_to_make_room():
    d = door(address_connections=3)
    for _ in range(3):
        assert d.asks(d.comes("10.0.0.1", 0.0)[0], 0.0) is None
    assert why(d.comes("10.0.0.1", 9.0)) is Why.ADDRESS


def test_known_clients_behind_a_shared_address():
    """2,000 clients behind one address, 50 known among them."""
    d, chance, known = door(connections=400, reserve_connections=200, client_connections=100, chance_ms=20), Random(1), 0
    for n in range(2000):
        now = n * 0.005
        ticket, refused, _ = d.comes("10.0.0.1", now)
        if n % 40 == 7:
            assert ticket, refused  # it gets in,
            assert d.shows(ticket, f"client-{n // 40 % 5}", now) is None and d.asks(ticket, now) is None  # and stays
            known += 1
        elif ticket and chance.random() < 0.3:
            d.goes(ticket)
    assert known == 50 and sum(len(a.tickets) for a in d.clients.values()) == 50
    assert len(d.addresses[packed("10.0.0.1")].tickets) <= 10


def test_strangers_never_get_the_reserve_and_share_by_address():
    d = door(network_connections=1000)
    flood = [d.comes(f"10.0.{n}.1", 0.0)[0] for n in range(40) for _ in range(2)]
    assert all(flood) and why(d.comes("10.9.9.9", 0.01)) is Why.STRANGERS
    ticket, _, out = d.comes("10.9.9.9", 0.3)
    assert ticket and out in flood
    assert d.shows(ticket, "album", 0.3) is None and len(d.strangers) == 79
    for n in range(20):
        ticket, refused, _ = d.comes("10.9.9.9", 0.4)
        assert ticket, refused
        d.shows(ticket, "album", 0.4)
    assert len(d.open) == 100


def test_a_network_has_its_cap_and_an_exception_its_own():
    d = door(prefixes=[{"network": "10.1.0.0/16", "connections": 30}])
    assert sum(bool(d.comes(f"10.0.0.{n}", 0.0)[0]) for n in range(60)) == 40
    assert sum(bool(d.comes("10.1.0.1", 0.0)[0]) for n in range(60)) == 30


def test_a_reconnect_loop_is_slowed_more_and_more_and_let_go_of():
    d, now, got = door(address_new_per_s=10, penalty_ms=500), 0.0, []
    while now < 20:
        ticket, refused, _ = d.comes("10.0.0.1", now)
        if ticket:
            got.append(now)
            d.goes(ticket)
        now += 0.01
    assert d.refused[Why.SLOWED] > 1000 and len(got) < 200 and max(r for r in d.penalties.values()) - 20 > 1
    ticket, _, _ = d.comes("10.0.0.2", now)
    assert ticket
    assert d.comes("10.0.0.1", now + 600)[0] and not d.penalties


def test_an_address_from_which_a_known_client_came_is_not_slowed():
    d = door(address_new_per_s=10)
    for n in range(100):
        ticket = d.comes("10.0.0.1", n * 0.001)[0]
        if ticket:
            d.goes(ticket)
    assert why(d.comes("10.0.0.1", 0.2)) is Why.SLOWED
    waited = d.comes("10.0.0.1", 60.0)[0]
    d.shows(waited, "album", 60.0)
    for n in range(50):
        assert d.comes("10.0.0.1", 60.0 + n * 0.001)[0] or n > 9


def test_requests_have_caps_of_their_own_and_a_reserve():
    d = door(address_connections=100, network_connections=100)
    strangers = [d.comes("10.0.0.1", 0.0)[0] for _ in range(6)]
    assert [d.asks(t, 0.0) and d.asks(t, 0.0).why for t in strangers] == [None] * 5 + [Why.ADDRESS_BUSY]
    for n in range(35):
        assert d.asks(d.comes(f"10.0.{n + 1}.1", 0.0)[0], 0.0) is None
    assert d.asks(d.comes("10.0.99.1", 0.0)[0], 0.0).why is Why.STRANGERS_BUSY
    known = d.comes("10.0.98.1", 0.0)[0]
    d.shows(known, "album", 0.0)
    assert all(d.asks(known, 0.0) is None for _ in range(10)) and d.asks(known, 0.0).why is Why.NODE_BUSY
    for _ in range(10):
        d.answered(known, 1.0)
    d.answered(known, 1.0)
    assert d.in_flight == 40 and known.in_flight == 0


def test_reload_below_what_is_open_drops_nobody():
    d = door()
    held = [d.comes("10.0.0.1", 0.0)[0] for _ in range(10)]
    d.asks(held[0], 0.0)
    d.reload(Admission(address_connections=2, connections=5, reserve_connections=1))
    assert len(d.open) == 10 and why(d.comes("10.0.0.2", 0.0)) is Why.NODE
    for ticket in held:
        d.goes(ticket)
    assert d.comes("10.0.0.2", 0.0)[0] and d.in_flight == 0


def test_a_stopping_node_takes_nobody():
    d = door()
    d.stopping = True
    assert why(d.comes("10.0.0.1", 0.0)) is Why.STOPPING


def test_a_flood_of_addresses_fills_no_table():
    d = door(network_connections=1000)
    for n in range(30_000):
        ticket, _, _ = d.comes(f"127.{n % 200}.{n // 200 % 250}.{n % 249 + 1}", n * 0.0001)
        if ticket and n % 3 == 0:
            d.goes(ticket)
    assert len(d.open) <= 100 and len(d.addresses) <= 100 and len(d.networks) <= 100
    assert len(d.comers) <= 64 and len(d.offenders) <= 64 and len(d.penalties) <= 64


def test_idle_ones_are_shed_strangers_first():
    d = door()
    known, busy, idle, old = (d.comes(f"10.0.{n}.1", 0.0)[0] for n in range(4))
    d.shows(known, "album", 0.0)
    d.asks(busy, 0.0)
    idle.idle_since = 3600.0
    assert d.idle(9) == [old, idle, known] and d.idle(1) == [old]


@examples(max_examples=60, deadline=None)
@given(st.integers(0, 1 << 30))
def test_the_accounts_always_add_up(seed):
    chance, d, now = Random(seed), door(connections=30, reserve_connections=10, address_connections=6), 0.0
    for _ in range(400):
        now += chance.expovariate(50)
        ticket = chance.choice(list(d.open)) if d.open else None
        match chance.randrange(6):
            case 0 | 1:
                d.comes(f"10.0.{chance.randrange(4)}.{chance.randrange(4)}", now)
            case 2 if ticket:
                d.goes(ticket)
            case 3 if ticket:
                d.shows(ticket, f"c{chance.randrange(3)}", now) if not ticket.in_flight else None
            case 4 if ticket:
                d.asks(ticket, now)
            case 5 if ticket:
                d.answered(ticket, now)
        known = sum(len(a.tickets) for a in d.clients.values())
        assert known + len(d.strangers) == len(d.open) <= 30
        assert sum(len(a.tickets) for a in d.addresses.values()) == len(d.strangers) == sum(
            len(a.tickets) for a in d.networks.values())
        assert sum(t.in_flight for t in d.open) == d.in_flight
        assert sum(t.in_flight for t in d.strangers) == d.strangers_in_flight == sum(
            a.in_flight for a in d.addresses.values())


# Descriptors and the entry queue.

def test_descriptors_shut_and_open_with_a_gap():
    d = Descriptors(1000, 200)
    seen = [d.note("clients", n) for n in (0, 679, 681, 759, 761, 700, 641, 639)]
    assert seen == [Calm.OPEN, Calm.OPEN, Calm.SHEDDING, Calm.SHEDDING, Calm.SHUT, Calm.SHUT, Calm.SHUT, Calm.OPEN]
    d.note("engines", 500)
    assert d.most_clients == 500 and d.note("clients", 480) is Calm.SHUT and d.room() == 80
    d.note("clients", 0)
    d.exhausted()
    assert d.state is Calm.SHUT and d.note("clients", 0) is Calm.OPEN


def queue(order, most=4):
    return EntryQueue(most, order)


def wait(name, came=0.0, due=1.0, utility=1.0):
    return Waiting(name, came, due, utility)


def drained(q, now=0.0):
    names = []
    while (one := q.take(now)[0]) is not None:
        names.append(one.item)
    return names


def test_orders_of_the_entry_queue():
    for order, names in ((Discipline.FIFO, "abcd"), (Discipline.LIFO, "dcab"), (Discipline.UTILITY, "bdca")):
        q = queue(order)
        for name, due, utility in (("a", 3, 1), ("b", 4, 3), ("c", 2, 1), ("d", 5, 3)):
            q.put(wait(name, due=due, utility=utility), 0.0)
        assert "".join(drained(q)) == names


def test_a_full_queue_refuses_the_least_and_the_late_at_once():
    q = queue(Discipline.UTILITY, 2)
    q.put(wait("a"), 0.0), q.put(wait("b", due=0.5), 0.0)
    assert [w.item for w in q.put(wait("c", utility=3), 0.1)] == ["a"]
    assert [w.item for w in q.put(wait("d"), 0.6)] == ["b"] and drained(q, 0.7) == ["c", "d"]
    q = queue(Discipline.FIFO, 1)
    q.put(wait("a"), 0.0)
    assert [w.item for w in q.put(wait("b"), 0.1)] == ["b"]
    one, late = q.take(1.0)
    assert one is None and [w.item for w in late] == ["a"] and q.expired == 1
    q.put(wait("c", due=9), 1.0)
    assert q.drop("c") and not q.drop("zzz") and not len(q)


@pytest.mark.parametrize("rules, said", [
    ("prefixes: [{network: 10.0.0.1/8}]", "admission.prefixes.0.network: found '10.0.0.1/8', allowed: a network"),
    ("connections: 10, reserve_connections: 10", "admission: reserve_connections: leaves strangers none"),
    ("refuse_with: silence", "admission.refuse_with: found 'silence', allowed: 'answer' or 'reset'")])
def test_rules_that_cannot_be_used(rules, said):
    from aniserudder.settings import BadSettings
    with pytest.raises(BadSettings) as wrong:
        load_text(GOOD + f"admission: {{{rules}}}", "s")
    assert said in wrong.value.problems[0]


def test_reserves_have_to_leave_room():
    with pytest.raises(ValidationError):
        Admission(in_flight=5, reserve_in_flight=5)


# On sockets.

KNOWN = "customers: {album: {keys: [album-key-1]}}\n"


def connects(address, count, source):
    held = []
    for _ in range(count):
        one = socket.socket()
        one.setblocking(False)
        one.bind((source, 0))
        one.connect_ex(address)
        held.append(one)
    return held


def test_a_thousand_connections_from_one_address_and_a_known_client():
    async def scene():
        s = await site("mixed", more=KNOWN + "admission: {connections: 300, reserve_connections: 100, address_connections: 50}").up()
        held, good = [], []
        for n in range(10):
            held += connects(s.node.address, 100, "127.0.0.77")
            await sleep(0.02)
            view = await s.ask(ref=f"a{n}", headers=[("x-api-key", "album-key-1")])
            await until(lambda: view.over)
            good.append(view.events()[-1:])
        most = len(s.node.messages.factory.connections)
        for one in held:
            one.close()
        await until(lambda: not s.node.messages.gate.door.addresses)
        refused = sum(s.node.messages.gate.door.refused.values())
        await s.close()
        return good, most, refused
    good, most, refused = on_loop(scene, 30)
    assert good == [["message_stop"]] * 10 and most <= 300 + 128 and refused > 300


def test_a_refused_client_that_asks_is_told():
    async def scene():
        s = await site("mixed", more="admission: {address_connections: 2, chance_ms: 60000, penalty_ms: 700}").up()
        held = connects(s.node.address, 2, "127.0.0.1")
        await until(lambda: len(s.node.messages.gate.door.open) == 2)
        view = await s.ask()
        await until(lambda: view.over)
        for one in held:
            one.close()
        taken = s.node.router.counts.taken
        await s.close()
        return view.status, view.data, taken
    status, data, taken = on_loop(scene)
    assert status == 429 and b"too many connections from this address" in data and b'"retry_after_ms":700' in data and not taken


def test_half_open_clients_are_bounded_in_time():
    async def scene():
        s = await site("mixed", more="admission: {show_ms: 200}").up()
        silent = connects(s.node.address, 20, "127.0.0.5")
        await until(lambda: len(s.node.messages.gate.door.open) == 20)
        await until(lambda: not s.node.messages.gate.door.open, 3)
        for one in silent:
            one.close()
        await s.close()
    on_loop(scene)


def test_a_reconnect_loop_that_sends_and_leaves_leaves_nothing_behind():
    async def scene():
        s = await site("reader", "writer").up()
        for n in range(40):
            view = await s.ask(ref=f"a{n}")
            view.connection.drop()
        await until(lambda: not s.node.router.flights and not s.node.messages.gate.door.open)
        door = s.node.messages.gate.door
        left = (door.in_flight, len(s.engines[0].held), len(s.engines[1].running))
        await s.close()
        return left
    assert on_loop(scene) == (0, 0, 0)


def test_descriptors_run_out_while_streams_are_open():
    """The gate is told of a small limit: it stops accepting, keeps the streams and opens again."""
    async def scene():
        s = await site("mixed").up()
        s.engines[0].spec.step_ms = 80
        gate = s.node.messages.gate
        views = [await s.ask(ref=f"a{n}", max_tokens=12) for n in range(4)]
        await until(lambda: len(s.engines[0].running) == 4)
        gate.descriptors.limit, gate.descriptors.own = 60, 20
        gate.descriptors.held["others"] = 0
        idle = connects(s.node.address, 60, "127.0.0.6")
        await until(lambda: any(e == "not accepting" for e, _ in s.logged))
        gate._look.cancel()
        await until(lambda: all(v.over for v in views))
        for one in idle:
            one.close()
        gate.descriptors.held["others"] = 0
        await until(lambda: gate._clients < 8)
        gate._note()
        again = await s.ask(ref="b1")
        await until(lambda: again.over)
        await s.close()
        return [v.events()[-1] for v in views], again.events()[-1]
    streams, again = on_loop(scene)
    assert streams == ["message_stop"] * 4 and again == "message_stop"


def test_no_descriptor_for_an_engine_is_not_the_engines_fault(monkeypatch):
    async def scene():
        s = await site("mixed").up()
        from twisted.internet import tcp
        real = socket.socket

        def none_left(*args, **kw):
            raise OSError(errno.EMFILE, "Too many open files")
        made = s.node.pool.connected

        def connected(engine, ready, failed, *more):
            monkeypatch.setattr(tcp.socket, "socket", none_left)
            try:
                made(engine, ready, failed)
            finally:
                monkeypatch.setattr(tcp.socket, "socket", real)
        s.node.pool.connected = connected
        view = await s.ask()
        await until(lambda: view.over)
        standing = [e.standing.value for e in s.node.router.node.engines.values()]
        state = s.node.messages.gate.descriptors.state
        s.node.pool.connected = made
        await s.close()
        return view.status, standing, state, [f["reason"] for e, f in s.logged if e == "attempt ended"]
    status, standing, state, reasons = on_loop(scene)
    assert status == 503 and standing == ["trusted"] and set(reasons) == {"not sent: no descriptor is left"}


def test_admission_while_the_node_is_stopping():
    async def scene():
        s = await site("mixed").up()
        stopped = s.node.stop()
        view = await s.ask()
        await until(lambda: view.over)
        await stopped
        await s.close()
        return view.status, b"the node is stopping" in view.data
    assert on_loop(scene) == (503, True)


def test_more_requests_than_a_turn_takes_up_wait_in_line():
    async def scene():
        s = await site("mixed", more="admission: {entry_per_turn: 1, entry_most: 50}").up()
        gate, most = s.node.messages.gate, []
        enter = gate.enter

        def entered(*args):
            enter(*args)
            most.append(len(gate.entry))
        gate.enter = entered
        views = [await s.ask(ref=f"a{n}") for n in range(12)]
        await until(lambda: all(v.over for v in views))
        await s.close()
        return [v.events()[-1] for v in views], len(gate.entry)
    ends, left = on_loop(scene)
    assert ends == ["message_stop"] * 12 and left == 0
