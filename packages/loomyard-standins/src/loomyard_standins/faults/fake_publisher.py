"""What the operators of a fake fleet publish, and the log that forgets it."""

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
    from loomyard_standins.faults.sightings import Sightings
    from loomyard_standins.log_service import MemoryLog

GENERATION_PREFIX = "generation-"
YOUNG_SECONDS = 4.0


class FakePublisher:
    """Publish changes of the configuration and trim the log.

    ``hastened`` says that routers rely on snapshots, so that old changes may go.
    """

    def __init__(
        self,
        clock: Clock,
        log: MemoryLog,
        routers: Mapping[str, FakeRouter],
        sightings: Sightings,
        *,
        hastened: bool,
    ) -> None:
        self.generation = 0
        self._clock = clock
        self._log = log
        self._routers = routers
        self._sightings = sightings
        self._hastened = hastened
        self._ends: list[tuple[float, int]] = []

    def publish(self, objects: list[ConfigObject]) -> bool:
        """Append a change of new objects; false where the log service refuses."""
        return self._append([Put(object=o) for o in objects])

    def replace(self, item: ConfigObject) -> bool:
        """Append a change of an object that is configured."""
        follower = next(iter(self._routers.values())).application.components.follower
        based_on = follower.state.get(ref_of(item)).version
        return self._append([Put(object=item, based_on=based_on)])

    def publish_generation(self) -> None:
        """Publish a service whose presence callers can see."""
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
                if not (router.points.paused or router.points.log_cut or router.points.dead)
            )
            self._sightings.generations[self.generation] = (self._clock.now(), reachable)

    def publish_race(self) -> None:
        """Publish two changes of which only one can be accepted."""
        for name in ("race-a", "race-b"):
            self.publish(
                [
                    Service(metadata=Metadata(name=name)),
                    Route(metadata=Metadata(name="race"), service=name, targets="kind=engine"),
                ]
            )

    def trim_log(self) -> None:
        """Forget all records but those younger than the retention that routers rely on.

        Hastened, that leaves claims, whose window is shorter, snapshots, and what was published
        in the last seconds or is in no snapshot yet.
        """
        for stream in self._log.streams:
            if not self._hastened:
                self._log.trim(stream, self._log.end(stream))
            elif stream == CONFIG_STREAM and SNAPSHOT_STREAM in self._log.streams:
                self._log.trim(stream, self._old_end())

    def _append(self, puts: list[Put]) -> bool:
        change = Change(change_id=secrets.token_hex(8), puts=puts)
        appended = self._log.append(CONFIG_STREAM, encode(change))
        self._ends.append((self._clock.now(), self._log.end(CONFIG_STREAM)))
        return isinstance(appended, Ok)

    def _old_end(self) -> int:
        young = self._clock.now() - YOUNG_SECONDS
        return max((end for at, end in self._ends if at <= young), default=0)
