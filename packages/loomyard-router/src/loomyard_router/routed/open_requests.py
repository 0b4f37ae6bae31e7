"""The requests of a router that have not ended, for a planned stop."""

from __future__ import annotations

import itertools
import logging
from collections import Counter
from typing import TYPE_CHECKING

from loomyard.events import Event, emit
from loomyard_router.routed.request_stage import RequestStage

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from loomyard.clock import Clock
    from loomyard_router.routed.routed_request import RoutedRequest

logger = logging.getLogger(__name__)

MAX_LOGGED = 100
MILLISECONDS = 1000


class OpenRequests:
    """Keep the requests that were read whole, until their answers end."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._requests: dict[int, RoutedRequest] = {}
        self._numbers = itertools.count()

    def __iter__(self) -> Iterator[RoutedRequest]:
        return iter(list(self._requests.values()))

    def add(self, request: RoutedRequest) -> int:
        """Keep a request; return its number."""
        number = next(self._numbers)
        self._requests[number] = request
        return number

    def discard(self, number: int) -> None:
        """Drop a request that ended."""
        self._requests.pop(number, None)

    def refuse_unsent(self, may_send: Callable[[str, float], bool]) -> None:
        """Withdraw those of which no target got anything and for which it is too late."""
        for request in self:
            is_unsent = request.stage is RequestStage.WAITING and not request.was_sent
            if is_unsent and not may_send(request.route.name, request.read_at):
                request.withdraw()

    def withdraw(self) -> None:
        """Withdraw all whose answers have not begun; begun ones can only be cut."""
        for request in self:
            if request.stage is not RequestStage.ANSWERING:
                request.withdraw()

    def count_stages(self) -> dict[str, int]:
        """Return the number of requests in each stage, by its name."""
        counts = Counter(request.stage for request in self)
        return {stage.value: counts[stage] for stage in RequestStage}

    def log_cut(self) -> None:
        """Write a line for each request that a planned stop is about to cut off."""
        now = self._clock.now()
        for request in itertools.islice(self, MAX_LOGGED):
            emit(
                logger,
                Event.REQUEST_CUT,
                request=request.head.attempt_id,
                route=request.route.name,
                stage=request.stage.value,
                repeatable=request.route.repeatable,
                target=request.trace.target,
                read_ms=round((now - request.arrived_at) * MILLISECONDS),
            )
