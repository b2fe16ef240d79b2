"""What one wrong node can do to a budget that all share: the ledger's own code in simulated time, believing nodes and weighing what they say.

*Believed* is how it was: asks carry no form, so whoever asks says how much a budget is and which period it is. *Weighed*: ``tenants.authority``.
Both play the same traffic. *Overspent* is what was taken beyond the budget within any window of its length, by the true clock; *refused* is what
nodes that are right were refused while a twentieth of the budget was free; *unused* what was left of it, of a rolling one in the mean over time.
"""
from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from twisted.internet.task import Clock

from ..durable import Inline
from ..ledger.service import Ask, Asks, LedgerService, Reply
from ..settings.schema import BudgetForm, TenantForm
from ..tenants.authority import Hand
from ..tenants.keeper import Keeper
from ..tenants.tree import Tree
from ..tenants.windows import WindowLease

S = 1_000_000
BEGAN = 1_800_000_000 * S    # on the true clock: some time in the middle of a month
TICK = 0.1                   # seconds between asks
LARGEST, MEAN = 800, 330     # tokens that a sequence reserves at most, and uses in the mean


@dataclass(slots=True, frozen=True)
class Case:
    """``wrong``: part of the nodes that are; their settings say ``times`` the budget, their clocks are ``ahead_s`` off."""
    name: str
    nodes: int
    wrong: float = 0.0
    times: float = 1.0
    ahead_s: float = 0.0
    ledger_ahead_s: float = 0.0
    rolling_s: int = 0
    seconds: float = 60.0
    demand: float = 2.0      # wanted in all, over the budget


@dataclass(slots=True, frozen=True)
class Found:
    """As parts of the budget; ``bound``: what overdrafts allow."""
    overspent: float
    refused: float
    unused: float
    bound: float


class Paper:
    """A ledger file that forgets: a play has one start only."""

    def leases(self) -> list[object]:
        return []

    def new_term(self, at_least: int = 0) -> int:
        return at_least + 1

    def shipped(self, node: str, file: str = "") -> int:
        return 0

    def shippers(self) -> set[str]:
        return set()

    def keep_leases(self, *rows: object) -> None:
        pass


