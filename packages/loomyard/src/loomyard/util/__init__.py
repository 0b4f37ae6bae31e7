"""Helpers for sockets, waiting, parsing and garbage collection."""
