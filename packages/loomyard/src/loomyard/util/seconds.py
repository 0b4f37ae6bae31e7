"""Parsing of header values in seconds, such as ``Retry-After``."""

from __future__ import annotations

import re

# At most 9 digits (about 30 years); no sign, exponent, ``inf`` or ``nan``.
_SECONDS = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?")


def parse_seconds(text: str) -> float:
    """Parse a number of seconds; return 0 for other text, including dates (clocks may differ)."""
    return float(text) if _SECONDS.fullmatch(text.strip()) else 0.0
