"""Messages between a router and the allocator.

Levels, service, estimates and margins are normalized: in units of the service over weight.
"""

from __future__ import annotations

from attrs import field, frozen

from loomyard_router.peers.message_types import peer_message

UNKNOWN_LEVEL = -1


@frozen
class BacklogReport:
    """Requests of one account that wait for one service at one router.

    ``estimate`` is the cost of the oldest; ``starved`` asks to serve it next.
    """

    count: int
    estimate: int
    starved: bool = False


@frozen
class AccountReport:
    """State of one account at one router.

    ``served`` is the service since the router started. ``known_level`` is the account's level as
    the router knows it, ``UNKNOWN_LEVEL`` if it has received none.
    """

    served: int
    known_level: int
    running: bool
    waiting: dict[bytes, BacklogReport]

    @property
    def active(self) -> bool:
        """Return whether a request of the account waits or runs."""
        return self.running or bool(self.waiting)


@frozen
class SlotReport:
    """Slots of one target at one router: the limit it holds, and the slots in use above it."""

    limit: int
    excess: int


@peer_message("sr")
@frozen
class ShareReport:
    """Report of a router to the allocator: changes since the acknowledged report ``baseline``.

    ``acknowledged`` is the last reply of the session that the router applied, ``min_level`` the
    minimum level that it last received, of this or an earlier allocator.
    """

    session: int
    sequence: int
    acknowledged: int
    baseline: int
    min_level: int
    accounts: dict[bytes, AccountReport] = field(factory=dict)
    slots: dict[bytes, SlotReport] = field(factory=dict)


@frozen
class RemoteLowest:
    """The lowest level that waits for a service at other routers, and its growth a second.

    A router returns a slot if its own lowest level is higher by more than the ``margin``.
    """

    level: int
    rate: int
    margin: int


@peer_message("sa")
@frozen
class ShareReply:
    """Reply of the allocator to a router: changes since the reply that the router acknowledged.

    ``offsets`` are levels of accounts minus the service that this router reported; ``lowest`` is
    the lowest level waiting at other routers, by service, ``None`` if no request waits;
    ``min_level_rate`` is the growth of ``min_level`` a second; ``limits`` are slots by target,
    leased for ``lease_ms`` from when the acknowledged report was sent.
    """

    session: int
    sequence: int
    acknowledged: int
    lease_ms: int
    min_level: int
    min_level_rate: int
    margin: int
    offsets: dict[bytes, int] = field(factory=dict)
    lowest: dict[bytes, RemoteLowest | None] = field(factory=dict)
    limits: dict[bytes, int] = field(factory=dict)


@peer_message("sx")
@frozen
class ShareReset:
    """Request of the allocator to begin a new session, since it does not know this one."""

    session: int
