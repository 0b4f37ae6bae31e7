"""Schemas of the entries in the platform's store, under the platform's own field names.

Unknown fields are ignored, because a later platform may add some.
"""

from __future__ import annotations

from attrs import field, frozen
from attrs.validators import optional

from loomyard_router.platform.entry_fields import (
    check_address,
    check_flag,
    check_name,
    check_names,
    check_path,
    integer,
    list_of,
    number,
    object_of,
    one_of,
    text,
)

READY = "ready"
DRAINING = "draining"
# Upper bounds of accepted values: far above any deployment, far below what breaks a calculation.
MAX_SLOTS = 100_000
MAX_MILLISECONDS = 86_400_000
MAX_SECONDS = 86_400
MAX_TOKENS = 10**15
MAX_BYTES = 2**40
MAX_VERSION = 2**63
MAX_COUNT = 10**6
DURATION_MS = number(0, MAX_MILLISECONDS)
PRIORITY = integer(-MAX_COUNT, MAX_COUNT)


@frozen(kw_only=True)
class TargetEntry:
    """The announcement that a target publishes of itself."""

    service: str = field(validator=check_name)
    address: str = field(validator=check_address)
    state: str = field(validator=one_of(READY, DRAINING))
    zone: str | None = field(default=None, validator=optional(check_name))
    version: str = field(default="", metadata=text())
    slots: int = field(default=1, validator=integer(1, MAX_SLOTS))
    cold_left_ms: float = field(default=0, validator=DURATION_MS)
    born: int | None = field(default=None, validator=optional(integer(0, MAX_VERSION)))


@frozen(kw_only=True)
class SplitEntry:
    """A service that gets a weighted part of a route's requests."""

    service: str = field(validator=check_name)
    weight: float = field(default=1, validator=number(0, MAX_COUNT))


@frozen(kw_only=True)
class RouteEntry:
    """A route from a host and path prefix to one service or a weighted split of several.

    Errors: ``ValueError`` if it names no service.
    """

    name: str = field(validator=check_name)
    host: str = field(validator=check_name)
    path_prefix: str = field(validator=check_path)
    route_kind: str | None = field(default=None, validator=optional(check_name))
    timeout_ms: float | None = field(default=None, validator=optional(DURATION_MS))
    slo_ms: float | None = field(default=None, validator=optional(DURATION_MS))
    gap_slo_ms: float | None = field(default=None, validator=optional(DURATION_MS))
    priority: int = field(default=0, validator=PRIORITY)
    service: str | None = field(default=None, validator=optional(check_name))
    split: tuple[SplitEntry, ...] = field(default=(), metadata=list_of(SplitEntry))
    max_attempts: int = field(default=1, validator=integer(0, MAX_COUNT))
    public: bool = field(default=False, validator=check_flag)
    resumable: bool = field(default=False, validator=check_flag)

    def __attrs_post_init__(self) -> None:
        if not self.split and self.service is None:
            raise ValueError(f"route {self.name} names no service")


@frozen(kw_only=True)
class EngineEntry:
    """The capacity of each engine of a service: slots, and key-value cache in tokens."""

    slots: int = field(default=1, validator=integer(1, MAX_SLOTS))
    kv_capacity: int = field(default=0, validator=integer(0, MAX_TOKENS))


@frozen(kw_only=True)
class ServiceEntry:
    """A service: health path, connection limit, engines and rate limit of cold targets."""

    name: str = field(validator=check_name)
    health_path: str | None = field(default=None, validator=optional(check_path))
    max_conns: int = field(default=0, validator=integer(0, MAX_COUNT))
    engine: EngineEntry | None = field(default=None, metadata=object_of(EngineEntry))
    cold_start_s: float = field(default=0, validator=number(0, MAX_SECONDS))
    cold_per_s: float = field(default=0, validator=number(0, MAX_COUNT))


@frozen(kw_only=True)
class TenantEntry:
    """A client account, which the platform calls a tenant."""

    name: str = field(validator=check_name)
    api_keys: tuple[str, ...] = field(default=(), validator=check_names)
    priority: int | None = field(default=None, validator=optional(PRIORITY))


@frozen(kw_only=True)
class LimitsEntry:
    """Limits of callers' requests, and the token rate that accounts share; 0 means not set."""

    max_header_bytes: int = field(default=0, validator=integer(0, MAX_BYTES))
    max_body_bytes: int = field(default=0, validator=integer(0, MAX_BYTES))
    header_timeout_ms: float = field(default=0, validator=DURATION_MS)
    idle_timeout_ms: float = field(default=0, validator=DURATION_MS)
    tokens_per_s: float = field(default=0, validator=number(0, MAX_TOKENS))


@frozen(kw_only=True)
class ConfigurationEntry:
    """One complete version of the configuration."""

    version: int = field(validator=integer(0, MAX_VERSION))
    routes: tuple[RouteEntry, ...] = field(metadata=list_of(RouteEntry))
    services: tuple[ServiceEntry, ...] = field(metadata=list_of(ServiceEntry))
    tenants: tuple[TenantEntry, ...] | None = field(default=None, metadata=list_of(TenantEntry))
    limits: LimitsEntry = field(factory=LimitsEntry, metadata=object_of(LimitsEntry))
