"""The protocol of what is known of targets, and the plain reading of the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from loomyard.objects import TargetState

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.objects import Target
    from loomyard.routing import Routing
    from loomyard_router.targets.target_status import TargetStatus


class TargetDirectory(Protocol):
    """Know which targets may get work, how much, and what their caches hold."""

    def may_send(self, name: str, service: str = "") -> bool:
        """Tell whether a target may get new work now, of a service that it has loaded."""

    def slots(self, target: Target) -> int:
        """Return how many requests of the whole fleet keep the target just full."""

    def holds_prefix(self, name: str, prefix: str) -> bool:
        """Tell whether a target probably caches a prompt prefix."""

    def record_prefix(self, name: str, prefix: str) -> None:
        """Take in that a request with a prefix was sent to a target."""

    def report_leaving(self, name: str) -> None:
        """Take in that a target says, or a peer heard, that it is leaving."""

    def report_backoff(self, name: str, until: float) -> None:
        """Take in that a target wants nothing from this router until then."""

    def report_attempt(self, name: str, *, answered: bool) -> None:
        """Take in whether a target answered an attempt."""

    def statuses(self) -> list[TargetStatus]:
        """Return how each target stands here, by name."""

    def reconfigure(self, routing: Routing) -> None:
        """Take over a configuration."""

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Call back after each change of what may be sent where."""

    def start(self) -> None:
        """Start the tasks."""

    def stop(self) -> None:
        """End the tasks."""


class ConfiguredTargets:
    """What the configuration alone says of targets."""

    def __init__(self) -> None:
        self._targets: dict[str, Target] = {}
        self._listeners: list[Callable[[], None]] = []

    def may_send(self, name: str, service: str = "") -> bool:
        target = self._targets.get(name)
        if target is None or target.state is not TargetState.ACTIVE:
            return False
        return not service or service in target.services

    def slots(self, target: Target) -> int:
        return target.slots

    def holds_prefix(self, name: str, prefix: str) -> bool:
        return False

    def record_prefix(self, name: str, prefix: str) -> None:
        pass

    def report_leaving(self, name: str) -> None:
        pass

    def report_backoff(self, name: str, until: float) -> None:
        pass

    def report_attempt(self, name: str, *, answered: bool) -> None:
        pass

    def statuses(self) -> list[TargetStatus]:
        return []

    def reconfigure(self, routing: Routing) -> None:
        self._targets = dict(routing.targets)
        for listener in self._listeners:
            listener()

    def subscribe(self, changed: Callable[[], None]) -> None:
        self._listeners.append(changed)

    def start(self) -> None:
        pass

    def stop(self) -> None:
        pass


def make_configured_targets() -> ConfiguredTargets:
    """Make a directory that reads the configuration only."""
    return ConfiguredTargets()
