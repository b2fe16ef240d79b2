"""A cold reader under the sum of many nodes: seeded days of the module alone, with readers that queue and clients that come again."""
import heapq
import math
from random import Random

import pytest

from aniserudder.decisions.interface import (Availability, Effect, Outcome, Prompt, Role, RosterRow, SequenceChange, Settings, State,
                                             TypeSettings)
from aniserudder.decisions.rules import Node

S = 1_000_000
READERS, READS_PER_S = 10, 10  # of prompts of mean length, by one warm reader
SHARE, MULTIPLE, FALL_S, COLD_S = 0.3, 2.5, 1.5, 10
TOLD_AT, WATCHED_S = 4.0, 8.0


class Fleet:
    """So many nodes before ten readers, of which one or all start anew; what comes is spread unevenly."""

    def __init__(self, nodes: int, load: float, seed: int, whole: bool, restarted: bool) -> None:
        self.chance, self.load, self.whole, self.restarted = Random(seed), load, whole, restarted
        kind = TypeSettings("note", 1, 1_500_000, 40_000, 60_000, Effect.REPEATABLE, "all", 5 * S)
        settings = Settings(nodes=nodes, zone="east", types=(kind,), roles={"r": Role.READER, "w": Role.WRITER}, writers_read=False,
                            may_probe=False, may_recall=True, report_fields=(), max_attempts=4, max_come_back=S, cold_share=SHARE,
                            cold_time=COLD_S * S, fall_multiple=MULTIPLE, allowances={})
        self.make = lambda i: Node(settings, seed * 1000 + i)
        self.nodes = [self.make(i) for i in range(nodes)]
        self.weights = [self.chance.expovariate(1) + 0.1 for _ in self.nodes]
        self.rows = [self.row(f"r{i}") for i in range(READERS)] + [self.row(f"w{i}") for i in range(4)]
        self.queue, self.count, self.free, self.sent, self.tries = [], 0, {}, [], {}

    @staticmethod
    def row(name: str, started: float = 0) -> RosterRow:
        return RosterRow(name, name[0], "east", Availability.RUNNING, round(started * S), 1.0, 1)

    def at(self, when, what, *args):
        self.count += 1
        heapq.heappush(self.queue, (when, self.count, what, args))

    def play(self) -> list[float]:
        """When sequences were sent to the reader r0 after its start."""
        for node in self.nodes:
            node.roster(S, self.rows, True)
        self.at(0.0, self.arrive, False)
        self.at(TOLD_AT, self.told)
        while self.queue[0][0] < TOLD_AT + WATCHED_S + 1:
            self.now, _, what, args = heapq.heappop(self.queue)
            what(*args)
        return self.sent

    def clock(self) -> int:
        return S + round(self.now * S)

    def told(self) -> None:
        if self.restarted:  # new processes all at once, with the list from before
            self.nodes = [self.make(500 + i) for i in range(len(self.nodes))]
            for node in self.nodes:
                node.roster(self.clock(), self.rows, True)
        self.free.clear()
        fresh = [self.row(f"r{i}", 1 + TOLD_AT) for i in range(READERS if self.whole else 1)]
        for node in self.nodes:
            self.carry(node, node.roster(self.clock(), fresh, False))

    def arrive(self, again: bool) -> None:
        if not again:
            self.at(self.now + self.chance.expovariate(self.load * READERS * READS_PER_S), self.arrive, False)
        node, id = self.chance.choices(self.nodes, self.weights)[0], f"q{self.count}"
        self.tries[id] = 0
        self.carry(node, node.arrived(self.clock(), id, Prompt("note", id, "", 1500, 0, 300, 0, 3 * S)))

    def carry(self, node, changes) -> None:
        for c in changes:
            if not isinstance(c, SequenceChange):
                continue
            ordinal = self.tries[c.seq]
            if c.state is State.READING:
                self.tries[c.seq] += 1
                self.read(node, c.seq, c.engine, ordinal, c.time_out / S)
            elif c.state is State.WRITING:
                self.tries[c.seq] += 1
                self.at(self.now + 0.05, self.started, node, c.seq, ordinal)
            elif c.state is State.REJECTED and self.chance.random() < 0.7:
                self.at(self.now + self.chance.uniform(0.1, 0.3), self.arrive, True)

    def read(self, node, seq, engine, ordinal, time_out) -> None:
        cold = self.now >= TOLD_AT and (self.whole or engine == "r0")
        if cold and engine == "r0":
            self.sent.append(self.now)
        begins = max(self.now, self.free.get(engine, 0))
        if begins - self.now > 3:
            return self.at(self.now + 0.002, self.ended, node, seq, ordinal, Outcome.FULL)
        self.free[engine] = begins + 1 / READS_PER_S / (SHARE if cold else 1)
        self.at(self.free[engine], self.ended, node, seq, ordinal, Outcome.READ)
        self.at(self.now + time_out, self.ended, node, seq, ordinal, Outcome.TIMED_OUT)

    def ended(self, node, seq, ordinal, outcome, final=False) -> None:
        if seq in node.seqs:
            self.carry(node, node.ended(self.clock(), seq, ordinal, outcome, 0, final, None))

    def started(self, node, seq, ordinal) -> None:
        self.carry(node, node.started(self.clock(), seq, ordinal))
        self.at(self.now + 1.0, self.ended, node, seq, ordinal, Outcome.GENERATED, True)


@pytest.mark.parametrize("nodes", [1, 3, 30, 200])
@pytest.mark.parametrize("load, whole, restarted", [(0.8, False, False), (0.8, True, True), (2.0, True, False), (2.0, True, True), (2.0, False, True)])
def test_a_cold_reader_gets_no_more_than_its_budget_and_chance(nodes, load, whole, restarted):
    """In any window that the settings name: N calls, and 2 x root of N + 2 of chance. Loads of 2 are for the most part refused, and
    come again."""
    sent = Fleet(nodes, load, 11, whole, restarted).play()
    budget = MULTIPLE * SHARE * READS_PER_S * FALL_S
    worst = max((sum(a <= b < a + FALL_S for b in sent) for a in sent), default=0)
    assert 1 <= worst <= budget + 2 * math.sqrt(budget) + 2
