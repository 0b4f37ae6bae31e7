"""A target that announced itself."""

from __future__ import annotations

from attrs import field, frozen

from loomyard_router.announced.target_incarnation import TargetIncarnation, name_life
from loomyard_router.feeds.feed_position import NO_POSITION, FeedPosition


@frozen(kw_only=True)
class AnnouncedTarget:
    """A target as it announced itself last; ``address`` is ``host:port``.

    ``born`` is when this life of it began, in Unix milliseconds, ``None`` where the target does not
    say so and its id is new at each start. ``cold_seconds`` is for how long it stays cold from the
    announcement on, which stands at ``position`` of the feed.
    """

    id: str
    service: str
    address: str
    data_centre: str = ""
    slots: int = 1
    draining: bool = False
    born: int | None = None
    cold_seconds: float = 0.0
    position: FeedPosition = field(default=NO_POSITION, eq=False)
    incarnation: TargetIncarnation = field(init=False, repr=False)

    @incarnation.default
    def _name_life(self) -> TargetIncarnation:
        return name_life(self.id, self.born)
