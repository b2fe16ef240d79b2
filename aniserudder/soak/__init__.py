"""Randomized fault soak: real node processes among engine, discovery, proxy and client processes on loopback, checked by an oracle."""
