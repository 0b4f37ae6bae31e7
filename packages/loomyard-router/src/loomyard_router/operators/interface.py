"""The operators' interface of a router: its components and its listener."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard.util.addresses import split_address
from loomyard.util.optional_listener import OptionalListener
from loomyard_router.configuration.log_snapshots import LogSnapshots
from loomyard_router.operators.app import OperatorsApp
from loomyard_router.operators.changes import ChangePublisher
from loomyard_router.operators.config_restorer import ConfigRestorer
from loomyard_router.operators.fleet_status import FleetStatus
from loomyard_router.operators.keys import OperatorKeys
from loomyard_router.operators.request_explainer import RequestExplainer
from loomyard_router.operators.router_drainer import RouterDrainer
from loomyard_router.operators.server import OperatorServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard_router.components import Platform, RouterComponents
    from loomyard_router.settings import Settings


class OperatorsInterface(OptionalListener):
    """Listener of the operators' interface; without an address it does not listen."""


def make_operators_interface(
    settings: Settings,
    platform: Platform,
    parts: RouterComponents,
    *,
    stopping: Callable[[], bool],
    begin_stop: Callable[[], None],
) -> OperatorsInterface:
    """Wire the operators' interface, and register the handlers of its peer messages.

    Peers are answered even where the router has no address for operators.
    """
    clock, follower, members, peers = platform.clock, parts.follower, parts.members, parts.peers
    fleet_status = FleetStatus(
        clock=clock, follower=follower, members=members, peers=peers, stopping=stopping
    )
    app = OperatorsApp(
        keys=OperatorKeys(settings.operator_keys),
        follower=follower,
        publisher=ChangePublisher(
            clock=clock, log=platform.log, follower=follower, fleet_status=fleet_status
        ),
        fleet_status=fleet_status,
        explainer=RequestExplainer(
            clock=clock, journal=parts.journal, members=members, peers=peers
        ),
        restorer=ConfigRestorer(
            clock=clock,
            log=platform.log,
            follower=follower,
            snapshots=LogSnapshots(platform.log),
            fleet_status=fleet_status,
        ),
        drainer=RouterDrainer(clock=clock, members=members, peers=peers, begin_stop=begin_stop),
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
