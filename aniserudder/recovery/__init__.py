"""What a process believes of the time before its start, whom it asks, and in which order service returns. Decisions without I/O.

``trust.py`` has one row for each thing that outlives a process; ``snapshot.py`` reads and writes what is kept of them;
``ascent.py`` is the state machine of an instance from dark to serving; ``gather.py`` is the ledger's.
"""
