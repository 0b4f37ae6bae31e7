"""Number of routers in the fleet, including unreachable ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard_router.members.membership import MemberState

if TYPE_CHECKING:
    from loomyard_router.members.membership import Membership


class FleetSize:
    """Count the routers seen live that membership still lists, except those that are leaving.

    Membership lists a dead router for as long as the VM list names its VM, so that the smaller
    side of a partition knows that it has no majority.
    """

    def __init__(self, members: Membership) -> None:
        self._members = members
        self._seen: set[str] = set()

    def count(self) -> int:
        """Return the number of routers, dead and unreachable ones included."""
        self._seen.update(member.name for member in self._members.live())
        known = {name: self._members.find(name) for name in self._seen}
        self._seen = {name for name, member in known.items() if member is not None}
        return sum(
            1 for m in known.values() if m is not None and m.state is not MemberState.LEAVING
        )
