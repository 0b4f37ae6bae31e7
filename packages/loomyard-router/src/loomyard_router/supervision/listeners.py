"""Callbacks of other components."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from attrs import define, field

from loomyard_router.supervision.guard import call_guarded


@define(eq=False)
class Listeners:
    """Call all registered functions; one that raises is recorded and does not stop the others."""

    part: str
    _functions: list[Callable[..., None]] = field(factory=list)

    def subscribe(self, function: Callable[..., None]) -> None:
        """Register a function, which must not block."""
        self._functions.append(function)

    def notify(self, *arguments: Any) -> None:
        """Call all functions in the order of their registration."""
        for function in list(self._functions):
            call_guarded(self.part, function, *arguments)
