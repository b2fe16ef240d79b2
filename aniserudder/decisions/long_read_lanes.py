"""Which readers of a zone are kept for long reads: the first of its ring, so many as the zone's part asks for.

All nodes agree on them by the list alone. A change of the list moves the end of a lane by a few places: only readers near that end, and
those that the change itself is about, are looked at.
"""
from __future__ import annotations

from bisect import bisect_left
from collections.abc import Mapping

from .ring import Ring
from .state import Engine


class LongReadLanes:
    """The lanes of all zones, as ``Engine.long`` of their readers."""

    def __init__(self) -> None:
        self._sizes: dict[str, int] = {}
        self._changed: dict[str, set[Engine]] = {}

    def changed(self, zone: str, reader: Engine) -> None:
        """A reader has left the ring of a zone, or joined it; it is of no lane until the next ``part``."""
        reader.long = False
        self._changed.setdefault(zone, set()).add(reader)

    def part(self, rings: Mapping[str, Ring], sizes: Mapping[str, int]) -> None:
        """Brings the lanes up to date.

        Args:
            rings: listed readers by zone.
            sizes: readers that each zone keeps for long reads; none where it isn't named.
        """
        for zone, ring in rings.items():
            size, before = sizes.get(zone, 0), self._sizes.get(zone, 0)
            changed = self._changed.get(zone, ())
            for reader in changed:
                place = bisect_left(ring, (reader.place, reader.id))
                if place < min(size, len(ring)) and ring[place][2] is reader:
                    reader.long = True
            moved_most = len(changed) + abs(size - before)
            for place in range(max(0, size - moved_most), min(len(ring), size + moved_most)):
                ring[place][2].long = place < size
        self._sizes = {zone: sizes.get(zone, 0) for zone in rings}
        self._changed.clear()
