"""Reload the settings file when it changes or when a signal asks for it."""

from __future__ import annotations

import logging
import os
from typing import TYPE_CHECKING

from gevent.event import Event as GeventEvent
from result import Err, Ok

from loomyard.events import Event, emit
from loomyard_router.platform import names
from loomyard_router.platform.settings_file import read_settings
from loomyard_router.supervision.tasks import start_supervised

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from loomyard.clock import Clock
    from loomyard_router.routed_settings import RoutedSettings

logger = logging.getLogger(__name__)

POLL_SECONDS = 2.0


Signature = tuple[int, int, int]


def file_signature(environment: Mapping[str, str]) -> Signature:
    """Return inode, size and modification time of the settings file; zeros without a file."""
    try:
        status = os.stat(environment.get(names.SETTINGS_VARIABLE, ""))
    except OSError:
        return (0, 0, 0)
    return (status.st_ino, status.st_size, status.st_mtime_ns)


class SettingsWatch:
    """Poll the settings file and call back with changed settings; log unreadable ones only.

    ``signature`` is that of the file just before the settings in force were read.
    """

    def __init__(
        self,
        environment: Mapping[str, str],
        clock: Clock,
        on_change: Callable[[RoutedSettings], None],
        signature: Signature,
    ) -> None:
        self._environment = environment
        self._clock = clock
        self._on_change = on_change
        self._read_signature = signature
        self._requested = GeventEvent()

    def start(self) -> None:
        """Start polling every ``POLL_SECONDS`` in the background."""
        start_supervised("settings", self._clock, self._run)

    def request(self) -> None:
        """Have the file read soon, changed or not; may be called from the event loop."""
        self._requested.set()

    def reload(self) -> None:
        """Read the file now, changed or not."""
        signature = file_signature(self._environment)
        match read_settings(self._environment):
            case Ok(settings):
                self._on_change(settings)
            case Err(detail):
                emit(logger, Event.SETTINGS_UNREADABLE, detail=detail)
        # Last, so that changes which could not be adopted are read again.
        self._read_signature = signature

    def reload_if_changed(self) -> None:
        """Read the file if its inode, size or modification time changed since the last read."""
        if file_signature(self._environment) != self._read_signature:
            self.reload()

    def _run(self) -> None:
        while True:
            if self._requested.wait(POLL_SECONDS):
                self._requested.clear()
                self.reload()
            else:
                self.reload_if_changed()
