"""What operators see of request bodies that are held."""

from __future__ import annotations

from collections.abc import Callable

from attrs import frozen


@frozen(kw_only=True)
class BodyMetrics:
    """Reads for metrics: bytes now and at the most, and bodies refused since the start."""

    held_bytes: Callable[[], int] = lambda: 0
    peak_bytes: Callable[[], int] = lambda: 0
    refused: Callable[[], int] = lambda: 0
