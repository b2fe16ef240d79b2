"""Engines, a roster server and clients that stand in for real ones, with faults that a script can set.

They share one ``Witness`` and know nothing of the router but what comes over sockets.
"""
