"""The announcement of a target."""

from __future__ import annotations

from attrs import field, frozen

from loomyard_router.announced.target_incarnation import TargetLife, make_incarnation
from loomyard_router.feeds.feed_position import NO_POSITION, FeedPosition


@frozen(kw_only=True)
class AnnouncedTarget:
    """A target as it last announced itself; ``address`` is ``host:port``.

    ``born`` is the start of this incarnation in Unix milliseconds, ``None`` for targets that don't
    announce it and have a new id at each start. ``software_version`` is empty for targets that
    announce none. ``cold_seconds`` is how long the target stays cold after the announcement, whose
    place in the feed is ``position``.
    """

    id: str
    service: str
    address: str
    data_centre: str = ""
    software_version: str = ""
    slots: int = 1
    draining: bool = False
    born: int | None = None
    cold_seconds: float = 0.0
    position: FeedPosition = field(default=NO_POSITION, eq=False)
    incarnation: TargetLife = field(init=False, repr=False)

    @incarnation.default
    def _make_incarnation(self) -> TargetLife:
        return make_incarnation(self.id, self.born)
