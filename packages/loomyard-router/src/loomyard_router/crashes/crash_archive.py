"""The protocol of the platform storage that outlives all routers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Mapping

    from result import Result

    from loomyard.errors import Fault


class CrashArchive(Protocol):
    """Key-value storage on the platform. Errors: ``LOG_UNAVAILABLE``."""

    @property
    def era(self) -> int:
        """Return the newest observed era (epoch) of the store; a newer one may lack writes."""

    def read(self, deadline: float) -> Result[Mapping[str, bytes], Fault]:
        """Return all values by key."""

    def write(self, key: str, value: bytes | None, deadline: float) -> Result[None, Fault]:
        """Put a value, ``None`` to delete it; after an error it may have been written."""
