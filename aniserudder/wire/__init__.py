"""HTTP/1.1 over Twisted's transports, both ways: client.py asks, server.py answers. llhttp reads the protocol."""
