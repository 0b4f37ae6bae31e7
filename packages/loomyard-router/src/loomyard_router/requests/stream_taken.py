"""Message to the router that served a stream: its caller resumed it at another one."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True)
class StreamTaken:
    """The attempt whose stream was resumed at the sending router."""

    attempt_id: str
