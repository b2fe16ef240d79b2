"""``aniserudder serve``: one node in this process until a signal ends it."""
from __future__ import annotations

import signal

from ..eventloop import reactor
from twisted.internet.error import CannotListenError

from ..durable import Ground, Kind
from ..settings import BadSettings, NodeSettings, load
from .node import RunningNode

LAST_WRITES_S = 1.0  # seconds that a process which is done waits for its disk


def serve(settings: NodeSettings, path: str = "", ground: Ground = Ground()) -> int:
    """Runs until SIGTERM or SIGINT; a second signal does not hurry it. Returns the exit code.

    SIGHUP reads budgets and admission anew from ``path``; a file that cannot be used changes nothing.

    Raises:
        BadSettings: an address cannot be had, or event names cannot be used.
    """
    try:
        node = RunningNode(settings, reactor, ground=ground)
    except BadSettings:
        raise
    except (ValueError, OSError) as wrong:
        raise BadSettings([str(wrong)]) from None
    try:
        node.start()
    except CannotListenError as taken:
        raise BadSettings([f"messages.listen: {taken.interface}:{taken.port}: {taken.socketError.strerror}"]) from None

    def on_signal(number: int, frame: object) -> None:
        reactor.callFromThread(lambda: node.stop().addCallback(lambda _: reactor.running and reactor.stop()))

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)

    def on_hangup() -> None:
        node.follower.lane.put(Kind.READING, lambda: load(path), read, path)

    def read(fresh: NodeSettings | None, problem: Exception | None) -> None:
        try:
            if problem:
                raise problem
            node.reload(fresh)
        except BadSettings as wrong:
            node.log("reload refused", level="error", reason=wrong.problems[0])

    signal.signal(signal.SIGHUP, lambda number, frame: reactor.callFromThread(on_hangup))
    reactor.run(installSignalHandlers=False)
    node.close_record()
    node.writer.join(LAST_WRITES_S)
    return 0
