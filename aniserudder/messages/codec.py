"""Bodies of the messages API, in and out. No sockets in here.

A request is ``POST /v1/messages`` with ``model``, ``max_tokens``, ``messages`` and, as one likes, ``system``,
``stream``, ``temperature``, ``stop_sequences`` and ``metadata``. Fields that are unknown are passed over, as clients
send more than one router reads; those that are known are checked.
"""
from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec

from ..core.ports import Usage
from .vocabulary import Event, Vocabulary

Text = Annotated[str, msgspec.Meta(max_length=4_000_000)]


class BadRequest(Exception):
    """A request that cannot be taken; the text is for the client."""


class TextBlock(msgspec.Struct):
    text: Text
    type: Literal["text"] = "text"


class Message(msgspec.Struct):
    role: Literal["user", "assistant"]
    content: Text | list[TextBlock]

    def text(self) -> str:
        return plain(self.content)


class Metadata(msgspec.Struct):
    """What a client may tell of a sequence; headers go before it, see mapping.py."""
    user_id: str = ""
    session_id: str = ""
    traffic_type: str = ""
    expected_output_tokens: Annotated[int, msgspec.Meta(ge=0, le=10_000_000)] = 0


class MessagesRequest(msgspec.Struct):
    model: Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
    max_tokens: Annotated[int, msgspec.Meta(ge=1, le=10_000_000)]
    messages: Annotated[list[Message], msgspec.Meta(min_length=1, max_length=10_000)]
    system: Text | list[TextBlock] = ""
    stream: bool = False
    temperature: Annotated[float, msgspec.Meta(ge=0, le=2)] | None = None
    stop_sequences: list[str] = []
    metadata: Metadata = msgspec.field(default_factory=Metadata)


_decode = msgspec.json.Decoder(MessagesRequest).decode
_encode = msgspec.json.Encoder().encode


def plain(content: str | list[TextBlock]) -> str:
    """Text of a content, its blocks joined."""
    return content if isinstance(content, str) else "\n".join(b.text for b in content)


def decode(body: bytes) -> MessagesRequest:
    """Reads a request.

    Raises:
        BadRequest: with what is wrong, where.
    """
    try:
        return _decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as wrong:
        raise BadRequest(str(wrong)) from None


def for_engines(asked: MessagesRequest) -> dict[str, Any]:
    """The same request in the engines' form."""
    system = plain(asked.system)
    messages = [{"role": "system", "content": system}] if system else []
    body: dict[str, Any] = {"model": asked.model, "max_tokens": asked.max_tokens,
                            "messages": messages + [{"role": m.role, "content": m.text()} for m in asked.messages]}
    if asked.temperature is not None:
        body["temperature"] = asked.temperature
    if asked.stop_sequences:
        body["stop"] = asked.stop_sequences
    return body


STOPS = {"stop": "end_turn", "length": "max_tokens"}


class Stream:
    """Writes the events of one streamed answer, each with its id: the stream's, a full stop and the event's number."""

    __slots__ = ("id", "model", "_words", "_text", "_id")

    def __init__(self, id: str, model: str, words: Vocabulary) -> None:
        self.id, self.model, self._words = id, model, words
        name = words[Event.TEXT]
        self._id = f"id: {id}.".encode()
        self._text = b"\nevent: %s\ndata: " % name.encode(), _encode(name)

    def _event(self, number: int, event: Event, **fields: Any) -> bytes:
        name = self._words[event]
        return (b"%s%d\nevent: %s\ndata: " % (self._id, number, name.encode()) + _encode({"type": name, **fields})
                + b"\n\n")

    def opened(self, since: int = 1) -> bytes:
        """Events 1 and 2, or the second of them alone."""
        first = b"" if since > 1 else self._event(1, Event.OPENED, message={
            "id": self.id, "type": "message", "role": "assistant", "model": self.model, "content": [],
            "stop_reason": None, "usage": {"input_tokens": 0, "output_tokens": 0}})
        return first + self._event(2, Event.BLOCK_OPENED, index=0, content_block={"type": "text", "text": ""})

    def text(self, piece: str, number: int) -> bytes:
        head, name = self._text
        return (b"%s%d" % (self._id, number) + head + b'{"type":' + name
                + b',"index":0,"delta":{"type":"text_delta","text":' + _encode(piece) + b"}}\n\n")

    def ending(self, which: int, reason: str, usage: Usage, number: int) -> bytes:
        """One of the three events of a complete answer's end."""
        if which == 1:
            return self._event(number, Event.BLOCK_CLOSED, index=0)
        if which == 2:
            return self._event(number, Event.CHANGED, delta={"stop_reason": STOPS.get(reason, reason)}, usage=used(usage))
        return self._event(number, Event.GENERATED)

    def failed(self, kind: str, message: str, come_back_ms: int, number: int) -> bytes:
        """It has the number of the event before it: a client that comes again to a broken stream goes on from there."""
        return self._event(number, Event.FAILED, error=problem(kind, message, come_back_ms))


def used(usage: Usage) -> dict[str, int]:
    return {"input_tokens": usage.read, "cache_read_input_tokens": usage.kept, "output_tokens": usage.written}


def problem(kind: str, message: str, come_back_ms: int = 0) -> dict[str, Any]:
    """What went wrong: ``kind`` is rejected (harmless to repeat), aborted (nothing promised) or a client's fault."""
    return {"kind": kind, "message": message, **({"retry_after_ms": come_back_ms} if come_back_ms else {})}


def failure(kind: str, message: str, come_back_ms: int = 0) -> bytes:
    """The body of an answer that failed before its stream began."""
    return _encode({"type": "error", "error": problem(kind, message, come_back_ms)})


def over_budget(message: str, budget: str, kind: str, wanted: int, left: int, renews: int) -> bytes:
    """The body for a sequence that a budget refuses; ``renews`` in seconds since 1970."""
    return _encode({"type": "error", "error": {"kind": "over_budget", "message": message, "budget": budget, "tokens": kind,
                                               "wanted": wanted, "left": left, "renews_at": renews}})


def whole(id: str, model: str, text: str, reason: str, usage: Usage) -> bytes:
    """The body of a whole answer."""
    return _encode({"id": id, "type": "message", "role": "assistant", "model": model,
                    "content": [{"type": "text", "text": text}], "stop_reason": STOPS.get(reason, reason),
                    "usage": used(usage)})
