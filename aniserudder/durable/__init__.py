"""What outlives a process is written here, away from the reactor's thread.

``order.py`` decides which write comes next, how long one may wait and what a full, slow or dead disk does to each kind of
record; no I/O. ``writer.py`` carries it out with one thread for each lane. ``files.py`` is the door to the disk.
"""
from .files import Files, Ground
from .order import Full, Kind, Late, State
from .writer import AtOnce, Inline, Lane, Paper, Writer

__all__ = ["AtOnce", "Files", "Full", "Ground", "Inline", "Kind", "Lane", "Late", "Paper", "State", "Writer"]
