"""What is said to engines and what their answers mean. No sockets in here.

The protocol follows the publicly known convention for separate prefill and decode over a chat-completions API: a
reader is asked for one token at most with ``kv_transfer_params: {"do_remote_decode": true}`` and returns transfer
parameters that name the held state; a writer is given them back and streams. Four things the convention leaves open
are ours: ``GET /v1/usage`` tells what an attempt ran, also long after; letting go of a held state is ``POST /v1/kv/release``, and an engine that has done nothing says so in
``error.code``: ``full`` or ``draining`` (503 or 429) and ``no_state`` (409). Any other refusal may have run.

A stream that goes on is asked for by ``continue_final_message`` with the text so far as the assistant's last message. Where its
own text begins the engine says in ``continues: {"at": bytes, "digest": xxh3 of the text before}``, in its first event.
"""
from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from ..core.ports import Attempt, Usage
from ..decisions.interface import Outcome

GENERATE, RELEASE, STATUS, USAGE = "/v1/chat/completions", "/v1/kv/release", "/v1/status", "/v1/usage"
NEVER_RAN = {(503, "full"): Outcome.FULL, (429, "full"): Outcome.FULL, (503, "draining"): Outcome.FULL,
             (409, "no_state"): Outcome.NO_STATE}


class Details(msgspec.Struct):
    cached_tokens: int = 0


class UsageBody(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: Details | None = None

    def usage(self) -> Usage:
        kept = self.prompt_tokens_details.cached_tokens if self.prompt_tokens_details else 0
        return Usage(self.prompt_tokens, kept, self.completion_tokens)


class Delta(msgspec.Struct):
    content: str | None = None


class Choice(msgspec.Struct):
    delta: Delta | None = None
    finish_reason: str | None = None


class Problem(msgspec.Struct):
    code: str | int | None = None
    message: str = ""


class Continues(msgspec.Struct):
    at: int
    digest: str


class Chunk(msgspec.Struct):
    """One event of a writer's stream, as far as it is read here."""
    choices: list[Choice] = []
    continues: Continues | None = None
    usage: UsageBody | None = None
    error: Problem | None = None


class ReadAnswer(msgspec.Struct):
    """A reader's whole answer."""
    kv_transfer_params: dict[str, Any] | None = None
    usage: UsageBody | None = None


class Refusal(msgspec.Struct):
    error: Problem | None = None


_chunk, _read = msgspec.json.Decoder(Chunk), msgspec.json.Decoder(ReadAnswer)
_refusal, _dict = msgspec.json.Decoder(Refusal), msgspec.json.Decoder(dict[str, Any])
_encode = msgspec.json.Encoder().encode


@dataclass(slots=True, frozen=True)
class Ended:
    """How an exchange ended, as the engine's own words tell it."""
    outcome: Outcome
    usage: Usage = Usage()
    state: dict[str, Any] | None = None
    reason: str = ""


def request(attempt: Attempt, node: str) -> tuple[list[tuple[str, str]], bytes]:
    """Headers and body of one schedule attempt."""
    asked = attempt.request
    body = dict(asked.body)
    if asked.forced:
        body |= {"messages": [*body["messages"], {"role": "assistant", "content": asked.forced}],
                 "continue_final_message": True, "add_generation_prompt": False, "max_tokens": asked.prompt.max_output}
    if attempt.reads:
        body |= {"max_tokens": 1, "stream": False,
                 "kv_transfer_params": {"do_remote_decode": True, "do_remote_prefill": False}}
    else:
        body |= {"stream": True, "stream_options": {"include_usage": True}}
        if attempt.state is not None:
            body["kv_transfer_params"] = attempt.state
    headers = [("x-request-id", attempt.seq_id), ("x-attempt", str(attempt.ordinal)), ("x-node", node)]
    if asked.token:
        headers.append(("x-repeat-token", asked.token))
    return headers, _encode(body)


def release(seq_id: str, ordinal: int, state: dict[str, Any] | None) -> bytes:
    """Body that lets go of what one read left."""
    return _encode({"request_id": seq_id, "attempt": ordinal, "kv_transfer_params": state})


def report(status: int, body: bytes) -> dict[str, float] | None:
    """Load figures out of a status answer; None where there are none to be had."""
    if status != 200:
        return None
    try:
        return {k: float(v) for k, v in _dict.decode(body).items() if isinstance(v, (int, float))}
    except msgspec.DecodeError:
        return None


def refused(status: int, body: bytes) -> Ended:
    """A status other than 200. Only the codes that promise it are taken for 'never ran'."""
    try:
        problem = _refusal.decode(body).error or Problem()
    except msgspec.DecodeError:
        problem = Problem()
    outcome = NEVER_RAN.get((status, str(problem.code)), Outcome.ERROR)
    return Ended(outcome, reason=f"status {status} {problem.code or ''} {problem.message}".strip()[:200])


def read(body: bytes) -> Ended:
    """A reader's answer of status 200."""
    try:
        answer = _read.decode(body)
    except msgspec.DecodeError as wrong:
        return Ended(Outcome.ERROR, reason=f"answer cannot be read: {wrong}"[:200])
    if answer.kv_transfer_params is None:
        return Ended(Outcome.ERROR, reason="answer names no held state")
    return Ended(Outcome.READ, answer.usage.usage() if answer.usage else Usage(), answer.kv_transfer_params)


class Stream:
    """Takes the bytes of a writer's event stream apart.

    ``feed`` returns the pieces of text that have become whole, and sets ``ended`` once the stream said how it ended,
    ``continues`` once it said where its text begins.
    A line longer than ``most`` bytes ends it with an error: an engine must not fill the node's memory.
    """

    __slots__ = ("ended", "continues", "_rest", "_most", "_usage", "_reason")

    def __init__(self, most: int) -> None:
        self.ended: Ended | None = None
        self.continues: Continues | None = None
        self._rest, self._most, self._usage, self._reason = b"", most, Usage(), ""

    def feed(self, data: bytes) -> list[str]:
        pieces: list[str] = []
        lines = (self._rest + data).split(b"\n")
        self._rest = lines.pop()
        if len(self._rest) > self._most:
            self._failed("a line is too long")
        for line in lines:
            if self.ended:
                break
            if len(line) > self._most:
                self._failed("a line is too long")
            elif line.startswith(b"data:"):
                self._event(line[5:].strip(), pieces)
            elif line.strip() and not line.startswith((b":", b"event:", b"id:", b"retry:")):
                self._failed("a line is no event")
        return pieces

    def close(self) -> Ended:
        """The body is complete. Without its closing event the stream was cut."""
        return self.ended or Ended(Outcome.CUT, self._usage, reason="the stream ended without its last event")

    def _event(self, data: bytes, pieces: list[str]) -> None:
        if data == b"[DONE]":
            self.ended = Ended(Outcome.GENERATED, self._usage, reason=self._reason or "stop")
            return
        try:
            chunk = _chunk.decode(data)
        except msgspec.DecodeError as wrong:
            return self._failed(f"an event cannot be read: {wrong}"[:200])
        if chunk.error:
            return self._failed(f"{chunk.error.code or ''} {chunk.error.message}".strip()[:200] or "failed")
        if chunk.continues:
            self.continues = chunk.continues
        if chunk.usage:
            self._usage = chunk.usage.usage()
        for choice in chunk.choices:
            if choice.delta and choice.delta.content:
                pieces.append(choice.delta.content)
            self._reason = choice.finish_reason or self._reason

    def _failed(self, reason: str) -> None:
        self.ended = self.ended or Ended(Outcome.ERROR, self._usage, reason=reason)
