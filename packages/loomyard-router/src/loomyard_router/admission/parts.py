"""Make the parts that decide which request goes where."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from loomyard_router.admission.account_usage import AccountUsage
from loomyard_router.admission.fleet_gate import FleetGate
from loomyard_router.admission.gate import Gate
from loomyard_router.admission.place_client import PlaceClient
from loomyard_router.admission.place_keeper import PlaceKeeper
from loomyard_router.admission.place_source import PlaceSource
from loomyard_router.admission.service_gates import ServiceGates
from loomyard_router.admission.target_choice import TargetChoice
from loomyard_router.admission.target_health import TargetHealth
from loomyard_router.admission.target_loads import TargetLoads
from loomyard_router.admission.waiting_time import RetryHint

if TYPE_CHECKING:
    import random

    from loomyard.clock import Clock
    from loomyard_router.announced.target_board import TargetBoard
    from loomyard_router.members.membership import Membership
    from loomyard_router.peers.links import PeerLinks
    from loomyard_router.routes.table_holder import TableHolder


@frozen(kw_only=True)
class AdmissionParts:
    """The source of places, what keeps them for the fleet, and what is known of targets."""

    gate: PlaceSource
    keeper: PlaceKeeper
    places: PlaceClient
    health: TargetHealth

    def start(self) -> None:
        """Start to keep places and to state those held."""
        self.keeper.start()
        self.places.start()

    def stop(self) -> None:
        """End."""
        self.places.stop()
        self.keeper.stop()

    def forget(self, known: set[str]) -> None:
        """Forget targets that are not known any more."""
        self.health.forget(known)
        self.places.forget(known)


def make_admission(
    *,
    clock: Clock,
    board: TargetBoard,
    holder: TableHolder,
    members: Membership,
    peers: PeerLinks,
    window: float,
    source: random.Random,
) -> AdmissionParts:
    """Wire the gates; ``window`` is the time over which shares are compared, in seconds."""

    def engine_rate() -> float:
        """Return the tokens a second that the configuration states, for each engine."""
        table = holder.table
        if table is None:
            return 0.0
        services = [name for name, terms in table.services.items() if terms.engine]
        engines = sum(len(board.usable(name)) for name in services)
        return table.limits.tokens_per_second / max(1, engines)

    keeper = PlaceKeeper(
        clock=clock,
        board=board,
        members=members,
        peers=peers,
        window=window,
        engine_rate=engine_rate,
    )
    places = PlaceClient(clock=clock, members=members, peers=peers, keeper=keeper)
    health = TargetHealth(clock)
    loads = TargetLoads(lambda: len(members.live()))
    hint = RetryHint(source)
    engines = FleetGate(
        clock=clock, board=board, health=health, loads=loads, client=places, hint=hint
    )
    plain = Gate(
        clock=clock,
        board=board,
        loads=loads,
        health=health,
        choice=TargetChoice(loads),
        usage=AccountUsage(clock, window),
        hint=hint,
    )
    gate = ServiceGates(holder=holder, engines=engines, plain=plain)
    return AdmissionParts(gate=gate, keeper=keeper, places=places, health=health)
