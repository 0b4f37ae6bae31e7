"""Protocol of the weight store, from which engines load models at a limited rate."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from result import Result

    from loomyard.errors import Fault


class WeightStore(Protocol):
    """Client of the weight store."""

    def reserve(self, model: str) -> Result[float, Fault]:
        """Reserve a load and return the monotonic time at which it may start.

        Error: ``WEIGHT_STORE_LIMITED`` with ``retry_after``.
        """
