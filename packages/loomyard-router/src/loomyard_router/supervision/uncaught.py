"""Exceptions that end a task or callback of the event loop that nothing supervises."""

from __future__ import annotations

from typing import Any

import gevent

from loomyard_router.supervision.failures import record_failure

UNSUPERVISED = "event loop"


def record_uncaught() -> None:
    """Let the event loop of this thread record uncaught exceptions in place of printing them."""
    gevent.get_hub().print_exception = _record


def _record(_context: Any, _kind: type[BaseException], value: Any, _traceback: Any) -> None:
    # gevent passes text in place of an exception that it could not restore.
    record_failure(
        UNSUPERVISED, value if isinstance(value, BaseException) else RuntimeError(str(value))
    )
