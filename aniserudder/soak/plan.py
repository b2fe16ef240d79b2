"""Which faults a soak plays and when: drawn from a seed, so that two or three overlap at most times."""
from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from random import Random

QUIET_S = 2.0       # at the beginning
GAP_S = (0.3, 1.4)  # between the beginnings of two faults
LASTING_S = (0.5, 3.0)


class Fault(Enum):
    """Kinds of faults."""
    NODE_TERM = auto()
    NODE_KILL = auto()
    NODE_PAUSE = auto()
    NODE_RELOAD = auto()
    NODE_SIGNALS = auto()
    ALL_NODES_TERM = auto()
    WALL_STEP = auto()
    SYSTEM_CALLS = auto()
    SHORT_CALLS = auto()
    ENGINE_DRAIN = auto()
    ENGINE_KILL = auto()
    ENGINE_HANG = auto()
    ENGINE_FAILS = auto()
    LINK_CUT = auto()
    LINK_SILENT = auto()
    LINK_RESET = auto()
    LINK_SLOW = auto()
    DISCOVERY_DOWN = auto()
    DISCOVERY_SLOW = auto()
    DISCOVERY_MUTED = auto()
    NODE_PARTITIONED = auto()
    NODE_ISOLATED = auto()
    ROLE_HANG = auto()
    ABUSIVE_CLIENTS = auto()
    ENGINE_SPOILS = auto()
    ENGINE_SLOW = auto()
    DISCOVERY_LONG_DOWN = auto()
    NODE_AWAY = auto()
    ENGINE_TURNS = auto()
    FETCHES_FAIL = auto()
    RELEASES_FAIL = auto()


class Profile(Enum):
    """Which kinds of faults a soak has most of."""
    MIXED = "mixed"
    PARTITIONS = "partitions"  # nodes that reach one engine or none, engines of a role that hang together, silent links
    RESTARTS = "restarts"      # the same, and four times as many SIGTERMs
    SLOW = "slow"              # engines that work several times slower for long, and go on with what was given up
    LISTS = "lists"            # nodes that are away while engines drain, and come back to a slow or silent discovery
    ROLES = "roles"            # an engine that serves both roles is listed as a reader while attempts are out there
    FETCHES = "fetches"        # writers end fetches that they never took, and stand still; releases are answered late or not at all
    CROWDS = "crowds"          # the least memory, hundreds of abusive clients, spoilt streams that keep coming


# How often each is drawn, against the others.
WEIGHTS = {
    Fault.NODE_TERM: 6,
    Fault.NODE_KILL: 3,
    Fault.NODE_PAUSE: 2,
    Fault.NODE_RELOAD: 4,
    Fault.NODE_SIGNALS: 4,
    Fault.ALL_NODES_TERM: 1,
    Fault.WALL_STEP: 5,
    Fault.SYSTEM_CALLS: 6,
    Fault.SHORT_CALLS: 3,
    Fault.ENGINE_DRAIN: 6,
    Fault.ENGINE_KILL: 4,
    Fault.ENGINE_HANG: 5,
    Fault.ENGINE_FAILS: 4,
    Fault.LINK_CUT: 5,
    Fault.LINK_SILENT: 5,
    Fault.LINK_RESET: 4,
    Fault.LINK_SLOW: 3,
    Fault.DISCOVERY_DOWN: 4,
    Fault.DISCOVERY_SLOW: 3,
    Fault.DISCOVERY_MUTED: 4,
}
PARTITION_WEIGHTS = {
    **WEIGHTS,
    Fault.NODE_PARTITIONED: 15,
    Fault.NODE_ISOLATED: 3,
    Fault.ROLE_HANG: 15,
    Fault.LINK_SILENT: 10,
}
RESTART_WEIGHTS = {
    **PARTITION_WEIGHTS,
    Fault.NODE_TERM: 24,
    Fault.NODE_SIGNALS: 16,
    Fault.ALL_NODES_TERM: 4,
}
CROWD_WEIGHTS = {
    **RESTART_WEIGHTS,
    Fault.ABUSIVE_CLIENTS: 40,
    Fault.ENGINE_SPOILS: 15,
}
SLOW_WEIGHTS = {
    **WEIGHTS,
    Fault.ENGINE_SLOW: 25,
}
LIST_WEIGHTS = {
    **WEIGHTS,
    Fault.NODE_AWAY: 20,
    Fault.NODE_RELOAD: 10,
    Fault.ENGINE_DRAIN: 16,
    Fault.DISCOVERY_SLOW: 16,
    Fault.DISCOVERY_LONG_DOWN: 1,
}
ROLE_WEIGHTS = {
    **WEIGHTS,
    Fault.ENGINE_TURNS: 30,
}
FETCH_WEIGHTS = {
    **WEIGHTS,
    Fault.FETCHES_FAIL: 40,
    Fault.RELEASES_FAIL: 12,
    Fault.ROLE_HANG: 10,
    Fault.NODE_TERM: 12,
    Fault.NODE_SIGNALS: 8,
}
PROFILE_WEIGHTS = {Profile.MIXED: WEIGHTS, Profile.PARTITIONS: PARTITION_WEIGHTS, Profile.RESTARTS: RESTART_WEIGHTS, Profile.CROWDS: CROWD_WEIGHTS,
                   Profile.SLOW: SLOW_WEIGHTS, Profile.LISTS: LIST_WEIGHTS,
                   Profile.ROLES: ROLE_WEIGHTS, Profile.FETCHES: FETCH_WEIGHTS}


@dataclass(slots=True, frozen=True)
class Planned:
    """One fault; ``at`` and ``lasts`` in seconds, ``node`` and ``engine`` are indexes, ``draw`` from 0 to 1 is for its details."""
    at: float
    fault: Fault
    lasts: float
    node: int
    engine: int
    draw: float


def draw(seed: int, seconds: float, nodes: int, engines: int, profile: Profile = Profile.MIXED) -> list[Planned]:
    """The faults of one soak, in order of time."""
    chance, at, planned = Random(f"plan {seed}"), QUIET_S, []
    kinds, weights = list(PROFILE_WEIGHTS[profile]), list(PROFILE_WEIGHTS[profile].values())
    while at < seconds:
        fault = chance.choices(kinds, weights)[0]
        planned.append(Planned(at, fault, chance.uniform(*LASTING_S), chance.randrange(nodes), chance.randrange(engines), chance.random()))
        at += chance.uniform(*GAP_S)
    return planned
