"""The origins that streams of a route may have, by what there was lately."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from loomyard_router.streams.origin_messages import PastOrigins
from loomyard_router.streams.stream_origin import StreamOrigin
from loomyard_router.supervision.listeners import Listeners

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Mapping

    from loomyard.clock import Clock
    from loomyard_router.announced.target_registry import TargetRegistry
    from loomyard_router.members.membership import Membership
    from loomyard_router.routes.route_table import RouteTable
    from loomyard_router.routes.route_table_holder import RouteTableHolder

# Longer than a stream runs on at a target whose entry is gone and its caller then waits, for
# routes without a longer timeout.
HISTORY_SECONDS = 30.0
TIMEOUTS = 2.0
# How long anything that is gone is remembered.
MAX_HISTORY_SECONDS = 600.0


class OriginHistory:
    """The services of each route of streams, and the versions of each service, with those gone.

    Where there was only one for longer than a stream lasts, a stream of which no record is found
    can have begun nowhere else. ``had_others`` tells that this router has known other routers.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        registry: TargetRegistry,
        holder: RouteTableHolder,
        members: Membership,
    ) -> None:
        self._clock = clock
        self._registry = registry
        self._paused_at = -math.inf
        # When the history of another router was adopted, and how far back it reaches.
        self._adopted_at = self._adopted_since = -math.inf
        # When each was last there, infinity for what is there now.
        self._services: dict[str, dict[str, float]] = {}
        self._versions: dict[str, dict[str, float]] = {}
        self._seconds: dict[str, float] = {}
        self._listeners = Listeners("stream history")
        self._members = members
        self.had_others = False
        registry.subscribe(self._update_versions)
        holder.subscribe(self._update_services)
        members.subscribe(self._update_members)
        members.subscribe_pause(self._on_pause)
        self._update_members()

    @property
    def observed_seconds(self) -> float:
        """Return for how long no announcement can have been missed."""
        since = self._gapless_since
        if self._adopted_at >= since:
            since = min(since, self._adopted_since)
        return max(0.0, self._clock.now() - since)

    @property
    def is_long_enough(self) -> bool:
        """Tell whether it reaches back as far as any route requires."""
        return self.observed_seconds >= max(self._seconds.values(), default=HISTORY_SECONDS)

    @property
    def _gapless_since(self) -> float:
        return max(self._registry.gapless_since, self._paused_at)

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Call back when routes may have got or lost an origin; the callback must not block."""
        self._listeners.subscribe(changed)

    def find_sole(self, route: str) -> StreamOrigin | None:
        """Return the only origin that streams of a route can have, by what this router observed."""
        return self.choose_sole(route, self.possible(route), self.observed_seconds)

    def choose_sole(
        self, route: str, possible: Collection[StreamOrigin], observed_seconds: float
    ) -> StreamOrigin | None:
        """Return the only one of some origins, if they were observed for long enough."""
        if len(possible) != 1:
            return None
        (origin,) = possible
        # Without an announced version there is no other to confuse it with.
        required = self.required_seconds(route) if origin.software_version else 0.0
        return origin if observed_seconds >= required else None

    def required_seconds(self, route: str) -> float:
        """Return for how long a route must have had one origin only, so that its streams had it."""
        return self._seconds.get(route, HISTORY_SECONDS)

    def possible(self, route: str) -> frozenset[StreamOrigin]:
        """Return what streams of a route may have begun at."""
        since = self._clock.now() - self.required_seconds(route)
        return frozenset(
            StreamOrigin(service=service, software_version=version)
            for service in _seen_since(self._services.get(route, {}), since)
            for version in _seen_since(self._versions.get(service, {}), since)
        )

    def past(self) -> PastOrigins:
        """Return what another router may not see now: all versions, and services that are gone."""
        now = self._clock.now()
        return PastOrigins(
            observed_seconds=int(min(self.observed_seconds, MAX_HISTORY_SECONDS)),
            services=_list_ages(self._services, now, with_present=False),
            versions=_list_ages(self._versions, now, with_present=True),
        )

    def adopt(self, past: PastOrigins) -> None:
        """Add what another router observed before this one could."""
        now = self._clock.now()
        if self._gapless_since > now:
            return
        for known, ages in ((self._services, past.services), (self._versions, past.versions)):
            for name, value, seconds in ages:
                seen = known.setdefault(name, {})
                seen[value] = max(seen.get(value, -math.inf), now - seconds)
        self._adopted_at, self._adopted_since = now, now - past.observed_seconds

    def _update_versions(self) -> None:
        current: dict[str, set[str]] = {}
        for target in self._registry.listed():
            current.setdefault(target.service, set()).add(target.software_version)
        self._merge(self._versions, current)
        self._notify()

    def _update_services(self, table: RouteTable) -> None:
        current: dict[str, set[str]] = {}
        for routes in table.routes_by_host.values():
            for route in routes.values():
                if route.is_stream:
                    current[route.name] = {one.service for one in route.weighted_services}
                    seconds = max(HISTORY_SECONDS, TIMEOUTS * (route.timeout or 0.0))
                    self._seconds[route.name] = max(seconds, self._seconds.get(route.name, 0.0))
        self._merge(self._services, current)
        # A route that another router told of has no duration here, as it may be gone.
        self._seconds = {
            name: seconds for name, seconds in self._seconds.items() if name in self._services
        }
        self._notify()

    def _merge(self, known: dict[str, dict[str, float]], current: Mapping[str, set[str]]) -> None:
        """Mark what is gone with the time, and forget what is gone for long."""
        now = self._clock.now()
        for name in {*known, *current}:
            seen = known.setdefault(name, {})
            present = current.get(name, set())
            for value, at in list(seen.items()):
                if at == math.inf and value not in present:
                    seen[value] = now
                elif at < now - MAX_HISTORY_SECONDS:
                    del seen[value]
            seen.update(dict.fromkeys(present, math.inf))
            if not seen:
                del known[name]

    def _update_members(self) -> None:
        own = self._members.own.name
        self.had_others |= any(member.name != own for member in self._members.live())

    def _on_pause(self, _: float) -> None:
        self._paused_at = self._clock.now()
        self._notify()

    def _notify(self) -> None:
        self._listeners.notify()


def _list_ages(
    known: Mapping[str, dict[str, float]], now: float, *, with_present: bool
) -> list[tuple[str, str, int]]:
    return [
        (name, value, 0 if at == math.inf else int(now - at))
        for name, seen in known.items()
        for value, at in seen.items()
        if with_present or at != math.inf
    ]


def _seen_since(seen: Mapping[str, float], since: float) -> Iterable[str]:
    return (value for value, at in seen.items() if at >= since)
