"""Fraction of a target that an account may use, by how far it is over its share."""

from __future__ import annotations

# Users bound the usage of the better served of two backlogged accounts by twice that of the other,
# so an account at its share has to be able to use much more than one at twice its share.
FULL_UP_TO = 1.0
MIN_FROM = 2.0


def find_usable_fraction(share_used: float, min_fraction: float) -> float:
    """Return 1 up to the share, falling linearly to ``min_fraction`` at twice the share."""
    over = min(MIN_FROM, max(FULL_UP_TO, share_used)) - FULL_UP_TO
    return 1.0 - (1.0 - min_fraction) * over / (MIN_FROM - FULL_UP_TO)
