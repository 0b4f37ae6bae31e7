"""Planning of which idle target loads which backlogged service."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Mapping

    from loomyard.clock import Clock
    from loomyard_router.orders.target_view import TargetView

# Seconds that a backlog and an idle target must last before a change, and that a target stays
# unchanged after one.
BACKLOG_SECONDS = 10.0
IDLE_SECONDS = 10.0
DWELL_SECONDS = 60.0
# A change is abandoned after this time, so that it blocks neither the target nor the service.
CHANGE_SECONDS = 300.0


class OrderPlanner:
    """Desired service of each target that is to change; each plan adds one at most.

    ``serves`` returns whether a target, by name, serves a service now; it is used for targets
    whose load report was not read.
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
        """Reset all state, since this router does not hold the lease."""
        self._backlog_since.clear()
        self._idle_since.clear()
        self._changed_at.clear()
        self._desired_since.clear()
        self.desired.clear()

    def finish(self, name: str) -> None:
        """End a change, because the target is as desired or the change is abandoned."""
        now = self._clock.now()
        service = self.desired.pop(name, None)
        self._desired_since.pop(name, None)
        self._changed_at[name] = now
        if service in self._backlog_since:
            # This change must show its effect before the next one: the backlog has to last anew.
            self._backlog_since[service] = now

    def plan(
        self,
        waiting: Mapping[str, int],
        views: Iterable[TargetView],
        unobserved: Collection[str] = (),
    ) -> None:
        """Update from the backlog and the targets' states; add a change if one is needed.

        ``unobserved`` are the names of the targets without a view.
        """
        known = {view.target.metadata.name: view for view in views}
        self._update_backlog(waiting)
        self._update_idle(known)
        for name in [name for name in self.desired if self._should_abandon(name, known)]:
            self.finish(name)
        for service in sorted(self._lasting_backlogs(), key=lambda s: (-waiting[s], s)):
            if service in self.desired.values():
                continue
            target = self._find_target(service, known, unobserved)
            if target is not None:
                self.desired[target] = service
                self._desired_since[target] = self._clock.now()
                return

    def _should_abandon(self, name: str, views: Mapping[str, TargetView]) -> bool:
        if name in views and not views[name].usable:
            return True
        return self._clock.now() - self._desired_since[name] >= CHANGE_SECONDS

    def _update_backlog(self, waiting: Mapping[str, int]) -> None:
        now = self._clock.now()
        backlogged = {service for service, count in waiting.items() if count > 0}
        self._backlog_since = {s: self._backlog_since.get(s, now) for s in backlogged}

    def _update_idle(self, views: Mapping[str, TargetView]) -> None:
        now = self._clock.now()
        idle = [name for name, view in views.items() if view.idle]
        self._idle_since = {name: self._idle_since.get(name, now) for name in sorted(idle)}

    def _lasting_backlogs(self) -> list[str]:
        latest = self._clock.now() - BACKLOG_SECONDS
        return [service for service, since in self._backlog_since.items() if since <= latest]

    def _find_target(
        self, service: str, views: Mapping[str, TargetView], unobserved: Collection[str]
    ) -> str | None:
        now = self._clock.now()
        for name, idle_since in sorted(self._idle_since.items(), key=lambda item: item[1]):
            view = views[name]
            dwell_over = now - self._changed_at.get(name, float("-inf")) >= DWELL_SECONDS
            if (
                view.usable
                and dwell_over
                and name not in self.desired
                and idle_since <= now - IDLE_SECONDS
                and service in (*view.target.loadable, *view.target.services)
                and service not in view.loaded
                and not self._is_needed(view, views, unobserved)
            ):
                return name
        return None

    def _is_needed(
        self, view: TargetView, views: Mapping[str, TargetView], unobserved: Collection[str]
    ) -> bool:
        """Return whether a change would remove a backlogged service or the last copy of one."""
        others = [
            other
            for name, other in views.items()
            if other is not view and other.usable and name not in self.desired
        ]
        for service in view.loaded:
            elsewhere = any(service in other.loaded for other in others) or any(
                self._serves(name, service) for name in unobserved
            )
            if service in self._backlog_since or not elsewhere:
                return True
        return False
