"""Create and wire the components of admission control."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from loomyard_router.admission.account_backlog import AccountBacklog
from loomyard_router.admission.account_usage import AccountUsage
from loomyard_router.admission.admission_gate import AdmissionGate
from loomyard_router.admission.backlog_limit import LagAwareLimit
from loomyard_router.admission.ejection_tracker import EjectionTracker
from loomyard_router.admission.fleet_gate import FleetGate
from loomyard_router.admission.gate_selector import GateSelector
from loomyard_router.admission.local_gate import LocalGate
from loomyard_router.admission.share_ledger import ShareLedger
from loomyard_router.admission.slot_client import SlotClient
from loomyard_router.admission.slot_metrics import SlotMetrics
from loomyard_router.admission.slot_owner import SlotOwner
from loomyard_router.admission.target_choice import TargetChoice
from loomyard_router.admission.target_estimates import TargetEstimates
from loomyard_router.admission.target_loads import TargetLoads
from loomyard_router.admission.waiting_time import RetryHint
from loomyard_router.announced.cold_targets import ColdTargets

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard_router.announced.target_incarnation import TargetLife
    from loomyard_router.announced.target_registry import TargetRegistry
    from loomyard_router.lag.lagging_routers import RouterFitness
    from loomyard_router.members.membership import Membership
    from loomyard_router.peers.links import PeerLinks
    from loomyard_router.routes.route_table_holder import RouteTableHolder


@frozen(kw_only=True)
class AdmissionComponents:
    """Gate, slot owner, slot client, share ledger, and the state of targets of one router."""

    gate: AdmissionGate
    loads: TargetLoads
    cold_targets: ColdTargets
    ledger: ShareLedger
    slot_owner: SlotOwner
    slot_client: SlotClient
    estimates: TargetEstimates
    health: EjectionTracker
    backlog: AccountBacklog
    retry_hint: RetryHint

    @property
    def slot_metrics(self) -> SlotMetrics:
        """Return the callables that are read when metrics are scraped."""
        return SlotMetrics(
            prefill_estimates=self.estimates.all,
            refusals=lambda: self.slot_client.refusals,
            unresponsive_owners=lambda: len(self.slot_client.unresponsive),
            given_up=lambda: self.slot_owner.given_up,
        )

    def start(self) -> None:
        """Start to report usage, to expire permits of others, and to renew own permits."""
        self.ledger.start()
        self.slot_owner.start()
        self.slot_client.start()

    def stop(self) -> None:
        """Stop all background tasks."""
        self.slot_client.stop()
        self.slot_owner.stop()
        self.ledger.stop()

    def retain(self, known: set[TargetLife]) -> None:
        """Drop the state of all other incarnations of targets."""
        self.loads.retain(known)
        self.health.retain(known)
        self.slot_client.retain(known)
        self.estimates.retain(known)


def make_admission(
    *,
    clock: Clock,
    registry: TargetRegistry,
    holder: RouteTableHolder,
    members: Membership,
    peers: PeerLinks,
    window: float,
    rng: random.Random,
    lag: Callable[[], float] = lambda: 0.0,
    fitness: RouterFitness | None = None,
) -> AdmissionComponents:
    """Create and wire the components of admission.

    ``window`` is the share window in seconds; ``lag`` returns the event-loop lag in seconds;
    ``fitness`` tells which routers may take duties.
    """

    ledger = ShareLedger(
        clock=clock,
        members=members,
        peers=peers,
        window=window,
        rate=lambda: 0.0 if holder.table is None else holder.table.limits.tokens_per_second,
        rng=rng,
        fitness=fitness,
    )
    cold = ColdTargets(clock, registry, holder)
    estimates = TargetEstimates()
    slot_owner = SlotOwner(
        clock=clock,
        registry=registry,
        members=members,
        peers=peers,
        cold=cold,
        estimates=estimates,
    )
    slot_client = SlotClient(
        clock=clock,
        members=members,
        peers=peers,
        local_owner=slot_owner,
        estimates=estimates,
        fitness=fitness,
    )
    health = EjectionTracker(clock)
    loads = TargetLoads(lambda: len(members.live()))
    hint = RetryHint(rng)
    backlog = AccountBacklog(ledger, LagAwareLimit(lag))
    engines = FleetGate(
        clock=clock,
        registry=registry,
        health=health,
        loads=loads,
        client=slot_client,
        ledger=ledger,
        backlog=backlog,
        hint=hint,
        cold=cold,
        estimates=estimates,
    )
    plain = LocalGate(
        clock=clock,
        registry=registry,
        loads=loads,
        health=health,
        choice=TargetChoice(loads),
        usage=AccountUsage(clock, window),
        hint=hint,
        cold=cold,
    )
    gate = GateSelector(holder=holder, registry=registry, cold=cold, engines=engines, plain=plain)
    return AdmissionComponents(
        gate=gate,
        loads=loads,
        cold_targets=cold,
        ledger=ledger,
        slot_owner=slot_owner,
        slot_client=slot_client,
        estimates=estimates,
        health=health,
        backlog=backlog,
        retry_hint=hint,
    )
