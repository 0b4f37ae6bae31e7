"""Digests of objects; their sum is the digest of a configuration."""

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

    The sum of such digests reveals routers whose states differ by a fault. It is not
    collision-resistant against an attacker, but choosing the objects requires an operator key.
    """
    fields = [type(item).__name__, CODEC.unstructure(item), version]
    data = cbor2.dumps(fields, canonical=True)
    return int.from_bytes(hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest())


def format_digest(digest: int) -> str:
    """Return a digest in hexadecimal digits, as used in messages and output."""
    return f"{digest:0{2 * DIGEST_BYTES}x}"
