"""Functions that other parts want called."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from attrs import define, field

from loomyard.events import Event, emit

logger = logging.getLogger(__name__)


@define(eq=False)
class Listeners:
    """Call all, also where one fails."""

    _functions: list[Callable[..., None]] = field(factory=list)

    def add(self, function: Callable[..., None]) -> None:
        """Add one."""
        self._functions.append(function)

    def call(self, *arguments: Any) -> None:
        """Call all in the order in which they were added."""
        for function in self._functions:
            try:
                function(*arguments)
            except Exception as error:  # a faulty part must not end membership
                emit(logger, Event.HANDLER_FAILED, detail=repr(error))
