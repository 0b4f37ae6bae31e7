"""Configuration, target entries and router settings that the soak writes."""

from __future__ import annotations

import json

from loomyard_standins.programs.soak_protocol import (
    API_KEY,
    HOST,
    IDEMPOTENT,
    MILLISECONDS_PER_SECOND,
    NON_IDEMPOTENT,
    PATHS,
    PROBE_HOST,
    STREAM,
    probe_path,
)

CONFIGURATION_TOPIC, CONFIGURATION_KEY = "keyed.op", "config"
TARGETS_TOPIC = "keyed.servers"
PLAIN_SERVICE, ENGINE_SERVICE = "plain", "engine"
SERVICES = {NON_IDEMPOTENT: PLAIN_SERVICE, IDEMPOTENT: PLAIN_SERVICE, STREAM: ENGINE_SERVICE}
SLOTS = 8
# Each service has one target of each of its versions in each; all routers are in the first.
DATA_CENTRES = ("a", "b")
# Engines announce one of these, plain targets the first.
SOFTWARE_VERSIONS = ("v1", "v2")
EVACUATION_PREFIX = "evacuate/"
# Requests a second that a cold target can serve.
COLD_REQUESTS_PER_SECOND = 4
FRONT_PORT, READY_PORT, CONTROL_PORT, PEER_PORT = 8080, 8081, 8082, 7400
GRACE_SECONDS = 4
ROUTE_LIMITS = {"timeout_ms": 5000, "slo_ms": 1000, "max_attempts": 3}
# Values that a foreign writer may leave in the store.
INVALID_VALUES = (
    "",
    "{",
    "[" * 100_000,
    '{"service": ["plain"], "address": 7, "slots": 1e18, "state": "new"}',
    '{"version": "no number", "routes": 3}',
    '{"service": "plain", "address": "127.0.0.1:99999999", "state": "ready", "slots": 8}',
)


def configuration(version: int) -> str:
    """Return a version of the configuration; each adds a route to those of the version before."""
    routes = [
        {
            "name": kind,
            "host": HOST,
            "path_prefix": path,
            "route_kind": kind,
            "service": SERVICES[kind],
            "resumable": kind == STREAM,
            **ROUTE_LIMITS,
        }
        for kind, path in PATHS.items()
    ]
    routes += [
        {
            "name": f"v{number}",
            "host": PROBE_HOST,
            "path_prefix": probe_path(number),
            "route_kind": IDEMPOTENT,
            "service": PLAIN_SERVICE,
            "public": True,
            **ROUTE_LIMITS,
        }
        for number in range(1, version + 1)
    ]
    services = [
        {"name": PLAIN_SERVICE, "max_conns": 100, "cold_per_s": COLD_REQUESTS_PER_SECOND},
        {
            "name": ENGINE_SERVICE,
            "max_conns": 100,
            "cold_per_s": COLD_REQUESTS_PER_SECOND,
            "engine": {"slots": SLOTS, "kv_capacity": 100_000},
        },
    ]
    document = {
        "version": version,
        "routes": routes,
        "services": services,
        "tenants": [{"name": "soak", "api_keys": [API_KEY]}],
        "limits": {"tokens_per_s": 100_000},
    }
    return json.dumps(document)


def announcement(
    service: str,
    address: str,
    *,
    data_centre: str,
    software_version: str,
    born: int,
    draining: bool,
    cold_seconds: float,
) -> str:
    """Return the entry of a target; ``born`` orders its incarnations."""
    document = {
        "service": service,
        "address": address,
        "zone": data_centre,
        "version": software_version,
        "slots": SLOTS,
        "state": "draining" if draining else "ready",
        "born": born,
        "cold_left_ms": round(cold_seconds * MILLISECONDS_PER_SECOND),
    }
    return json.dumps(document)


def evacuation_key(data_centre: str) -> str:
    """Return the key of the record with which an operator evacuates a data centre."""
    return f"{EVACUATION_PREFIX}{data_centre}"


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
