"""``aniserudder serve``: one node in this process until a signal ends it."""
from __future__ import annotations

import signal

from twisted.internet import reactor
from twisted.internet.error import CannotListenError

from ..settings import BadSettings, NodeSettings, load
from .node import RunningNode


def serve(settings: NodeSettings, path: str = "") -> int:
    """Runs until SIGTERM or SIGINT; a second signal does not hurry it. Returns the exit code.

    SIGHUP reads budgets and admission anew from ``path``; a file that cannot be used changes nothing.

    Raises:
        BadSettings: an address cannot be had, or event names cannot be used.
    """
    try:
        node = RunningNode(settings, reactor)
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
        try:
            node.reload(load(path))
        except BadSettings as wrong:
            node.log("reload refused", level="error", reason=wrong.problems[0])

    signal.signal(signal.SIGHUP, lambda number, frame: reactor.callFromThread(on_hangup))
    reactor.run(installSignalHandlers=False)
    node.close_record()
    return 0
