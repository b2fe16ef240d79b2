"""Budgets and bills: decisions without I/O. tree.py: tenants; periods.py: time; keeper.py: what a node grants; shares.py:
how a budget holds over many nodes; billing.py: what is charged. Storage is ``ledger/``."""
