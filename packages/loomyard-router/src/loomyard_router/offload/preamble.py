"""The first line on an offloaded connection, before the bytes of the caller."""

from __future__ import annotations

import re

MAX_BYTES = 64
PATTERN = re.compile(rb"loomyard-offload 1 (\d{1,18})\r\n")


def encode_preamble(table_version: int) -> bytes:
    """Return the line that states the version of the configuration in force at the sender."""
    return b"loomyard-offload 1 %d\r\n" % table_version


def decode_preamble(line: bytes) -> int | None:
    """Return the version that a line states, ``None`` where it is no preamble."""
    found = PATTERN.fullmatch(line)
    return int(found[1]) if found else None
