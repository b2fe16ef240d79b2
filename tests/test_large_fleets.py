"""The decision module with sixteen times the engines: what a request costs hardly grows, and the rules of sending hold."""
import sys
import time
from dataclasses import replace

from aniserudder.decisions.interface import (Availability, Effect, Outcome, Prompt, Role, RosterRow, SequenceChange, Settings, Standing, State,
                                             TypeSettings)
from aniserudder.decisions.rules import Node

S = 1_000_000
BEGAN = 1000 * S
ROLES = {"r": Role.READER, "w": Role.WRITER, "m": Role.MIXED}
SENDS = (State.READING, State.WRITING)


def settings(**changes):
    kind = TypeSettings("note", 1, 1_500_000, 40_000, 60_000, Effect.REPEATABLE, "all", 5 * S)
    base = dict(nodes=4, zone="a", types=(kind,), roles=ROLES, writers_read=True, may_probe=False, may_recall=True, report_fields=(),
                max_attempts=4, max_come_back=S, cold_share=0.3, cold_time=10 * S, fall_multiple=2.5, allowances={})
    return Settings(**{**base, **changes})


class Fleet:
    """One node before so many engines: half readers, one in eight of the others mixed, in three zones.

    ``cold``: every so many-th engine has just started; 0: none has.
    """

    def __init__(self, engines, cold=0, seed=1, **changes):
        self.node, self.now, self.sends, self.answers = Node(settings(**changes), seed), BEGAN, [], 0
        self.rows = {}
        for number in range(engines):
            kind = "r" if number % 2 else "w" if number % 8 else "m"
            started = BEGAN if cold and number % cold == 0 else 0
            row = RosterRow(f"{kind}{number}", kind, "abc"[number % 3], Availability.RUNNING, started, 1.0, number % max(1, engines // 10))
            self.rows[row.engine] = row
        self.node.roster(self.now, list(self.rows.values()), True)

    def serve(self, number):
        """One request from its arrival to its end, all engines well."""
        self.now += 50_000
        id = f"q{number}"
        prompt = Prompt("note", f"s{number % 40}", f"p{number % 5}", 3000, 1000, 300, 0, 6 * S)
        waiting = self.node.arrived(self.now, id, prompt)
        while True:
            send = next((c for c in waiting if isinstance(c, SequenceChange) and c.state in SENDS), None)
            if send is None:
                return self
            self.sends.append(send)
            if send.state is State.READING:
                waiting = self.node.ended(self.now + 10_000, id, len(self.node.seqs[id].attempts) - 1, Outcome.READ, 0, False, None)
            else:
                ordinal = len(self.node.seqs[id].attempts) - 1
                self.node.started(self.now + 12_000, id, ordinal)
                self.node.ended(self.now + 20_000, id, ordinal, Outcome.GENERATED, 0, True, None)
                self.answers += 1
                return self

    def cost(self, requests=30, rounds=3):
        """Processor seconds of one request; the least of some rounds, as a machine beside load is never too quick."""
        spent = []
        for part in range(rounds):
            began = time.process_time()
            for number in range(requests):
                self.serve(part * requests + number)
            spent.append(time.process_time() - began)
        return min(spent) / requests

    def cost_of_change(self, changes=20):
        """Lines that the program executes for one change of the list, each turn of a loop counted: the same on any machine."""
        lines, traced_before = 0, sys.gettrace()

        def trace(frame, event, argument):
            nonlocal lines
            lines += event == "line"
            return trace

        some = [(replace(row, availability=Availability.DRAINING), row) for row in list(self.rows.values())[:changes]]
        sys.settrace(trace)
        try:
            for drained, row in some:
                self.node.roster(self.now, [drained], False)
                self.node.roster(self.now, [row], False)
        finally:
            sys.settrace(traced_before)
        return lines / changes / 2


def test_a_request_costs_hardly_more_before_thousands_of_engines():
    """Before: 17 times at 3,200 engines what it costs at 200, and 71 times with a quarter of them cold."""
    assert Fleet(3200).cost() < 2.5 * Fleet(200).cost()
    assert Fleet(3200, cold=4).cost(20) < 4 * Fleet(200, cold=4).cost()


def test_one_change_of_the_list_does_not_cost_as_much_as_the_whole():
    """Before: 19 times at 3,200 engines what it costs at 200."""
    assert Fleet(3200).cost_of_change() < 4 * Fleet(200).cost_of_change()


def test_a_large_fleet_is_served_and_neither_draining_nor_cold_engines_are_sent_to():
    fleet = Fleet(1600, cold=4)
    drained = [replace(row, availability=Availability.DRAINING) for number, row in enumerate(fleet.rows.values()) if number % 3 == 1]
    fleet.node.roster(fleet.now, drained, False)
    for number in range(60):
        fleet.serve(number)
    never = {row.engine for row in drained}
    due = {row.engine for row in fleet.rows.values() if row.started_at}
    assert fleet.answers == 60
    assert not never & {send.engine for send in fleet.sends}
    assert 0 < sum(send.engine in due for send in fleet.sends) < len(fleet.sends) / 4  # their turns alone


def test_all_nodes_take_a_session_of_a_large_fleet_to_the_same_reader_and_a_node_its_own_writers():
    def sent(seed, state):
        return [send.engine for send in Fleet(1600, seed=seed).serve(0).sends if send.state is state]
    assert sent(1, State.READING) == sent(2, State.READING) != []
    writers = {send.engine for send in Fleet(1600, seed=1, writers_read=False).serve(0).sends[1:]}
    for number in range(40):
        writers |= {send.engine for send in Fleet(1600, seed=1).serve(number).sends if send.state is State.WRITING}
    assert 1 <= len(writers) <= 110


def test_where_most_engines_fail_the_others_are_still_found():
    fleet = Fleet(1600)
    for number, engine in enumerate(fleet.node.engines.values()):
        if number >= 16:
            engine.standing, engine.eject_until = Standing.EJECTED, fleet.now + 100 * S
    assert fleet.serve(0).answers == 1


def test_engines_of_odd_sizes_that_are_all_cold_get_their_parts():
    """What rounding leaves of the sum of warm engines must not pass for a warm one."""
    fleet = Fleet(30, writers_read=False)
    for rows in ([replace(row, size=0.1 + number / 7, started_at=BEGAN if part else 0) for number, row in enumerate(fleet.rows.values())]
                 for part in (0, 1)):
        fleet.node.roster(fleet.now, rows, True)
    for number in range(200):
        fleet.serve(number)
    assert fleet.answers > 0


def test_engines_that_are_gone_for_long_are_forgotten():
    fleet = Fleet(400)
    gone = [replace(row, availability=Availability.GONE) for row in list(fleet.rows.values())[:300]]
    fleet.node.roster(fleet.now, gone, False)
    fleet.node.roster(fleet.now + 61 * S, [], False)
    assert len(fleet.node.engines) == 100 == len(fleet.node.index.listed) and not fleet.node.index.unlisted
