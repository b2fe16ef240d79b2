"""Whether an engine has shown that it is past what was given up there.

Nobody says when such work ends: an engine that has not heard that it was given up, or does not heed it, reads
on and then holds a state. How long that takes is not worked out from any pace. An engine begins its work in the
order in which it comes and shares its capacity among what it runs. So it is past a given-up read once others
that were sent there later have read as many tokens, one behind the other, and past a given-up fetch once a
stream that was sent there later has begun.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass

UNKNOWN_TOKENS = 1e9  # of a prompt whose length was not told: its engine cannot show that it is past it
ADDRESSES_MOST = 1024  # remembered; one that is forgotten shows nothing of what was given up there before


@dataclass(slots=True, frozen=True)
class GivenUpWork:
    """One attempt that was given up, and how far its engine was then; seconds of the injected clock.

    Attributes:
        address: where the engine listens.
        tokens: that the read may still have to read; infinite: it is no read.
        given_up_at: when it was given up.
        read_before: tokens that were counted at the engine by then.
    """

    address: str
    tokens: float
    given_up_at: float
    read_before: float


@dataclass(slots=True)
class _Progress:
    """What one engine has done for this node; seconds of the injected clock."""

    tokens_read: float = 0.0  # by reads that did not overlap
    counted_until: float = -math.inf  # only reads that were sent later count
    stream_sent_at: float = -math.inf  # the attempt sent last of those whose stream has begun


class EngineProgress:
    """What this node's reads and streams show of each engine, by its address."""

    def __init__(self) -> None:
        self._engines: OrderedDict[str, _Progress] = OrderedDict()

    def gave_up(self, address: str, tokens: float, now: float) -> GivenUpWork:
        """An attempt was given up.

        Args:
            address: where its engine listens.
            tokens: of its prompt if it is a read, else infinite.
            now: seconds of the injected clock.
        """
        progress = self._of(address)
        progress.counted_until = max(progress.counted_until, now)
        return GivenUpWork(address, tokens, now, progress.tokens_read)

    def read_ended(self, address: str, sent_at: float, ended_at: float, tokens: int) -> None:
        """A read has ended; ``tokens`` were read, without those that were found kept."""
        progress = self._of(address)
        if sent_at >= progress.counted_until:
            progress.tokens_read += max(0, tokens)
            progress.counted_until = ended_at

    def stream_began(self, address: str, sent_at: float) -> None:
        """The stream of an attempt that was sent then has begun."""
        progress = self._of(address)
        progress.stream_sent_at = max(progress.stream_sent_at, sent_at)

    def is_past(self, work: GivenUpWork) -> bool:
        """Whether the engine has shown that it is past that work."""
        progress = self._engines.get(work.address)
        if progress is None:
            return False
        if work.tokens < math.inf:
            return progress.tokens_read - work.read_before >= work.tokens
        return progress.stream_sent_at > work.given_up_at

    def _of(self, address: str) -> _Progress:
        progress = self._engines.get(address)
        if progress is None:
            progress = self._engines[address] = _Progress()
            if len(self._engines) > ADDRESSES_MOST:
                self._engines.popitem(last=False)
        else:
            self._engines.move_to_end(address)
        return progress
