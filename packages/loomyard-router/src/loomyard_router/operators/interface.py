"""The operators' interface of a router: its parts and its listener."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard.util.addresses import split_address
from loomyard.util.optional_listener import OptionalListener
from loomyard_router.configuration.log_snapshots import LogSnapshots
from loomyard_router.operators.app import OperatorsApp
from loomyard_router.operators.changes import ChangePublisher
from loomyard_router.operators.explanations import Explanations
from loomyard_router.operators.fleet_status import FleetStatus
from loomyard_router.operators.keys import OperatorKeys
from loomyard_router.operators.restores import Restores
from loomyard_router.operators.router_drains import RouterDrains
from loomyard_router.operators.server import OperatorServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard_router.parts import Parts, Platform
    from loomyard_router.settings import Settings


class OperatorsInterface(OptionalListener):
    """Answer operators on a listener of their own; without an address only peers are answered."""


def make_operators_interface(
    settings: Settings,
    platform: Platform,
    parts: Parts,
    *,
    stopping: Callable[[], bool],
    begin_stop: Callable[[], None],
) -> OperatorsInterface:
    """Wire the operators' interface and register its messages between routers."""
    clock, follower, members, peers = platform.clock, parts.follower, parts.members, parts.peers
    status = FleetStatus(
        clock=clock, follower=follower, members=members, peers=peers, stopping=stopping
    )
    app = OperatorsApp(
        keys=OperatorKeys(settings.operator_keys),
        follower=follower,
        changes=ChangePublisher(clock=clock, log=platform.log, follower=follower, status=status),
        status=status,
        explanations=Explanations(clock=clock, journal=parts.journal, members=members, peers=peers),
        restores=Restores(
            clock=clock,
            log=platform.log,
            follower=follower,
            snapshots=LogSnapshots(platform.log),
            status=status,
        ),
        drains=RouterDrains(clock=clock, members=members, peers=peers, begin_stop=begin_stop),
        targets=parts.targets,
    )
    return OperatorsInterface(_make_server(settings, app))


def _make_server(settings: Settings, app: OperatorsApp) -> OperatorServer | None:
    if not settings.operator_listen:
        return None
    tls = {}
    if settings.operator_certificate:
        tls = {"certfile": settings.operator_certificate, "keyfile": settings.operator_private_key}
    return OperatorServer(split_address(settings.operator_listen), app, **tls)
