"""What each client account may have of a rate that not all demand can be met from."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


def find_water_level(demands: Mapping[str, float], capacity: float) -> float:
    """Return the max-min fair share: who wants less gets all, the others this much each.

    Where the capacity meets all demand, the share is the whole capacity.
    """
    left = capacity
    waiting = sorted(demands.values())
    for number, demand in enumerate(waiting):
        share = left / (len(waiting) - number)
        if demand > share:
            return share
        left -= demand
    return capacity
