"""Addresses of listeners."""

from __future__ import annotations


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)
