"""A digest of a set, independent of the order of its entries."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING, Any

import cbor2

if TYPE_CHECKING:
    from collections.abc import Iterable

DIGEST_BYTES = 4


def unordered_digest(entries: Iterable[list[Any]]) -> int:
    """Return the XOR of the hashes of entries, as a 32-bit number.

    CRCs would not do in place of the hashes: those of similar names cancel each other out.
    """
    total = 0
    for entry in entries:
        hashed = blake2b(cbor2.dumps(entry), digest_size=DIGEST_BYTES).digest()
        total ^= int.from_bytes(hashed, "big")
    return total
