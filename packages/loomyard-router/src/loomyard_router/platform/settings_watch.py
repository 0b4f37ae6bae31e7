"""Read the settings file again when it changes, with or without a signal."""

from __future__ import annotations

import logging
import os
from typing import TYPE_CHECKING

import gevent
from result import Err, Ok

from loomyard.events import Event, emit
from loomyard_router.platform import names
from loomyard_router.platform.settings_file import read_settings

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from loomyard.clock import Clock
    from loomyard_router.routed_settings import RoutedSettings

logger = logging.getLogger(__name__)

LOOK_SECONDS = 2.0


class SettingsWatch:
    """Give changed settings to a function; ones that can't be read change nothing."""

    def __init__(
        self,
        environment: Mapping[str, str],
        clock: Clock,
        changed: Callable[[RoutedSettings], None],
    ) -> None:
        self._environment = environment
        self._clock = clock
        self._changed = changed
        self._seen = self._mark()

    def start(self) -> None:
        """Start to look."""
        gevent.spawn(self._run)

    def reload(self) -> None:
        """Read the file now."""
        self._seen = self._mark()
        match read_settings(self._environment):
            case Ok(settings):
                self._changed(settings)
            case Err(detail):
                emit(logger, Event.SETTINGS_UNREADABLE, detail=detail)

    def look(self) -> None:
        """Read the file if it is another than the last time."""
        if self._mark() != self._seen:
            self.reload()

    def _mark(self) -> tuple[int, int, int]:
        try:
            found = os.stat(self._environment.get(names.SETTINGS_VARIABLE, ""))
        except OSError:
            return (0, 0, 0)
        return (found.st_ino, found.st_size, found.st_mtime_ns)

    def _run(self) -> None:
        while True:
            self._clock.sleep(LOOK_SECONDS)
            self.look()
