"""The engines' side: codec.py knows the protocol's words, pool.py all engines of a node."""
from .pool import EnginePool, Place

__all__ = ["EnginePool", "Place"]
