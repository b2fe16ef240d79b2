"""Decides who comes in and who goes: connections, keys shown, requests. No I/O; the listener asks and obeys.

A connection is a *stranger's* until it has shown a known client's key; then it stands in that client's account and no longer in its address's.
So known clients behind a shared address are not punished with it. Strangers have what is left beside the reserve, and share it by address: where it is
full the newcomer takes the place of one that has had its chance, of the address that holds most. A connection with a request in flight is
never closed to make room.
"""
from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from ..settings.schema import Admission, PrefixRule
from .sketch import HeavyHitters
from .trie import PrefixTrie, group, packed
from .wheel import TimingWheel

TICK = 0.05
LONGEST_PENALTY = 32.0   # times the first
PENALISED_MOST = 4_096   # addresses and prefixes that are slowed at once


class Why(Enum):
    """Why somebody is refused; the word stands in logs, counters and answers."""
    ADDRESS = "too many connections from this address"
    PREFIX = "too many connections from this network"
    RATE = "too many new connections from this address"
    SLOWED = "this address is slowed down"
    STRANGERS = "no room for clients that have shown no key"
    NODE = "the node is full"
    CLIENT = "too many connections of this client"
    CLIENT_BUSY = "too many requests of this client"
    ADDRESS_BUSY = "too many requests from this address"
    STRANGERS_BUSY = "no room for requests without a key"
    NODE_BUSY = "the node holds all the requests that it may"
    STOPPING = "the node is stopping"


@dataclass(slots=True, frozen=True)
class Refused:
    """A refusal, and when to come again (seconds)."""
    why: Why
    come_back: float


@dataclass(slots=True, eq=False)
class Ticket:
    """One connection, as long as it is open."""
    address: bytes
    rule: PrefixRule
    opened: float
    number: int
    idle_since: float
    client: str = ""
    asked: bool = False          # it has had its chance: a request came
    in_flight: int = 0


@dataclass(slots=True, eq=False)
class Account:
    """What an address, a network or a client holds."""
    tickets: OrderedDict[Ticket, None] = field(default_factory=OrderedDict)  # oldest first
    in_flight: int = 0


