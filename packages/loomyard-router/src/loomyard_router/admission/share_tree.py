"""Tree of at most two levels in which usage reports are summed up, which bounds the fan-in."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from loomyard.rendezvous import rank

if TYPE_CHECKING:
    from collections.abc import Sequence

KEY = "shares"
# In a fleet up to this size all report to one router, which gets 60 short messages a second.
MAX_FLAT_ROUTERS = 16


def ranks_above(own: str, other: str) -> bool:
    """Tell whether this router ranks above another one, which may then report to it."""
    return rank(KEY, [own, other])[0] == own


def count_levels(routers: int) -> int:
    """Return how many routers a report passes on its way to the root of such a fleet."""
    return 1 if routers <= MAX_FLAT_ROUTERS else 2


def find_root(names: Sequence[str]) -> str | None:
    """Return the root of a fleet, ``None`` without routers."""
    return rank(KEY, names)[0] if names else None


def find_parent(own: str, names: Sequence[str]) -> str | None:
    """Return the router that this one reports to, ``None`` for the root or without routers.

    A router that leaves is not among them itself.
    """
    ranked = rank(KEY, names)
    if not ranked or own == ranked[0]:
        return None
    root = ranked[0]
    if len(ranked) <= MAX_FLAT_ROUTERS:
        return root
    middle = ranked[1 : 1 + math.ceil(math.sqrt(len(ranked)))]
    return root if own in middle else rank(own, middle)[0]
