"""Messages between the router that keeps the places of a target and those that want them."""

from __future__ import annotations

from attrs import field, frozen

from loomyard_router.admission.prefill_estimate import PrefillEstimate
from loomyard_router.announced.target_incarnation import TargetIncarnation
from loomyard_router.peers.message_types import peer_message


@peer_message("pr")
@frozen(kw_only=True)
class PlaceRequest:
    """Ask for a place; ``ticket`` is a number that the asking router never used before.

    ``level`` is what its client account got lately in the whole fleet, in tokens: of those that
    wait, the least goes first. ``used`` is that in parts of its share, 0 where none is known;
    beyond 1 the account finds a part of the room only. ``prompt`` is in tokens; ``own`` is the part
    of it that no other request has, by which it is known again when its caller comes back;
    ``parts`` are those that others share, by id with their tokens. ``wait`` is in milliseconds; so
    is ``patience``, the time in which the answer has to begin, 0 where nothing bounds it.
    ``target`` names the life of a target; ``cold_rate`` is how many requests a second it may get
    while it is cold, 0 for a warm one. ``apart`` asks for a place at a target where no other such
    request has just begun.
    """

    target: TargetIncarnation
    slots: int
    ticket: int
    level: int
    prompt: int = 0
    own: str = ""
    parts: list[tuple[str, int]] = field(factory=list)
    patience: int = 0
    wait: int = 0
    used: float = 0.0
    cold_rate: float = 0.0
    apart: bool = False

    @property
    def beyond(self) -> bool:
        """Tell whether the account has had its share."""
        return self.used > 1.0


@peer_message("pa")
@frozen(kw_only=True)
class PlaceAnswer:
    """Whether the place was given, how many are taken of the target, and what it is expected to do.

    ``objection`` says why there was no place. The first event is expected after ``first_event``
    milliseconds. ``pace`` is what the keeper believes of the target, ``None`` before any answer.
    """

    granted: bool
    taken: int
    objection: str = ""
    first_event: int = 0
    pace: PrefillEstimate | None = None


@peer_message("pe")
@frozen(kw_only=True)
class PromptsRead:
    """Places whose prompts were read: the first of their answers has come."""

    tickets: list[int] = field(factory=list)


@peer_message("pl")
@frozen(kw_only=True)
class PlacesReleased:
    """Places that the sender gives back."""

    tickets: list[int] = field(factory=list)


@peer_message("ph")
@frozen(kw_only=True)
class PlacesHeld:
    """All places that the sender holds at targets of the receiver, by target.

    ``paces`` are what the sender last heard of the pace of targets of the receiver, which may have
    become their keeper just now.
    """

    held: dict[TargetIncarnation, list[int]] = field(factory=dict)
    paces: dict[TargetIncarnation, PrefillEstimate] = field(factory=dict)
