"""Processor time spent inside chosen calls."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable


class CallTimer:
    """Add up the processor time of wrapped calls; nested ones count once."""

    def __init__(self) -> None:
        self.seconds = 0.0
        self._depth = 0

    def wrap(self, owner: Any, name: str) -> None:
        """Time a method of one object."""
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
