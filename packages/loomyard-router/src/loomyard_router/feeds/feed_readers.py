"""Which routers read a feed from the store."""

from __future__ import annotations

import math

from loomyard.rendezvous import rank

# A fleet up to this size reads the store itself; a larger one through the root of its size, but at
# least as many, so that the loss of a rack leaves readers.
LEAST_READERS = 10


def choose_readers(feed: str, names: list[str]) -> list[str]:
    """Return those of some routers that read a feed; all routers choose alike."""
    count = max(LEAST_READERS, math.ceil(math.sqrt(len(names))))
    if len(names) <= count:
        return names
    return rank(f"reader of {feed}", names)[:count]
