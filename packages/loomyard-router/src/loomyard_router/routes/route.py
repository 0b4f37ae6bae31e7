"""A route by host and path prefix."""

from __future__ import annotations

from hashlib import blake2b

from attrs import frozen

from loomyard_router.routes.kind import RouteKind
from loomyard_router.routes.weighted_service import WeightedService

DIGEST_BYTES = 8


@frozen(kw_only=True)
class Route:
    """The services of requests by host and path prefix, with their time limits and objectives.

    In seconds, ``None`` where the operator sets none: ``timeout`` is the longest time a request is
    held, ``objective`` the time to its answer (of a stream: to the first event), ``gap_objective``
    the longest time between two events.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    weighted_services: tuple[WeightedService, ...]
    timeout: float | None = None
    objective: float | None = None
    gap_objective: float | None = None
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Return whether a request may be executed more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    @property
    def is_stream(self) -> bool:
        return self.kind is RouteKind.STREAM

    def leads_to(self, service: str) -> bool:
        """Tell whether requests of this route may go to a service."""
        return any(one.service == service and one.weight > 0 for one in self.weighted_services)

    def choose_service(self, key: str) -> str:
        """Return the service of a request, by weighted hash of ``key``."""
        shares = self.weighted_services
        if len(shares) == 1:
            return shares[0].service
        digest = blake2b(key.encode(), digest_size=DIGEST_BYTES).digest()
        total = sum(share.weight for share in shares)
        point = int.from_bytes(digest, "big") / (1 << (8 * DIGEST_BYTES)) * total
        for share in shares:
            point -= share.weight
            if point < 0:
                return share.service
        return shares[-1].service
