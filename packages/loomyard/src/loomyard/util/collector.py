"""The garbage collector around large structures that hold no cycles."""

from __future__ import annotations

import gc
from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

LARGE = 1000
# Allocations before a collection of the youngest objects, and how many of those before the older.
RARELY = (100_000, 50, 50)


@contextmanager
def paused_collector() -> Iterator[None]:
    """Build a large structure without full collections in between."""
    enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if enabled:
            gc.enable()


def exempt_from_collection(objects: int) -> None:
    """Let later collections pass over what lives now, if that is a large number of objects.

    A full collection goes through all of it each time and holds up the relays meanwhile. Objects
    without cycles are freed by their reference counts as before.
    """
    if objects >= LARGE:
        gc.freeze()


def tune_collector() -> None:
    """Let a process that relays streams collect rarely, and not what it imported.

    A collection holds up every stream at once, and streams leave few cycles behind. A process that
    held the collector off while it started has it back from here on.
    """
    gc.enable()
    gc.freeze()
    gc.set_threshold(*RARELY)
