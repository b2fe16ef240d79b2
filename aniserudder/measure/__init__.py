"""What the program costs: measured as commands, not in CI."""
