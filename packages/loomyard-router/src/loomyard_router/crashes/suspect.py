"""Names of what can be the cause of crashes: a whole request, or a part of prompts."""

from __future__ import annotations

import hashlib

PART_PREFIX = "part:"
DIGEST_BYTES = 16
# A longer name, or one with other characters, is replaced by its digest.
MAX_PART_NAME_CHARS = 96


def make_part_name(*, service: str, model: str, part_id: str) -> str:
    """Return the name of a part of the prompts of one model at one service."""
    text = f"{service}/{model}/{part_id}"
    if len(text) <= MAX_PART_NAME_CHARS and text.isascii() and text.isprintable():
        return PART_PREFIX + text
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in (service, model, part_id):
        # The length prefix delimits the field, so that different names never hash alike.
        digest.update(f"{len(field)}:{field}".encode())
    return PART_PREFIX + digest.hexdigest()


def is_part(name: str) -> bool:
    """Tell whether a suspect is a part of prompts; otherwise it is the fingerprint of a request."""
    return name.startswith(PART_PREFIX)


def is_request(name: str) -> bool:
    """Tell whether a suspect is the fingerprint of a request."""
    return not is_part(name)
