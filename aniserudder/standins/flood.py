"""A runaway client: opens connections from one address as fast as it can, holds what it gets, and opens anew what is closed.

``python -m aniserudder.standins.flood HOST PORT SECONDS HELD SOURCE``. Bounded in time and number; prints one JSON line.
"""
from __future__ import annotations

import json
import selectors
import socket
import sys
import time


def flood(host: str, port: int, seconds: float, held: int, source: str) -> dict[str, int]:
    """Floods and returns its counts."""
    selector, counts = selectors.DefaultSelector(), {"opened": 0, "failed": 0, "closed": 0, "peak": 0}
    end, open_now = time.monotonic() + seconds, 0
    while time.monotonic() < end:
        for _ in range(min(50, held - open_now)):
            one = socket.socket()
            one.setblocking(False)
            try:
                one.bind((source, 0))
                one.connect_ex((host, port))
            except OSError:
                counts["failed"] += 1
                one.close()
                continue
            selector.register(one, selectors.EVENT_WRITE, "new")
            open_now += 1
        for key, _ in selector.select(0.01):
            one = key.fileobj
            if key.data == "new":
                if one.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    counts["failed"] += 1
                    selector.unregister(one)
                    one.close()
                    open_now -= 1
                else:
                    counts["opened"] += 1
                    selector.modify(one, selectors.EVENT_READ, "open")
                continue
            try:
                if one.recv(4096):
                    continue
            except BlockingIOError:
                continue
            except OSError:
                pass
            counts["closed"] += 1
            selector.unregister(one)
            one.close()
            open_now -= 1
        counts["peak"] = max(counts["peak"], open_now)
    return counts


if __name__ == "__main__":
    print(json.dumps(flood(sys.argv[1], int(sys.argv[2]), float(sys.argv[3]), int(sys.argv[4]), sys.argv[5])), flush=True)
