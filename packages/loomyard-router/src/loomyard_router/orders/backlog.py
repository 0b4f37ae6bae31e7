"""Protocol of a view of the request backlog."""

from __future__ import annotations

from typing import Protocol


class BacklogView(Protocol):
    """Backlog by service, over the whole fleet or the part of it that this router sees."""

    def waiting(self, service: str) -> int:
        """Return how many requests of a service wait or were refused for lack of a target."""
