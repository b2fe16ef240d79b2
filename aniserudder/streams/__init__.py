"""Streams that outlive their writers: journal.py keeps what was forwarded, seam.py joins a continuation to it, recovery.py
decides when a broken stream has its turn, pace.py which stream trickles, readers.py what becomes of slow and returning
clients. Free of I/O; ``core`` and ``messages`` carry it out."""
