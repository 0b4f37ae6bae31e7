"""Fingerprint by which a request is recognized when it is repeated under another id."""

from __future__ import annotations

import hashlib

DIGEST_BYTES = 16


def make_fingerprint(*, method: str, host: str, path: str, account: str, body: bytes) -> str:
    """Return a digest in hex, equal for the same request of the same client account."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (method, host, path, account):
        # The length prefix delimits the part, so that different requests never hash alike.
        digest.update(f"{len(part)}:{part}".encode())
    digest.update(body)
    return digest.hexdigest()
