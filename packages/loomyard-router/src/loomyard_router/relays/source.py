"""Where a relay reads from."""

from __future__ import annotations

from typing import Protocol


class ByteSource(Protocol):
    """Bytes of a body, as they arrive."""

    def read(self) -> bytes:
        """Return the next bytes; empty at the end."""
