"""Messages between the slot owner of a target and the routers that want its slots."""

from __future__ import annotations

from attrs import field, frozen

from loomyard_router.admission.prefill_estimate import PrefillEstimate
from loomyard_router.announced.target_incarnation import TargetLife
from loomyard_router.peers.message_types import peer_message


@peer_message("pr")
@frozen(kw_only=True)
class SlotRequest:
    """Request a slot; ``permit`` is a number that the requesting router uses only once.

    ``usage`` is that of the client account in the whole fleet, in tokens: of the pending requests
    the one with the least usage is served first. ``share_used`` is the usage as a multiple of the
    account's share, 0 where the share is not known; above 1 the account may use only a fraction of
    the slots and of the prefill time. ``prompt_tokens`` is the size of the whole prompt;
    ``unshared_part`` is the id of the part that no other request has, by which the prompt is
    recognized when its caller retries; ``shared_parts`` are the other parts, as pairs of id and
    tokens. ``wait_ms`` is how long the request may wait for a slot; ``first_token_ms`` is the time
    until the first token is due, 0 without a bound. ``cold_rate`` is how many requests a second
    the target may get while it is cold, 0 for a warm one. ``isolated`` asks for a target where no
    other such request has just started.
    """

    target: TargetLife
    slots: int
    permit: int
    usage: int
    prompt_tokens: int = 0
    unshared_part: str = ""
    shared_parts: list[tuple[str, int]] = field(factory=list)
    first_token_ms: int = 0
    wait_ms: int = 0
    share_used: float = 0.0
    cold_rate: float = 0.0
    isolated: bool = False

    @property
    def over_share(self) -> bool:
        """Tell whether the account is over its share."""
        return self.share_used > 1.0


@peer_message("pa")
@frozen(kw_only=True)
class SlotReply:
    """Whether the slot was granted, and the slots of the target that are in use or waited for.

    ``refusal_reason`` is a value of ``RefusalReason``, empty where the slot was granted.
    ``ttft_ms`` is the predicted time to first token. ``estimate`` is the owner's current estimate
    of the target, ``None`` for a request without a prompt.
    """

    granted: bool
    slots_in_use: int
    refusal_reason: str = ""
    ttft_ms: int = 0
    estimate: PrefillEstimate | None = None


@peer_message("pe")
@frozen(kw_only=True)
class PromptsRead:
    """Permits whose prompts have been read, as the first tokens of their answers have come."""

    permits: list[int] = field(factory=list)


@peer_message("pl")
@frozen(kw_only=True)
class SlotsReleased:
    """Permits that the sender releases."""

    permits: list[int] = field(factory=list)


@peer_message("ph")
@frozen(kw_only=True)
class SlotsHeld:
    """Renewal of all permits that the sender holds at targets of the receiver, by target.

    ``estimates`` are the prefill estimates that the sender last received of these targets; the
    receiver may have become their slot owner just now.
    """

    held: dict[TargetLife, list[int]] = field(factory=dict)
    estimates: dict[TargetLife, PrefillEstimate] = field(factory=dict)
