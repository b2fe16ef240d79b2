"""The laboratory: the real nodes, engines' stand-ins and clients in one process, on a simulated clock and network."""
