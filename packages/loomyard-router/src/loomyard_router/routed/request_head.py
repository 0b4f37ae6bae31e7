"""Decoded headers of a caller's request."""

from __future__ import annotations

from attrs import field, frozen


@frozen
class PromptPart:
    """A part of a prompt under the id by which engines cache it, and its size in tokens."""

    id: str
    tokens: int


@frozen(kw_only=True)
class RequestHead:
    """Decoded headers of a request.

    ``deadline`` is in seconds of the monotonic clock; ``forwarded_headers`` go to the target in
    this order. Of a request that continues a stream, ``last_event_id`` is the id of the last event
    that its caller has, and ``resumed_attempt_id`` the id of the attempt that brought the first.
    """

    attempt_id: str
    deadline: float
    key: str = field(default="", repr=False)
    model: str = ""
    forwarded_headers: list[tuple[str, str]] = field(factory=list, repr=False)
    prompt: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    output_hint: int | None = None
    last_event_id: str = ""
    resumed_attempt_id: str = ""
