"""How far a router has come in a feed, for metrics."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True)
class FeedState:
    """The next offset here and the highest that was announced; -1 where none is known.

    ``silent`` is the seconds since the store last answered on the feed, to this router or to the
    reader at which it waits.
    """

    name: str
    next_offset: int
    announced_offset: int
    silent: float
