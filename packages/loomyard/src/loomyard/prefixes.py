"""The name of a prompt's prefix, for cache locality."""

from __future__ import annotations

import hashlib
import json
from typing import Any

PREFIX_LENGTH = 256
DIGEST_LENGTH = 16


def prefix_of(document: dict[str, Any]) -> str:
    """Return the digest of the first characters of the prompt as JSON text.

    Engines name cached prefixes in the same way; only as much as counts is encoded.
    """
    prompt = document.get("messages") or document.get("prompt", "")
    head = _head(prompt)[:PREFIX_LENGTH]
    return hashlib.sha256(head.encode()).hexdigest()[:DIGEST_LENGTH]


def _head(prompt: Any) -> str:
    if isinstance(prompt, str):
        return json.dumps(prompt[:PREFIX_LENGTH])
    if not isinstance(prompt, list):
        return json.dumps(prompt)
    text = "["
    for number, item in enumerate(prompt):
        text += (", " if number else "") + json.dumps(item)
        if len(text) >= PREFIX_LENGTH:
            return text
    return text + "]"
