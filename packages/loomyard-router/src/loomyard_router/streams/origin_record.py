"""The record of what began a stream."""

from __future__ import annotations

from attrs import frozen

from loomyard_router.streams.stream_origin import StreamOrigin


@frozen(kw_only=True)
class OriginRecord:
    """The origin of a stream by the id of the attempt that brought its first event.

    ``router`` and ``incarnation`` are of the router that serves the stream or sent the record;
    ``until`` is the monotonic time of the expiry.
    """

    attempt_id: str
    origin: StreamOrigin
    router: str
    incarnation: int
    until: float
