"""Tests that slots of a target count only for the services that it has loaded."""

from __future__ import annotations

import unittest

from loomyard.configuration import Change, ConfigState, Put, fold
from loomyard.objects import ClientAccount, Metadata, Route, Service, Target
from loomyard.routing import Routing
from loomyard_router.shares.capacity import Capacity
from loomyard_router.shares.short_ids import short_id
from loomyard_router.targets.directory import ConfiguredTargets


class LoadingTargets(ConfiguredTargets):
    """A directory whose loaded services a test sets."""

    loaded = "assistant"

    def may_send(self, name: str, service: str = "") -> bool:
        return super().may_send(name) and service in ("", self.loaded)


class LoadableCapacityTest(unittest.TestCase):
    def test_only_loaded_services_get_slots(self) -> None:
        target = Target(
            metadata=Metadata(name="a"),
            url="http://a",
            services=["assistant"],
            loadable=["tagger"],
        )
        services = ("assistant", "tagger")
        objects = [target, ClientAccount(metadata=Metadata(name="kiosk"))]
        objects += [Service(metadata=Metadata(name=name)) for name in services]
        objects += [Route(metadata=Metadata(name=name), service=name) for name in services]
        change = Change(change_id="c", puts=[Put(object=item) for item in objects])
        routing = Routing(fold(ConfigState(), 0, change)[0])
        directory = LoadingTargets()
        capacity = Capacity(directory)
        for part in (directory, capacity):
            part.reconfigure(routing)
        for loaded in ("assistant", "tagger", "assistant"):
            directory.loaded = loaded
            found = [s for s in services if capacity.targets(short_id("kiosk"), short_id(s))]
            self.assertEqual(found, [loaded])
            self.assertEqual(capacity.services(short_id("a")), [short_id(loaded)])


if __name__ == "__main__":
    unittest.main()
