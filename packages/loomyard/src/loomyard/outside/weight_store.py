"""The weight store, which is rate-limited."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from result import Result

    from loomyard.errors import Fault


class WeightStore(Protocol):
    """Ask for a share of the store's rate."""

    def reserve(self, model: str) -> Result[float, Fault]:
        """Return the monotonic time at which a load may start.

        Error: ``WEIGHT_STORE_LIMITED`` with ``retry_after``.
        """
