"""The protocol of what outlives all routers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Mapping

    from result import Result

    from loomyard.errors import Fault


class CrashArchive(Protocol):
    """Keep a value by key on the platform. Errors: ``LOG_UNAVAILABLE``."""

    @property
    def era(self) -> int:
        """Return the newest era of the store that was heard of; a later one may lack writes."""

    def read(self, deadline: float) -> Result[Mapping[str, bytes], Fault]:
        """Return all values."""

    def write(self, key: str, value: bytes | None, deadline: float) -> Result[None, Fault]:
        """Put a value, ``None`` to drop it; after an error it may have been done."""
