"""What well-formed entries of the platform's store hold, field by field, in the platform's words.

Fields that are not named here are passed over: a later platform may add some.
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
    list_of,
    number,
    one_of,
    table_of,
    whole,
)

READY = "ready"
DRAINING = "draining"
# Bounds of what is believed: far above any deployment, far below what breaks a calculation.
MOST_SLOTS = 100_000
MOST_MILLISECONDS = 86_400_000
MOST_SECONDS = 86_400
MOST_TOKENS = 10**15
MOST_BYTES = 2**40
MOST_VERSION = 2**63
MOST_RANK = 10**6
DURATION_MS = number(0, MOST_MILLISECONDS)
RANK = whole(-MOST_RANK, MOST_RANK)


@frozen(kw_only=True)
class TargetEntry:
    """A target of its own announcement."""

    service: str = field(validator=check_name)
    address: str = field(validator=check_address)
    state: str = field(validator=one_of(READY, DRAINING))
    zone: str | None = field(default=None, validator=optional(check_name))
    slots: int = field(default=1, validator=whole(1, MOST_SLOTS))
    cold_left_ms: float = field(default=0, validator=DURATION_MS)
    born: int | None = field(default=None, validator=optional(whole(0, MOST_VERSION)))


@frozen(kw_only=True)
class SplitEntry:
    """A part of a route's requests."""

    service: str = field(validator=check_name)
    weight: float = field(default=1, validator=number(0, MOST_RANK))


@frozen(kw_only=True)
class RouteEntry:
    """A route."""

    name: str = field(validator=check_name)
    host: str = field(validator=check_name)
    path_prefix: str = field(validator=check_path)
    route_kind: str | None = field(default=None, validator=optional(check_name))
    timeout_ms: float | None = field(default=None, validator=optional(DURATION_MS))
    slo_ms: float | None = field(default=None, validator=optional(DURATION_MS))
    gap_slo_ms: float | None = field(default=None, validator=optional(DURATION_MS))
    priority: int = field(default=0, validator=RANK)
    service: str | None = field(default=None, validator=optional(check_name))
    split: tuple[SplitEntry, ...] = field(default=(), metadata=list_of(SplitEntry))
    max_attempts: int = field(default=1, validator=whole(0, MOST_RANK))
    public: bool = field(default=False, validator=check_flag)
    resumable: bool = field(default=False, validator=check_flag)

    def __attrs_post_init__(self) -> None:
        if not self.split and self.service is None:
            raise ValueError(f"route {self.name} names no service")


@frozen(kw_only=True)
class EngineEntry:
    """The size of a service's engines."""

    slots: int = field(default=1, validator=whole(1, MOST_SLOTS))
    kv_capacity: int = field(default=0, validator=whole(0, MOST_TOKENS))


@frozen(kw_only=True)
class ServiceEntry:
    """A service."""

    name: str = field(validator=check_name)
    health_path: str | None = field(default=None, validator=optional(check_path))
    max_conns: int = field(default=0, validator=whole(0, MOST_RANK))
    engine: EngineEntry | None = field(default=None, metadata=table_of(EngineEntry))
    cold_start_s: float = field(default=0, validator=number(0, MOST_SECONDS))
    cold_per_s: float = field(default=0, validator=number(0, MOST_RANK))


@frozen(kw_only=True)
class TenantEntry:
    """A client account, which the platform calls a tenant."""

    name: str = field(validator=check_name)
    api_keys: tuple[str, ...] = field(default=(), validator=check_names)
    priority: int | None = field(default=None, validator=optional(RANK))


@frozen(kw_only=True)
class LimitsEntry:
    """What callers may send, and the rate to share; 0 stands for what is not limited."""

    max_header_bytes: int = field(default=0, validator=whole(0, MOST_BYTES))
    max_body_bytes: int = field(default=0, validator=whole(0, MOST_BYTES))
    header_timeout_ms: float = field(default=0, validator=DURATION_MS)
    idle_timeout_ms: float = field(default=0, validator=DURATION_MS)
    tokens_per_s: float = field(default=0, validator=number(0, MOST_TOKENS))


@frozen(kw_only=True)
class ConfigurationEntry:
    """A whole version of the configuration."""

    version: int = field(validator=whole(0, MOST_VERSION))
    routes: tuple[RouteEntry, ...] = field(metadata=list_of(RouteEntry))
    services: tuple[ServiceEntry, ...] = field(metadata=list_of(ServiceEntry))
    tenants: tuple[TenantEntry, ...] | None = field(default=None, metadata=list_of(TenantEntry))
    limits: LimitsEntry = field(factory=LimitsEntry, metadata=table_of(LimitsEntry))
