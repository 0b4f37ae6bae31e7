"""Slot estimates of all targets, sent to the routers that need them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from loomyard import rendezvous
from loomyard_router.shares.allocator_selection import ALLOCATOR_KEY
from loomyard_router.targets.slot_estimate import SlotEstimate
from loomyard_router.targets.slots_notice import SlotsNotice

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard.external.engine import LoadReport
    from loomyard.objects import Target
    from loomyard_router.members.membership import Member, Membership
    from loomyard_router.peers.links import PeerLinks

# In a fleet of up to this many routers each gets all estimates; in a larger one only the slot
# allocator and those next in line to become it.
SMALL_FLEET = 16
ALLOCATORS = 3
REPEAT_SECONDS = 60.0


@define(eq=False)
class _Entry:
    estimate: SlotEstimate
    sequence: int = 0
    published_at: float = float("-inf")


class SlotEstimates:
    """Estimates the slots of targets that this router polls; adopts other routers' estimates."""

    def __init__(
        self, clock: Clock, members: Membership, peers: PeerLinks, changed: Callable[[], None]
    ) -> None:
        self._clock = clock
        self._members = members
        self._peers = peers
        self._changed = changed
        self._targets: dict[str, Target] = {}
        self._entries: dict[str, _Entry] = {}
        peers.handle(SlotsNotice, self._receive)

    def set_targets(self, targets: dict[str, Target]) -> None:
        """Replace the targets; a changed number of configured slots resets the estimate."""
        self._targets = targets
        for name in self._entries.keys() - targets:
            del self._entries[name]
        for name, entry in self._entries.items():
            if entry.estimate.start != targets[name].slots:
                entry.estimate = SlotEstimate(targets[name].slots)

    def slots(self, target: Target) -> int:
        """Return the estimate for a target, its configured slots where there is none."""
        entry = self._entries.get(target.metadata.name)
        return target.slots if entry is None else entry.estimate.slots

    def observe(self, name: str, report: LoadReport) -> None:
        """Update the estimate by a load report of a target that this router polls."""
        entry = self._entry(name)
        now = self._clock.now()
        changed = entry.estimate.observe(report, now)
        if changed:
            entry.sequence += 1
        learned = entry.estimate.slots != entry.estimate.start
        # Repeats reach new allocators and make up for lost messages.
        if changed or (learned and now - entry.published_at >= REPEAT_SECONDS):
            entry.published_at = now
            self._publish(name, entry)
        if changed:
            self._changed()

    def _publish(self, name: str, entry: _Entry) -> None:
        notice = SlotsNotice(target=name, sequence=entry.sequence, slots=entry.estimate.slots)
        for router in self._recipients():
            self._peers.send(router, notice)

    def _recipients(self) -> set[str]:
        names = [member.name for member in self._members.live()]
        if len(names) > SMALL_FLEET:
            names = rendezvous.rank(ALLOCATOR_KEY, names)[:ALLOCATORS]
        return set(names) - {self._members.own.name}

    def _receive(self, _: Member, notice: SlotsNotice) -> None:
        if notice.target not in self._targets:
            return
        entry = self._entry(notice.target)
        if notice.sequence <= entry.sequence:
            return
        entry.sequence = notice.sequence
        entry.estimate.adopt(notice.slots)
        self._changed()

    def _entry(self, name: str) -> _Entry:
        if name not in self._entries:
            self._entries[name] = _Entry(SlotEstimate(self._targets[name].slots))
        return self._entries[name]
