"""By what a request is known that comes again under another id."""

from __future__ import annotations

import hashlib

DIGEST_BYTES = 16


def make_fingerprint(*, method: str, host: str, path: str, account: str, body: bytes) -> str:
    """Return a digest in hex, equal for the same request of the same client account."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (method, host, path, account):
        # Lengths keep parts apart, so that no two requests read as one.
        digest.update(f"{len(part)}:{part}".encode())
    digest.update(body)
    return digest.hexdigest()
