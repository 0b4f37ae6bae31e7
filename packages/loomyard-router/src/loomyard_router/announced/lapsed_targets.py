"""Targets whose entries vanished, and for how long they stay in use."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

from attrs import define

from loomyard.events import Event, emit
from loomyard_router.announced.announced_target import AnnouncedTarget

if TYPE_CHECKING:
    from collections.abc import Iterable

    from loomyard.clock import Clock
    from loomyard_router.announced.departure_terms import DepartureTerms
    from loomyard_router.feeds.store_times import StoreTimes

logger = logging.getLogger(__name__)

# Live targets whose entries expired write them again within so many seconds after they reach the
# store; one whose entry is still missing after that is gone.
GRACE_SECONDS = 2.0
# When at least this fraction and number of a service's entries, or all of them, vanish within the
# grace, their targets may live and not reach the store.
MASS_LOSS_FRACTION = 0.5
MASS_LOSS_MIN = 2
LOG_DIGITS = 3


@define(eq=False)
class _Lapsed:
    """A target whose entry vanished; usable until the grace ends, which may be at once.

    ``latest_use`` bounds the grace: if the target left, it may take no more requests after that.
    """

    target: AnnouncedTarget
    vanished_at: float
    usable_until: float
    latest_use: float


class LapsedTargets:
    """Targets whose entries vanished; a target leaves this set when its entry is written again.

    A target stays usable only if it may live and not have reached the store: in an outage, or when
    it vanished together with half of its service. It does so for a grace period in which it may
    write its entry again, but no longer than it would serve if it had left when the store dropped
    the entry.
    """

    def __init__(self, clock: Clock, times: StoreTimes, departures: DepartureTerms) -> None:
        self._clock = clock
        self._times = times
        self._departures = departures
        self._lapsed: dict[str, _Lapsed] = {}
        self._store_down = False
        self._store_back_at = clock.now() - GRACE_SECONDS

    def __contains__(self, id_: str) -> bool:
        return id_ in self._lapsed

    @property
    def store_down(self) -> bool:
        """Return whether the store does not answer this router."""
        return self._store_down

    @property
    def await_returns(self) -> bool:
        """Return whether some are in their grace, whose entries may be written at any moment."""
        now = self._clock.now()
        return any(lapsed.usable_until > now for lapsed in self._lapsed.values())

    @property
    def targets(self) -> list[AnnouncedTarget]:
        """Return all of them, also those that are not usable."""
        return [lapsed.target for lapsed in self._lapsed.values()]

    def usable(self) -> list[tuple[AnnouncedTarget, float]]:
        """Return the usable targets and until when they are usable."""
        now = self._clock.now()
        return [
            (lapsed.target, lapsed.usable_until)
            for lapsed in self._lapsed.values()
            if lapsed.usable_until > now
        ]

    def pop(self, id_: str) -> AnnouncedTarget | None:
        """Remove a target, whose entry was written again or is to be forgotten."""
        lapsed = self._lapsed.pop(id_, None)
        return None if lapsed is None else lapsed.target

    def get(self, id_: str) -> AnnouncedTarget | None:
        """Return a target by its id."""
        lapsed = self._lapsed.get(id_)
        return None if lapsed is None else lapsed.target

    def add(
        self, gone: Iterable[AnnouncedTarget], left: Iterable[AnnouncedTarget], *, by_peer: bool
    ) -> None:
        """Add targets whose entries vanished; ``left`` are those that are still listed.

        ``by_peer`` says that another router read that from a store that answers there.
        """
        now = self._clock.now()
        latest_use = self._departures.latest_use(self._times, now)
        gone = list(gone)
        for target in gone:
            self._lapsed[target.id] = _Lapsed(target, now, now, latest_use)
        services = [target.service for target in left]
        for service in {target.service for target in gone}:
            self._grant_grace(service, services.count(service), by_peer=by_peer)
        for target in gone:
            self._log_vanished(self._lapsed[target.id], now)

    def on_store_lost(self) -> None:
        """Record that the store does not answer this router."""
        self._store_down = True

    def on_store_recovered(self) -> None:
        """Record that the store answers again; targets in grace have ``GRACE_SECONDS`` left."""
        self._store_down = False
        now = self._store_back_at = self._clock.now()
        latest_use = self._departures.latest_use(self._times, now)
        for lapsed in self._lapsed.values():
            if lapsed.usable_until > now:
                lapsed.latest_use = max(lapsed.latest_use, latest_use)
                lapsed.usable_until = min(now + GRACE_SECONDS, lapsed.latest_use)

    def expire(self) -> list[str]:
        """Forget targets that are gone; return their ids."""
        now = self._clock.now()
        gone = [
            id_
            for id_, lapsed in self._lapsed.items()
            if lapsed.usable_until <= now
            and now - lapsed.vanished_at > GRACE_SECONDS
            and not self._store_down
        ]
        for id_ in gone:
            del self._lapsed[id_]
        return gone

    def _grant_grace(self, service: str, left: int, *, by_peer: bool) -> None:
        """Keep targets usable that may live, until they can have written their entries again."""
        now = self._clock.now()
        recent = [
            lapsed
            for lapsed in self._lapsed.values()
            if lapsed.target.service == service
            and not lapsed.target.draining
            and now - lapsed.vanished_at <= GRACE_SECONDS
        ]
        if self._store_down and not by_peer:
            for lapsed in recent:
                lapsed.usable_until = math.inf  # shortened when the store answers again
            return
        if now - self._store_back_at < GRACE_SECONDS:
            until = self._store_back_at + GRACE_SECONDS
        elif _are_lost_together(len(recent), left):
            until = now + GRACE_SECONDS
        else:
            return
        for lapsed in recent:
            grace_ends_at = min(until, lapsed.vanished_at + GRACE_SECONDS, lapsed.latest_use)
            lapsed.usable_until = max(lapsed.usable_until, grace_ends_at)

    def _log_vanished(self, lapsed: _Lapsed, now: float) -> None:
        emit(
            logger,
            Event.TARGET_VANISHED,
            target=lapsed.target.id,
            service=lapsed.target.service,
            used_on=lapsed.usable_until > now,
            used_for=_seconds(lapsed.usable_until - now),
            listed_ago=_seconds(now - self._times.read_up_to),
        )


def _are_lost_together(lost: int, left: int) -> bool:
    if not left:
        return True
    return lost >= MASS_LOSS_MIN and lost >= MASS_LOSS_FRACTION * (lost + left)


def _seconds(value: float) -> float | None:
    """Return seconds for the log, ``None`` where they are unknown or without end."""
    return round(value, LOG_DIGITS) if math.isfinite(value) else None
