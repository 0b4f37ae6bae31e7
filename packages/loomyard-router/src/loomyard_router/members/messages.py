"""The datagrams of membership."""

from __future__ import annotations

from enum import IntEnum

from attrs import field, frozen


class Liveness(IntEnum):
    """What is believed of a router's process; at one version the greater one holds."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@frozen
class MemberUpdate:
    """What is believed of a router.

    ``refutation`` counts up within an incarnation, by the router itself only.
    """

    name: str
    incarnation: int
    refutation: int
    liveness: Liveness
    address: str
    data_centre: str
    leaving: bool = False

    @property
    def version(self) -> tuple[int, int, int]:
        """Return what decides which of two updates holds."""
        return self.incarnation, self.refutation, self.liveness


@frozen
class Item:
    """An announced item; ``tenths`` of a second are left of its life."""

    topic: str
    key: str
    value: int
    tenths: int


class DatagramKind(IntEnum):
    """What a datagram asks or answers."""

    PING = 0
    ACK = 1
    INDIRECT_PING = 2


@frozen
class Datagram:
    """A ping, an answer, or the wish that another router be pinged, with news.

    ``digest`` sums up the sender's table, so that equal tables cost no news. ``target`` is the
    address to ping indirectly.
    """

    kind: DatagramKind
    sender: str
    incarnation: int
    refutation: int
    sequence: int
    nonce: int
    digest: int
    updates: list[MemberUpdate] = field(factory=list)
    items: list[Item] = field(factory=list)
    target: str = ""
