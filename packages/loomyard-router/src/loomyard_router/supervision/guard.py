"""Calls whose exceptions must not reach the calling task."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from loomyard_router.supervision.failures import record_failure

if TYPE_CHECKING:
    from collections.abc import Callable


def call_guarded(part: str, function: Callable[..., Any], *arguments: Any) -> bool:
    """Call a function; record an exception and return false where it raises one."""
    try:
        function(*arguments)
    except Exception as error:  # the calling task has other duties
        record_failure(part, error)
        return False
    return True
