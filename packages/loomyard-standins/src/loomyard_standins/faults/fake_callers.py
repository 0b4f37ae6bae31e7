"""Callers of a fake fleet."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import gevent

from loomyard_standins.faults.fake_call import (
    HTTP_OK,
    MODEL,
    MODELS_PATH,
    make_environ,
    make_model_call,
    make_plain_call,
    perform,
)
from loomyard_standins.faults.fake_publisher import GENERATION_PREFIX
from loomyard_standins.faults.observations import CallRecord, Ending, ModelListing

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from loomyard.clock import Clock
    from loomyard_standins.faults.fake_router import FakeRouter
    from loomyard_standins.faults.observations import Observations

    App = Callable[..., Any]

WATCHER = "kiosk"


class FakeCallers:
    """Caller that sends requests to routers and records them; ``wrap_app`` wraps each router."""

    def __init__(
        self,
        clock: Clock,
        routers: Mapping[str, FakeRouter],
        observations: Observations,
        *,
        wrap_app: Callable[[App], App],
    ) -> None:
        self._clock = clock
        self._routers = routers
        self._observations = observations
        self._wrap_app = wrap_app

    @property
    def calls_ended(self) -> bool:
        return all(record.ended is not None for record in self._observations.calls)

    @property
    def probes_ended(self) -> bool:
        return all(record.ended is not None for record in self._observations.calls if record.probe)

    def call_model(
        self,
        marker: str,
        router: str,
        *,
        tokens: int = 6,
        stream: bool = True,
        model: str = MODEL,
    ) -> CallRecord:
        """Start a call of the model service."""
        record, environ = make_model_call(
            marker, router, self._clock.now(), tokens=tokens, stream=stream, model=model
        )
        return self._call(record, environ)

    def call_plain(
        self, marker: str, router: str, *, idempotent: bool = False, key: str | None = None
    ) -> CallRecord:
        """Start a call of the plain service."""
        record, environ = make_plain_call(
            marker, router, self._clock.now(), idempotent=idempotent, key=key
        )
        return self._call(record, environ)

    def probe(self) -> None:
        """Call every live router, which must serve."""
        for name, router in self._routers.items():
            if router.points.dead:
                continue
            marker = f"{WATCHER}/probe-{len(self._observations.calls)}"
            self.call_model(marker, name).probe = True
            self.call_plain(f"{marker}-plain", name, idempotent=True).probe = True

    def watch_models(self, *, final: bool = False) -> None:
        """Record the model list of every router that is neither paused nor dead."""
        for name, router in self._routers.items():
            if not (router.points.paused or router.points.dead):
                self.watch_router(name, final=final)

    def watch_router(self, name: str, *, final: bool = False) -> None:
        """Record the model list of a router, if it answers."""
        environ = make_environ(WATCHER, MODELS_PATH, b"", method="GET")
        now = self._clock.now()
        record = CallRecord(marker="", account=WATCHER, router=name, expected="", started=now)
        perform(self._routers[name].server.call, environ, record, self._clock)
        if record.ending is not Ending.WHOLE or record.status != HTTP_OK:
            return
        models = frozenset(model["id"] for model in json.loads(record.body)["data"])
        numbers = [
            int(model.removeprefix(GENERATION_PREFIX))
            for model in models
            if model.startswith(GENERATION_PREFIX)
        ]
        generation = max(numbers, default=0)
        self._observations.model_listings.append(
            ModelListing(router=name, at=now, generation=generation, models=models, final=final)
        )

    def _call(self, record: CallRecord, environ: dict[str, Any]) -> CallRecord:
        self._observations.calls.append(record)
        router = self._routers[record.router]
        if router.points.dead:
            record.ending, record.ended = Ending.CUT, self._clock.now()
            return record
        inner = self._wrap_app(router.server.call)

        def app(environ: dict[str, Any], start_response: Any) -> Any:
            router.points.reach("request.received")
            return inner(environ, start_response)

        router.calls.append(gevent.spawn(perform, app, environ, record, self._clock))
        return record
