"""The announced targets by service, and which of them may get new requests."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

from loomyard.events import Event, emit
from loomyard_router.announced.departure_terms import DepartureTerms
from loomyard_router.announced.lapsed_targets import LapsedTargets
from loomyard_router.announced.target_notices import TargetNotices
from loomyard_router.feeds.store_times import StoreTimes
from loomyard_router.supervision.listeners import Listeners

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from loomyard.clock import Clock
    from loomyard_router.announced.announced_target import AnnouncedTarget
    from loomyard_router.announced.target_incarnation import TargetLife
    from loomyard_router.announced.target_notice import TargetNotice

logger = logging.getLogger(__name__)


class TargetRegistry:
    """The targets of each service by their entries in the feed and by their own notices.

    A target gets no new requests while it drains, is in an evacuated data centre, said in an answer
    that it leaves or asked to back off (the store may learn of that late or never), even if no
    other target is left: a request that did not run is safe to refuse. Nor does one whose entry
    vanished, but for a grace period in which it may live (``LapsedTargets``).

    ``first_start`` says that no target served before this router started; ``times`` are those of
    the feed of announcements.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        first_start: bool = False,
        times: StoreTimes | None = None,
        departures: DepartureTerms | None = None,
    ) -> None:
        self._clock = clock
        self._first_start = first_start
        self._gapless_since = math.inf
        self._targets: dict[str, AnnouncedTarget] = {}
        self._lapsed = LapsedTargets(clock, times or StoreTimes(), departures or DepartureTerms())
        self._usable: dict[str, tuple[AnnouncedTarget, ...]] = {}
        self._usable_by_incarnation: dict[TargetLife, AnnouncedTarget] = {}
        self._open_incarnations: frozenset[TargetLife] = frozenset()
        self._by_incarnation: dict[TargetLife, AnnouncedTarget] = {}
        self._listeners = Listeners("targets")
        self._evacuated: frozenset[str] = frozenset()
        self._reinstated_at: dict[str, float] = {}
        self._cold_until: dict[str, float] = {}
        self.restarts = 0
        self.notices = TargetNotices(clock)
        self._was_listed = False
        self._next_check = 0.0

    @property
    def ready(self) -> bool:
        """Return whether a complete listing has been received."""
        return self._was_listed

    @property
    def awaits_returns(self) -> bool:
        """Return whether targets are in their grace, whose entries may be written at any moment."""
        return self._lapsed.await_returns

    @property
    def gapless_since(self) -> float:
        """Return since when no announcement can have been missed, infinity without the store."""
        return math.inf if self._lapsed.store_down else self._gapless_since

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Call back after each change; the callback must not block."""
        self._listeners.subscribe(changed)

    def usable(self, service: str) -> tuple[AnnouncedTarget, ...]:
        """Return the targets of a service that may get new requests, sorted by id."""
        if self._next_check and self._clock.now() >= self._next_check:
            self._refresh()
        return self._usable.get(service, ())

    def is_usable(self, target: AnnouncedTarget) -> bool:
        """Return whether this router may send new requests to this incarnation of a target.

        A target whose entry was rewritten with another version is not the one that was chosen.
        """
        self.usable(target.service)
        known = self._usable_by_incarnation.get(target.incarnation)
        return known is not None and known.software_version == target.software_version

    def is_withdrawn(self, incarnation: TargetLife) -> bool:
        """Return whether no router may use an incarnation; back-offs bind single routers."""
        return incarnation in self._by_incarnation and incarnation not in self._open_incarnations

    def is_backing_off(self, target: AnnouncedTarget) -> bool:
        """Return whether a target asked this router to back off and the time has not passed."""
        return self.notices.backoff_until(target.incarnation) > self._clock.now()

    def cold_until(self, target: AnnouncedTarget) -> float:
        """Return the end of a target's cold start as announced; it may have passed."""
        return self._cold_until.get(target.id, -math.inf)

    def reinstated_at(self, data_centre: str) -> float:
        """Return when an evacuated data centre was last reinstated, minus infinity for never."""
        return self._reinstated_at.get(data_centre, -math.inf)

    def find(self, incarnation: TargetLife) -> AnnouncedTarget | None:
        """Return the listed target with an incarnation."""
        return self._by_incarnation.get(incarnation)

    def listed(self) -> list[AnnouncedTarget]:
        """Return all targets that are listed, or whose entries vanished a moment ago."""
        return [*self._targets.values(), *self._lapsed.targets]

    def replace_all(self, targets: Iterable[AnnouncedTarget], *, by_peer: bool = False) -> None:
        """Apply a complete listing.

        ``by_peer`` says that another router fetched it from a store that answers there, so entries
        it lacks are gone even while the store does not answer this router.
        """
        listed = {target.id: target for target in targets}
        if not self._was_listed:
            self._gapless_since = -math.inf if self._first_start else self._clock.now()
        self._was_listed = True
        gone = [target for id_, target in self._targets.items() if id_ not in listed]
        for target in listed.values():
            self._put(target)
        self._drop(gone, by_peer=by_peer)
        self._changed()

    def apply(
        self, targets: Iterable[AnnouncedTarget], dropped: Iterable[str], *, by_peer: bool = False
    ) -> None:
        """Apply written entries and the ids of deleted ones; ``by_peer`` as for a listing."""
        for target in targets:
            self._put(target)
        gone = [self._targets[id_] for id_ in dropped if id_ in self._targets]
        self._drop(gone, by_peer=by_peer)
        self._changed()

    def withdraw(self, ids: Iterable[str]) -> None:
        """Remove targets without grace because their entries in the store are unreadable."""
        withdrawn = [id_ for id_ in ids if id_ in self._targets or id_ in self._lapsed]
        for id_ in withdrawn:
            self._lapsed.pop(id_)
            self._cold_until.pop(id_, None)
            target = self._targets.pop(id_, None)
            if target is not None:
                emit(logger, Event.TARGET_VANISHED, target=id_, service=target.service)
        if withdrawn:
            self._changed()

    def apply_notice(self, target: AnnouncedTarget, notice: TargetNotice) -> None:
        """Apply what a target says of itself in an answer."""
        if self.notices.apply(target, notice):
            self._changed()

    def record_leaving(self, incarnation: TargetLife) -> None:
        """Record that an incarnation told another router that it leaves."""
        if self.notices.record_leaving(incarnation):
            self._changed()

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """Replace the set of data centres that get no new requests."""
        now = self._clock.now()
        for data_centre in self._evacuated - data_centres:
            self._reinstated_at[data_centre] = now
        self._evacuated = data_centres
        self._changed()

    def on_store_lost(self) -> None:
        """Record that the store does not answer this router."""
        self._lapsed.on_store_lost()

    def on_store_recovered(self) -> None:
        """Record that the store answers again."""
        self._gapless_since = self._clock.now()
        self._lapsed.on_store_recovered()
        self._changed()

    def _put(self, target: AnnouncedTarget) -> None:
        known = self._targets.get(target.id)
        lapsed = self._lapsed.get(target.id)
        before = known if lapsed is None else lapsed
        if before is not None and _is_earlier_incarnation(target, before):
            emit(logger, Event.OLD_LIFE_IGNORED, target=target.id, life=target.incarnation)
            return
        self._lapsed.pop(target.id)
        self._targets[target.id] = target
        if before is not None and before.incarnation != target.incarnation:
            self.restarts += 1
            emit(
                logger,
                Event.TARGET_REBORN,
                target=target.id,
                life=target.incarnation,
                old=before.incarnation,
            )
        if before is None or before != target or before.position != target.position:
            self._cold_until[target.id] = self._clock.now() + target.cold_seconds
        if known is None:
            event = Event.TARGET_ANNOUNCED if lapsed is None else Event.TARGET_REANNOUNCED
            emit(
                logger,
                event,
                target=target.id,
                service=target.service,
                address=target.address,
                software=target.software_version,
                draining=target.draining,
            )
        elif target.draining and not known.draining:
            emit(logger, Event.TARGET_DRAINS, target=target.id, service=target.service)

    def _drop(self, gone: list[AnnouncedTarget], *, by_peer: bool = False) -> None:
        for target in gone:
            del self._targets[target.id]
        self._lapsed.add(gone, self._targets.values(), by_peer=by_peer)

    def _changed(self) -> None:
        self._refresh()
        self._listeners.notify()

    def _refresh(self) -> None:
        for id_ in self._lapsed.expire():
            self._cold_until.pop(id_, None)
        usable: dict[str, list[AnnouncedTarget]] = {}
        waits: list[float] = []
        candidates = [target for target in self._targets.values() if not target.draining]
        for target, until in self._lapsed.usable():
            candidates.append(target)
            waits.append(until)
        candidates = [target for target in candidates if not self._is_excluded(target)]
        for target in candidates:
            if self.is_backing_off(target):
                waits.append(self.notices.backoff_until(target.incarnation))
            else:
                usable.setdefault(target.service, []).append(target)
        self._next_check = min(waits, default=0.0)
        self._by_incarnation = {target.incarnation: target for target in self.listed()}
        self._usable = {
            service: tuple(sorted(targets, key=lambda target: target.id))
            for service, targets in usable.items()
        }
        self._open_incarnations = frozenset(target.incarnation for target in candidates)
        self._usable_by_incarnation = {
            target.incarnation: target for one in usable.values() for target in one
        }

    def _is_excluded(self, target: AnnouncedTarget) -> bool:
        return target.data_centre in self._evacuated or self.notices.is_leaving(target.incarnation)


def _is_earlier_incarnation(target: AnnouncedTarget, known: AnnouncedTarget) -> bool:
    """Return whether an announcement is of an earlier incarnation than the known one."""
    return target.born is not None and known.born is not None and target.born < known.born
