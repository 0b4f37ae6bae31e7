"""Configuration changes by fake operators, and trimming of the log."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from result import Ok

from loomyard.codec import encode
from loomyard.configuration import Change, Put
from loomyard.objects import ConfigObject, Metadata, Route, Service, ref_of
from loomyard_router.configuration.follower import CONFIG_STREAM
from loomyard_router.configuration.log_snapshots import SNAPSHOT_STREAM

if TYPE_CHECKING:
    from collections.abc import Mapping

    from loomyard.clock import Clock
    from loomyard_standins.faults.fake_router import FakeRouter
    from loomyard_standins.faults.observations import Observations
    from loomyard_standins.log_service import MemoryLog

GENERATION_PREFIX = "generation-"
RECENT_SECONDS = 4.0  # younger changes may be in no snapshot yet


class FakePublisher:
    """Publish configuration changes and trim the log.

    With ``short_times`` routers write snapshots, so that old changes may be trimmed.
    """

    def __init__(
        self,
        clock: Clock,
        log: MemoryLog,
        routers: Mapping[str, FakeRouter],
        observations: Observations,
        *,
        short_times: bool,
    ) -> None:
        self.generation = 0
        self._clock = clock
        self._log = log
        self._routers = routers
        self._observations = observations
        self._short_times = short_times
        self._end_offsets: list[tuple[float, int]] = []

    def publish(self, objects: list[ConfigObject]) -> bool:
        """Append a change that adds objects; return false if the log service refuses."""
        return self._append([Put(object=o) for o in objects])

    def replace(self, item: ConfigObject) -> bool:
        """Append a change that replaces a configured object."""
        follower = next(iter(self._routers.values())).application.components.follower
        based_on = follower.state.get(ref_of(item)).version
        return self._append([Put(object=item, based_on=based_on)])

    def publish_generation(self) -> None:
        """Publish the next generation: a service that appears in the model lists of callers."""
        self.generation += 1
        name = f"{GENERATION_PREFIX}{self.generation}"
        objects: list[ConfigObject] = [
            Service(metadata=Metadata(name=name)),
            Route(metadata=Metadata(name=name), service=name, targets="kind=engine"),
        ]
        if self.publish(objects):
            reachable = frozenset(
                name
                for name, router in self._routers.items()
                if not (router.points.paused or router.points.log_unreachable or router.points.dead)
            )
            self._observations.generations[self.generation] = (self._clock.now(), reachable)

    def publish_race(self) -> None:
        """Publish two conflicting changes, of which only one can be accepted."""
        for name in ("race-a", "race-b"):
            self.publish(
                [
                    Service(metadata=Metadata(name=name)),
                    Route(metadata=Metadata(name="race"), service=name, targets="kind=engine"),
                ]
            )

    def trim_log(self) -> None:
        """Trim every stream completely, or with short times only old configuration changes.

        Those are older than ``RECENT_SECONDS``, and trimmed only once a snapshot exists. Claims
        stay then, since their window is shorter than the retention on which routers rely.
        """
        for stream in self._log.streams:
            if not self._short_times:
                self._log.trim(stream, self._log.end(stream))
            elif stream == CONFIG_STREAM and SNAPSHOT_STREAM in self._log.streams:
                self._log.trim(stream, self._trim_offset())

    def _append(self, puts: list[Put]) -> bool:
        change = Change(change_id=secrets.token_hex(8), puts=puts)
        appended = self._log.append(CONFIG_STREAM, encode(change))
        self._end_offsets.append((self._clock.now(), self._log.end(CONFIG_STREAM)))
        return isinstance(appended, Ok)

    def _trim_offset(self) -> int:
        recent_since = self._clock.now() - RECENT_SECONDS
        return max((end for at, end in self._end_offsets if at <= recent_since), default=0)
