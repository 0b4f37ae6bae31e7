"""Time spent inside chosen calls."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable


class CallTimer:
    """Add up the wall-clock seconds inside wrapped calls; nested calls count once.

    Calls that never block make that their CPU time.
    """

    def __init__(self) -> None:
        self.seconds = 0.0
        self._depth = 0

    def wrap(self, owner: Any, name: str) -> None:
        """Replace a method of one object by a timed one."""
        setattr(owner, name, self._timed(getattr(owner, name)))

    def _timed(self, call: Callable) -> Callable:
        def timed(*arguments: Any, **options: Any) -> Any:
            self._depth += 1
            started = time.perf_counter()
            try:
                return call(*arguments, **options)
            finally:
                self._depth -= 1
                if not self._depth:
                    self.seconds += time.perf_counter() - started

        return timed
