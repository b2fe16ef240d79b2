"""The decisions of a node: rules.py decides, state.py remembers, interface.py is what a host hands in and gets."""
