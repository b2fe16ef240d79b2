"""What the soak's processes saw, as lines of JSON on one machine's monotonic clock, which all processes share."""
from __future__ import annotations

import time
from enum import Enum
from pathlib import Path

import msgspec


class Kind(str, Enum):
    """Kinds of events, by who tells them."""
    # engines
    ATTEMPT = "attempt"              # the last byte of a request arrived: ``value`` is the time told, ``text`` a number
    ENGINE_ROLE = "engine role"      # from here on it works as ``text`` says: "read", "write" or "both"
    ATTEMPT_OVER = "attempt over"    # ``text`` is an ``End``, ``value`` the attempt's number
    ATTEMPT_CUT_OFF = "attempt cut off"  # its connection has ended first; the engine may go on for a while
    STATE_HELD = "state held"        # a reader keeps what it read for a request
    STATE_GONE = "state gone"        # a writer fetched it, or it was released
    # proxies
    FORWARDED = "forwarded"          # a request's head was handed to its engine's machine, whether or not its process runs
    TAKEN = "taken"                  # the first request of a connection came to the proxy, which hands it on when its link's delay is over
    # discovery
    LISTED = "listed"                # the agents know a change: ``text`` is its phase, ``value`` when it counts as told at the latest
    DISCOVERY_DOWN = "discovery down"  # its agents say nothing from now on
    DISCOVERY_BACK = "discovery back"
    # clients
    SENT = "sent"                    # the last byte was written: ``value`` is its timeout, ``text`` its class
    STREAM_BEGAN = "stream began"
    ANSWERED = "answered"            # ``text`` is a status, or "broken" where a stream ended without its last chunk
    CLOSED = "closed"                # the node closed the connection without a byte of an answer; ``text`` tells which
    LEFT = "left"                    # the client closed it
    # the driver
    FAULT = "fault"
    NODE_UP = "node up"
    NODE_TERM = "node told to end"
    NODE_KILLED = "node killed"      # SIGKILL was sent
    NODE_GONE = "node gone"          # its process has ended behind that
    NODE_STAYS = "node stays"        # it has not ended in its time behind SIGTERM, and is killed
    NODE_UNREADY = "node unready"    # it has not said that it is ready in its time behind its start
    NODE_ENDED = "node ended"        # ``value`` is its exit code
    NODE_RELOADED = "node reloaded"  # SIGHUP moved its discovery
    NODE_PAUSED = "node paused"      # until ``value``
    ENGINE_UP = "engine up"
    ENGINE_DOWN = "engine down"
    ENGINE_PAUSED = "engine paused"  # until ``value``
    LINK_DOWN = "link down"          # until ``value``; ``text`` is ``LINK_CUT`` where nothing gets through
    RECEIVE_FAILS = "receive fails"  # of a node, now and then: such an error ends a connection


class End(str, Enum):
    """How an attempt ended, as its engine saw it."""
    SERVED = "served"
    READ = "read"
    TURNED_AWAY = "turned away"
    STATE_MISSING = "state missing"
    FAILED = "failed"
    ABANDONED = "abandoned"  # the node closed or ended its sending first


READ_ROLE = "read"
KEPT = "kept"  # of a connection that had carried another request and ended right behind this one: it may not have been read
LINK_CUT = "cut"
NEVER_RAN = frozenset({End.READ.value, End.TURNED_AWAY.value, End.STATE_MISSING.value})


class Event(msgspec.Struct, omit_defaults=True):
    """One thing that happened; ``at`` and times in ``value`` are seconds of the monotonic clock."""
    at: float
    kind: Kind
    source: str = ""
    request: str = ""
    engine: str = ""
    node: str = ""
    value: float = 0.0
    text: str = ""


class EventLog:
    """Appends events to a file, a line each, written through at once: a process may be killed at any time."""

    def __init__(self, path: Path, source: str) -> None:
        self._file, self._source, self._encode = path.open("ab", buffering=0), source, msgspec.json.Encoder().encode

    def note(self, kind: Kind, **fields: object) -> Event:
        """Writes one event of this moment."""
        event = Event(time.monotonic(), kind, self._source, **fields)
        self._file.write(self._encode(event) + b"\n")
        return event


def read(folder: Path) -> list[Event]:
    """All events of a folder's logs, in order of time. A last line without its end is passed over."""
    decode, events = msgspec.json.Decoder(Event).decode, []
    for path in sorted(folder.glob("*.events")):
        lines = path.read_bytes().split(b"\n")
        events += [decode(line) for line in lines[:-1]]
    return sorted(events, key=lambda event: event.at)
