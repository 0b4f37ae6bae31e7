"""A result that is passed on at once."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable


class ImmediateResult:
    """Stand in for the ``AsyncResult`` of a waiting request."""

    def __init__(self, call: Callable[[Any], None]) -> None:
        self.set = call
