"""What waits, from several views."""

from __future__ import annotations

from attrs import frozen

from loomyard_router.orders.backlog import BacklogView


@frozen
class CombinedBacklog:
    """The most that any view sees; one view may contain another."""

    views: tuple[BacklogView, ...]

    def waiting(self, service: str) -> int:
        """Return how many requests of a service wait."""
        return max(view.waiting(service) for view in self.views)
