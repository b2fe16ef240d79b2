"""What shows that a running engine has an attempt, and when an engine is asked whether it runs.

An acknowledgement comes from an engine's machine, whether or not its process runs. A word of the engine on any connection, written behind the
arrival of the attempt's bytes, shows that it does: then it has the attempt, however long its queue is.
"""

from __future__ import annotations

SETTLE_S = 0.05  # what was heard sooner behind an attempt may have been written before its bytes came
ASK_BEHIND_S = 0.15  # nothing was heard for so long behind an attempt: its engine is asked
ASK_AHEAD_S = 0.2  # of the moment at which what is held is released
ASK_AGAIN_S = 0.1
ANSWERS_WITHIN_S = 0.1  # an engine that runs
ASKED_AT_ONCE = 24  # questions that wait for their answers, over all engines
ASKED_AT_ENGINE = 2  # and at one: one that stands still answers all of them or none


def is_word_behind(sent_at: float, heard_at: float) -> bool:
    """Whether what an engine was heard to say was surely written behind the arrival of an attempt that was sent then, if that has arrived."""
    return heard_at - sent_at >= SETTLE_S


def first_question_at(sent_at: float, due_at: float) -> float:
    """When to ask the engine of an attempt that fetches what is released at ``due_at``; infinite: it has no time of its own."""
    return max(sent_at + SETTLE_S, min(sent_at + ASK_BEHIND_S, due_at - ASK_AHEAD_S))
