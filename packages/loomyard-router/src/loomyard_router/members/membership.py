"""The protocol of membership."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Protocol

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Callable


class MemberState(Enum):
    """What is believed of a router."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@frozen(kw_only=True)
class Member:
    """A router: its name, the incarnation of this start, its peer address and data centre."""

    name: str
    incarnation: int
    address: str
    data_centre: str
    state: MemberState = MemberState.ALIVE


class Membership(Protocol):
    """Know the routers of the fleet."""

    @property
    def own(self) -> Member:
        """Return this router; its incarnation may rise, so read it when it is needed."""

    def live(self) -> tuple[Member, ...]:
        """Return the routers alive or suspected, this one included, by name.

        Leaving ones are not among them, unless this one leaves and no other is left.
        """

    def find(self, name: str) -> Member | None:
        """Return a router by name, also a dead one that is remembered."""

    def suspect(self, name: str) -> None:
        """Report that a router did not answer."""

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Call back after each change of the live routers; the call must not wait."""

    def subscribe_pause(self, paused: Callable[[float], None]) -> None:
        """Call back with the seconds of a pause of this process, once it is noticed."""

    def announce(self, topic: str, key: str, value: int, *, until: float) -> None:
        """Spread a small item to all routers; the highest value of a key wins.

        ``until`` is the monotonic time at which the item is forgotten.
        """

    def subscribe_topic(self, topic: str, heard: Callable[[str, int], None]) -> None:
        """Call back with key and value of each item learned from others, known ones first."""

    def leave(self) -> None:
        """Tell the others that this router is leaving; it stays until it stops."""

    def start(self) -> None:
        """Start the tasks."""

    def stop(self) -> None:
        """End the tasks."""


class SoleMembership:
    """A fleet of one router."""

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

    def subscribe_topic(self, topic: str, heard: Callable[[str, int], None]) -> None:
        pass

    def leave(self) -> None:
        pass

    def start(self) -> None:
        pass

    def stop(self) -> None:
        pass
