"""What part of a target's room an account finds, by what it used of its share."""

from __future__ import annotations

# Users bound what the best served of two accounts that both wait gets by twice what the other gets,
# so an account that is at its share has to find much more room than one at twice its share.
FULL_AT = 1.0
LEAST_AT = 2.0


def find_part(used: float, least: float) -> float:
    """Return all of the room up to the share, falling to the least part at twice the share."""
    over = min(LEAST_AT, max(FULL_AT, used)) - FULL_AT
    return 1.0 - (1.0 - least) * over / (LEAST_AT - FULL_AT)
