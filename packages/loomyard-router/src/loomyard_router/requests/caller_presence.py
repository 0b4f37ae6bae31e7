"""Presence of the caller of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard_router.supervision.guard import call_guarded

if TYPE_CHECKING:
    from collections.abc import Callable


class CallerPresence:
    """Track whether the caller is still connected, and notify listeners once when it has gone."""

    def __init__(self) -> None:
        self._gone = False
        self._listeners: list[Callable[[], None]] = []
        self._is_connected: Callable[[], bool] | None = None

    @property
    def gone(self) -> bool:
        return self._gone

    def set_probe(self, is_connected: Callable[[], bool]) -> None:
        """Set a function that checks the connection, in addition to ``mark_gone``."""
        self._is_connected = is_connected

    def check(self) -> bool:
        """Check the connection now, as a busy process learns late of a closed one."""
        if not self._gone and self._is_connected is not None and not self._is_connected():
            self.mark_gone()
        return not self._gone

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call back when the caller has gone, at once where it has already."""
        if self._gone:
            listener()
        else:
            self._listeners.append(listener)

    def unsubscribe(self, listener: Callable[[], None]) -> None:
        """Remove a listener, if it is subscribed."""
        if listener in self._listeners:
            self._listeners.remove(listener)

    def mark_gone(self) -> None:
        """Record that the caller has gone, and notify the listeners the first time."""
        if self._gone:
            return
        self._gone = True
        listeners, self._listeners = self._listeners, []
        for listener in listeners:
            call_guarded("caller presence", listener)
