"""The id under which the origin of a stream is recorded."""

from __future__ import annotations

from hashlib import blake2b

MAX_ID_CHARS = 64
DIGEST_BYTES = 16


def make_stream_id(attempt_id: str) -> str:
    """Return the id of the stream whose first event an attempt brought, of bounded length."""
    if len(attempt_id) <= MAX_ID_CHARS:
        return attempt_id
    return blake2b(attempt_id.encode(), digest_size=DIGEST_BYTES).hexdigest()
