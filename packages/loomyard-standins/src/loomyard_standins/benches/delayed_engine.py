"""Simulated network delay of engine calls between data centres."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from result import Ok, Result

from loomyard_standins.benches.data_centres import ONE_WAY_DELAY_SECONDS, data_centre_of_url

if TYPE_CHECKING:
    from loomyard.errors import Fault
    from loomyard.external.engine import (
        CacheEvent,
        Engine,
        EngineOrder,
        LoadReport,
        TargetAnswer,
        TargetCall,
    )

DONE = b"[DONE]"


class DelayedEngine:
    """Delay each call to another data centre, and the end of its answer."""

    def __init__(self, engine: Engine, data_centre: str) -> None:
        self._engine = engine
        self._data_centre = data_centre

    def open(self, call: TargetCall) -> Result[TargetAnswer, Fault]:
        if self._is_near(call.url):
            return self._engine.open(call)
        gevent.sleep(ONE_WAY_DELAY_SECONDS)
        return self._engine.open(call).map(_DelayedAnswer)

    def resume(self, call: TargetCall, after: int) -> Result[TargetAnswer, Fault]:
        return self._engine.resume(call, after)

    def cancel(self, url: str, attempt_id: str) -> Result[None, Fault]:
        return self._engine.cancel(url, attempt_id)

    def load(self, url: str) -> Result[LoadReport, Fault]:
        return self._engine.load(url)

    def cache_events(self, url: str, after: int) -> Result[list[CacheEvent], Fault]:
        return self._engine.cache_events(url, after)

    def order(self, url: str, order: EngineOrder) -> Result[None, Fault]:
        return self._engine.order(url, order)

    def _is_near(self, url: str) -> bool:
        return data_centre_of_url(url) == self._data_centre


class _DelayedAnswer:
    """Answer from another data centre; only its end is delayed, so that events cost no timer."""

    def __init__(self, answer: TargetAnswer) -> None:
        self._answer = answer

    @property
    def status(self) -> int:
        return self._answer.status

    @property
    def headers(self) -> list[tuple[str, str]]:
        return self._answer.headers

    @property
    def attempt_id(self) -> str:
        return self._answer.attempt_id

    def read(self) -> Result[bytes, Fault]:
        data = self._answer.read()
        match data:
            case Ok(block) if block and DONE not in block:
                return data
        gevent.sleep(ONE_WAY_DELAY_SECONDS)
        return data

    def close(self) -> None:
        self._answer.close()
