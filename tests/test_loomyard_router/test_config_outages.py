"""Tests how soon a change reaches all routers after an outage of the log service.

A log service that stops answering never answers the reads that are pending then. A follower that
takes such a read for a long poll without records would apply the next change too late.
"""

from __future__ import annotations

import itertools
import random
import unittest

from result import Err, Ok, Result

from loomyard.codec import encode
from loomyard.configuration import CONFIG_STREAM, Change, Put
from loomyard.errors import Fault, ResultCode
from loomyard.external.http_log import READ_TIMEOUT_SECONDS
from loomyard.external.log_service import LogBatch, LogRecord
from loomyard.objects import ClientAccount, Metadata
from loomyard_router.configuration.follower import ConfigFollower
from loomyard_router.configuration.peer_configuration import PeerConfiguration
from loomyard_standins.memory_datagrams import DatagramNetwork
from loomyard_standins.memory_network import MemoryNetwork
from loomyard_standins.stepped_clock import SteppedClock
from test_loomyard_router.test_feeds.feed_fleet import SETTLE_SECONDS, make_members

# Most seconds from the acknowledgement of a change after the outage until all have applied it.
MAX_SECONDS = 2.5
OUTAGE_SECONDS = (1.0, 2.3, 4.1, 6.2, 7.7)
ROUTERS = 7
# Seconds between a change, after which all followers start a new read, and the outage.
LEAD_SECONDS = (0.0, 0.4, 0.9, 1.4)
POLL_SECONDS = 0.05


class SteppedLog:
    """A log whose reads end with the client's timeout while it is unresponsive."""

    def __init__(self, clock: SteppedClock) -> None:
        self.unresponsive = False
        self.records: list[bytes] = []
        self._clock = clock

    def read(
        self, stream: str, offset: int, *, limit: int = 1000, wait: float = 0.0
    ) -> Result[LogBatch, Fault]:
        began = self._clock.now()
        while not self.unresponsive and offset >= len(self.records):
            if self._clock.now() >= began + wait:
                break
            self._clock.sleep(POLL_SECONDS)
        if self.unresponsive:
            self._clock.sleep(began + READ_TIMEOUT_SECONDS - self._clock.now())
            return Err(Fault(code=ResultCode.LOG_UNAVAILABLE, detail="timed out"))
        records = tuple(
            LogRecord(number, payload)
            for number, payload in enumerate(self.records)
            if number >= offset
        )
        return Ok(LogBatch(0, len(self.records), records))

    def append(self, stream: str, payload: bytes) -> Result[int, Fault]:
        assert stream == CONFIG_STREAM
        self.records.append(payload)
        return Ok(len(self.records) - 1)


class OutageFleet:
    """Routers that read the configuration from one log and from each other."""

    def __init__(self) -> None:
        self.clock = SteppedClock()
        self.log = SteppedLog(self.clock)
        self.publish()
        network = MemoryNetwork()
        datagrams = DatagramNetwork(seed=1)
        self.components: list[object] = []
        self.followers: list[ConfigFollower] = []
        for number in range(ROUTERS):
            members = make_members(f"r{number}", self.clock, datagrams, seed=number)
            follower = ConfigFollower(self.log, self.clock)
            peers = PeerConfiguration(
                clock=self.clock,
                follower=follower,
                peers=network.join(members.own),
                members=members,
                rng=random.Random(number),
            )
            self.followers.append(follower)
            for component in (members, follower, peers):
                component.start()
                self.components.append(component)
        self.run(SETTLE_SECONDS)

    def run(self, seconds: float) -> None:
        self.clock.run(self.clock.now() + seconds)

    def publish(self) -> int:
        """Append a change and return its version."""
        number = len(self.log.records)
        account = ClientAccount(metadata=Metadata(name="kiosk"), weight=1.0 + number)
        put = Put(object=account, based_on=number - 1)
        change = Change(change_id=f"c{number}", puts=[put])
        return self.log.append(CONFIG_STREAM, encode(change)).unwrap()

    def seconds_until_applied(self, version: int) -> float:
        """Run until all routers have applied a version; return the seconds that it took."""
        began = self.clock.now()
        while min(follower.state.applied for follower in self.followers) < version:
            self.run(POLL_SECONDS)
            if self.clock.now() - began > 3 * MAX_SECONDS:
                break
        return self.clock.now() - began

    def stop(self) -> None:
        for component in self.components:
            component.stop()  # type: ignore[attr-defined]
        self.run(0.0)


class ConfigOutageTest(unittest.TestCase):
    def test_a_change_after_an_outage_reaches_all_routers_in_time(self) -> None:
        for lead, outage in itertools.product(LEAD_SECONDS, OUTAGE_SECONDS):
            with self.subTest(lead=lead, outage=outage):
                fleet = OutageFleet()
                self.addCleanup(fleet.stop)
                fleet.publish()
                fleet.run(lead)
                fleet.log.unresponsive = True
                fleet.run(outage)
                fleet.log.unresponsive = False
                self.assertLessEqual(fleet.seconds_until_applied(fleet.publish()), MAX_SECONDS)


if __name__ == "__main__":
    unittest.main()
