"""Backlog combined from several views."""

from __future__ import annotations

from attrs import frozen

from loomyard_router.orders.backlog import BacklogView


@frozen
class CombinedBacklog:
    """Maximum over the views; they are not summed, since one may include another."""

    views: tuple[BacklogView, ...]

    def waiting(self, service: str) -> int:
        """Return the largest backlog of a service in any view."""
        return max(view.waiting(service) for view in self.views)
