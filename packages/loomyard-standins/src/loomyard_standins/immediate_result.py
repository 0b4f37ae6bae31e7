"""Result object that calls a function instead of waking a waiting task."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable


class ImmediateResult:
    """Stand-in for the ``AsyncResult`` of a waiting request: ``set`` makes the call at once."""

    def __init__(self, call: Callable[[Any], None]) -> None:
        self.set = call
