"""Data centres of the benchmarks; the third byte of a loopback address is their number."""

from __future__ import annotations

from urllib.parse import urlsplit

DATA_CENTRES = ("dc-1", "dc-2", "dc-3")
ONE_WAY_DELAY_SECONDS = 0.0015


def data_centre_of(position: int) -> str:
    """Return the data centre of the router or target at a position."""
    return DATA_CENTRES[position % len(DATA_CENTRES)]


def target_host(position: int) -> str:
    """Return the loopback address of the target at a position."""
    return f"127.0.{position % len(DATA_CENTRES) + 1}.1"


def data_centre_of_url(url: str) -> str:
    """Return the data centre of a target by the host of its URL."""
    host = urlsplit(url).hostname or ""
    return DATA_CENTRES[int(host.split(".")[2]) - 1]
