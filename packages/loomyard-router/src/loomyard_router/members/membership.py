"""The protocol of membership."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Protocol

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Callable


class MemberState(Enum):
    """The state of a router as this router knows it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@frozen(kw_only=True)
class Member:
    """A router; each start of it has a greater incarnation. ``address`` is for its peers."""

    name: str
    incarnation: int
    address: str
    data_centre: str
    state: MemberState = MemberState.ALIVE


class Membership(Protocol):
    """The routers of the fleet, as this router knows them."""

    @property
    def own(self) -> Member:
        """Return this router; don't cache it, since its incarnation may rise."""

    def live(self) -> tuple[Member, ...]:
        """Return the routers that are alive or suspected, with this one, sorted by name.

        Leaving routers are left out; where none remains, this router alone is returned.
        """

    def find(self, name: str) -> Member | None:
        """Return a router by name, also a dead one that was not removed yet."""

    def suspect(self, name: str) -> None:
        """Report that a router did not answer, so that it is probed at once."""

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Call back after each change of a router or its state; the callback must not block."""

    def subscribe_pause(self, paused: Callable[[float], None]) -> None:
        """Call back with the seconds of a pause of this process, after it ended."""

    def announce(self, topic: str, key: str, value: int, *, until: float) -> None:
        """Gossip a small item to all routers; the highest value of a key wins.

        ``until`` is the monotonic time at which the item expires.
        """

    def subscribe_topic(self, topic: str, received: Callable[[str, int], None]) -> None:
        """Call back with key and value of each item received from others, known ones first."""

    def leave(self) -> None:
        """Tell the other routers that this one is leaving; it stays a member until it stops."""

    def start(self) -> None:
        """Start the tasks."""

    def stop(self) -> None:
        """End the tasks."""


class SoleMembership:
    """The membership of a fleet of one router."""

    def __init__(self, own: Member) -> None:
        self._own = own

    @property
    def own(self) -> Member:
        return self._own

    def live(self) -> tuple[Member, ...]:
        return (self._own,)

    def find(self, name: str) -> Member | None:
        return self._own if name == self._own.name else None

    def suspect(self, name: str) -> None:
        pass

    def subscribe(self, changed: Callable[[], None]) -> None:
        pass

    def subscribe_pause(self, paused: Callable[[float], None]) -> None:
        pass

    def announce(self, topic: str, key: str, value: int, *, until: float) -> None:
        pass

    def subscribe_topic(self, topic: str, received: Callable[[str, int], None]) -> None:
        pass

    def leave(self) -> None:
        pass

    def start(self) -> None:
        pass

    def stop(self) -> None:
        pass
