"""Decode the documents in the platform's store: configuration, evacuations, announcements."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from loomyard_router.announced.announced_target import AnnouncedTarget
from loomyard_router.feeds.unreadable_entry import (
    UnreadableEntry,
    UnreadableReason,
    make_unreadable_entry,
)
from loomyard_router.platform import names
from loomyard_router.platform.entries import DRAINING, ConfigurationEntry, TargetEntry
from loomyard_router.platform.entry_fields import is_name, read_fields
from loomyard_router.routes.account_config import AccountConfig
from loomyard_router.routes.caller_limits import CallerLimits
from loomyard_router.routes.kind import RouteKind
from loomyard_router.routes.route import Route
from loomyard_router.routes.route_table import RouteTable, make_route_table
from loomyard_router.routes.service_config import EngineConfig, ServiceConfig
from loomyard_router.routes.weighted_service import WeightedService

if TYPE_CHECKING:
    from loomyard_router.platform.entries import (
        EngineEntry,
        LimitsEntry,
        RouteEntry,
        ServiceEntry,
        TenantEntry,
    )

MILLISECONDS = 1000.0
ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}


def decode_configuration(data: bytes) -> Result[RouteTable, UnreadableEntry]:
    """Decode one complete version of the configuration."""
    return _decode(ConfigurationEntry, data).map(_make_table)


def decode_target(key: str, data: bytes) -> Result[AnnouncedTarget, UnreadableEntry]:
    """Decode the announcement of a target; the key is its id."""
    if not is_name(key):
        return Err(make_unreadable_entry(UnreadableReason.KEY, f"not a target id: {key!r}"))
    return _decode(TargetEntry, data).map(lambda entry: _make_target(key, entry))


def find_evacuated_data_centre(key: str) -> str | None:
    """Return the data centre that an evacuation record names, ``None`` for any other record."""
    if not key.startswith(names.EVACUATION_PREFIX):
        return None
    return key.removeprefix(names.EVACUATION_PREFIX) or None


def _decode(kind: type, data: bytes) -> Result[Any, UnreadableEntry]:
    try:
        document = json.loads(data)
    except (ValueError, RecursionError) as error:
        return Err(
            make_unreadable_entry(UnreadableReason.SYNTAX, f"{type(error).__name__}: {error}")
        )
    try:
        return Ok(read_fields(kind, document))
    except (ValueError, TypeError, ArithmeticError, RecursionError) as error:
        return Err(make_unreadable_entry(UnreadableReason.FIELDS, error))


def _make_table(entry: ConfigurationEntry) -> RouteTable:
    return make_route_table(
        version=entry.version,
        routes=[_make_route(route) for route in entry.routes],
        services=[_make_service(service) for service in entry.services],
        accounts=None if entry.tenants is None else [_make_account(one) for one in entry.tenants],
        limits=_make_limits(entry.limits),
    )


def _make_target(id_: str, entry: TargetEntry) -> AnnouncedTarget:
    return AnnouncedTarget(
        id=id_,
        service=entry.service,
        address=entry.address,
        data_centre=entry.zone or "",
        software_version=entry.version,
        slots=entry.slots,
        draining=entry.state == DRAINING,
        born=entry.born,
        cold_seconds=entry.cold_left_ms / MILLISECONDS,
    )


def _make_route(entry: RouteEntry) -> Route:
    if entry.split:
        shares = tuple(
            WeightedService(service=part.service, weight=part.weight) for part in entry.split
        )
    else:
        shares = (WeightedService(service=entry.service or "", weight=1.0),)
    return Route(
        name=entry.name,
        host=entry.host.lower(),
        prefix=entry.path_prefix,
        # Requests of an unknown kind may not be idempotent, so they are never repeated.
        kind=ROUTE_KINDS.get(entry.route_kind or "", RouteKind.NON_IDEMPOTENT),
        weighted_services=shares,
        timeout=_seconds(entry.timeout_ms),
        objective=_seconds(entry.slo_ms),
        gap_objective=_seconds(entry.gap_slo_ms),
        priority=entry.priority,
        max_attempts=max(1, entry.max_attempts),
        public=entry.public,
        resumable=entry.resumable,
    )


def _make_service(entry: ServiceEntry) -> ServiceConfig:
    return ServiceConfig(
        name=entry.name,
        health_path=entry.health_path or "",
        max_connections=entry.max_conns,
        engine=None if entry.engine is None else _make_engine(entry.engine),
        cold_seconds=entry.cold_start_s,
        cold_per_second=entry.cold_per_s,
    )


def _make_engine(entry: EngineEntry) -> EngineConfig:
    return EngineConfig(slots=entry.slots, memory_tokens=entry.kv_capacity)


def _make_account(entry: TenantEntry) -> AccountConfig:
    return AccountConfig(name=entry.name, keys=tuple(entry.api_keys), priority=entry.priority)


def _make_limits(entry: LimitsEntry) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        head_bytes=entry.max_header_bytes or defaults.head_bytes,
        body_bytes=entry.max_body_bytes or defaults.body_bytes,
        head_seconds=entry.header_timeout_ms / MILLISECONDS or defaults.head_seconds,
        idle_seconds=entry.idle_timeout_ms / MILLISECONDS or defaults.idle_seconds,
        tokens_per_second=float(entry.tokens_per_s),
    )


def _seconds(milliseconds: float | None) -> float | None:
    return None if milliseconds is None else milliseconds / MILLISECONDS
