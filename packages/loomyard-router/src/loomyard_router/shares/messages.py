"""Messages between a router and the allocator; levels and service are in units over weight."""

from __future__ import annotations

from attrs import field, frozen

from loomyard_router.peers.message_types import peer_message

UNKNOWN_LEVEL = -1


@frozen
class Waiting:
    """Requests of one account that wait for one service at one router.

    ``estimate`` is the cost of the oldest over weight; ``overdue`` asks for the floor by age.
    """

    count: int
    estimate: int
    overdue: bool = False


@frozen
class AccountReport:
    """What one router did for one account since its start.

    ``known_level`` is the account's level as this router sees it, ``UNKNOWN_LEVEL`` where the
    router was never told one.
    """

    service: int
    known_level: int
    running: bool
    waiting: dict[bytes, Waiting]

    @property
    def active(self) -> bool:
        """Tell whether anything waits or runs."""
        return self.running or bool(self.waiting)


@frozen
class SlotReport:
    """Slots of one target at one router: the limit it keeps, and those in use above it."""

    limit: int
    excess: int


@peer_message("sr")
@frozen
class ShareReport:
    """Tell the allocator what changed since its acknowledged ``baseline``.

    ``acknowledged`` is the last reply of the session that the router applied, ``floor`` the floor
    as it was told, by whichever allocator.
    """

    session: int
    sequence: int
    acknowledged: int
    baseline: int
    floor: int
    accounts: dict[bytes, AccountReport] = field(factory=dict)
    slots: dict[bytes, SlotReport] = field(factory=dict)


@frozen
class Elsewhere:
    """The least level that waits for a service at other routers, and its growth a second.

    A router gives a slot back where its own neediest is above that by more than the ``margin``.
    """

    level: int
    rate: int
    margin: int


@peer_message("sa")
@frozen
class ShareReply:
    """Tell a router what changed since its acknowledged reply.

    ``offsets`` are levels less what this router reported of the account; ``lowest`` tells
    of the neediest account that waits for a service elsewhere, ``None`` where none waits;
    ``floor_rate`` is the growth of the floor a second; ``limits``
    are slots of targets, leased for ``lease_ms`` from when the acknowledged report was sent.
    """

    session: int
    sequence: int
    acknowledged: int
    lease_ms: int
    floor: int
    floor_rate: int
    margin: int
    offsets: dict[bytes, int] = field(factory=dict)
    lowest: dict[bytes, Elsewhere | None] = field(factory=dict)
    limits: dict[bytes, int] = field(factory=dict)


@peer_message("sx")
@frozen
class ShareReset:
    """Ask a router to begin a new session, since this one is not known here."""

    session: int
