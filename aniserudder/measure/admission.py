"""The structures made for admission against plain ones, and the orders of the entry queue against each other."""
from __future__ import annotations

import heapq
import sys
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from ipaddress import ip_network
from random import Random

from ..admission.door import Door
from ..admission.entry import Discipline, EntryQueue, Waiting
from ..admission.sketch import HeavyHitters
from ..admission.trie import PrefixTrie
from ..admission.wheel import TimingWheel
from ..settings.schema import Admission


@dataclass(slots=True)
class Row:
    """One comparison."""
    what: str
    made: str
    plain: str
    note: str = ""


def _timed(do: Callable[[], object], count: int) -> float:
    """Microseconds for one of so many."""
    began = time.perf_counter()
    do()
    return (time.perf_counter() - began) / count * 1e6


class DictWalk:
    """The plain way to the longest match: a dictionary for each prefix length, longest first."""

    def __init__(self) -> None:
        self.by_length: dict[int, dict[int, int]] = {}

    def put(self, network: str, value: int) -> None:
        net = ip_network(network)
        self.by_length.setdefault(net.prefixlen, {})[int(net.network_address)] = value
        self.lengths = sorted(self.by_length, reverse=True)

    def find(self, address: bytes) -> tuple[int, int] | None:
        number, bits = int.from_bytes(address, "big"), 8 * len(address)
        for length in self.lengths:
            found = self.by_length[length].get(number >> (bits - length) << (bits - length))
            if found is not None:
                return length, found
        return None


