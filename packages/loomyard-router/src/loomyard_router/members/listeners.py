"""Callbacks of other components."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from attrs import define, field

from loomyard.events import Event, emit

logger = logging.getLogger(__name__)


@define(eq=False)
class Listeners:
    """Call all registered functions; one that raises is logged and does not stop the others."""

    _functions: list[Callable[..., None]] = field(factory=list)

    def subscribe(self, function: Callable[..., None]) -> None:
        """Register a function."""
        self._functions.append(function)

    def notify(self, *arguments: Any) -> None:
        """Call all functions in the order of their registration."""
        for function in self._functions:
            try:
                function(*arguments)
            except Exception as error:  # a faulty listener must not end membership
                emit(logger, Event.HANDLER_FAILED, detail=repr(error))
