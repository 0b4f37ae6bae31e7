"""Make the parts that decide which request goes where."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from loomyard_router.admission.account_usage import AccountUsage
from loomyard_router.admission.crowd_limit import FewWhileBehind
from loomyard_router.admission.fleet_gate import FleetGate
from loomyard_router.admission.gate import Gate
from loomyard_router.admission.place_client import PlaceClient
from loomyard_router.admission.place_figures import PlaceFigures
from loomyard_router.admission.place_keeper import PlaceKeeper
from loomyard_router.admission.place_source import PlaceSource
from loomyard_router.admission.service_gates import ServiceGates
from loomyard_router.admission.share_ledger import ShareLedger
from loomyard_router.admission.target_choice import TargetChoice
from loomyard_router.admission.target_health import TargetHealth
from loomyard_router.admission.target_loads import TargetLoads
from loomyard_router.admission.target_paces import TargetPaces
from loomyard_router.admission.waiting_accounts import WaitingAccounts
from loomyard_router.admission.waiting_time import RetryHint
from loomyard_router.announced.cold_targets import ColdTargets

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard_router.announced.target_board import TargetBoard
    from loomyard_router.announced.target_life import TargetLife
    from loomyard_router.members.membership import Membership
    from loomyard_router.peers.links import PeerLinks
    from loomyard_router.routes.table_holder import TableHolder


@frozen(kw_only=True)
class AdmissionParts:
    """The source of places, what keeps them and the shares, and what is known of targets."""

    gate: PlaceSource
    loads: TargetLoads
    cold: ColdTargets
    ledger: ShareLedger
    keeper: PlaceKeeper
    places: PlaceClient
    paces: TargetPaces
    health: TargetHealth
    waiting: WaitingAccounts
    hint: RetryHint

    @property
    def figures(self) -> PlaceFigures:
        """Return what operators see of places."""
        return PlaceFigures(
            paces=self.paces.all,
            objections=lambda: self.places.objections,
            silent=lambda: len(self.places.silent),
        )

    def start(self) -> None:
        """Start to keep places, to state those held and to report what accounts got."""
        self.ledger.start()
        self.keeper.start()
        self.places.start()

    def stop(self) -> None:
        """End."""
        self.places.stop()
        self.keeper.stop()
        self.ledger.stop()

    def forget(self, known: set[TargetLife]) -> None:
        """Forget lives of targets that are not known any more."""
        self.loads.forget(known)
        self.health.forget(known)
        self.places.forget(known)
        self.paces.forget(known)


def make_admission(
    *,
    clock: Clock,
    board: TargetBoard,
    holder: TableHolder,
    members: Membership,
    peers: PeerLinks,
    window: float,
    source: random.Random,
    lag: Callable[[], float] = lambda: 0.0,
) -> AdmissionParts:
    """Wire the gates.

    ``window`` is the time over which shares are compared, in seconds; ``lag`` tells for how long
    what is ready waits for its turn in this process.
    """

    ledger = ShareLedger(
        clock=clock,
        members=members,
        peers=peers,
        window=window,
        rate=lambda: 0.0 if holder.table is None else holder.table.limits.tokens_per_second,
        source=source,
    )
    cold = ColdTargets(clock, board, holder)
    paces = TargetPaces()
    keeper = PlaceKeeper(
        clock=clock, board=board, members=members, peers=peers, cold=cold, paces=paces
    )
    places = PlaceClient(clock=clock, members=members, peers=peers, keeper=keeper, paces=paces)
    health = TargetHealth(clock)
    loads = TargetLoads(lambda: len(members.live()))
    hint = RetryHint(source)
    waiting = WaitingAccounts(ledger, FewWhileBehind(lag))
    engines = FleetGate(
        clock=clock,
        board=board,
        health=health,
        loads=loads,
        client=places,
        ledger=ledger,
        waiting=waiting,
        hint=hint,
        cold=cold,
        paces=paces,
    )
    plain = Gate(
        clock=clock,
        board=board,
        loads=loads,
        health=health,
        choice=TargetChoice(loads),
        usage=AccountUsage(clock, window),
        hint=hint,
        cold=cold,
    )
    gate = ServiceGates(holder=holder, board=board, cold=cold, engines=engines, plain=plain)
    return AdmissionParts(
        gate=gate,
        loads=loads,
        cold=cold,
        ledger=ledger,
        keeper=keeper,
        places=places,
        paces=paces,
        health=health,
        waiting=waiting,
        hint=hint,
    )
