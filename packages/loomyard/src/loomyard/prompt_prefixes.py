"""Digest of the prefix of a prompt, by which requests are routed to engines that cache it."""

from __future__ import annotations

import hashlib
import json
from typing import Any

PREFIX_CHARACTERS = 256
DIGEST_HEX_DIGITS = 16


def prompt_prefix_digest(document: dict[str, Any]) -> str:
    """Return the digest of the first characters of the prompt as JSON text.

    Engines report cached prefixes by the same digest. No more of the prompt than needed is encoded.
    """
    prompt = document.get("messages") or document.get("prompt", "")
    head = _encode_start(prompt)[:PREFIX_CHARACTERS]
    return hashlib.sha256(head.encode()).hexdigest()[:DIGEST_HEX_DIGITS]


def _encode_start(prompt: Any) -> str:
    if isinstance(prompt, str):
        return json.dumps(prompt[:PREFIX_CHARACTERS])
    if not isinstance(prompt, list):
        return json.dumps(prompt)
    text = "["
    for number, item in enumerate(prompt):
        text += (", " if number else "") + json.dumps(item)
        if len(text) >= PREFIX_CHARACTERS:
            return text
    return text + "]"
