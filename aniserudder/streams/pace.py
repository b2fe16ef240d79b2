"""Which running stream trickles: judged against streams of other engines, never by a fixed pace."""
from __future__ import annotations

import math
from dataclasses import dataclass

HALF = 2_000_000        # microseconds: what was seen of an engine's pace loses half its weight in this time
FADE_EVERY = 100_000    # and is reckoned down no more often than this
GAPS = 4                # a stream's own pace: mean over its last gaps, the one that is open with them
LEAST_SEEN = 8.0        # gaps, by weight, that make an engine's pace known
SUDDEN = 1.5            # times the limit that an open gap has to be when it is judged alone
PEERS = 2               # other engines whose pace has to be known


@dataclass(slots=True, frozen=True)
class PaceRules:
    """When a stream trickles: its mean gap is ``times`` the median of its peers', and at least ``least`` microseconds; or its
    open gap alone is that and half as much again, as after a sudden stop."""
    times: float = 8.0
    least: int = 700_000


@dataclass(slots=True)
class _Pace:
    gaps: float = 0.0      # number, by weight
    length: float = 0.0    # microseconds, by weight
    at: int = 0

    def fade(self, now: int) -> None:
        keep = math.exp2((self.at - now) / HALF)
        self.gaps *= keep
        self.length *= keep
        self.at = now


class Running:
    """One stream's last token times."""

    __slots__ = ("engine", "times")

    def __init__(self, engine: str, now: int) -> None:
        self.engine, self.times = engine, [now]

    def gap(self, now: int) -> float:
        """Mean of its last gaps, in microseconds; the open one counts once it is longer than they were."""
        closed = len(self.times) - 1
        mean = (self.times[-1] - self.times[0]) / closed if closed else 0.0
        if now - self.times[-1] > mean:
            return (now - self.times[0]) / (closed + 1)
        return mean


class Paces:
    """What a node knows of the paces of engines' streams, from its own."""

    def __init__(self, rules: PaceRules) -> None:
        self.rules = rules
        self._engines: dict[str, _Pace] = {}

    def began(self, engine: str, now: int) -> Running:
        """A stream's first token came."""
        return Running(engine, now)

    def token(self, stream: Running, now: int) -> None:
        """Its next one."""
        pace = self._engines.get(stream.engine)
        if pace is None:
            pace = self._engines[stream.engine] = _Pace(at=now)
        if now - pace.at > FADE_EVERY:
            pace.fade(now)
        times = stream.times
        pace.gaps += 1
        pace.length += now - times[-1]
        times.append(now)
        if len(times) > GAPS:
            del times[0]

    def held(self, stream: Running, now: int) -> None:
        """It was held back or released by us: what came before tells nothing of its writer."""
        stream.times = [now]

    def trickles(self, stream: Running, now: int) -> bool:
        """Whether it is to be moved."""
        gap = max(stream.gap(now), (now - stream.times[-1]) / SUDDEN)
        if gap < self.rules.least:
            return False
        peers = []
        for engine, pace in self._engines.items():
            if engine != stream.engine and pace.gaps * math.exp2((pace.at - now) / HALF) >= LEAST_SEEN:
                peers.append(pace.length / pace.gaps)
        from statistics import median  # only where streams go on: a node on the platform starts without it
        return len(peers) >= PEERS and gap > self.rules.times * median(peers)

    def forget(self, engines: set[str]) -> None:
        """Keeps only those engines."""
        self._engines = {e: p for e, p in self._engines.items() if e in engines}
