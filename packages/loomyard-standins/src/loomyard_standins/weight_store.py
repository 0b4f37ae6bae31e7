"""Weight store with a rate limit, in memory and over HTTP."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode
from loomyard_standins.served_standin import LOOPBACK, ServedStandin

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from loomyard.clock import Clock


class LimitedWeightStore:
    """Weight store that allows one model load per ``interval`` seconds."""

    def __init__(self, clock: Clock, *, interval: float) -> None:
        self._clock = clock
        self._interval = interval
        self._next_load_at = clock.now()

    def reserve(self, model: str) -> Result[float, Fault]:
        now = self._clock.now()
        if now < self._next_load_at:
            return Err(
                Fault(
                    code=ResultCode.WEIGHT_STORE_LIMITED,
                    detail=f"rate limit: {model!r} can't be loaded yet",
                    retry_after=self._next_load_at - now,
                )
            )
        self._next_load_at = now + self._interval
        return Ok(now)


class WeightStoreServer(ServedStandin):
    """HTTP server for a ``LimitedWeightStore``."""

    def __init__(self, store: LimitedWeightStore, listen: tuple[str, int] = LOOPBACK) -> None:
        self.store = store
        super().__init__(listen, self._serve)

    def _serve(self, environ: dict[str, Any], start_response: Callable) -> Iterable[bytes]:
        match self.store.reserve(environ["PATH_INFO"].rpartition("/")[2]):
            case Ok(_):
                start_response("200 OK", [("Content-Type", "application/json")])
                return [json.dumps({"wait_seconds": 0.0}).encode()]
            case Err(fault):
                headers = [("Retry-After", f"{fault.retry_after:.3f}")]
                start_response("429 Too Many Requests", headers)
        return [b""]
