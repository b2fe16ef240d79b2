"""The decisions of a node: rules.py decides, candidates.py says among which engines, slow_start.py deals to cold ones; state.py remembers,
interface.py is what a host hands in and gets."""
