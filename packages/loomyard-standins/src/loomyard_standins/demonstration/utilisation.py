"""Utilisation of the slots of the engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

if TYPE_CHECKING:
    from loomyard_standins.engine import EngineServer

SAMPLE_SECONDS = 0.02


class UtilisationMeter:
    """Samples the share of busy slots every SAMPLE_SECONDS."""

    def __init__(self, engines: list[EngineServer], slots: int) -> None:
        self._engines = engines
        self._slots = slots
        self._samples: list[float] = []
        self._task = gevent.spawn(self._run)

    def stop(self) -> float:
        """Stop sampling; return the mean utilisation, from 0 to 1."""
        self._task.kill()
        return sum(self._samples) / max(1, len(self._samples))

    def _run(self) -> None:
        while True:
            running = sum(engine.running for engine in self._engines)
            self._samples.append(running / self._slots)
            gevent.sleep(SAMPLE_SECONDS)
