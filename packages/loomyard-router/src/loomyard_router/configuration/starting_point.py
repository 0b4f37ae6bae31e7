"""The protocol of where a router without usable records begins."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from loomyard.configuration import ConfigState


class StartingPoint(Protocol):
    """Find a state to fold later records into."""

    def find(self, least: int) -> ConfigState | None:
        """Return the newest state found that has applied offset ``least`` or a later one."""