class Door:
    """One node's door.

    Args:
        rules: of the settings; ``reload`` puts others in place.
        now: seconds, on the clock that all calls use.
    """

    def __init__(self, rules: Admission, now: float) -> None:
        self.addresses: dict[bytes, Account] = {}    # strangers only, while they hold something
        self.networks: dict[bytes, Account] = {}
        self.clients: dict[str, Account] = {}
        self.strangers: OrderedDict[Ticket, None] = OrderedDict()
        self.open: dict[Ticket, None] = {}
        self.in_flight = self.strangers_in_flight = 0
        self.refused: dict[Why, int] = {why: 0 for why in Why}
        self.evicted = self.accepted = self._numbers = 0
        self.stopping = False
        self.wheel = TimingWheel(TICK, now)
        self.comers = HeavyHitters(rules.watched, 1.0)     # new connections of the last second or so
        self.offenders = HeavyHitters(rules.watched, 30.0)  # refusals
        self.penalties: dict[bytes, float] = {}
        self.known_from: OrderedDict[bytes, float] = OrderedDict()
        self.reload(rules)

    def reload(self, rules: Admission) -> None:
        """Other rules. Nothing that is open is closed for it; caps below what is open only refuse what comes."""
        trie: PrefixTrie[PrefixRule] = PrefixTrie()
        for rule in rules.prefixes:
            trie.put(rule.network, rule)
        self.rules, self.trie = rules, trie
        self.default = PrefixRule(network="0.0.0.0/0", connections=rules.address_connections,
                                  new_per_s=rules.address_new_per_s, in_flight=rules.address_in_flight)
        for ticket in self.open:
            ticket.rule = self._rule(ticket.address)

    def _rule(self, address: bytes) -> PrefixRule:
        found = self.trie.find(address)
        return found[1] if found else self.default

    # Connections.

    def comes(self, address: str, now: float) -> tuple[Ticket | None, Refused | None, Ticket | None]:
        """Somebody connects. Returns a ticket, or why not; and whom to close in its place."""
        at = packed(address)
        rule = self._rule(at)
        for key in self.wheel.advance(now):
            self.penalties.pop(key, None)
        if self.stopping:
            return None, self._refuse(Why.STOPPING, at, now, False), None
        recent = self.comers.add(at, now)
        friendly = self._friendly(at, now)
        if at in self.penalties and not friendly:
            return None, self._refuse(Why.SLOWED, at, now), None
        if rule.new_per_s and recent > 1.5 * rule.new_per_s and self.comers.sure(at, now) > 1.5 * rule.new_per_s and not friendly:
            return None, self._refuse(Why.RATE, at, now), None
        account = self.addresses.get(at)
        network = self.networks.get(group(at))
        out: Ticket | None = None
        if len(self.open) >= self.rules.connections:
            out = self._one_to_close(self.strangers, now)
            if out is None:
                return None, self._refuse(Why.NODE, at, now, False), None
        elif account and rule.connections and len(account.tickets) >= rule.connections:
            out = self._one_to_close(account.tickets, now)
            if out is None:
                return None, self._refuse(Why.ADDRESS, at, now), None
        elif network and rule is self.default and len(network.tickets) >= self.rules.network_connections:
            out = self._one_to_close(network.tickets, now)
            if out is None:
                return None, self._refuse(Why.PREFIX, at, now), None
        elif len(self.strangers) >= self.rules.connections - self.rules.reserve_connections:
            heaviest = max(self.addresses.values(), key=lambda a: len(a.tickets), default=None)
            if heaviest and len(heaviest.tickets) > len(account.tickets if account else ()) + 1:
                out = self._one_to_close(heaviest.tickets, now)
            out = out or self._one_to_close(self.strangers, now)
            if out is None:
                return None, self._refuse(Why.STRANGERS, at, now), None
        if out is not None:
            self.evicted += 1
            self.goes(out)
        self._numbers += 1
        self.accepted += 1
        ticket = Ticket(at, rule, now, self._numbers, now)
        self.open[ticket] = None
        self.strangers[ticket] = None
        self.addresses.setdefault(at, Account()).tickets[ticket] = None
        self.networks.setdefault(group(at), Account()).tickets[ticket] = None
        return ticket, None, out

    def goes(self, ticket: Ticket) -> None:
        """A connection is closed, or about to be."""
        if self.open.pop(ticket, False) is False:
            return
        while ticket.in_flight:
            self.answered(ticket, ticket.idle_since)
        if ticket.client:
            account = self.clients[ticket.client]
            account.tickets.pop(ticket, None)
            if not account.tickets and not account.in_flight:
                del self.clients[ticket.client]
        else:
            self._no_stranger(ticket)

    def shows(self, ticket: Ticket, client: str, now: float) -> Refused | None:
        """A connection has shown a known client's key."""
        if ticket.client == client or ticket not in self.open:
            return None
        account = self.clients.get(client)
        if account and len(account.tickets) >= self.rules.client_connections:
            return self._refuse(Why.CLIENT, ticket.address, now, False)
        if ticket.client:  # it speaks for another client now
            self.clients[ticket.client].tickets.pop(ticket, None)
        else:
            self._no_stranger(ticket)
        ticket.client = client
        self.clients.setdefault(client, Account()).tickets[ticket] = None
        self.known_from[ticket.address] = now
        self.known_from.move_to_end(ticket.address)
        while len(self.known_from) > self.rules.watched:
            self.known_from.popitem(last=False)
        if self.penalties.pop(ticket.address, None) is not None:
            self.wheel.cancel(ticket.address)
        return None

    def _no_stranger(self, ticket: Ticket) -> None:
        self.strangers.pop(ticket, None)
        for table, key in ((self.addresses, ticket.address), (self.networks, group(ticket.address))):
            account = table.get(key)
            if account:
                account.tickets.pop(ticket, None)
                account.in_flight -= ticket.in_flight
                if not account.tickets:  # tables hold what is open and no more
                    del table[key]
        self.strangers_in_flight -= ticket.in_flight

    def _one_to_close(self, among: OrderedDict[Ticket, None], now: float) -> Ticket | None:
        """The one that waits longest without a request in flight, if it has had its chance."""
        chance = self.rules.chance_ms / 1000
        for seen, ticket in enumerate(among):
            if not ticket.in_flight and (ticket.asked or now - ticket.opened >= chance):
                return ticket
            if seen >= 64 or not ticket.asked and now - ticket.opened < chance:
                return None
        return None

    def idle(self, most: int) -> list[Ticket]:
        """Whom to close when descriptors run short: idle ones, strangers before known clients, longest idle first."""
        free = [t for t in self.open if not t.in_flight]
        free.sort(key=lambda t: (bool(t.client), t.idle_since, t.number))
        return free[:most]

    # Requests.

    def asks(self, ticket: Ticket, now: float) -> Refused | None:
        """A request came on a connection (its key, if any, was shown). None: it may be taken; ``answered`` ends it."""
        ticket.asked = True
        rules = self.rules
        if self.in_flight >= rules.in_flight:
            return self._refuse(Why.NODE_BUSY, ticket.address, now, False)
        if ticket.client:
            account = self.clients[ticket.client]
            if account.in_flight >= rules.client_in_flight:
                return self._refuse(Why.CLIENT_BUSY, ticket.address, now, False)
            account.in_flight += 1
        else:
            account = self.addresses[ticket.address]
            if ticket.rule.in_flight and account.in_flight >= ticket.rule.in_flight:
                return self._refuse(Why.ADDRESS_BUSY, ticket.address, now)
            if self.strangers_in_flight >= rules.in_flight - rules.reserve_in_flight:
                return self._refuse(Why.STRANGERS_BUSY, ticket.address, now, False)
            account.in_flight += 1
            self.networks[group(ticket.address)].in_flight += 1
            self.strangers_in_flight += 1
        ticket.in_flight += 1
        self.in_flight += 1
        return None

    def answered(self, ticket: Ticket, now: float) -> None:
        """A request of the connection is over."""
        if not ticket.in_flight:
            return
        ticket.in_flight -= 1
        ticket.idle_since = now
        self.in_flight -= 1
        if ticket.client:
            self.clients[ticket.client].in_flight -= 1
        else:
            self.strangers_in_flight -= 1
            for table, key in ((self.addresses, ticket.address), (self.networks, group(ticket.address))):
                if key in table:
                    table[key].in_flight -= 1

    # Offenders.

    def _friendly(self, address: bytes, now: float) -> bool:
        """A known client came from there lately: others behind that address are bounded by its caps alone."""
        return now - self.known_from.get(address, -1e9) < self.rules.friendly_s

    def _refuse(self, why: Why, address: bytes, now: float, counts: bool = True) -> Refused:
        self.refused[why] += 1
        come_back = self.rules.penalty_ms / 1000
        if counts:
            count = self.offenders.add(address, now)
            if self.offenders.sure(address, now) >= self.rules.offences and len(self.penalties) < PENALISED_MOST:
                grown = min(LONGEST_PENALTY, 2.0 ** min(16.0, count / self.rules.offences - 1))
                come_back *= grown
                if address not in self.penalties:
                    self.penalties[address] = now + come_back
                    self.wheel.set(address, now + come_back)
        return Refused(why, come_back)
