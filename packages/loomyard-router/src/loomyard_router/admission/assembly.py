"""Make the parts that decide which request goes where."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from loomyard_router.admission.account_backlog import AccountBacklog
from loomyard_router.admission.account_usage import AccountUsage
from loomyard_router.admission.admission_gate import AdmissionGate
from loomyard_router.admission.backlog_limit import LagAwareLimit
from loomyard_router.admission.ejection_tracker import EjectionTracker
from loomyard_router.admission.fleet_gate import FleetGate
from loomyard_router.admission.gate import Gate
from loomyard_router.admission.place_client import PlaceClient
from loomyard_router.admission.place_keeper import PlaceKeeper
from loomyard_router.admission.service_gates import ServiceGates
from loomyard_router.admission.share_ledger import ShareLedger
from loomyard_router.admission.slot_metrics import SlotMetrics
from loomyard_router.admission.target_choice import TargetChoice
from loomyard_router.admission.target_loads import TargetLoads
from loomyard_router.admission.target_paces import TargetPaces
from loomyard_router.admission.waiting_time import RetryHint
from loomyard_router.announced.cold_targets import ColdTargets

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard_router.announced.target_incarnation import TargetIncarnation
    from loomyard_router.announced.target_registry import TargetRegistry
    from loomyard_router.members.membership import Membership
    from loomyard_router.peers.links import PeerLinks
    from loomyard_router.routes.table_holder import TableHolder


@frozen(kw_only=True)
class AdmissionComponents:
    """The source of places, what keeps them and the shares, and what is known of targets."""

    gate: AdmissionGate
    loads: TargetLoads
    cold_targets: ColdTargets
    ledger: ShareLedger
    keeper: PlaceKeeper
    places: PlaceClient
    paces: TargetPaces
    health: EjectionTracker
    backlog: AccountBacklog
    retry_hint: RetryHint

    @property
    def slot_metrics(self) -> SlotMetrics:
        """Return what operators see of places."""
        return SlotMetrics(
            prefill_estimates=self.paces.all,
            refusals=lambda: self.places.objections,
            unresponsive_owners=lambda: len(self.places.silent),
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

    def retain(self, known: set[TargetIncarnation]) -> None:
        """Forget lives of targets that are not known any more."""
        self.loads.forget(known)
        self.health.forget(known)
        self.places.forget(known)
        self.paces.forget(known)


def make_admission(
    *,
    clock: Clock,
    registry: TargetRegistry,
    holder: TableHolder,
    members: Membership,
    peers: PeerLinks,
    window: float,
    rng: random.Random,
    lag: Callable[[], float] = lambda: 0.0,
) -> AdmissionComponents:
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
        source=rng,
    )
    cold = ColdTargets(clock, registry, holder)
    paces = TargetPaces()
    keeper = PlaceKeeper(
        clock=clock, registry=registry, members=members, peers=peers, cold=cold, paces=paces
    )
    places = PlaceClient(clock=clock, members=members, peers=peers, keeper=keeper, paces=paces)
    health = EjectionTracker(clock)
    loads = TargetLoads(lambda: len(members.live()))
    hint = RetryHint(rng)
    waiting = AccountBacklog(ledger, LagAwareLimit(lag))
    engines = FleetGate(
        clock=clock,
        registry=registry,
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
        registry=registry,
        loads=loads,
        health=health,
        choice=TargetChoice(loads),
        usage=AccountUsage(clock, window),
        hint=hint,
        cold=cold,
    )
    gate = ServiceGates(holder=holder, registry=registry, cold=cold, engines=engines, plain=plain)
    return AdmissionComponents(
        gate=gate,
        loads=loads,
        cold_targets=cold,
        ledger=ledger,
        keeper=keeper,
        places=places,
        paces=paces,
        health=health,
        backlog=waiting,
        retry_hint=hint,
    )
