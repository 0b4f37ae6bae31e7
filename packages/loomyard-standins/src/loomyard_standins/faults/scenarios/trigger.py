"""A fault that comes once."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class Trigger:
    """Call an action at most once."""

    def __init__(self, action: Callable[[], None]) -> None:
        self.fired = False
        self._action = action

    def __call__(self, *_: object) -> None:
        if not self.fired:
            self.fired = True
            self._action()
