"""Seconds as headers tell them."""

from __future__ import annotations

import re

# Up to some thirty years; no sign, exponent or word for what is no number.
_SECONDS = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?")


def read_seconds(text: str) -> float:
    """Return a number of seconds, 0 for anything else; a date would need clocks that agree."""
    return float(text) if _SECONDS.fullmatch(text.strip()) else 0.0
