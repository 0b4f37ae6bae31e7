"""The garbage collector around large structures that hold no cycles."""

from __future__ import annotations

import gc
from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

LARGE = 1000


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
