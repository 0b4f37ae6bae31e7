"""The slot estimates and loaded services of all targets, shared between routers."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from attrs import define, field
from result import Err, Ok

from loomyard.codec import decode, encode
from loomyard.events import Event, emit
from loomyard_router.targets.slot_estimate import SlotEstimate
from loomyard_router.targets.slots_notice import SlotsNotice

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard.objects import Target
    from loomyard.platform.engine import LoadReport
    from loomyard_router.targets.gossip import Gossip

logger = logging.getLogger(__name__)

SLOTS_TOPIC = "targets.slots"


@define(eq=False)
class _Entry:
    estimate: SlotEstimate
    sequence: int = 0
    models: list[str] = field(factory=list)


class SlotBook:
    """Estimate what this router polls; adopt what other routers found."""

    def __init__(self, clock: Clock, gossip: Gossip, changed: Callable[[], None]) -> None:
        self._clock = clock
        self._gossip = gossip
        self._changed = changed
        self._entries: dict[str, _Entry] = {}
        self._heard: dict[str, SlotsNotice] = {}
        gossip.subscribe_topic(SLOTS_TOPIC, self._hear)

    def slots(self, target: Target) -> int:
        """Return the estimate for a target."""
        return self._entry(target).estimate.slots

    def loaded(self, target: Target) -> list[str]:
        """Return the services that a target can serve now."""
        if not target.loadable:
            return target.services
        models = self._entry(target).models
        return models or target.services

    def observe(self, target: Target, report: LoadReport) -> None:
        """Take in a load report of a target that this router polls."""
        entry = self._entry(target)
        changed = entry.estimate.observe(report, self._clock.now())
        if target.loadable and set(report.models) != set(entry.models):
            entry.models = list(report.models)
            changed = True
        if not changed:
            return
        entry.sequence += 1
        notice = SlotsNotice(
            sequence=entry.sequence, slots=entry.estimate.slots, models=entry.models
        )
        self._gossip.announce(SLOTS_TOPIC, target.metadata.name, encode(notice))
        self._changed()

    def retain(self, names: set[str]) -> None:
        """Forget all other targets."""
        for name in self._entries.keys() - names:
            del self._entries[name]
        for name in self._heard.keys() - names:
            del self._heard[name]

    def _entry(self, target: Target) -> _Entry:
        name = target.metadata.name
        entry = self._entries.get(name)
        if entry is None or entry.estimate.start != target.slots:
            sequence = entry.sequence if entry else 0
            models = entry.models if entry else []
            entry = _Entry(SlotEstimate(target.slots), sequence, models)
            self._entries[name] = entry
            if name in self._heard:
                self._adopt(entry, self._heard.pop(name))
        return entry

    def _hear(self, name: str, value: bytes) -> None:
        match decode(value, SlotsNotice):
            case Err(detail):
                emit(logger, Event.TARGET_NOTICE_INVALID, name=name, detail=detail)
            case Ok(notice):
                entry = self._entries.get(name)
                if entry is None:
                    self._heard[name] = notice
                elif self._adopt(entry, notice):
                    self._changed()

    def _adopt(self, entry: _Entry, notice: SlotsNotice) -> bool:
        if notice.sequence <= entry.sequence:
            return False
        entry.sequence = notice.sequence
        entry.models = notice.models
        entry.estimate.adopt(notice.slots)
        return True
