"""Which engines a decision looks at: all of a small fleet, a bounded number of a large one.

A decision that looked at every engine would cost a node of thousands of engines most of its processor. Beyond ``LOOK_AT_ALL`` listed
engines each choice is made among those of which something is known (kept beginnings, presumed homes, cold engines that are due) and a
window of the others. Windows are stretches of a ring on which the engines stand by their hash: for reads it begins at the hash of the
session, so that all nodes look at the same readers for it, and for streams at a point of the node's own, so that a node meets the same
writers again and has connections and experience there. A window in which nothing can be used is widened until something can.
"""
from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterable, Iterator

from .interface import Role, RosterRow
from .long_read_lanes import LongReadLanes
from .ring import Ring, point, window
from .state import Engine

LOOK_AT_ALL = 256              # listed engines up to which each decision looks at all of them
OWN_ZONE, OTHER_ZONES = 48, 16  # engines of a role in a window: of the node's zone, and of all other zones together
OTHER_LANE = 16                # readers of the other lane
SAME_RACK = 24                 # writers in the rack of the reader
WIDER = 4                      # times the window before, where nothing in it can be used
HOLDERS, HOLDER_KEYS = 32, 4000  # engines remembered that keep a beginning, the newest; and beginnings


class EngineIndex:
    """The listed engines of one node by role, zone and rack.

    Args:
        zone: of the node.
        own_point: where the node's windows of writers begin.
    """

    def __init__(self, zone: str, own_point: int) -> None:
        self.zone, self.own_point = zone, own_point
        self.listed: dict[Engine, None] = {}
        self.unlisted: dict[Engine, None] = {}
        self.cold: dict[Engine, None] = {}               # listed, and not warm yet when they were last looked at
        self.readers: dict[str, Ring] = {}               # listed readers by zone, cold ones too
        self.sizes = {True: 0.0, False: 0.0}             # of all listed readers, and of all others
        self.warm_sizes = {True: 0.0, False: 0.0}        # of those that are warm; exactly 0 where none is
        self._warm_counts = {True: 0, False: 0}
        self.cold_until = 0                              # when the first of the cold ones is warm
        self.mixed = 0                                   # listed mixed engines
        self._warm: dict[tuple[Role, str], Ring] = {}
        self._racks: dict[tuple[Role, str, int], Ring] = {}
        self.lanes = LongReadLanes()
        self.names_most = HOLDER_KEYS
        self._holders: dict[str, dict[Engine, None]] = {}

    @property
    def large(self) -> bool:
        """Whether a decision looks at a part of the engines only."""
        return len(self.listed) > LOOK_AT_ALL

    # What is listed.

    def take_out(self, engine: Engine) -> None:
        """Its row is about to change, or it is no longer listed."""
        if engine not in self.listed:
            return
        del self.listed[engine]
        self._leave(engine)
        self.sizes[engine.role is Role.READER] -= engine.row.size
        self.mixed -= engine.role is Role.MIXED
        if engine.role is Role.READER:
            self._remove(self.readers, engine.row.zone, engine)
            self.lanes.changed(engine.row.zone, engine)

    def put_in(self, engine: Engine, warm_at: int, now: int) -> None:
        """Its row has changed; ``warm_at`` is when it stops being cold."""
        self.take_out(engine)
        if not engine.listed:
            self.unlisted[engine] = None
            return
        self.unlisted.pop(engine, None)
        self.listed[engine] = None
        self.sizes[engine.role is Role.READER] += engine.row.size
        self.mixed += engine.role is Role.MIXED
        if engine.role is Role.READER:
            insort(self.readers.setdefault(engine.row.zone, []), self._entry(engine))
            self.lanes.changed(engine.row.zone, engine)
        if warm_at > now:
            self.cold[engine] = None
        else:
            self._enter(engine)

    def warmed(self, engine: Engine) -> None:
        """A cold engine has become warm."""
        del self.cold[engine]
        self._enter(engine)

    def look_again_after(self, cold_time: int) -> None:
        """The cold engines have changed: notes when the first of them is warm."""
        self.cold_until = min((e.row.started_at for e in self.cold), default=0) + cold_time

    def _enter(self, engine: Engine) -> None:
        row, entry = engine.row, self._entry(engine)
        insort(self._warm.setdefault((engine.role, row.zone), []), entry)
        insort(self._racks.setdefault((engine.role, row.zone, row.rack), []), entry)
        self._count(engine, 1)

    def _leave(self, engine: Engine) -> None:
        row = engine.row
        if engine in self.cold:
            del self.cold[engine]
        else:
            self._remove(self._warm, (engine.role, row.zone), engine)
            self._remove(self._racks, (engine.role, row.zone, row.rack), engine)
            self._count(engine, -1)

    def _count(self, engine: Engine, change: int) -> None:
        reads = engine.role is Role.READER
        self._warm_counts[reads] += change
        size = self.warm_sizes[reads] + change * engine.row.size
        self.warm_sizes[reads] = size if self._warm_counts[reads] else 0.0  # without what rounding leaves

    @staticmethod
    def _entry(engine: Engine) -> tuple[int, str, Engine]:
        return engine.place, engine.id, engine

    def _remove(self, rings: dict, key: object, engine: Engine) -> None:
        ring = rings[key]
        del ring[bisect_left(ring, (engine.place, engine.id))]
        if not ring:
            del rings[key]

    # What engines keep.

    def keeps(self, key: str, engine: Engine) -> None:
        """An engine keeps a beginning from now on."""
        if not self.large:
            return
        holders = self._holders.pop(key, {})
        self._holders[key] = holders
        holders.pop(engine, None)
        holders[engine] = None
        if len(holders) > HOLDERS:
            del holders[next(iter(holders))]
        if len(self._holders) > self.names_most:
            del self._holders[next(iter(self._holders))]

    @property
    def names(self) -> int:
        """Beginnings of which it is known who keeps them."""
        return len(self._holders)

    # Candidates.

    def widths(self) -> Iterator[int]:
        """Times the usual window, wider and wider, until it covers everything."""
        width = 1
        while width * OTHER_LANE < len(self.listed) * WIDER:
            yield width
            width *= WIDER

    def candidates(self, roles: Iterable[Role], keys: Iterable[str], known: Iterable[Engine], session: str, place: RosterRow | None,
                   long: bool, width: int) -> dict[Engine, None]:
        """The engines of a large fleet that a choice is made among, without those that are cold and not named in ``known``.

        Args:
            keys: beginnings; engines that keep one are candidates.
            known: further candidates.
            place: where a state waits, or an attempt may have run, if one does.
            long: whether readers of the lane of long reads come first.
            width: times the usual window.
        """
        found = dict.fromkeys(engine for key in keys for engine in self._holders.get(key, ()))
        found.update(dict.fromkeys(known))
        for role in roles:
            reads = role is Role.READER
            start = point(session) if reads else self.own_point
            own = self._warm.get((role, self.zone), [])
            lane = self._lane_ends(own) if reads else 0
            near, other = ((0, lane), (lane, len(own))) if long and reads else ((lane, len(own)), (0, lane))
            found.update(dict.fromkeys(window(own, start, OWN_ZONE * width, *near)))
            found.update(dict.fromkeys(window(own, start, OTHER_LANE * width, *other)))
            found.update(dict.fromkeys(self._away(role, start, width)))
            if place is not None and not reads:
                found.update(dict.fromkeys(window(self._racks.get((role, place.zone, place.rack), []), start, SAME_RACK * width)))
        return found

    def _away(self, role: Role, start: int, width: int) -> Iterator[Engine]:
        others = [ring for (kind, zone), ring in self._warm.items() if kind is role and zone != self.zone]
        for ring in others:
            yield from window(ring, start, max(1, OTHER_ZONES * width // len(others)))

    @staticmethod
    def _lane_ends(ring: Ring) -> int:
        """How many readers of a ring are of the lane of long reads: these stand first."""
        low, high = 0, len(ring)
        while low < high:
            middle = (low + high) // 2
            if ring[middle][2].long:
                low = middle + 1
            else:
                high = middle
        return low
