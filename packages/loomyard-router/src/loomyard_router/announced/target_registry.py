"""Which targets may get new work."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

from attrs import define

from loomyard.events import Event, emit
from loomyard_router.announced.announced_target import AnnouncedTarget
from loomyard_router.announced.target_notices import TargetNotices

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from loomyard.clock import Clock
    from loomyard_router.announced.target_incarnation import TargetIncarnation
    from loomyard_router.announced.target_notice import TargetNotice

logger = logging.getLogger(__name__)

# Entries that lapsed while the store was away come back within two seconds of its return.
RETURN_SECONDS = 2.0
# As many entries that vanish together did not leave by themselves.
MASS_SHARE = 0.5
MASS_LEAST = 2
MASS_WINDOW = 0.5


@define(eq=False)
class _Lapsed:
    target: AnnouncedTarget
    vanished_at: float
    usable_until: float


class TargetRegistry:
    """The targets of each service, after what the feed says and when it could say it.

    Who drains, vanishes or stands in an emptied data centre gets no new work, also where nobody
    else is left: a request is refused then, since it did not run. Nor does who said in an answer
    that it leaves, or asked for rest: the store may hear of that late, or never. Who vanished while
    the store was away, or together with half of its service, is used until the time by which it had
    to come back.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._targets: dict[str, AnnouncedTarget] = {}
        self._lapsed: dict[str, _Lapsed] = {}
        self._usable: dict[str, tuple[AnnouncedTarget, ...]] = {}
        self._usable_lives: frozenset[TargetIncarnation] = frozenset()
        self._open_lives: frozenset[TargetIncarnation] = frozenset()
        self._by_life: dict[TargetIncarnation, AnnouncedTarget] = {}
        self._listeners: list[Callable[[], None]] = []
        self._emptied: frozenset[str] = frozenset()
        self._taken_back_at: dict[str, float] = {}
        self._cold_until: dict[str, float] = {}
        self.restarts = 0
        self.notices = TargetNotices(clock)
        self._heard = False
        self._store_away = False
        self._store_back_at = clock.now() - RETURN_SECONDS
        self._next_check = 0.0

    @property
    def ready(self) -> bool:
        """Tell whether the targets were listed once."""
        return self._heard

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Call back after each change; the call must not wait."""
        self._listeners.append(changed)

    def usable(self, service: str) -> tuple[AnnouncedTarget, ...]:
        """Return the targets of a service that may get new work."""
        if self._next_check and self._clock.now() >= self._next_check:
            self._refresh()
        return self._usable.get(service, ())

    def is_usable(self, target: AnnouncedTarget) -> bool:
        """Tell whether a target may still get new work."""
        self.usable(target.service)
        return target.incarnation in self._usable_lives

    def is_withdrawn(self, life: TargetIncarnation) -> bool:
        """Tell whether no router may send a life new work; one that rests here may serve others."""
        return life in self._by_life and life not in self._open_lives

    def is_backing_off(self, target: AnnouncedTarget) -> bool:
        """Tell whether a target asked this router to leave it alone for now."""
        return self.notices.backoff_until(target.incarnation) > self._clock.now()

    def cold_until(self, target: AnnouncedTarget) -> float:
        """Return when a target gets warm after its own word; it may have passed."""
        return self._cold_until.get(target.id, -math.inf)

    def reinstated_at(self, data_centre: str) -> float:
        """Return when a data centre that had been emptied was last taken back."""
        return self._taken_back_at.get(data_centre, -math.inf)

    def find(self, life: TargetIncarnation) -> AnnouncedTarget | None:
        """Return the target that is known under the name of a life."""
        return self._by_life.get(life)

    def listed(self) -> list[AnnouncedTarget]:
        """Return all targets that are listed, or were until just now."""
        return [*self._targets.values(), *(lapsed.target for lapsed in self._lapsed.values())]

    def replace_all(self, targets: Iterable[AnnouncedTarget], *, by_peer: bool = False) -> None:
        """Take over a whole listing; one of another router comes from a store that answers it."""
        listed = {target.id: target for target in targets}
        self._heard = True
        gone = [target for id_, target in self._targets.items() if id_ not in listed]
        for target in listed.values():
            self._put(target)
        self._drop(gone, by_peer=by_peer)
        self._changed()

    def apply(
        self, put: Iterable[AnnouncedTarget], dropped: Iterable[str], *, by_peer: bool = False
    ) -> None:
        """Take changes over; those of another router come from a store that answers it."""
        for target in put:
            self._put(target)
        gone = [self._targets[id_] for id_ in dropped if id_ in self._targets]
        self._drop(gone, by_peer=by_peer)
        self._changed()

    def withdraw(self, ids: Iterable[str]) -> None:
        """Use targets no more of which nothing that can be read stands in the store."""
        withdrawn = [id_ for id_ in ids if id_ in self._targets or id_ in self._lapsed]
        for id_ in withdrawn:
            self._lapsed.pop(id_, None)
            self._cold_until.pop(id_, None)
            target = self._targets.pop(id_, None)
            if target is not None:
                emit(logger, Event.TARGET_VANISHED, target=id_, service=target.service)
        if withdrawn:
            self._changed()

    def apply_notice(self, target: AnnouncedTarget, notice: TargetNotice) -> None:
        """Take in what a target says of itself in an answer."""
        if self.notices.apply(target, notice):
            self._changed()

    def record_leaving(self, life: TargetIncarnation) -> None:
        """Take in that a target told another router that it leaves."""
        if self.notices.note_leaving(life):
            self._changed()

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """Take in which data centres get no new work."""
        now = self._clock.now()
        for data_centre in self._emptied - data_centres:
            self._taken_back_at[data_centre] = now
        self._emptied = data_centres
        self._changed()

    def note_store_lost(self) -> None:
        """Take in that the store does not answer."""
        self._store_away = True

    def note_store_back(self) -> None:
        """Take in that the store answers again."""
        self._store_away = False
        now = self._clock.now()
        self._store_back_at = now
        for lapsed in self._lapsed.values():
            if lapsed.usable_until > now:
                lapsed.usable_until = now + RETURN_SECONDS
        self._changed()

    def _put(self, target: AnnouncedTarget) -> None:
        known = self._targets.get(target.id)
        lapsed = self._lapsed.get(target.id)
        before = known if lapsed is None else lapsed.target
        if before is not None and _is_old_news(target, before):
            emit(logger, Event.OLD_LIFE_IGNORED, target=target.id, life=target.incarnation)
            return
        self._lapsed.pop(target.id, None)
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
                draining=target.draining,
            )
        elif target.draining and not known.draining:
            emit(logger, Event.TARGET_DRAINS, target=target.id, service=target.service)

    def _drop(self, gone: list[AnnouncedTarget], *, by_peer: bool = False) -> None:
        now = self._clock.now()
        for target in gone:
            del self._targets[target.id]
            self._lapsed[target.id] = _Lapsed(target, now, now)
        for service in {target.service for target in gone}:
            self._grant_returns(service, now, by_peer=by_peer)
        for target in gone:
            emit(
                logger,
                Event.TARGET_VANISHED,
                target=target.id,
                service=target.service,
                used_on=self._lapsed[target.id].usable_until > now,
            )

    def _grant_returns(self, service: str, now: float, *, by_peer: bool) -> None:
        """Give those that may have lapsed by a fault of the store the time to come back."""
        recent = [
            lapsed
            for lapsed in self._lapsed.values()
            if lapsed.target.service == service
            and not lapsed.target.draining
            and now - lapsed.vanished_at <= MASS_WINDOW
        ]
        left = sum(target.service == service for target in self._targets.values())
        together = len(recent) >= MASS_LEAST and len(recent) >= MASS_SHARE * (len(recent) + left)
        if self._store_away and not by_peer:
            until = math.inf  # until the store is back and the time to return has passed
        elif now - self._store_back_at < RETURN_SECONDS:
            until = self._store_back_at + RETURN_SECONDS
        elif together:
            until = now + RETURN_SECONDS
        else:
            return
        for lapsed in recent:
            lapsed.usable_until = max(lapsed.usable_until, until)

    def _changed(self) -> None:
        self._refresh()
        for changed in self._listeners:
            changed()

    def _refresh(self) -> None:
        now = self._clock.now()
        for id_, lapsed in list(self._lapsed.items()):
            over = lapsed.usable_until <= now and not self._store_away
            if over and now - lapsed.vanished_at > RETURN_SECONDS:
                del self._lapsed[id_]
                self._cold_until.pop(id_, None)
        usable: dict[str, list[AnnouncedTarget]] = {}
        waits: list[float] = []
        candidates = [target for target in self._targets.values() if not target.draining]
        for lapsed in self._lapsed.values():
            if lapsed.usable_until > now:
                candidates.append(lapsed.target)
                waits.append(lapsed.usable_until)
        candidates = [target for target in candidates if not self._is_barred(target)]
        for target in candidates:
            if self.is_backing_off(target):
                waits.append(self.notices.backoff_until(target.incarnation))
            else:
                usable.setdefault(target.service, []).append(target)
        self._next_check = min(waits, default=0.0)
        self._by_life = {target.incarnation: target for target in self.listed()}
        self._usable = {
            service: tuple(sorted(targets, key=lambda target: target.id))
            for service, targets in usable.items()
        }
        self._open_lives = frozenset(target.incarnation for target in candidates)
        self._usable_lives = frozenset(
            target.incarnation for one in usable.values() for target in one
        )

    def _is_barred(self, target: AnnouncedTarget) -> bool:
        return target.data_centre in self._emptied or self.notices.is_leaving(target.incarnation)


def _is_old_news(target: AnnouncedTarget, known: AnnouncedTarget) -> bool:
    """Tell whether an announcement is of an earlier life than the known one."""
    return target.born is not None and known.born is not None and target.born < known.born
