"""The names of a stream's events: one table, and what the settings put in place of a name.

The code speaks of ``Event`` members only. Clients that know other names get them by ``messages.event_names``.
"""
from __future__ import annotations

from enum import Enum




class Event(Enum):
    """What a stream of an answer tells."""
    OPENED = "opened"            # the answer has begun
    BLOCK_OPENED = "block_opened"
    TEXT = "text"                # a piece of text
    BLOCK_CLOSED = "block_closed"
    CHANGED = "changed"          # why it ended and what it used
    GENERATED = "generated"      # final: the answer is complete
    FAILED = "failed"            # final: rejected after the stream's head was sent, or aborted


NAMES: dict[Event, str] = {
    Event.OPENED: "message_start",
    Event.BLOCK_OPENED: "content_block_start",
    Event.TEXT: "content_block_delta",
    Event.BLOCK_CLOSED: "content_block_stop",
    Event.CHANGED: "message_delta",
    Event.GENERATED: "message_stop",
    Event.FAILED: "error",
}


class Vocabulary:
    """The table in force at a node.

    Args:
        changed: by the word for an event (``text``, ``generated``, ...) its other name.

    Raises:
        ValueError: a word stands for no event, or two events would have one name.
    """

    def __init__(self, changed: dict[str, str] | None = None) -> None:
        words = {e.value: e for e in Event}
        for word in changed or {}:
            if word not in words:
                raise ValueError(f"messages.event_names.{word}: no such event, allowed: {', '.join(words)}")
        self.names = NAMES | {words[word]: name for word, name in (changed or {}).items()}
        taken: dict[str, Event] = {}
        for event, name in self.names.items():
            if taken.setdefault(name, event) is not event:
                raise ValueError(f"messages.event_names.{event.value}: {name!r} is the name of {taken[name].value} too")

    def __getitem__(self, event: Event) -> str:
        return self.names[event]
