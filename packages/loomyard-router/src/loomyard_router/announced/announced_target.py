"""A target that announced itself."""

from __future__ import annotations

from attrs import field, frozen

from loomyard_router.announced.target_life import TargetLife, name_life
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
    life: TargetLife = field(init=False, repr=False)

    @life.default
    def _name_life(self) -> TargetLife:
        return name_life(self.id, self.born)
