"""Idempotency keys of requests, and their partitions and streams."""

from __future__ import annotations

import uuid
from hashlib import blake2b
from typing import TYPE_CHECKING

from loomyard_router.claims.claim_coordinator import ClaimKey

if TYPE_CHECKING:
    from loomyard_router.requests.request import Request

PARTITIONS = 16
STREAM_PREFIX = "loomyard.claims."
DIGEST_BYTES = 16
TIMESTAMPED_UUID_VERSION = 7
MILLISECONDS_PER_SECOND = 1000.0
TIMESTAMP_SHIFT_BITS = 80


def claim_key_of(request: Request) -> ClaimKey | None:
    """Return the key to claim before a request runs.

    ``None`` if the request is idempotent by its route or has no key.
    """
    if request.idempotent or request.key is None:
        return None
    return ClaimKey(
        account=request.account.metadata.name,
        key=request.key,
        fingerprint=_digest(
            request.service.metadata.name.encode(),
            request.method.encode(),
            request.path.encode(),
            request.body,
        ),
        issued_at=parse_issue_time(request.key),
    )


def parse_issue_time(key: str) -> float | None:
    """Return the wall time in seconds that a version 7 UUID carries."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != TIMESTAMPED_UUID_VERSION:
        return None
    return (parsed.int >> TIMESTAMP_SHIFT_BITS) / MILLISECONDS_PER_SECOND


def digest_key(key: ClaimKey) -> bytes:
    """Return the digest that identifies a key and its account in records."""
    return _digest(key.account.encode(), key.key.encode())


def partition_of(digest: bytes) -> int:
    """Return the number of the partition of a key's digest."""
    return int.from_bytes(digest[:4], "big") % PARTITIONS


def stream_of(partition: int) -> str:
    """Return the name of the log stream of a partition."""
    return f"{STREAM_PREFIX}{partition:02d}"


def _digest(*parts: bytes) -> bytes:
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
