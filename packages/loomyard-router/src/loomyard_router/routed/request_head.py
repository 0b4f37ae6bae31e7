"""What a caller says of its request besides method, path and body."""

from __future__ import annotations

from attrs import field, frozen


@frozen
class PromptPart:
    """A part of a prompt by which engines keep it, and its size in tokens."""

    id: str
    tokens: int


@frozen(kw_only=True)
class RequestHead:
    """A head as decoded from the caller's headers.

    ``deadline`` is monotonic; ``passed`` are the headers that the target gets, in their order;
    ``last_event`` is the id after which a stream goes on.
    """

    attempt_id: str
    deadline: float
    key: str = field(default="", repr=False)
    forwarded_headers: list[tuple[str, str]] = field(factory=list, repr=False)
    prompt: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    output_hint: int | None = None
    last_event: str = ""
