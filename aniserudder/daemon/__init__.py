"""The thin daemon: settings in, sockets open, signals heeded, an ordered stop."""
from .node import RunningNode
from .serve import serve

__all__ = ["RunningNode", "serve"]
