"""The datagrams of membership."""

from __future__ import annotations

from enum import IntEnum

from attrs import field, frozen


class Liveness(IntEnum):
    """The liveness of a router; of two updates alike otherwise the greater one prevails."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@frozen
class MemberUpdate:
    """The state of a router, as gossiped.

    ``refutation`` counts within an incarnation; only the router itself increases it.
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
        """Return the version; of two updates of a router the greater one prevails."""
        return self.incarnation, self.refutation, self.liveness


@frozen
class Item:
    """An announced item, which expires in ``tenths`` of a second."""

    topic: str
    key: str
    value: int
    tenths: int


class DatagramKind(IntEnum):
    """The purpose of a datagram."""

    PING = 0
    ACK = 1
    INDIRECT_PING = 2


@frozen
class Datagram:
    """A ping, its answer or the request to ping another router, with gossip.

    ``digest`` is that of the sender's table and items; where digests are equal, no old updates are
    sent. ``target`` is the address to ping indirectly.
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
