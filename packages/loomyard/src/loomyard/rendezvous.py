"""Rendezvous hashing: equal choices on all routers; few keys move when the names change."""

from __future__ import annotations

import math
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

SCORE_BYTES = 8


def choose(key: str, names: Iterable[str]) -> str:
    """Return the name that owns a key; raise ``ValueError`` if there are no names."""
    return max(names, key=lambda name: _score(key, name))


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in the order of preference of a key; the first is its owner."""
    return sorted(names, key=lambda name: _score(key, name), reverse=True)


def rank_weighted(key: str, weights: Mapping[str, float]) -> list[str]:
    """Return the names in the order of preference of a key.

    The share of keys for which a name comes first is proportional to its weight.
    """
    return sorted(weights, key=lambda name: (_distance(key, name, weights[name]), name))


def _distance(key: str, name: str, weight: float) -> float:
    digest, _ = _score(key, name)
    fraction = (int.from_bytes(digest, "big") + 0.5) / (1 << 8 * SCORE_BYTES)
    return -math.log(fraction) / weight


def _score(key: str, name: str) -> tuple[bytes, str]:
    prefix = len(key).to_bytes(4, "big")
    data = prefix + key.encode() + name.encode()
    # The name breaks ties, so that the choice does not depend on the order of the names.
    return blake2b(data, digest_size=SCORE_BYTES).digest(), name
