"""The command line. Exit codes: 0 done; 1 what was checked did not hold; 2 bad input, told in one plain line."""

from .main import main

__all__ = ["main"]
