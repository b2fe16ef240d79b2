"""The operators' platform protocol: one more way in and out of the same router. Clients, engines, discovery, one node."""
