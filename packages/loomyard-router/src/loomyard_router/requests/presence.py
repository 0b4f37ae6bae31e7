"""Whether the caller of a request is still there."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class CallerPresence:
    """Tell once that the caller has gone."""

    def __init__(self) -> None:
        self._gone = False
        self._listeners: list[Callable[[], None]] = []

    @property
    def gone(self) -> bool:
        return self._gone

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call back when the caller goes; at once where it has gone already."""
        if self._gone:
            listener()
        else:
            self._listeners.append(listener)

    def unsubscribe(self, listener: Callable[[], None]) -> None:
        """Call back no longer."""
        if listener in self._listeners:
            self._listeners.remove(listener)

    def leave(self) -> None:
        """Take in that the caller has gone."""
        if self._gone:
            return
        self._gone = True
        listeners, self._listeners = self._listeners, []
        for listener in listeners:
            listener()
