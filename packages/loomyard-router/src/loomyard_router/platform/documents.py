"""The documents in the platform's store: the configuration and the targets' announcements."""

from __future__ import annotations

import json
from typing import Any

from result import Err, Ok, Result

from loomyard_router.announced.announced_target import AnnouncedTarget
from loomyard_router.routes.account_terms import AccountTerms
from loomyard_router.routes.caller_limits import CallerLimits
from loomyard_router.routes.kind import RouteKind
from loomyard_router.routes.route import Route
from loomyard_router.routes.route_table import RouteTable, make_route_table
from loomyard_router.routes.service_share import ServiceShare
from loomyard_router.routes.service_terms import EngineTerms, ServiceTerms

MILLISECONDS = 1000.0
DRAINING = "draining"
KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}
_UNREADABLE = (ValueError, KeyError, TypeError, AttributeError)


def decode_configuration(data: bytes) -> Result[RouteTable, str]:
    """Decode a whole version of the configuration."""
    try:
        document = json.loads(data)
        tenants = document.get("tenants")
        return Ok(
            make_route_table(
                version=int(document["version"]),
                routes=[_decode_route(route) for route in document["routes"]],
                services=[_decode_service(service) for service in document["services"]],
                accounts=None if tenants is None else [_decode_account(one) for one in tenants],
                limits=_decode_limits(document.get("limits") or {}),
            )
        )
    except _UNREADABLE as error:
        return Err(f"{type(error).__name__}: {error}")


def decode_target(key: str, data: bytes) -> Result[AnnouncedTarget, str]:
    """Decode the announcement of a target; the key is the id of this life of it."""
    try:
        document = json.loads(data)
        return Ok(
            AnnouncedTarget(
                id=key,
                service=document["service"],
                address=document["address"],
                data_centre=document.get("zone") or "",
                slots=max(1, int(document.get("slots") or 1)),
                draining=document.get("state") == DRAINING,
            )
        )
    except _UNREADABLE as error:
        return Err(f"{type(error).__name__}: {error}")


def _decode_route(document: dict[str, Any]) -> Route:
    split = document.get("split") or [{"service": document["service"]}]
    return Route(
        name=document["name"],
        host=document["host"].lower(),
        prefix=document["path_prefix"],
        # A kind that a later platform adds may be anything: it is not repeated.
        kind=KINDS.get(document.get("route_kind", ""), RouteKind.NON_IDEMPOTENT),
        shares=tuple(
            ServiceShare(service=part["service"], weight=float(part.get("weight", 1)))
            for part in split
        ),
        timeout=_seconds(document.get("timeout_ms")),
        objective=_seconds(document.get("slo_ms")),
        gap_objective=_seconds(document.get("gap_slo_ms")),
        priority=int(document.get("priority") or 0),
        max_attempts=max(1, int(document.get("max_attempts") or 1)),
        public=bool(document.get("public")),
        resumable=bool(document.get("resumable")),
    )


def _decode_service(document: dict[str, Any]) -> ServiceTerms:
    engine = document.get("engine")
    return ServiceTerms(
        name=document["name"],
        max_connections=int(document.get("max_conns") or 0),
        engine=None if not engine else _decode_engine(engine),
    )


def _decode_engine(document: dict[str, Any]) -> EngineTerms:
    return EngineTerms(
        slots=max(1, int(document.get("slots") or 1)),
        memory_tokens=int(document.get("kv_capacity") or 0),
    )


def _decode_account(document: dict[str, Any]) -> AccountTerms:
    priority = document.get("priority")
    return AccountTerms(
        name=document["name"],
        keys=tuple(document.get("api_keys") or ()),
        priority=None if priority is None else int(priority),
    )


def _decode_limits(document: dict[str, Any]) -> CallerLimits:
    unset = CallerLimits()
    return CallerLimits(
        head_bytes=int(document.get("max_header_bytes") or unset.head_bytes),
        body_bytes=int(document.get("max_body_bytes") or unset.body_bytes),
        head_seconds=_seconds(document.get("header_timeout_ms")) or unset.head_seconds,
        idle_seconds=_seconds(document.get("idle_timeout_ms")) or unset.idle_seconds,
        tokens_per_second=float(document.get("tokens_per_s") or 0.0),
    )


def _seconds(milliseconds: Any) -> float | None:
    return None if milliseconds is None else float(milliseconds) / MILLISECONDS
