"""Max-min fair share of a rate that cannot meet all demand."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


def find_max_min_share(demands: Mapping[str, float], capacity: float) -> float:
    """Return the max-min fair share: smaller demands are met, larger ones get this much each.

    Where the capacity meets all demand, the share is the whole capacity.
    """
    remaining = capacity
    ascending = sorted(demands.values())
    for number, demand in enumerate(ascending):
        share = remaining / (len(ascending) - number)
        if demand > share:
            return share
        remaining -= demand
    return capacity
