"""The digest that names a prompt prefix."""

from __future__ import annotations

import json
from hashlib import sha256
from typing import Any

PREFIX_LENGTH = 256
DIGEST_LENGTH = 16


def prefix_of(document: dict[str, Any]) -> str:
    """Return the name of the prompt prefix of a completion request, in hexadecimal digits."""
    prompt = json.dumps(document.get("messages") or document.get("prompt", ""))
    return sha256(prompt[:PREFIX_LENGTH].encode()).hexdigest()[:DIGEST_LENGTH]
