"""A caller's request to a service."""

from __future__ import annotations

from attrs import define, field

from loomyard.objects import ClientAccount, Service
from loomyard_router.requests.caller_presence import CallerPresence


@define(kw_only=True, eq=False)
class Request:
    """A request of a client account to a service.

    ``deadline`` is in seconds of the monotonic clock; ``key`` is the caller's idempotency key;
    ``cost_hint`` is in units of the service. ``usage_asked`` tells whether the caller wants the
    usage event of a stream; ``deadline_asked`` whether the caller set the deadline, which then
    bounds the whole answer instead of its start only.
    """

    request_id: str
    account: ClientAccount
    service: Service
    method: str
    path: str
    headers: list[tuple[str, str]] = field(factory=list)
    body: bytes = b""
    arrived_at: float
    deadline: float
    stream: bool = False
    idempotent: bool = True
    key: str | None = None
    cost_hint: float | None = None
    prefix: str = ""
    usage_requested: bool = True
    has_caller_deadline: bool = False
    presence: CallerPresence = field(factory=CallerPresence)
