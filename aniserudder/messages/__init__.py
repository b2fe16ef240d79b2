"""The clients' side: vocabulary.py names the events, codec.py their bodies, mapping.py what the module is told."""
from .server import Messages

__all__ = ["Messages"]
