"""How many routers the fleet has, those out of reach included."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard_router.members.membership import MemberState

if TYPE_CHECKING:
    from loomyard_router.members.membership import Membership


class FleetSize:
    """Count the routers that were seen and that membership remembers, but for leaving ones.

    Membership remembers a dead router for as long as the VM list names its VM, so that the smaller
    side of a partition knows that it is the smaller one.
    """

    def __init__(self, members: Membership) -> None:
        self._members = members
        self._seen: set[str] = set()

    def count(self) -> int:
        """Return the number of routers."""
        self._seen.update(member.name for member in self._members.live())
        known = {name: self._members.find(name) for name in self._seen}
        self._seen = {name for name, member in known.items() if member is not None}
        return sum(
            1 for m in known.values() if m is not None and m.state is not MemberState.LEAVING
        )
