"""The documents that the soak publishes and the settings that it writes."""

from __future__ import annotations

import json

from loomyard_standins.programs.words import (
    HOST,
    KEY,
    MILLISECONDS,
    ONCE,
    PATHS,
    PROBE_HOST,
    REPEATABLE,
    STREAM,
    probe_path,
)

CONFIGURATION_TOPIC, CONFIGURATION_KEY = "keyed.op", "config"
TARGETS_TOPIC = "keyed.servers"
PLAIN_SERVICE, ENGINE_SERVICE = "plain", "engine"
SERVICES = {ONCE: PLAIN_SERVICE, REPEATABLE: PLAIN_SERVICE, STREAM: ENGINE_SERVICE}
SLOTS = 8
# Of the targets of each service one stands in each; routers stand in the first.
DATA_CENTRES = ("a", "b")
EMPTYING = "evacuate/"
# What a cold target bears, in requests a second.
COLD_PER_SECOND = 4
FRONT_PORT, READY_PORT, CONTROL_PORT, PEER_PORT = 8080, 8081, 8082, 7400
GRACE_SECONDS = 4
TERMS = {"timeout_ms": 5000, "slo_ms": 1000, "max_attempts": 3}
# What anybody may write.
NONSENSE = (
    "",
    "{",
    "[" * 100_000,
    '{"service": ["plain"], "address": 7, "slots": 1e18, "state": "new"}',
    '{"version": "no number", "routes": 3}',
    '{"service": "plain", "address": "127.0.0.1:99999999", "state": "ready", "slots": 8}',
)


def configuration(version: int) -> str:
    """Return a version; it adds a route of its own to those of the versions before."""
    routes = [
        {
            "name": kind,
            "host": HOST,
            "path_prefix": path,
            "route_kind": kind,
            "service": SERVICES[kind],
            "resumable": kind == STREAM,
            **TERMS,
        }
        for kind, path in PATHS.items()
    ]
    routes += [
        {
            "name": f"v{number}",
            "host": PROBE_HOST,
            "path_prefix": probe_path(number),
            "route_kind": REPEATABLE,
            "service": PLAIN_SERVICE,
            "public": True,
            **TERMS,
        }
        for number in range(1, version + 1)
    ]
    services = [
        {"name": PLAIN_SERVICE, "max_conns": 100, "cold_per_s": COLD_PER_SECOND},
        {
            "name": ENGINE_SERVICE,
            "max_conns": 100,
            "cold_per_s": COLD_PER_SECOND,
            "engine": {"slots": SLOTS, "kv_capacity": 100_000},
        },
    ]
    document = {
        "version": version,
        "routes": routes,
        "services": services,
        "tenants": [{"name": "soak", "api_keys": [KEY]}],
        "limits": {"tokens_per_s": 100_000},
    }
    return json.dumps(document)


def announcement(
    service: str, address: str, *, data_centre: str, born: int, draining: bool, cold_seconds: float
) -> str:
    """Return what a target says of itself."""
    document = {
        "service": service,
        "address": address,
        "zone": data_centre,
        "slots": SLOTS,
        "state": "draining" if draining else "ready",
        "born": born,
        "cold_left_ms": round(cold_seconds * MILLISECONDS),
    }
    return json.dumps(document)


def emptying_key(data_centre: str) -> str:
    """Return the key under which an operator empties a data centre."""
    return f"{EMPTYING}{data_centre}"


def settings(name: str, host: str, seeds: list[str], store: str) -> str:
    """Return the settings file of a router."""
    fields = {
        "node_name": name,
        "zone": "a",
        "ip": host,
        "listen.frontend": f"{host}:{FRONT_PORT}",
        "listen.readiness": f"{host}:{READY_PORT}",
        "listen.control_plane": f"{host}:{CONTROL_PORT}",
        "internal_ports": f"{PEER_PORT},{PEER_PORT + 1}",
        "seeds": ",".join(f"{seed}:{CONTROL_PORT}" for seed in seeds),
        "platform.address": store,
        "bounds.grace_s": GRACE_SECONDS,
        "bounds.retry_ratio": 0.2,
        "bounds.retry_window_s": 10,
        "bounds.retry_slack": 50,
    }
    return "".join(f"{field}={value}\n" for field, value in fields.items())
