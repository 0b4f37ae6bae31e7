"""The answer to a caller's request."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import field, frozen


@frozen(kw_only=True)
class Answer:
    """Status, headers and a body that is read as it arrives.

    ``request_id`` is the id to tell the caller where it is more than that of the request, as it
    is for a stream that can be resumed.
    """

    status: int
    headers: list[tuple[str, str]] = field(factory=list)
    body: Iterable[bytes]
    request_id: str = ""
