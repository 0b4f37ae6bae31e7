"""Who sums up whose reports: in two levels, so that nobody hears much more than a root."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from loomyard.rendezvous import rank

if TYPE_CHECKING:
    from collections.abc import Sequence

KEY = "shares"
# A fleet up to this size reports to one router at once; that is 60 short messages a second for it.
FLAT_ROUTERS = 16


def find_parent(own: str, names: Sequence[str]) -> str | None:
    """Return the router that this one reports to; ``None`` at the top."""
    ranked = rank(KEY, names)
    top = ranked[0]
    if own == top:
        return None
    if len(ranked) <= FLAT_ROUTERS:
        return top
    middle = ranked[1 : 1 + math.ceil(math.sqrt(len(ranked)))]
    return top if own in middle else rank(own, middle)[0]
