"""The engines' side: codec.py knows the protocol's words, pool.py all engines of a node."""
from ..wire.connections import Place
from .pool import EnginePool

__all__ = ["EnginePool", "Place"]
