"""Budgets and bills without I/O: periods, reservations, leases over nodes, and what is charged."""
from datetime import date
from decimal import Decimal
from random import Random

import pytest
from hypothesis import given, settings as examples, strategies as st

from aniserudder.measure.budgets import Case, play
from aniserudder.settings.schema import BudgetForm, TenantForm
from aniserudder.tenants.billing import Price, Try, Work, bill, charge, operations
from aniserudder.tenants.keeper import Keeper
from aniserudder.tenants.periods import Period, Spent, end_of, start_of
from aniserudder.tenants.shares import Grantor, Lease
from aniserudder.tenants.tree import Tree

S = 1_000_000
NOON = 1_764_590_400 * S  # 2025-12-01 12:00 UTC


def tree(**budgets):
    forms = {"top": TenantForm(budgets=[BudgetForm(tokens=1000, of="read", period="day")]),
             "leaf": TenantForm(parent="top", budgets=[BudgetForm(tokens=300, of="written", period="day", **budgets)])}
    return Tree(forms)


def alone(**budgets):
    return Keeper(tree(**budgets), 0, alone=True)


def room(keeper):
    return {a.budget.name: a.part.room for a in keeper.accounts.values()}


def test_calendar_periods():
    assert end_of(Period.HOUR, NOON) - start_of(Period.HOUR, NOON) == 3600 * S
    assert start_of(Period.DAY, NOON) == NOON - 12 * 3600 * S
    assert start_of(Period.DAY, NOON, -13 * 60) == NOON - 23 * 3600 * S
    assert end_of(Period.MONTH, NOON) - start_of(Period.MONTH, NOON) == 31 * 86400 * S


def test_a_clock_that_steps_back_reopens_no_period():
    spent = Spent(Period.DAY)
    spent.turn(NOON + 86400 * S)
    spent.add(70)
    assert not spent.turn(NOON) and spent.total == 70 and spent.renews(NOON) == start_of(Period.DAY, NOON) + 2 * 86400 * S


def test_rolling_windows_forget():
    spent = Spent(Period.ROLLING, 60 * S)
    for second in range(0, 120, 2):
        spent.turn(NOON + second * S)
        spent.add(1)
    assert 29 <= spent.total <= 31
    spent.turn(NOON + 300 * S)
    assert spent.total == 0 and not spent.buckets


def test_all_or_nothing_and_the_difference_goes_back():
    k = alone()
    assert k.reserve("a", "leaf", "", 400, 200, NOON) is None
    refusal = k.reserve("b", "leaf", "", 500, 200, NOON)
    assert (refusal.budget, refusal.wanted, refusal.left) == ("leaf/written/day", 200, 100)
    assert refusal.come_back == 12 * 3600 * S and room(k) == {"leaf/written/day": 100, "top/read/day": 600}
    k.settle("a", 300, 50, NOON)
    assert room(k) == {"leaf/written/day": 250, "top/read/day": 700} and not k.open
    k.settle("a", 300, 50, NOON)
    assert room(k) == {"leaf/written/day": 250, "top/read/day": 700}


def test_a_budget_renews_with_its_period_and_what_is_reserved_stays_so():
    k = alone()
    k.reserve("a", "leaf", "", 0, 100, NOON)
    k.settle("a", 0, 100, NOON)
    k.reserve("b", "leaf", "", 0, 150, NOON)
    assert k.reserve("c", "leaf", "", 0, 200, NOON)
    assert k.reserve("c", "leaf", "", 0, 150, NOON + 86400 * S) is None
    assert k.reserve("d", "leaf", "", 0, 1, NOON + 86400 * S)


def test_burst_and_soft_mark():
    marks = []
    k = Keeper(tree(burst=100, soft=0.5), 0, lambda budget, spent: marks.append((budget.name, spent)), alone=True)
    for n in range(4):
        assert k.reserve(str(n), "leaf", "", 0, 100, NOON) is None
        k.settle(str(n), 0, 100, NOON)
    assert k.reserve("5", "leaf", "", 0, 1, NOON) and marks == [("leaf/written/day", 200)]


