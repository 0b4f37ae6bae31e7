"""Tuning of the garbage collector for large structures without reference cycles."""

from __future__ import annotations

import gc
from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

MIN_FROZEN_OBJECTS = 1000
# Thresholds of gc.set_threshold: allocations per collection of generation 0, and for generations 1
# and 2 the collections of the next younger generation.
COLLECTION_THRESHOLDS = (100_000, 50, 50)


@contextmanager
def paused_collector() -> Iterator[None]:
    """Turn the collector off while a large structure is built."""
    enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if enabled:
            gc.enable()


def exempt_from_collection(objects: int) -> None:
    """Exclude all objects that exist now from later collections, if ``objects`` is large.

    A full collection traverses all of them and blocks the relaying of streams meanwhile. Objects
    without reference cycles are still freed by reference counting.
    """
    if objects >= MIN_FROZEN_OBJECTS:
        gc.freeze()


def tune_collector() -> None:
    """Make collections rare and exclude imported modules from them.

    A collection blocks all streams of the process, and streams create few reference cycles. Also
    turns the collector on again for a process that turned it off during start-up.
    """
    gc.enable()
    gc.freeze()
    gc.set_threshold(*COLLECTION_THRESHOLDS)
