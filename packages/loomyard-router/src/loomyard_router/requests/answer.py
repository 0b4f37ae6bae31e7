"""The answer to a caller's request."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import field, frozen


@frozen(kw_only=True)
class Answer:
    """Status, headers and a body that is read as it arrives.

    ``request_id`` is the id that the caller gets instead of that of the request, as for a stream
    that can be resumed; empty otherwise.
    """

    status: int
    headers: list[tuple[str, str]] = field(factory=list)
    body: Iterable[bytes]
    request_id: str = ""
