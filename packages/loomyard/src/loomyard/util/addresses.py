"""Parsing of listener addresses."""

from __future__ import annotations


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port``; raise ``ValueError`` if the port is not a number."""
    host, _, port = address.rpartition(":")
    return host, int(port)
