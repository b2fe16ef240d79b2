"""What the decision module is told of a request, and where each part comes from.

=============== ============================================================================================
traffic type    header ``x-traffic-type``; else ``metadata.traffic_type``; else the type whose ``models`` name the
                request's model; else ``messages.default_type``; else the request is refused
customer        the customer whose keys hold ``x-api-key`` or the bearer token of ``authorization``
session         header ``x-session-id``; else ``metadata.session_id``; else ``metadata.user_id``; else the digest
                (xxh3, 128 bits) of the system text and the first message. It is bound to the customer
may return      header ``x-return-within-ms``: how long the client may be away, bounded by ``streams.return_ms``
shared          digest of the system text, bound to the model: equal openings are kept together whoever sends them
tokens          characters by ``tokens.chars_per_token``, corrected by what engines have counted (``Estimate``)
abandon time    header ``x-abandon-after-ms``, at most the type's own; else the type's, longer by its prompt
output hint     header ``x-expected-output-tokens`` or ``metadata.expected_output_tokens``, times the type's pace
mark            header ``idempotency-key``, bound to the customer: the tries of one operation share it on bills, and
                for tokened types engines are told it; claimed ones run once, whichever node is asked again
=============== ============================================================================================
"""
from __future__ import annotations

from dataclasses import dataclass

import xxhash

from ..core.ports import Request
from ..decisions.interface import Prompt
from ..settings.schema import NodeSettings, micros
from . import codec
from .codec import BadRequest

RATIO_LEAST, RATIO_MOST = 0.2, 5.0  # a learned ratio outside tells of a wrong count, not of a tokenizer
LONGEST_NAME = 256


class NoKey(Exception):
    """The request shows no key, or one that is nobody's."""


@dataclass(slots=True)
class Estimate:
    """Prompt tokens by characters. ``ratio`` is learned from engines' counts, one for all models of a node."""
    chars_per_token: float
    per_message: int
    weight: float
    ratio: float = 1.0

    def tokens(self, chars: int, messages: int) -> int:
        return max(1, round((chars / self.chars_per_token + self.per_message * messages) * self.ratio))

    def counted(self, estimated: int, read: int) -> None:
        """An engine counted a prompt that was estimated at ``estimated``."""
        if self.weight and estimated > 0 and read > 0:
            seen = min(RATIO_MOST, max(RATIO_LEAST, self.ratio * read / estimated))
            self.ratio += self.weight * (seen - self.ratio)


def digest(*parts: str) -> str:
    """Names a text; 128 bits, so that no two texts share a name by chance."""
    return xxhash.xxh3_128_hexdigest("\0".join(parts).encode())


class Mapping:
    """Maps requests by one node's settings."""

    def __init__(self, settings: NodeSettings) -> None:
        self.settings = settings
        self.keys = {key: name for name, c in settings.customers.items() for key in c.keys}
        self.models = {model: name for name, t in settings.types.items() for model in t.models}
        tokens = settings.tokens
        self.estimate = Estimate(tokens.chars_per_token, tokens.per_message, tokens.correction)

    def request(self, asked: codec.MessagesRequest, headers: dict[str, str]) -> Request:
        """What the library is handed for a request.

        Raises:
            BadRequest: a header or field cannot be used.
            NoKey: a key is needed and none that is known was shown.
        """
        customer = self.customer(headers)
        name = self._type(asked, headers)
        row = self.settings.types[name]
        system = codec.plain(asked.system)
        first = asked.messages[0].text()
        chars = sum(len(m.text()) for m in asked.messages)
        tokens = self.estimate.tokens(len(system) + chars, len(asked.messages) + bool(system))
        shared_tokens = min(tokens, self.estimate.tokens(len(system), 1)) if system else 0
        session = (headers.get("x-session-id") or asked.metadata.session_id or asked.metadata.user_id
                   or digest(system, first))[:LONGEST_NAME]
        abandon = row.abandon_ms + row.abandon_ms_per_1000_tokens * tokens / 1000
        own = _number(headers, "x-abandon-after-ms")
        left = micros(min(own, abandon) if own else abandon) - micros(self.settings.rules.answer_margin_ms)
        expected = round(_number(headers, "x-expected-output-tokens") or asked.metadata.expected_output_tokens)
        key = headers.get("idempotency-key", "")[:LONGEST_NAME]
        prompt = Prompt(
            traffic_type=name, session=f"{customer}/{session}", shared=digest(asked.model, system) if system else "",
            tokens=tokens, shared_tokens=shared_tokens, max_output=min(asked.max_tokens, self.settings.messages.max_output),
            hint=expected * micros(row.token_pace_ms), time_left=max(1, left), customer=customer)
        body = codec.for_engines(asked)
        body["max_tokens"] = prompt.max_output
        mark = f"{customer}/{key}" if key else ""
        return Request(prompt, body, not asked.stream, mark if row.effect == "tokened" else "", asked.model, mark,
                       bool(mark) and row.claimed)

    def returns(self, headers: dict[str, str]) -> int:
        """Microseconds that the client may be away before it returns; 0: leaving is leaving."""
        return min(micros(_number(headers, "x-return-within-ms")), micros(self.settings.streams.return_ms))

    def customer(self, headers: dict[str, str]) -> str:
        """The customer whose key is shown; empty: a stranger.

        Raises:
            NoKey: the key is nobody's, or one is needed.
        """
        shown = headers.get("x-api-key") or headers.get("authorization", "").removeprefix("Bearer ").strip()
        customer = self.keys.get(shown, "")
        if not customer and (shown and self.keys or self.settings.messages.keys_needed):
            raise NoKey("the key is nobody's" if shown else "a key is needed")
        return customer

    def _type(self, asked: codec.MessagesRequest, headers: dict[str, str]) -> str:
        name = (headers.get("x-traffic-type") or asked.metadata.traffic_type or self.models.get(asked.model)
                or self.settings.messages.default_type)
        if name not in self.settings.types:
            known = ", ".join(self.settings.types)
            raise BadRequest(f"traffic type {name[:64]!r} is not known, allowed: {known}" if name else
                             f"no traffic type is named and the model stands for none, allowed: {known}")
        return name


def _number(headers: dict[str, str], name: str) -> float:
    text = headers.get(name)
    if text is None:
        return 0.0
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 < value < 1e9:
        raise BadRequest(f"header {name}: found {text[:32]!r}, allowed: a number above 0")
    return value