def test_a_retry_of_what_was_charged_needs_no_room_again():
    k = alone()
    k.reserve("a", "leaf", "k1", 10, 300, NOON)
    k.settle("a", 10, 300, NOON)
    assert k.reserve("b", "leaf", "k2", 10, 1, NOON)
    assert k.reserve("c", "leaf", "k1", 10, 300, NOON) is None
    k.settle("c", 10, 300, NOON)
    assert k.accounts["leaf/written/day"].spent.total == 300


def test_a_budget_lowered_beyond_what_is_reserved():
    k = alone()
    k.reserve("a", "leaf", "", 0, 250, NOON)
    k.replant(Tree({"leaf": TenantForm(budgets=[BudgetForm(tokens=100, of="written", period="day")])}), NOON)
    assert k.reserve("b", "leaf", "", 0, 1, NOON)
    k.settle("a", 0, 40, NOON)
    assert room(k)["leaf/written/day"] == 60


@examples(max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 400), st.integers(0, 200), st.integers(0, 100)), max_size=40), st.randoms())
def test_nothing_stays_reserved_and_nothing_is_overspent(wishes, order):
    k = alone()
    taken = []
    for n, (read, written, part) in enumerate(wishes):
        if k.reserve(str(n), "leaf", "", read, written, NOON) is None:
            taken.append((str(n), read * part // 100, written * part // 100))
        if taken and order.random() < 0.5:
            k.settle(*taken.pop(order.randrange(len(taken))), NOON)
    for one in taken:
        k.settle(*one, NOON)
    for account in k.accounts.values():
        assert account.reserved == 0 and account.spent.total <= account.budget.tokens
        assert account.part.room + account.spent.total == account.budget.tokens


def test_trees_that_do_not_stand():
    with pytest.raises(ValueError, match="'gone' is no tenant"):
        Tree({"a": TenantForm(parent="gone")})
    with pytest.raises(ValueError, match="a ring"):
        Tree({"a": TenantForm(parent="b"), "b": TenantForm(parent="a")})
    many = {f"t{n}": TenantForm(parent="t0" if n else "") for n in range(100_000)}
    assert [t.name for t in Tree(many).find("t99999").path()] == ["t99999", "t0"]


# Many nodes.

@examples(max_examples=80, deadline=None)
@given(st.integers(0, 10_000), st.integers(2, 8))
def test_overspend_is_bound_by_the_nodes_times_the_overdraft(seed, nodes):
    """Whatever is lost, late or dead: granted in all never passes the budget but by overdrafts."""
    chance, budget, overdraft = Random(seed), 50_000, 500
    grantor = Grantor(budget)
    leases, lives, spent, ended = [Lease(overdraft) for _ in range(nodes)], [0] * nodes, 0, 0
    for step in range(600):
        n, now = chance.randrange(nodes), step * 0.1
        lease = leases[n]
        if lease.take(chance.randint(1, 900), now):
            pass
        wanted = lease.ask(now)
        if wanted < 0:
            lease.returned(-wanted)
            if chance.random() < 0.9:
                grantor.give_back(str(n), str(lives[n]), -wanted)
        elif wanted:
            if chance.random() < 0.8:
                grant, left = grantor.ask(str(n), str(lives[n]), wanted, lease.used, now)
                lease.granted(grant, left, now) if chance.random() < 0.9 else lease.unanswered()
            else:
                lease.unanswered()
        if chance.random() < 0.01:  # it dies: its life's overdraft is spent, and another begins
            spent, ended = spent + lease.used, ended + 1
            leases[n], lives[n] = Lease(overdraft), lives[n] + 1
    total = spent + sum(x.used for x in leases)
    assert total <= budget + (nodes + ended) * overdraft


def test_leases_follow_the_traffic():
    case = Case(10, skew=1.5, sequences=4000)
    fixed, leases = play(case, "fixed", 1), play(case, "leases", 1)
    assert leases.overspent <= leases.bound and leases.unused < 0.05 < fixed.unused


def test_a_lease_without_a_ledger_lives_on_its_overdraft_and_pays_it_back():
    lease = Lease(100)
    assert lease.take(80, 0.0) and not lease.take(30, 0.0)
    assert lease.ask(0.0) == 240
    lease.granted(240, 1000, 0.1)
    assert lease.room == 160


def test_an_overdraft_is_paid_once():
    """After the ledger was away its books of what is leased are the nodes' own: it counted what was overdrawn twice."""
    grantor, lease = Grantor(10_000), Lease(500)
    for _ in range(5):
        assert lease.take(100, 0.0)
    grant, left = grantor.ask("a", "x", lease.ask(0.5), lease.used, 0.5)
    lease.granted(grant, left, 0.6)
    assert lease.room + lease.used == grantor.held["a"].leased == 10_000 - left


# What is charged.

def work(ordinal, reads=False, fetched=False, outcome="generated", **tokens):
    return Work(ordinal, "e", reads, fetched, outcome=outcome, told=True, **tokens)


def sequence(seq, at, final, *works, mark="", keyed=False, ended=0):
    return Try("n", seq, mark or seq, keyed, "t", "draft", at * S, final, (ended or at + 1) * S, {w.ordinal: w for w in works})


READ, WROTE = work(0, True, outcome="read", read=700, kept=300), work(1, fetched=True, written=90)


def sums(*tries, **more):
    line = bill(tries, 0, 1 << 62, [], **more)[0]
    return line.charged.row(), line.lost.row(), line.repeated.row()


def test_an_ordinary_sequence():
    assert sums(sequence("a", 1, "generated", READ, WROTE)) == ((700, 300, 90), (0, 0, 0), (0, 0, 0))


def test_an_abort_after_k_tokens_is_charged_for_what_ran():
    assert sums(sequence("a", 1, "aborted", READ, work(1, fetched=True, written=7, outcome="cut")))[0] == (700, 300, 7)


def test_a_read_done_again_is_lost_work():
    again = [READ, work(1, fetched=True, outcome="cut"), work(2, True, outcome="read", read=1000), work(3, fetched=True, written=90)]
    assert sums(sequence("a", 1, "generated", *again)) == ((1000, 0, 90), (700, 300, 0), (0, 0, 0))


def test_nothing_is_charged_for_a_rejection_or_a_node_that_died():
    for final in ("rejected", ""):
        assert sums(sequence("a", 1, final, READ, WROTE)) == ((0, 0, 0), (700, 300, 90), (0, 0, 0))


def test_a_marked_retry_is_charged_once_wherever_it_ran():
    tries = [sequence("a", 1, "left", READ, work(1, fetched=True, written=9), mark="k", keyed=True),
             sequence("b", 2, "generated", READ, WROTE, mark="k", keyed=True),
             sequence("c", 500, "generated", READ, WROTE, mark="k", keyed=True)]
    assert sums(*tries) == ((700, 300, 90), (0, 0, 0), (1400, 600, 99)) == sums(*reversed(tries))


def test_a_retry_without_a_key_is_known_by_its_words_for_a_while():
    first = sequence("a", 1, "left", READ, work(1, fetched=True, written=9), mark="w")
    soon, late = (sequence("b", at, "generated", READ, WROTE, mark="w") for at in (5, 50))
    assert len(operations([first, soon], 10 * S)) == 1 and len(operations([first, late], 10 * S)) == 2
    full = sequence("c", 1, "generated", READ, WROTE, mark="w")
    assert len(operations([full, soon], 10 * S)) == 2  # the same question again, after a full answer


def test_lost_work_is_the_tenants_only_where_that_is_set():
    prices = [Price(date(1970, 1, 1), Decimal(10), Decimal(1), Decimal(100), {"draft": Decimal("0.5")})]
    one = sequence("a", 1, "generated", READ, work(1, fetched=True, written=50, outcome="cut"), work(2, written=10, read=1000))
    for who, amount in (("operator", "0.0055"), ("tenant", "0.0116")):
        assert bill([one], 0, 1 << 62, prices, lost_to=who)[0].amount == Decimal(amount)


def test_prices_hold_from_their_day_on():
    prices = [Price(date(2025, 11, 1), Decimal(1_000_000), Decimal(0), Decimal(0), {}),
              Price(date(2025, 12, 1), Decimal(2_000_000), Decimal(0), Decimal(0), {})]
    one = work(0, read=1, written=1)
    cost = [bill([sequence("a", NOON // S + day * 86400, "generated", one)], 0, 1 << 62, prices)[0].amount for day in (-40, -1, 0)]
    assert cost == [0, 1, 2]


@examples(max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(["generated", "aborted", "left", "rejected", ""]), st.integers(0, 3),
                          st.lists(st.tuples(st.booleans(), st.booleans(), st.integers(0, 50), st.integers(0, 9)), max_size=4)),
                max_size=12), st.randoms())
def test_every_token_stands_on_one_line_in_any_order(rows, order):
    tries = [sequence(f"s{n}", n, final, *(work(i, reads, fetched and not reads, "read" if reads else "generated", read=r,
                                                 written=0 if reads else w) for i, (reads, fetched, r, w) in enumerate(works)),
                      mark=f"m{mark}", keyed=mark > 1) for n, (final, mark, works) in enumerate(rows)]
    lines = bill(tries, 0, 1 << 62, [])
    counted = [w for t in tries for w in t.works.values()]
    assert sum(line.whole()[0] for line in lines) == sum(w.read for w in counted)
    assert sum(line.whole()[2] for line in lines) == sum(w.written for w in counted)
    order.shuffle(tries)
    assert bill(tries, 0, 1 << 62, []) == lines


def test_a_stream_that_went_on_is_charged_its_prompt_once_and_each_writers_part():
    """The second writer begins behind four of the five tokens that the first wrote; a third wrote and lost its answer."""
    works = [Work(0, "r1", True, False, read=90, kept=10, outcome="read"), Work(1, "w1", False, True, written=5),
             Work(2, "r2", True, False, read=60, kept=44, outcome="read"), Work(3, "w3", False, True, written=3, behind=4),
             Work(4, "w2", False, False, read=20, kept=84, written=6, outcome="generated", behind=4)]
    one = Try("n", "s", "m", False, "t", "draft", 0, "generated", works={w.ordinal: w for w in works})
    served, vain = charge(one)
    assert [(w.ordinal, w.read, w.kept, w.written) for w in served] == [(0, 90, 10, 0), (1, 0, 0, 4), (4, 0, 0, 6)]
    assert [(w.ordinal, w.read, w.kept, w.written) for w in vain] == [(1, 0, 0, 1), (2, 60, 44, 0), (3, 0, 0, 3), (4, 20, 84, 0)]


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 9), st.integers(0, 9), st.integers(0, 9)), max_size=7))
def test_charging_neither_loses_nor_makes_tokens(drawn):
    works = {n: Work(n, "e", reads, n % 2 == 0, read, 1, 0 if reads else written, "read" if reads else "", behind=behind)
             for n, (reads, read, written, behind) in enumerate(drawn)}
    one = Try("n", "s", "m", False, "t", "draft", 0, "generated", works=works)
    served, vain = charge(one)
    for name in ("read", "kept", "written"):
        assert sum(getattr(w, name) for w in served + vain) == sum(getattr(w, name) for w in works.values())
        assert all(getattr(w, name) >= 0 for w in served + vain)
