"""Which routers lag, known to all of them by gossip."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from loomyard_router.supervision.listeners import Listeners
from loomyard_router.supervision.tasks import start_supervised, start_task

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    import gevent

    from loomyard.clock import Clock
    from loomyard_router.lag.lag_monitor import LagMonitor
    from loomyard_router.members.membership import Membership

TOPIC = "lag"
# A lagging router announces it again after this time, as long as it lags.
ANNOUNCEMENT_SECONDS = 1.0
# Gossip of an announcement may come this late to the last router of a large fleet.
EXPIRY_SECONDS = 4.0
CHECK_SECONDS = 0.25
# Announcements of one incarnation of a router, each with a value of its own.
VALUES_PER_INCARNATION = 1 << 16
# With fewer routers left, duties are not moved: those left would lag next.
MIN_FIT_FRACTION = 0.5


class RouterFitness(Protocol):
    """Tell which routers can take duties for others: slots, sums of usage, reading of feeds."""

    def fit(self, names: Sequence[str]) -> list[str]:
        """Return those of some routers that do not lag; all of them if most do."""

    def is_lagging(self, name: str) -> bool:
        """Tell whether a router lags."""

    def subscribe(self, on_change: Callable[[], None]) -> None:
        """Call back when a router begins or ceases to lag; it must not block."""


class AllFit:
    """No router counts as lagging."""

    def fit(self, names: Sequence[str]) -> list[str]:
        return list(names)

    def is_lagging(self, name: str) -> bool:
        return False

    def subscribe(self, on_change: Callable[[], None]) -> None:
        pass


class LaggingRouters:
    """``RouterFitness`` from the announcements of routers that lag.

    Each router tells of itself alone. Without that every other router would find out by missed
    replies, at another time than the rest, and two routers would hold one duty.
    """

    def __init__(self, clock: Clock, members: Membership, monitor: LagMonitor) -> None:
        self._clock = clock
        self._members = members
        self._monitor = monitor
        self._lagging_until: dict[str, float] = {}
        self._announcements = 0
        self._listeners = Listeners("lagging routers")
        self._announcing: gevent.Greenlet | None = None
        self._expiring: gevent.Greenlet | None = None

    @property
    def names(self) -> frozenset[str]:
        """Return the names of the routers that lag."""
        return frozenset(self._lagging_until)

    def fit(self, names: Sequence[str]) -> list[str]:
        fit = [name for name in names if name not in self._lagging_until]
        return fit if len(fit) >= MIN_FIT_FRACTION * len(names) else list(names)

    def is_lagging(self, name: str) -> bool:
        return name in self._lagging_until

    def subscribe(self, on_change: Callable[[], None]) -> None:
        self._listeners.subscribe(on_change)

    def start(self) -> None:
        """Start to announce the lag of this router and to receive that of others."""
        self._members.subscribe_topic(TOPIC, self._receive)
        self._monitor.subscribe(self._announce_own)

    def stop(self) -> None:
        """Stop announcing."""
        for task in (self._announcing, self._expiring):
            if task is not None:
                task.kill(block=False)

    def _announce_own(self) -> None:
        if self._monitor.is_lagging and not self._announcing:
            self._announce()
            self._announcing = start_supervised("lag announcements", self._clock, self._run)

    def _run(self) -> None:
        while True:
            self._clock.sleep(ANNOUNCEMENT_SECONDS)
            if not self._monitor.is_lagging:
                return
            self._announce()

    def _announce(self) -> None:
        own = self._members.own
        self._announcements += 1
        value = own.incarnation * VALUES_PER_INCARNATION + self._announcements
        until = self._clock.now() + EXPIRY_SECONDS
        self._members.announce(TOPIC, own.name, value, until=until)
        self._record(own.name)

    def _receive(self, name: str, _value: int) -> None:
        self._record(name)

    def _record(self, name: str) -> None:
        is_new = name not in self._lagging_until
        self._lagging_until[name] = self._clock.now() + EXPIRY_SECONDS
        if not self._expiring or self._expiring.dead:
            self._expiring = start_task("lagging routers", self._expire)
        if is_new:
            self._listeners.notify()

    def _expire(self) -> None:
        while self._lagging_until:
            self._clock.sleep(CHECK_SECONDS)
            now = self._clock.now()
            left = {name: until for name, until in self._lagging_until.items() if until > now}
            ended = len(left) < len(self._lagging_until)
            self._lagging_until = left
            if ended:
                self._listeners.notify()
