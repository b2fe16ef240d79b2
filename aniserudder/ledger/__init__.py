"""Durable books: entries.py is their form, store.py keeps them, service.py leads them for all nodes, books.py at one node."""
