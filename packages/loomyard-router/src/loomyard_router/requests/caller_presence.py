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
        self._connected: Callable[[], bool] | None = None

    @property
    def gone(self) -> bool:
        return self._gone

    def set_probe(self, connected: Callable[[], bool]) -> None:
        """Take a way to look whether the caller is there, besides being told."""
        self._connected = connected

    def check(self) -> bool:
        """Look now; where the process is busy, the word that a caller went comes late."""
        if not self._gone and self._connected is not None and not self._connected():
            self.mark_gone()
        return not self._gone

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

    def mark_gone(self) -> None:
        """Take in that the caller has gone."""
        if self._gone:
            return
        self._gone = True
        listeners, self._listeners = self._listeners, []
        for listener in listeners:
            listener()
