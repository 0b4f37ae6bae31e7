"""The table of all routers that a router knows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from loomyard_router.members.digests import unordered_digest
from loomyard_router.members.membership import Member, MemberState
from loomyard_router.members.messages import Liveness, MemberUpdate

if TYPE_CHECKING:
    from collections.abc import Iterable

NEVER = float("inf")


@define(eq=False)
class MemberRecord:
    """The newest update of a router, and the deadlines that depend on it."""

    update: MemberUpdate
    suspected_until: float = NEVER
    expires_at: float = NEVER

    @property
    def live(self) -> bool:
        return self.update.liveness is not Liveness.DEAD


@define(eq=False)
class MemberTable:
    """Records by name; only an update of a greater version replaces another."""

    records: dict[str, MemberRecord] = field(factory=dict)
    vms_leaving: frozenset[str] = frozenset()
    revision: int = 0
    _digest: int | None = None

    @property
    def digest(self) -> int:
        """Return a digest of the live routers, equal where tables agree."""
        if self._digest is None:
            updates = [record.update for record in self.live()]
            self._digest = unordered_digest([u.name, *u.version, u.leaving] for u in updates)
        return self._digest

    def live(self) -> Iterable[MemberRecord]:
        """Return the records of routers that are not dead."""
        return (record for record in self.records.values() if record.live)

    def find(self, name: str) -> MemberRecord | None:
        """Return the record of a router."""
        return self.records.get(name)

    def apply(self, update: MemberUpdate) -> bool:
        """Apply an update; false where the known one is as new."""
        record = self.records.get(update.name)
        if record is None:
            self.records[update.name] = MemberRecord(update)
        elif update.version <= record.update.version:
            return False
        else:
            record.update = update
            record.suspected_until = record.expires_at = NEVER
        self._record_change()
        return True

    def mark_leaving(self, names: frozenset[str]) -> None:
        """Set the VMs that the VM list reports as leaving."""
        if names != self.vms_leaving:
            self.vms_leaving = names
            self._record_change()

    def remove(self, name: str) -> None:
        """Remove the record of a router."""
        del self.records[name]
        self._record_change()

    def member(self, record: MemberRecord) -> Member:
        """Return the router of a record in the form that other components use."""
        update = record.update
        return Member(
            name=update.name,
            incarnation=update.incarnation,
            address=update.address,
            data_centre=update.data_centre,
            state=self._state(update),
        )

    def _record_change(self) -> None:
        self.revision += 1
        self._digest = None

    def _state(self, update: MemberUpdate) -> MemberState:
        if update.liveness is Liveness.DEAD:
            return MemberState.DEAD
        if update.leaving or update.name in self.vms_leaving:
            return MemberState.LEAVING
        return MemberState.SUSPECT if update.liveness is Liveness.SUSPECT else MemberState.ALIVE
