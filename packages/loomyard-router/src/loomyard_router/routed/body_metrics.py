"""Metrics of the memory that request bodies take."""

from __future__ import annotations

from collections.abc import Callable

from attrs import frozen


@frozen(kw_only=True)
class BodyMetrics:
    """Callables read at scrape time: bytes held now and at peak, and bodies refused so far."""

    held_bytes: Callable[[], int] = lambda: 0
    peak_bytes: Callable[[], int] = lambda: 0
    refused: Callable[[], int] = lambda: 0
