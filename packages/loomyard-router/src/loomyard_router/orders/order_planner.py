"""Which idle target should load which backlogged service."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Mapping

    from loomyard.clock import Clock
    from loomyard_router.orders.target_view import TargetView

# A backlog and an idleness must last before an order, a target stays as it is after one.
BACKLOG_SECONDS = 10.0
IDLE_SECONDS = 10.0
DWELL_SECONDS = 60.0
# A change that takes longer is given up, so that it blocks neither target nor service.
CHANGE_SECONDS = 300.0


class OrderPlanner:
    """Desire a service for each target that is to change; at most one new one at a time.

    ``serves`` tells of a target that was not read whether it serves a service now.
    """

    def __init__(self, clock: Clock, serves: Callable[[str, str], bool]) -> None:
        self._clock = clock
        self._serves = serves
        self._backlog_since: dict[str, float] = {}
        self._idle_since: dict[str, float] = {}
        self._changed_at: dict[str, float] = {}
        self._desired_since: dict[str, float] = {}
        self.desired: dict[str, str] = {}

    def clear(self) -> None:
        """Forget all, since another keeper decides now."""
        self._backlog_since.clear()
        self._idle_since.clear()
        self._changed_at.clear()
        self._desired_since.clear()
        self.desired.clear()

    def finish(self, name: str) -> None:
        """Take in that a target is as desired, or that the desire is given up."""
        now = self._clock.now()
        service = self.desired.pop(name, None)
        self._desired_since.pop(name, None)
        self._changed_at[name] = now
        if service in self._backlog_since:
            # The change must show its effect before the next one.
            self._backlog_since[service] = now

    def plan(
        self, waiting: Mapping[str, int], views: Iterable[TargetView], unread: Collection[str] = ()
    ) -> None:
        """Take in what waits and how targets stand; perhaps desire one more change.

        ``unread`` names the targets of which there is no view.
        """
        known = {view.target.metadata.name: view for view in views}
        self._note_backlog(waiting)
        self._note_idle(known)
        for name in [name for name in self.desired if self._is_hopeless(name, known)]:
            self.finish(name)
        for service in sorted(self._ripe(), key=lambda s: (-waiting[s], s)):
            if service in self.desired.values():
                continue
            target = self._find_target(service, known, unread)
            if target is not None:
                self.desired[target] = service
                self._desired_since[target] = self._clock.now()
                return

    def _is_hopeless(self, name: str, views: Mapping[str, TargetView]) -> bool:
        if name in views and not views[name].usable:
            return True
        return self._clock.now() - self._desired_since[name] >= CHANGE_SECONDS

    def _note_backlog(self, waiting: Mapping[str, int]) -> None:
        now = self._clock.now()
        backlogged = {service for service, count in waiting.items() if count > 0}
        self._backlog_since = {s: self._backlog_since.get(s, now) for s in backlogged}

    def _note_idle(self, views: Mapping[str, TargetView]) -> None:
        now = self._clock.now()
        idle = [name for name, view in views.items() if view.idle]
        self._idle_since = {name: self._idle_since.get(name, now) for name in sorted(idle)}

    def _ripe(self) -> list[str]:
        latest = self._clock.now() - BACKLOG_SECONDS
        return [service for service, since in self._backlog_since.items() if since <= latest]

    def _find_target(
        self, service: str, views: Mapping[str, TargetView], unread: Collection[str]
    ) -> str | None:
        now = self._clock.now()
        for name, idle_since in sorted(self._idle_since.items(), key=lambda item: item[1]):
            view = views[name]
            dwelt = now - self._changed_at.get(name, float("-inf")) >= DWELL_SECONDS
            if (
                view.usable
                and dwelt
                and name not in self.desired
                and idle_since <= now - IDLE_SECONDS
                and service in (*view.target.loadable, *view.target.services)
                and service not in view.loaded
                and not self._is_needed(view, views, unread)
            ):
                return name
        return None

    def _is_needed(
        self, view: TargetView, views: Mapping[str, TargetView], unread: Collection[str]
    ) -> bool:
        """Tell whether a change would take a service from those that wait for it, or its last."""
        others = [
            other
            for name, other in views.items()
            if other is not view and other.usable and name not in self.desired
        ]
        for service in view.loaded:
            elsewhere = any(service in other.loaded for other in others) or any(
                self._serves(name, service) for name in unread
            )
            if service in self._backlog_since or not elsewhere:
                return True
        return False
