"""What a node makes of an engine list that is older than the one it knows: decisions without I/O.

A list's source that lost power may come back with what it knew yesterday: engines that are gone stand in it, those that drain run, and those that
restarted since seem to have been up all the time. Taken as it is, cold engines would pass for warm ones (rule 4) and drains would end (rule 3). Or the
source is right, and only counts its changes from one again: then its list is all there is.

So a list whose epoch is lower than the one known is **evidence**: what it says is believed where it is the more careful of the two.

=================== ==================================================================================================
an engine is in both its start is the later one; it drains if either says so; the rest (address, kind, zone) is the newer epoch's
only the known one   stays as it is known
only the older one   is not sent to before it has said itself that it is up; it counts as started when it says
=================== ==================================================================================================

That ends when the source's epoch has passed the known one, or after ``OLDER_FOR``: then the source's list counts as a new one, read anew,
with every engine that it calls older than this node's own knowledge cold until it was asked.
"""
from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum

from ..settings.schema import Row
from .codec import News

S = 1_000_000
OLDER_FOR = 30 * S   # microseconds: a restored source has taken up its engines again by then
UNHEARD = "draining"  # how an engine is told that nobody but the older list names


class Order(Enum):
    """How a list stands to what is known."""
    NEWER = "newer"
    OLDER = "older"
    ANEW = "the source counts anew"


@dataclass(slots=True)
class Lists:
    """What one node knows of its source's epochs.

    Args:
        epoch: of the newest list that was taken, from the disk or the source.
    """
    epoch: int = 0
    older_since: int = -1                                   # when the source's epoch was first lower; -1: it is not
    doubtful: dict[str, Row] = field(default_factory=dict)  # named by the older list alone, and not confirmed

    def judge(self, news: News, now: int) -> Order:
        """Called for each list or change, in order."""
        if news.epoch >= self.epoch:
            self._newer(news.epoch)
            return Order.NEWER
        if self.older_since < 0:
            self.older_since = now
        if now - self.older_since < OLDER_FOR:
            return Order.OLDER
        if not news.complete:
            return Order.OLDER  # what it changes nobody has seen: its whole list is asked for
        self._newer(news.epoch)
        return Order.ANEW

    def due(self, now: int) -> bool:
        """Whether the source has been older for so long that its whole list is to be asked for."""
        return self.older_since >= 0 and now - self.older_since >= OLDER_FOR

    def merged(self, news: News, known: dict[str, Row]) -> tuple[Row, ...]:
        """Rows to take in place of an older list or change."""
        made = []
        for row in news.rows:
            mine = known.get(row.engine)
            if mine is None or row.engine in self.doubtful:
                if mine is not None:
                    row = row.model_copy(update={"started_at": max(mine.started_at, row.started_at)})
                if row.availability == "running":
                    self.doubtful[row.engine] = row
                    made.append(row.model_copy(update={"availability": UNHEARD}))
                else:
                    self.doubtful.pop(row.engine, None)
                    made.append(row)
            else:
                drains = "draining" if "draining" in (mine.availability, row.availability) else mine.availability
                made.append(mine.model_copy(update={"started_at": max(mine.started_at, row.started_at),
                                                    "availability": "gone" if row.availability == "gone" else drains}))
        return tuple(made)

    def confirmed(self, engine: str, started_at: float) -> Row | None:
        """A doubtful engine said since when it is up, in seconds since 1970 on the list's clock. Returns its row; None: it is not doubtful."""
        row = self.doubtful.pop(engine, None)
        return row.model_copy(update={"started_at": max(started_at, row.started_at)}) if row else None

    def careful(self, news: News, known: dict[str, Row]) -> News:
        """The source counts anew: its list as it is, but for starts that this node knows to be later."""
        rows = tuple(row.model_copy(update={"started_at": max(row.started_at, known[row.engine].started_at)}) if row.engine in known else row
                     for row in news.rows)
        return replace(news, rows=rows)

    def _newer(self, epoch: int) -> None:
        self.epoch, self.older_since = epoch, -1
        self.doubtful.clear()
