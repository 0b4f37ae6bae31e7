"""The message that another router goes on with a stream."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True)
class StreamTaken:
    """The attempt whose caller resumed at the sender."""

    attempt_id: str
