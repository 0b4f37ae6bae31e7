"""The protocol of what waits."""

from __future__ import annotations

from typing import Protocol


class BacklogView(Protocol):
    """Know what waits, over the fleet or as much of it as this router sees."""

    def waiting(self, service: str) -> int:
        """Return how many requests of a service wait, or were refused for want of a target."""
