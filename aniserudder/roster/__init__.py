"""The engine list: codec.py reads rows, follow.py has the sources, cache.py keeps the last list on disk."""
from .follow import Follower, follow

__all__ = ["Follower", "follow"]
