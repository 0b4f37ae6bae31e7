"""A weight store with a rate limit."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode
from loomyard_standins.closing_server import ClosingServer

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from loomyard.clock import Clock


class LimitedWeightStore:
    """Allow one load in an interval of some seconds."""

    def __init__(self, clock: Clock, *, interval: float) -> None:
        self._clock = clock
        self._interval = interval
        self._next = clock.now()

    def reserve(self, model: str) -> Result[float, Fault]:
        now = self._clock.now()
        if now < self._next:
            return Err(
                Fault(
                    code=ResultCode.WEIGHT_STORE_LIMITED,
                    detail=f"no load of {model!r} yet",
                    retry_after=self._next - now,
                )
            )
        self._next = now + self._interval
        return Ok(now)


class WeightStoreServer:
    """A ``LimitedWeightStore`` over HTTP."""

    def __init__(
        self, store: LimitedWeightStore, listen: tuple[str, int] = ("127.0.0.1", 0)
    ) -> None:
        self.store = store
        self._server = ClosingServer(listen, self._serve)

    @property
    def address(self) -> str:
        return f"{self._server.server_host}:{self._server.server_port}"

    def start(self) -> None:
        """Start to serve."""
        self._server.start()

    def stop(self) -> None:
        """Stop to serve."""
        self._server.stop()

    def _serve(self, environ: dict[str, Any], start_response: Callable) -> Iterable[bytes]:
        match self.store.reserve(environ["PATH_INFO"].rpartition("/")[2]):
            case Ok(_):
                start_response("200 OK", [("Content-Type", "application/json")])
                return [json.dumps({"wait_seconds": 0.0}).encode()]
            case Err(fault):
                headers = [("Retry-After", f"{fault.retry_after:.3f}")]
                start_response("429 Too Many Requests", headers)
        return [b""]
