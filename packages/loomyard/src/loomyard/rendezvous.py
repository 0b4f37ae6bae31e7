"""Rendezvous hashing: the same choice on every router, moving little when names change."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

SCORE_BYTES = 8


def choose(key: str, names: Iterable[str]) -> str:
    """Return the name that a key belongs to; raise ``ValueError`` where there is no name."""
    return max(names, key=lambda name: _score(key, name))


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in the order in which a key prefers them."""
    return sorted(names, key=lambda name: _score(key, name), reverse=True)


def _score(key: str, name: str) -> tuple[bytes, str]:
    prefix = len(key).to_bytes(4, "big")
    data = prefix + key.encode() + name.encode()
    # The name settles ties, so that the choice never hangs on the order of the names.
    return blake2b(data, digest_size=SCORE_BYTES).digest(), name
