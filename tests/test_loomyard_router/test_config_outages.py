"""How long after a silent outage of the log service the last router has a configuration.

The log service has the cause of the platform's store: what it does not answer in an outage it never
answers, and a read that hangs so must not pass for a quiet stream longer than the bound.
"""

from __future__ import annotations

import itertools
import random
import unittest

from result import Err, Ok, Result

from loomyard.codec import encode
from loomyard.configuration import CONFIG_STREAM, Change, Put
from loomyard.errors import Fault, ResultCode
from loomyard.objects import ClientAccount, Metadata
from loomyard.outside.http_log import READ_TIMEOUT
from loomyard.outside.log_service import LogBatch, LogRecord
from loomyard_router.configuration.follower import ConfigFollower
from loomyard_router.configuration.peer_configuration import PeerConfiguration
from loomyard_standins.memory_datagrams import DatagramNetwork
from loomyard_standins.memory_network import MemoryNetwork
from loomyard_standins.stepped_clock import SteppedClock
from test_loomyard_router.test_feeds.feed_fleet import SETTLED, make_members

# Seconds from an acknowledgement after the outage to the last router.
BOUND = 2.5
OUTAGES = (1.0, 2.3, 4.1, 6.2, 7.7)
ROUTERS = 7
# How long before the outage a change is acknowledged; reads begin anew at once.
LEADS = (0.0, 0.4, 0.9, 1.4)
LOOK = 0.05


class SteppedLog:
    """The log as one router sees it; reads due in a silent outage end with the client's timeout."""

    def __init__(self, clock: SteppedClock) -> None:
        self.silent = False
        self.records: list[bytes] = []
        self._clock = clock

    def read(
        self, stream: str, offset: int, *, limit: int = 1000, wait: float = 0.0
    ) -> Result[LogBatch, Fault]:
        began = self._clock.now()
        while not self.silent and offset >= len(self.records):
            if self._clock.now() >= began + wait:
                break
            self._clock.sleep(LOOK)
        if self.silent:
            self._clock.sleep(began + READ_TIMEOUT - self._clock.now())
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


class ConfigFleetOnLog:
    """Routers that follow the configuration and hear it from each other."""

    def __init__(self) -> None:
        self.clock = SteppedClock()
        self.log = SteppedLog(self.clock)
        self.publish()
        network = MemoryNetwork()
        datagrams = DatagramNetwork(seed=1)
        self.parts: list[object] = []
        self.followers: list[ConfigFollower] = []
        for number in range(ROUTERS):
            members = make_members(f"r{number}", self.clock, datagrams, seed=number)
            follower = ConfigFollower(self.log, self.clock)
            peers = PeerConfiguration(
                clock=self.clock,
                follower=follower,
                peers=network.join(members.own),
                members=members,
                choice=random.Random(number),
            )
            self.followers.append(follower)
            for part in (members, follower, peers):
                part.start()
                self.parts.append(part)
        self.run(SETTLED)

    def run(self, seconds: float) -> None:
        self.clock.run(self.clock.now() + seconds)

    def publish(self) -> int:
        """Acknowledge a change; return its version."""
        number = len(self.log.records)
        account = ClientAccount(metadata=Metadata(name="kiosk"), weight=1.0 + number)
        put = Put(object=account, based_on=number - 1)
        change = Change(change_id=f"c{number}", puts=[put])
        return self.log.append(CONFIG_STREAM, encode(change)).unwrap()

    def seconds_to_last(self, version: int) -> float:
        began = self.clock.now()
        while min(follower.state.applied for follower in self.followers) < version:
            self.run(LOOK)
            if self.clock.now() - began > 3 * BOUND:
                break
        return self.clock.now() - began

    def stop(self) -> None:
        for part in self.parts:
            part.stop()  # type: ignore[attr-defined]
        self.run(0.0)


class ConfigOutageTest(unittest.TestCase):
    def test_a_change_after_a_silent_outage_reaches_the_last_router_in_time(self) -> None:
        for lead, outage in itertools.product(LEADS, OUTAGES):
            with self.subTest(lead=lead, outage=outage):
                fleet = ConfigFleetOnLog()
                self.addCleanup(fleet.stop)
                fleet.publish()
                fleet.run(lead)
                fleet.log.silent = True
                fleet.run(outage)
                fleet.log.silent = False
                self.assertLessEqual(fleet.seconds_to_last(fleet.publish()), BOUND)


if __name__ == "__main__":
    unittest.main()
