"""Messages between the router that keeps the places of a target and those that want them."""

from __future__ import annotations

from attrs import field, frozen

from loomyard_router.peers.message_types import peer_message


@peer_message("pr")
@frozen(kw_only=True)
class PlaceRequest:
    """Ask for a place; ``ticket`` is a number that the asking router never used before.

    ``cost`` is in tokens, ``wait`` in milliseconds.
    """

    target: str
    slots: int
    ticket: int
    account: str
    cost: int
    wait: int = 0


@peer_message("pa")
@frozen(kw_only=True)
class PlaceAnswer:
    """Whether the place was given, and how many are taken of the target."""

    granted: bool
    taken: int


@peer_message("pl")
@frozen(kw_only=True)
class PlacesReleased:
    """Places that the sender gives back."""

    tickets: list[int] = field(factory=list)


@peer_message("ph")
@frozen(kw_only=True)
class PlacesHeld:
    """All places that the sender holds at targets of the receiver, by target."""

    held: dict[str, list[int]] = field(factory=dict)