def prefixes(seed: int, networks: int, lookups: int) -> list[Row]:
    rows = []
    for bits, name in ((32, "IPv4"), (128, "IPv6")):
        chance, trie, walk = Random(seed), PrefixTrie[int](), DictWalk()
        low, high = (8, 28) if bits == 32 else (20, 64)
        for n in range(networks):
            length = chance.randint(low, high)
            number = chance.getrandbits(length) << (bits - length)
            network = f"{'.'.join(str(b) for b in number.to_bytes(4, 'big'))}/{length}" if bits == 32 else \
                f"{':'.join(f'{number >> (112 - 16 * i) & 0xffff:x}' for i in range(8))}/{length}"
            trie.put(network, n)
            walk.put(network, n)
        asked = [chance.getrandbits(bits).to_bytes(bits // 8, "big") for _ in range(lookups)]
        assert all(trie.find(a) == walk.find(a) for a in asked[:2000])
        made = _timed(lambda: [trie.find(a) for a in asked], lookups)
        plain = _timed(lambda: [walk.find(a) for a in asked], lookups)
        rows.append(Row(f"longest of {networks} {name} networks", f"trie {made:.2f} us", f"dictionaries {plain:.2f} us"))
    return rows


def timers(seed: int, count: int) -> list[Row]:
    """Sets timers between 0 and 60 s, cancels nine of ten, lets the rest come due."""
    chance = Random(seed)
    times = [chance.uniform(0.1, 60) for _ in range(count)]
    keep = [chance.random() < 0.1 for _ in range(count)]

    def wheel() -> int:
        w = TimingWheel(0.05, 0.0)
        for n, at in enumerate(times):
            w.set(n, at)
        for n in range(count):
            if not keep[n]:
                w.cancel(n)
        return sum(len(w.advance(t * 0.25)) for t in range(1, 260))

    def heap() -> int:
        h: list[tuple[float, int]] = []
        dead: set[int] = set()
        for n, at in enumerate(times):
            heapq.heappush(h, (at, n))
        dead.update(n for n in range(count) if not keep[n])
        due = 0
        for t in range(1, 260):
            while h and h[0][0] <= t * 0.25:
                due += heapq.heappop(h)[1] not in dead
        return due

    def twisted() -> int:
        from ..eventloop import reactor
        calls = [reactor.callLater(at, int) for at in times]
        for n, call in enumerate(calls):
            if not keep[n]:
                call.cancel()
        for call in calls:
            if call.active():
                call.cancel()
        return 0

    assert wheel() == heap() == sum(keep)
    made, plain, late = _timed(wheel, count), _timed(heap, count), _timed(twisted, count)
    return [Row(f"{count} timers, nine of ten cancelled", f"wheel {made:.2f} us", f"heap {plain:.2f} us, callLater {late:.2f} us",
                "for each; callLater set and cancelled only")]


def hitters(seed: int, events: int, size: int) -> list[Row]:
    """Half of the stream comes from addresses whose parts fall with their rank (Pareto), half from ones that come once."""
    chance = Random(seed)
    stream = [(min(1 << 30, int(chance.paretovariate(0.6))) if chance.random() < 0.5 else chance.getrandbits(31)).to_bytes(4, "big")
              for _ in range(events)]
    timed = HeavyHitters(size, 1e9)
    made = _timed(lambda: [timed.add(key, 0.0) for key in stream], events)
    plain = _timed(lambda: Counter(stream), events)
    sketch, exact = HeavyHitters(size, 1e9), Counter()
    tracemalloc.start()  # memory is taken apart from time, which it would slow
    for key in stream:
        sketch.add(key, 0.0)
    small = tracemalloc.get_traced_memory()[0]
    exact.update(stream)
    large = tracemalloc.get_traced_memory()[0] - small
    tracemalloc.stop()
    heavy = [k for k, _ in exact.most_common(100)]
    found = {k for k, _ in sketch.top(100, 0.0)}
    error = max(abs(sketch.count(k, 0.0) - exact[k]) / exact[k] for k in heavy)
    return [Row(f"{events} events, {len(exact)} addresses", f"sketch of {size}: {made:.2f} us, {small / 1024:.0f} KiB",
                f"exact {plain:.2f} us, {large / 1024:.0f} KiB",
                f"{len(found & set(heavy))} of the 100 heaviest found, largest error {error:.1%}")]


def accepting(seed: int, count: int) -> list[Row]:
    """A connection that comes and goes: with the door, and with a bare table."""
    chance = Random(seed)
    comes = [f"127.{chance.randrange(256)}.{chance.randrange(256)}.{chance.randrange(1, 255)}" for _ in range(count)]
    door = Door(Admission(prefixes=[{"network": f"10.{n}.0.0/16", "connections": 5} for n in range(200)]), 0.0)

    def with_door() -> None:
        for n, address in enumerate(comes):
            ticket = door.comes(address, n * 1e-4)[0]
            if ticket:
                door.goes(ticket)

    def without() -> None:
        table: dict[int, str] = {}
        for n, address in enumerate(comes):
            table[n] = address
            del table[n]

    flood = Door(Admission(), 0.0)
    for n in range(3000):
        flood.comes("127.0.0.9", n * 1e-4)
    made, plain = _timed(with_door, count), _timed(without, count)
    refused = _timed(lambda: [flood.comes("127.0.0.9", 1 + n * 1e-6) for n in range(count)], count)
    assert len(door.addresses) == 0 and len(door.open) == 0
    return [Row("a connection that comes and goes", f"door {made:.2f} us", f"bare table {plain:.2f} us"),
            Row("a connection that is refused", f"door {refused:.2f} us", "-")]


def memory(count: int) -> list[Row]:
    """Bytes that a connection holds in the process, without the kernel's part."""
    from twisted.internet.task import Clock
    from twisted.internet.testing import StringTransport

    from ..wire.server import Bounds, ServerFactory
    rules = Admission(connections=count + 10, reserve_connections=1, address_connections=count, network_connections=count,
                      address_new_per_s=1e9)
    door, clock = Door(rules, 0.0), Clock()

    class Transport(StringTransport):
        def setTcpNoDelay(self, on: bool) -> None:
            pass

    tracemalloc.start()
    tickets = [door.comes("127.0.0.9", n * 1e-6)[0] for n in range(count)]
    ticket = tracemalloc.get_traced_memory()[0] / count
    before = tracemalloc.get_traced_memory()[0]
    transports = [Transport() for _ in range(count)]
    bare = tracemalloc.get_traced_memory()[0]
    factory = ServerFactory(clock, Bounds(), lambda exchange: None)
    held = [factory.make() for _ in range(count)]
    for connection, transport in zip(held, transports):
        connection.makeConnection(transport)
    whole = (tracemalloc.get_traced_memory()[0] - bare) / count
    before = tracemalloc.get_traced_memory()[0]
    for n in range(count):
        door._refuse(next(iter(door.refused)), b"\x7f\x00\x00\x09", 1 + n * 1e-6)
    refused = max(0, tracemalloc.get_traced_memory()[0] - before) / count
    tracemalloc.stop()
    assert len(tickets) == len(held) == count and sys.getrefcount(door)
    return [Row("bytes of a held connection", f"{whole:.0f} and {ticket:.0f} for its ticket", "-"),
            Row("bytes of a refused one", f"{refused:.1f}", "-")]


def orders(seed: int, seconds: float = 30.0) -> list[tuple[str, float, float, dict[Discipline, float]]]:
    """Utility taken up in time, over all that came, by load and length of the burst (simulated time).

    The node takes up 200 requests a second; three in ten have utility 3, the others 1; each has to be taken up within 0.3 to 1.5 s.
    """
    rows = []
    for load, burst in ((0.9, 0.0), (1.0, 2.0), (1.2, 0.0), (1.6, 0.0), (0.7, 6.0)):
        found = {}
        for order in Discipline:
            chance, queue = Random(seed), EntryQueue[int](256, order)
            now, taken, whole, next_take = 0.0, 0.0, 0.0, 0.0
            while now < seconds:
                rate = 200 * load * (3.0 if burst and 5 <= now < 5 + burst else 1.0)
                now += chance.expovariate(rate)
                while next_take <= now:
                    one, _ = queue.take(next_take)
                    taken += one.utility if one else 0.0
                    next_take += 1 / 200
                utility = 3.0 if chance.random() < 0.3 else 1.0
                whole += utility
                queue.put(Waiting(0, now, now + chance.uniform(0.3, 1.5), utility), now)
            found[order] = taken / whole
        rows.append((f"{load:g} of what it can take up" + (f", threefold for {burst:g} s" if burst else ""), load, burst, found))
    return rows
