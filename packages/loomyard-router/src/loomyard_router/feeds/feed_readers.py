"""The choice of the routers that read a feed from the store."""

from __future__ import annotations

import math

from loomyard.rendezvous import rank

# In a fleet up to this size all routers read the store. Where six of seven lose the store, a change
# reaches the last router 3.2 s after its acknowledgement with four readers, within 2.5 s if all
# read.
MAX_FLEET_ALL_READ = 10
# A larger fleet has this many readers, or half the square root of its size. Each reader calls the
# store at least once a second. With four a change reaches the last of 11 to 200 routers as soon as
# with ten, also during outages.
MIN_READERS = 4


def choose_readers(feed: str, names: list[str]) -> list[str]:
    """Return the names of the routers that read a feed; all routers choose alike."""
    if len(names) <= MAX_FLEET_ALL_READ:
        return names
    count = max(MIN_READERS, math.ceil(math.sqrt(len(names)) / 2))
    return rank(f"reader of {feed}", names)[:count]
