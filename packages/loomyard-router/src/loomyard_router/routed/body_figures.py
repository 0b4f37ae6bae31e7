"""What operators see of request bodies that are held."""

from __future__ import annotations

from collections.abc import Callable

from attrs import frozen


@frozen(kw_only=True)
class BodyFigures:
    """Reads for metrics: bytes now and at the most, and bodies refused since the start."""

    lent: Callable[[], int] = lambda: 0
    peak: Callable[[], int] = lambda: 0
    refused: Callable[[], int] = lambda: 0
