"""How long a read may take at most, from how long reads take here.

Nobody says when a read that was given up ends: an engine that has not heard of that, or does not heed it, reads on and then holds a state.
"""

from __future__ import annotations

SLOWEST = 10.0  # times as long as usual, that the slowest engines take
OVERHEAD_TOKENS = 200  # that any read is counted for, beside its own
QUICK_PART = 0.25  # of all reads are quicker than the pace that is followed: that of engines at ease
STEP = 0.1  # of itself, by which it moves with a read at most


class ReadDurations:
    """The pace of this node's quicker reads, at all engines together."""

    def __init__(self) -> None:
        self._seconds_per_token = 0.0  # 0: no read has ended yet

    def noted(self, tokens: int, seconds: float) -> None:
        """A read has ended.

        Args:
            tokens: that were read, without those that were found kept.
            seconds: from the attempt's last byte to the answer.
        """
        pace = max(0.0, seconds) / (OVERHEAD_TOKENS + max(0, tokens))
        if not self._seconds_per_token:
            self._seconds_per_token = pace
        elif pace < self._seconds_per_token:
            self._seconds_per_token *= 1 - STEP * (1 - QUICK_PART)
        else:
            self._seconds_per_token *= 1 + STEP * QUICK_PART

    def longest_s(self, tokens: int) -> float:
        """Seconds that a read of so many tokens takes at the slowest engine; 0 while no read has ended."""
        return SLOWEST * self._seconds_per_token * (OVERHEAD_TOKENS + tokens)
