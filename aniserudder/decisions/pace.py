"""Units and first guesses of speed that several decision modules share. Times are whole microseconds."""
from __future__ import annotations

MS, S = 1_000, 1_000_000
USUAL_FOR = 3 * S               # what is usual is a mean over such a time, however few sequences a node sees
FIRST_READ_PACE = 80            # microseconds for a token, until seen
READ_OVERHEAD = 300             # a read's fixed cost, counted as so many tokens
