"""Fake of the ``Engine`` protocol over in-memory targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from result import Result

    from loomyard.errors import Fault
    from loomyard.external.engine import CacheEvent, EngineOrder, LoadReport, TargetCall
    from loomyard_standins.faults.fake_answer import FakeAnswer
    from loomyard_standins.faults.fake_target import FakeTarget


class FakeEngine:
    """Engine client that dispatches to fake targets by URL."""

    def __init__(self, targets: list[FakeTarget]) -> None:
        self._targets = {target.url: target for target in targets}

    def open(self, call: TargetCall) -> Result[FakeAnswer, Fault]:
        return self._targets[call.url].open(call)

    def resume(self, call: TargetCall, after: int) -> Result[FakeAnswer, Fault]:
        return self._targets[call.url].resume(call, after)

    def cancel(self, url: str, attempt_id: str) -> Result[None, Fault]:
        return self._targets[url].cancel(attempt_id)

    def load(self, url: str) -> Result[LoadReport, Fault]:
        return self._targets[url].load()

    def cache_events(self, url: str, after: int) -> Result[list[CacheEvent], Fault]:
        return self._targets[url].cache_events(after)

    def order(self, url: str, order: EngineOrder) -> Result[None, Fault]:
        return self._targets[url].order(order)
