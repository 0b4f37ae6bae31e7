"""Distribution of the configuration by snapshots and between routers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from loomyard_router.configuration.log_snapshots import LogSnapshots
from loomyard_router.configuration.peer_configuration import PeerConfiguration
from loomyard_router.configuration.snapshot_writer import SnapshotWriter

if TYPE_CHECKING:
    from loomyard_router.components import Platform
    from loomyard_router.configuration.follower import ConfigFollower
    from loomyard_router.members.membership import Membership
    from loomyard_router.peers.links import PeerLinks


@frozen(eq=False)
class ConfigDistribution:
    """Exchange of the configuration with peers, and the writer of snapshots."""

    peers: PeerConfiguration
    writer: SnapshotWriter

    def start(self) -> None:
        """Start the tasks."""
        self.peers.start()
        self.writer.start()

    def stop(self) -> None:
        """End the tasks."""
        self.writer.stop()
        self.peers.stop()


def make_distribution(
    platform: Platform,
    follower: ConfigFollower,
    members: Membership,
    peers: PeerLinks,
    *,
    retention: float,
) -> ConfigDistribution:
    """Wire snapshots and peers as state sources of a follower, and provide both to other routers.

    ``retention`` is the retention of the log in seconds.
    """
    snapshots = LogSnapshots(platform.log)
    peer_configuration = PeerConfiguration(
        clock=platform.clock, follower=follower, peers=peers, members=members
    )
    follower.add_state_source(snapshots)
    follower.add_state_source(peer_configuration)
    writer = SnapshotWriter(
        log=platform.log,
        clock=platform.clock,
        follower=follower,
        snapshots=snapshots,
        members=members,
        retention=retention,
    )
    return ConfigDistribution(peer_configuration, writer)
