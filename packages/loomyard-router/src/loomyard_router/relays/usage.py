"""Token usage as reported by a target."""

from __future__ import annotations

import json
import re

from attrs import frozen

_USAGE = re.compile(rb'"usage":\s*(\{)')
MAX_USAGE_LENGTH = 2048
_DECODER = json.JSONDecoder()


@frozen
class Usage:
    """Number of prompt tokens and of generated tokens."""

    prompt: int
    completion: int


def find_usage(tail: bytes) -> Usage | None:
    """Return the last usage object in the tail of an answer, ``None`` if absent or invalid."""
    found = list(_USAGE.finditer(tail))
    if not found:
        return None
    start = found[-1].start(1)
    try:
        text = tail[start : start + MAX_USAGE_LENGTH].decode(errors="replace")
        usage, _ = _DECODER.raw_decode(text)
        counted = Usage(int(usage["prompt_tokens"]), int(usage["completion_tokens"]))
    except (ValueError, KeyError, TypeError, OverflowError):
        return None
    return counted if min(counted.prompt, counted.completion) >= 0 else None
