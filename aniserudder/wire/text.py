"""How heads and chunks of HTTP/1.1 are written. Reading is llhttp's work, by httptools."""
from __future__ import annotations

import re
import socket
from collections.abc import Iterable
from http import HTTPStatus

UNSAFE = re.compile(r"[\r\n\0]")  # a value that held a line's end could smuggle a header in
REASONS = {s.value: s.phrase for s in HTTPStatus}
REASON_MOST = 200  # characters of one that is told to a client
LAST_CHUNK = b"0\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

Headers = Iterable[tuple[str, str]]


def request(method: str, target: str, host: str, headers: Headers, body: bytes) -> bytes:
    """A whole request."""
    lines = [f"{method} {target} HTTP/1.1\r\nhost: {host}\r\n", *_lines(headers)]
    if body:
        lines.append("content-type: application/json\r\n")
    lines.append(f"content-length: {len(body)}\r\n\r\n")
    return "".join(lines).encode("latin-1") + body


def response(status: int, headers: Headers) -> bytes:
    """The head of an answer."""
    return "".join([f"HTTP/1.1 {status} {REASONS.get(status, '')}\r\n", *_lines(headers), "\r\n"]).encode("latin-1")


def chunk(data: bytes) -> bytes:
    """A piece of a body whose length is not known."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def error(reason: str) -> bytes:
    """The body of an answer to what is no proper request."""
    plain = reason.replace("\\", "'").replace('"', "'")[:REASON_MOST].encode("ascii", "replace")
    return b'{"type":"error","error":{"kind":"bad_request","message":"%b"}}' % plain


def refusal(status: int, reason: str, last: bool) -> bytes:
    """A whole answer to what is no proper request. ``last``: the connection ends behind it."""
    body = error(reason)
    close = [("connection", "close")] if last else []
    return response(status, [("content-type", "application/json"), ("content-length", str(len(body))), *close]) + body


def _lines(headers: Headers) -> list[str]:
    return [f"{name}: {UNSAFE.sub(' ', value)}\r\n" for name, value in headers]


def free_port() -> int:
    """A port of loopback that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]
