"""The target directory: its protocol, and an implementation by configuration alone."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from loomyard.objects import TargetState
from loomyard_router.supervision.listeners import Listeners

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.objects import Target
    from loomyard.routing import Routing
    from loomyard_router.targets.target_status import TargetStatus


class TargetDirectory(Protocol):
    """Which targets may get requests, how many at once, and which prompt prefixes they cache."""

    def may_send(self, name: str, service: str = "") -> bool:
        """Return whether a target may get new requests now; of a service only if it is loaded."""

    def slots(self, target: Target) -> int:
        """Return how many concurrent requests of the whole fleet the target can run."""

    def holds_prefix(self, name: str, prefix: str) -> bool:
        """Return whether a target probably caches a prompt prefix."""

    def record_prefix(self, name: str, prefix: str) -> None:
        """Record that a request with a prompt prefix was sent to a target."""

    def report_leaving(self, name: str) -> None:
        """Record that a target announced that it is leaving."""

    def report_backoff(self, name: str, until: float) -> None:
        """Send a target nothing until a clock time (s), as it asked in a refusal."""

    def report_attempt(self, name: str, *, answered: bool) -> None:
        """Record whether a target answered an attempt; failures in a row eject it."""

    def statuses(self) -> list[TargetStatus]:
        """Return the state of each target at this router, sorted by name."""

    def reconfigure(self, routing: Routing) -> None:
        """Apply a configuration."""

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Call back after each change of availability or slots."""

    def start(self) -> None:
        """Start the background tasks."""

    def stop(self) -> None:
        """Stop the background tasks."""


class ConfiguredTargets:
    """A target directory that uses the configuration alone."""

    def __init__(self) -> None:
        self._targets: dict[str, Target] = {}
        self._listeners = Listeners("targets")

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
        self._listeners.notify()

    def subscribe(self, changed: Callable[[], None]) -> None:
        self._listeners.subscribe(changed)

    def start(self) -> None:
        pass

    def stop(self) -> None:
        pass


def make_configured_targets() -> ConfiguredTargets:
    """Create a directory that uses the configuration alone."""
    return ConfiguredTargets()
