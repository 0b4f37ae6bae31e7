"""Benchmark of load orders: time until a service that no engine has loaded answers."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from collections import Counter  # noqa: E402
from typing import TYPE_CHECKING  # noqa: E402

import gevent  # noqa: E402
from geventhttpclient import HTTPClient  # noqa: E402

from loomyard.objects import ConfigObject, Metadata, Route, Service, Target  # noqa: E402
from loomyard_router.shares.allocator_selection import find_allocator  # noqa: E402
from loomyard_standins.engine import EngineServer  # noqa: E402
from loomyard_standins.fleet import StandinFleet, sample_key, start_fleet  # noqa: E402

if TYPE_CHECKING:
    from loomyard.external.engine import EngineOrder
    from loomyard_router.application import Application

TIMEOUT_SECONDS = 45.0
CALL_INTERVAL_SECONDS = 0.25
HTTP_OK = 200
SERVICES = ("tagger", "drafts")


def main() -> int:
    """Call one unloaded service, stop the order controller, call another; print JSON.

    The order controller gets no calls itself, so it learns of the demand from the other routers.
    """
    fleet = start_fleet(routers=3, engines=2, policy="fleet")
    engines = [EngineServer(model="assistant", checks_fencing=checks) for checks in (True, False)]
    for engine in engines:
        engine.start()
    fleet.engines.extend(engines)
    fleet.publish(_objects(engines))
    try:
        order_controller = _remove_order_controller(fleet)
        first = _await_service(fleet.routers, SERVICES[0])
        order_controller.stop()
        second = _await_service(fleet.routers, SERVICES[1])
    finally:
        orders = [[_describe(order) for order in engine.orders.applied] for engine in engines]
        fleet.stop()
    metrics = {"first": first, "after_keeper_stopped": second, "orders": orders}
    print(json.dumps({"bench": "orders", **metrics}))
    return 0


def _objects(engines: list[EngineServer]) -> list[ConfigObject]:
    objects: list[ConfigObject] = []
    for name in SERVICES:
        objects.append(Service(metadata=Metadata(name=name)))
        objects.append(Route(metadata=Metadata(name=name), service=name))
    for number, engine in enumerate(engines):
        objects.append(
            Target(
                metadata=Metadata(name=f"loading-{number}", labels={"dc": "dc-1"}),
                url=engine.url,
                services=["assistant"],
                loadable=list(SERVICES),
                checks_fencing=engine.orders.checks_fencing,
            )
        )
    return objects


def _remove_order_controller(fleet: StandinFleet) -> Application:
    name = find_allocator(fleet.routers[0].components.members)
    order_controller = next(r for r in fleet.routers if r.components.members.own.name == name)
    fleet.routers.remove(order_controller)
    return order_controller


def _await_service(routers: list[Application], service: str) -> dict[str, object]:
    """Call a service at the routers in turn until one answers with 200."""
    started = time.monotonic()
    statuses: Counter[str] = Counter()
    number = 0
    while time.monotonic() - started < TIMEOUT_SECONDS:
        number += 1
        router = routers[number % len(routers)]
        status = _call(router.port, service)
        statuses[str(status)] += 1
        if status == HTTP_OK:
            break
        gevent.sleep(CALL_INTERVAL_SECONDS)
    return {"seconds": round(time.monotonic() - started, 1), "statuses": dict(statuses)}


def _call(port: int, service: str) -> int:
    client = HTTPClient("127.0.0.1", port, network_timeout=TIMEOUT_SECONDS)
    headers = {"Authorization": f"Bearer {sample_key('kiosk')}"}
    body = json.dumps({"model": service, "prompt": "hi", "max_tokens": 2})
    try:
        response = client.post("/v1/completions", body, headers)
        response.read()
        return response.status_code
    finally:
        client.close()


def _describe(order: EngineOrder) -> str:
    return f"{order.action} {order.subject} {order.fencing}"


if __name__ == "__main__":
    sys.exit(main())