def play(case: Case, weighed: bool, seed: int) -> Found:
    """One case one way."""
    clock, chance = Clock(), Random(f"{seed} {case}")
    per_s = 4.0 * case.nodes
    windows = case.seconds / case.rolling_s if case.rolling_s else 1.0
    budget = round(per_s * case.seconds * MEAN / case.demand / windows)
    overdraft = max(LARGEST, budget // (20 * case.nodes))
    wall = lambda: BEGAN + round(clock.seconds() * S)  # noqa: E731
    paper = Paper()
    ledger = LedgerService(clock, paper, lambda *a, **k: None, Inline(lambda works: [(w(paper), None) for w in works]), "x",
                           lambda: wall() + round(case.ledger_ahead_s * S))
    wrong = round(case.wrong * case.nodes)
    period = {"period": "rolling", "rolling_s": case.rolling_s} if case.rolling_s else {"period": "month"}

    def tree(times: float) -> Tree:
        return Tree({"t": TenantForm(budgets=[BudgetForm(tokens=round(budget * times), of="written", **period)])})
    nodes = [_Node(f"n{n}", Keeper(tree(case.times if n < wrong else 1.0), overdraft, steady=clock.seconds),
                   lambda n=n: wall() + (round(case.ahead_s * S) if n < wrong else 0), weighed) for n in range(case.nodes)]
    taken: list[tuple[float, int]] = []
    refused = count = 0
    due = [chance.expovariate(per_s)]

    def arrives() -> None:
        nonlocal refused, count
        number = chance.randrange(case.nodes)
        node, wanted = nodes[number], chance.randint(20, LARGEST)
        ran = round(wanted * chance.uniform(0.1, 1.5)) if wanted < LARGEST / 2 else round(wanted * chance.uniform(0.1, 1.0))
        ran, seq, now = min(ran, wanted), f"s{count}", clock.seconds()
        count += 1
        if node.keeper.reserve(seq, "t", "", 0, wanted, node.time()) is None:
            taken.append((now, ran))
            clock.callLater(chance.uniform(0.2, 1.5), lambda: node.keeper.settle(seq, 0, ran, node.time()))
        elif number >= wrong:
            since = now - case.rolling_s if case.rolling_s else -1.0
            spent = sum(n for at, n in reversed(taken) if at > since) if case.rolling_s else sum(n for _, n in taken)
            refused += ran if spent + wanted <= 0.95 * budget else 0
    next_tick = 0.0
    while clock.seconds() < case.seconds:
        at = min(due[0] + 2.0, next_tick)  # the ledger gathers for a second
        clock.advance(max(0.0, at - clock.seconds()))
        if at == next_tick:
            next_tick += TICK
            for node in nodes:
                node.talks(ledger, clock.seconds())
        else:
            due[0] += chance.expovariate(per_s)
            arrives()
    most = sum(n for _, n in taken)
    unused = max(0, budget - most) / budget
    if case.rolling_s:
        most, first, inside, free = 0, 0, 0, []
        for at, n in taken:
            inside += n
            while taken[first][0] <= at - case.rolling_s:
                inside -= taken[first][1]
                first += 1
            most = max(most, inside)
            if at > 1.5 * case.rolling_s:
                free.append(max(0, budget - inside) / budget)
        unused = sum(free) / max(1, len(free))
    return Found(max(0, most - budget) / budget, refused / budget / windows, unused, case.nodes * overdraft / budget)


class _Node:
    """A node's side of the leases, without its sockets."""

    def __init__(self, name: str, keeper: Keeper, wall: Callable[[], int], weighed: bool) -> None:
        self.name, self.keeper, self.wall, self.weighed = name, keeper, wall, weighed
        self.hand, self.term, self.tells, self.number = Hand(), "", True, 0

    def time(self) -> int:
        return self.hand.time(self.wall(), self.keeper.steady())

    def talks(self, ledger: LedgerService, now: float) -> None:
        asks, returns, back = [], [], []
        for account in self.keeper.accounts.values():
            wanted, of = account.part.ask(now), account.budget
            if isinstance(account.part, WindowLease):
                back += [Ask(of.name, of.most, bucket, n, 0) for bucket, n in account.part.goes_back()]
            if wanted:
                form = (of.period.value, of.window, of.offset_minutes) if self.weighed else ()
                (asks if wanted > 0 else returns).append(Ask(of.name, of.most, account.spent.begin, abs(wanted), account.part.used, *form))
        for one in returns:
            self.keeper.accounts[one.budget].part.returned(one.wanted)
        self.number += 1
        sent = Asks(self.name, "life", asks, [*returns, *back], self.term, self.tells, [], 0, self.number, self.wall() if self.weighed else 0)

        def told(reply: Reply, problem: Exception | None) -> None:
            self.term, self.tells = reply.term, reply.say == "tell"
            if self.weighed:
                self.hand.heard(reply.now, now, now)
            grants = {g.budget: g for g in reply.grants}
            for ask in asks:
                account, grant = self.keeper.accounts[ask.budget], grants.get(ask.budget)
                if grant is None or grant.begin != account.spent.begin:
                    account.part.unanswered()
                else:
                    if isinstance(account.part, WindowLease):
                        account.part.notes(grant.bucket, grant.granted)
                    account.part.granted(grant.granted, grant.left, now)
        ledger.lease(sent, now, told)


def cases(sizes: tuple[int, ...] = (3, 30, 140)) -> list[Case]:
    """By number of nodes."""
    month = 31 * 86_400
    made = []
    for n in sizes:
        made += [Case(f"{n} nodes, all right", n), Case(f"{n} nodes, a third with older settings (ten times)", n, 1 / 3, times=10.0),
                 Case(f"{n} nodes, one a month ahead", n, 1 / n, ahead_s=month), Case(f"{n} nodes, one a month behind", n, 1 / n, ahead_s=-month),
                 Case(f"{n} nodes, the ledger a month ahead", n, ledger_ahead_s=month), Case(f"{n} nodes, rolling over 30 s", n, rolling_s=30, seconds=90)]
    return made


def table(seed: int, sizes: tuple[int, ...]) -> list[tuple[Case, Found, Found]]:
    """Each case, believed and weighed."""
    return [(case, play(case, False, seed), play(case, True, seed)) for case in cases(sizes)]
