"""Digests of objects, which add up to the digest of a configuration."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import cbor2

from loomyard.codec import CODEC

if TYPE_CHECKING:
    from loomyard.objects import ConfigObject

DIGEST_BYTES = 16
DIGEST_MODULUS = 1 << (8 * DIGEST_BYTES)


def object_digest(item: ConfigObject, version: int) -> int:
    """Return the digest of an object at a version.

    A sum of such digests finds routers that differ by a fault; it does not resist an attacker,
    who would need an operator's key to choose the objects.
    """
    fields = [type(item).__name__, CODEC.unstructure(item), version]
    data = cbor2.dumps(fields, canonical=True)
    return int.from_bytes(hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest())


def format_digest(digest: int) -> str:
    """Return a digest as people and messages write it."""
    return f"{digest:0{2 * DIGEST_BYTES}x}"
