"""Protocol of sources of a configuration state for when log records are missing."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from loomyard.configuration import ConfigState


class StateSource(Protocol):
    """Source of a state into which later records can be folded."""

    def find(self, min_offset: int) -> ConfigState | None:
        """Return the newest state found that has applied ``min_offset`` or a later offset."""
