"""Fleet of routers reduced to their configuration, for tests and benchmarks."""

from __future__ import annotations

import random

from attrs import define

from loomyard.codec import encode
from loomyard.configuration import (
    CONFIG_STREAM,
    Change,
    ConfigState,
    Put,
    SnapshotPart,
    fold_record,
)
from loomyard.objects import ClientAccount, Metadata
from loomyard_router.configuration.follower import ConfigFollower
from loomyard_router.configuration.log_snapshots import SNAPSHOT_STREAM, LogSnapshots
from loomyard_router.configuration.peer_configuration import PeerConfiguration
from loomyard_router.configuration.snapshot_writer import SnapshotWriter
from loomyard_router.members.membership import Member
from loomyard_standins.fake_clock import FakeClock
from loomyard_standins.log_service import MemoryLog
from loomyard_standins.memory_network import MemoryNetwork, MemoryPeers

RETENTION_SECONDS = 1000.0


class StaticMembers:
    """Membership in which every member is alive."""

    def __init__(self, own: Member, members: list[Member]) -> None:
        self.own = own
        self._members = members

    def find(self, name: str) -> Member | None:
        return next((member for member in self._members if member.name == name), None)

    def live(self) -> tuple[Member, ...]:
        return tuple(self._members)


@define(eq=False)
class ConfigRouter:
    """Components of a router that follow, exchange and snapshot the configuration."""

    members: StaticMembers
    links: MemoryPeers
    follower: ConfigFollower
    peers: PeerConfiguration
    writer: SnapshotWriter

    @property
    def state(self) -> ConfigState:
        return self.follower.state


class ConfigFleet:
    """Log service and routers on a fake clock; the test runs each component explicitly."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.log = MemoryLog()
        self.network = MemoryNetwork()
        self.members: list[Member] = []
        self.written: list[bytes] = []

    def start(self, name: str) -> ConfigRouter:
        """Create a router with an empty state; it replaces an earlier one of the same name."""
        member = Member(name=name, incarnation=1, address="", data_centre="")
        if all(other.name != name for other in self.members):
            self.members.append(member)
        members = StaticMembers(member, self.members)
        follower = ConfigFollower(self.log, self.clock)
        snapshots = LogSnapshots(self.log)
        links = self.network.join(member)
        peers = PeerConfiguration(
            clock=self.clock,
            follower=follower,
            peers=links,
            members=members,
            rng=random.Random(0),
        )
        follower.add_state_source(snapshots)
        follower.add_state_source(peers)
        writer = SnapshotWriter(
            log=self.log,
            clock=self.clock,
            follower=follower,
            snapshots=snapshots,
            members=members,
            retention=RETENTION_SECONDS,
        )
        return ConfigRouter(members, links, follower, peers, writer)

    def append(self, weight: float, based_on: int = -1) -> int:
        """Append a change that sets the weight of the sample account; return its offset."""
        account = ClientAccount(metadata=Metadata(name="kiosk"), weight=weight)
        number = len(self.written)
        record = Change(change_id=f"c{number}", puts=[Put(object=account, based_on=based_on)])
        return self.append_record(encode(record))

    def append_record(self, payload: bytes) -> int:
        """Append an encoded record to the configuration stream; return its offset."""
        offset = self.log.append(CONFIG_STREAM, payload).unwrap()
        self.written.append(payload)
        return offset

    def append_parts(self, parts: tuple[SnapshotPart, ...]) -> None:
        """Append the parts of a snapshot to the snapshot stream."""
        for part in parts:
            self.log.append(SNAPSHOT_STREAM, encode(part))

    def append_changes(self, count: int) -> None:
        """Append changes of one object, each based on the version before it."""
        newest = len(self.written) - 1
        for offset in range(newest, newest + count):
            self.append(1.0 + offset % 7 if offset >= 0 else 1.0, offset)

    def fold_all(self) -> ConfigState:
        """Return the state that results from all records appended so far."""
        state = ConfigState()
        for offset, payload in enumerate(self.written):
            state = fold_record(state, offset, payload).state
        return state
