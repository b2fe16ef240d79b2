"""Periods of budgets: calendar ones that renew at a time, rolling ones that forget bucket by bucket.

Times are whole microseconds of wall time. A clock that steps back never reopens a period that has ended: a budget
that was spent and renewed would otherwise be spent twice.
"""
from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from datetime import datetime, timedelta, timezone
from enum import Enum

S = 1_000_000
BUCKETS = 30  # of a rolling window: what is forgotten is forgotten up to a thirtieth of the window late


class Period(Enum):
    """How a budget renews."""
    HOUR = "hour"
    DAY = "day"
    MONTH = "month"
    ROLLING = "rolling"


def start_of(period: Period, at: int, offset_minutes: int = 0) -> int:
    """When the calendar period began that holds a time."""
    zone = timezone(timedelta(minutes=offset_minutes))
    moment = datetime.fromtimestamp(at // S, zone)
    begin = moment.replace(minute=0, second=0, microsecond=0)
    if period is not Period.HOUR:
        begin = begin.replace(hour=0)
    if period is Period.MONTH:
        begin = begin.replace(day=1)
    return round(begin.timestamp()) * S


def end_of(period: Period, at: int, offset_minutes: int = 0) -> int:
    """When it ends."""
    begin = start_of(period, at, offset_minutes)
    if period is Period.HOUR:
        return begin + 3600 * S
    if period is Period.DAY:
        return begin + 86400 * S
    return start_of(Period.MONTH, begin + 32 * 86400 * S, offset_minutes)


@dataclass(slots=True)
class Spent:
    """What was spent of one budget in its present period."""
    period: Period
    window: int = 0                 # of a rolling one, microseconds
    offset_minutes: int = 0
    begin: int = 0                  # of the calendar period, or of the newest bucket
    total: int = 0
    buckets: deque[tuple[int, int]] = field(default_factory=deque)  # (begin, spent), oldest first

    def turn(self, now: int) -> bool:
        """Moves on to the period that holds ``now``; never back. True: something was forgotten."""
        if self.period is Period.ROLLING:
            width = self.window // BUCKETS
            self.begin = max(self.begin, now // width * width)
            before = self.total
            while self.buckets and self.buckets[0][0] + self.window <= self.begin:
                self.total -= self.buckets.popleft()[1]
            return self.total != before
        begin = start_of(self.period, now, self.offset_minutes)
        if begin <= self.begin:
            return False
        self.begin, self.total = begin, 0
        return True

    def add(self, amount: int) -> None:
        """Spends; a negative amount gives back."""
        self.total += amount
        if self.period is Period.ROLLING:
            if self.buckets and self.buckets[-1][0] == self.begin:
                self.buckets[-1] = (self.begin, self.buckets[-1][1] + amount)
            else:
                self.buckets.append((self.begin, amount))

    def renews(self, now: int) -> int:
        """When something of it is to be had again."""
        if self.period is Period.ROLLING:
            return self.buckets[0][0] + self.window if self.buckets else now
        return end_of(self.period, max(now, self.begin), self.offset_minutes)
