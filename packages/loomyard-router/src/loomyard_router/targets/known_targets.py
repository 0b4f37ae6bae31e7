"""The target directory of a router, from configuration, peers, VM list and the targets."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode
from loomyard.events import Event, emit
from loomyard.objects import ServiceType, Target, TargetState
from loomyard_router.supervision.guard import call_guarded
from loomyard_router.supervision.listeners import Listeners
from loomyard_router.supervision.tasks import start_supervised
from loomyard_router.targets.cache_follower import CacheFollower
from loomyard_router.targets.health import TargetHealth
from loomyard_router.targets.leaving_broadcast import LeavingBroadcast
from loomyard_router.targets.leaving_ledger import LeavingLedger
from loomyard_router.targets.leaving_record import LeavingRecord, decode_leaving_record
from loomyard_router.targets.leaving_vms import LeavingVms
from loomyard_router.targets.load_poller import LoadPoller
from loomyard_router.targets.loaded_service_tracker import LoadedServiceTracker
from loomyard_router.targets.prefix_index import PrefixIndex
from loomyard_router.targets.slot_estimates import SlotEstimates
from loomyard_router.targets.target_backoffs import TargetBackoffs
from loomyard_router.targets.target_status import TargetStanding, TargetStatus

if TYPE_CHECKING:
    from collections.abc import Callable

    import gevent

    from loomyard.clock import Clock
    from loomyard.external.engine import Engine, LoadReport
    from loomyard.external.vm_list import Vm
    from loomyard.routing import Routing
    from loomyard_router.members.membership import Membership
    from loomyard_router.peers.links import PeerLinks
    from loomyard_router.targets.gossip import Gossip

logger = logging.getLogger(__name__)

TICK_SECONDS = 0.25
# Longer than load reports lag, so that a stale one does not end the leaving state.
TARGET_HOLD_SECONDS = 10.0
TARGET_EXPIRY_SECONDS = 60.0
# Longer than the VM list lags, for the same reason.
VM_HOLD_SECONDS = 60.0
TARGET_TOPIC = "targets.leaving"
VM_TOPIC = "targets.vms"
UNREACHABLE_CODES = frozenset([ResultCode.TARGET_UNREACHABLE, ResultCode.ANSWER_LOST])


class KnownTargets:
    """The ``TargetDirectory`` of a router that exchanges observations with others."""

    def __init__(
        self,
        clock: Clock,
        engine: Engine,
        members: Membership,
        peers: PeerLinks,
        gossip: Gossip,
    ) -> None:
        self._clock = clock
        self._broadcast = LeavingBroadcast(clock, members, peers, gossip)
        self._targets: dict[str, Target] = {}
        self._versions: dict[str, int] = {}
        self._polled: set[str] = set()
        self._sendable: set[str] = set()
        self._listeners = Listeners("targets")
        self._task: gevent.Greenlet | None = None
        self._health = TargetHealth(clock)
        self._backoffs = TargetBackoffs(clock)
        self._slots = SlotEstimates(clock, members, peers, changed=self._notify)
        self._loaded = LoadedServiceTracker(clock, gossip, changed=self._notify)
        self._prefixes = PrefixIndex(clock)
        self._caches = CacheFollower(clock, engine, self._prefixes)
        self._load_poller = LoadPoller(clock, engine, members, self._handle_load)
        self._leaving = LeavingLedger(
            clock,
            hold=TARGET_HOLD_SECONDS,
            expiry=TARGET_EXPIRY_SECONDS,
            changed=self._target_changed,
        )
        self._leaving_vms = LeavingLedger(
            clock, hold=VM_HOLD_SECONDS, expiry=None, changed=self._vm_changed
        )
        self._vms = LeavingVms(self._leaving_vms)
        self._broadcast.subscribe(TARGET_TOPIC, _make_receiver(self._leaving))
        self._broadcast.subscribe(VM_TOPIC, _make_receiver(self._leaving_vms))

    def may_send(self, name: str, service: str = "") -> bool:
        if name not in self._sendable:
            return False
        return not service or service in self._loaded.services(self._targets[name])

    def slots(self, target: Target) -> int:
        if self._health.is_half_open(target.metadata.name):
            return 1
        return self._slots.slots(target)

    def holds_prefix(self, name: str, prefix: str) -> bool:
        return self._prefixes.holds(name, prefix)

    def record_prefix(self, name: str, prefix: str) -> None:
        if prefix:
            self._prefixes.record(name, prefix)
            self._caches.record_send(name)

    def report_leaving(self, name: str) -> None:
        if name in self._targets:
            self._leaving.record_leaving(name, self._versions[name])

    def report_backoff(self, name: str, until: float) -> None:
        if name in self._targets and self._backoffs.record(name, until):
            seconds = round(until - self._clock.now(), 3)
            emit(logger, Event.TARGET_ASKS_FOR_REST, target=name, seconds=seconds)
            self._refresh()

    def report_attempt(self, name: str, *, answered: bool) -> None:
        if name not in self._targets:
            return
        if answered and self._health.record_answer(name):
            self._refresh()
        elif not answered and self._health.record_failure(name):
            emit(logger, Event.TARGET_EJECTED, target=name)
            self._refresh()

    def statuses(self) -> list[TargetStatus]:
        """Return the state of each target at this router, sorted by name."""
        return [self._status(name) for name in sorted(self._targets)]

    def apply_vm_list(self, listed: list[Vm]) -> None:
        """Apply a reading of the VM list."""
        self._vms.apply_listing(listed, self._vm_names())

    def reconfigure(self, routing: Routing) -> None:
        self._targets = dict(routing.targets)
        self._versions = {name: routing.target_version(name) for name in self._targets}
        for name, version in self._versions.items():
            self._leaving.supersede(name, version)
        names = set(self._targets)
        models = {n for n, s in routing.services.items() if s.type is ServiceType.MODEL}
        polled = [t for t in self._targets.values() if models.intersection(t.services)]
        self._polled = {target.metadata.name for target in polled}
        self._leaving.retain(names, routing.version)
        self._leaving_vms.retain(self._vm_names(), routing.version)
        self._health.retain(names)
        self._backoffs.retain(names)
        self._prefixes.retain(names)
        self._slots.set_targets(self._targets)
        self._loaded.retain(names)
        self._load_poller.set_targets(polled)
        self._refresh()

    def subscribe(self, changed: Callable[[], None]) -> None:
        self._listeners.subscribe(changed)

    def start(self) -> None:
        self._task = start_supervised("targets", self._clock, self._run)

    def stop(self) -> None:
        if self._task is not None:
            self._task.kill()
        self._load_poller.stop()
        self._caches.stop()

    def tick(self) -> None:
        """Expire leaving states and back-offs; start the polls and probes that are due."""
        self._leaving.expire(self._is_observed_here)
        if self._backoffs.expire():
            self._refresh()
        self._load_poller.run_due()
        for name in self._health.probes_due():
            if name in self._polled:
                self._load_poller.poll(name)
            elif self._health.record_probe(name, answered=True):
                # A plain service has no load report, so its next request serves as the probe.
                self._refresh()
        self._caches.run_due(self._targets)

    def _run(self) -> None:
        while True:
            call_guarded("targets", self.tick)
            self._clock.sleep(TICK_SECONDS)

    def _handle_load(self, target: Target, result: Result[LoadReport, Fault]) -> None:
        name = target.metadata.name
        if name not in self._targets:
            return
        match result:
            case Ok(report):
                self._handle_report(target, report)
            case Err(fault):
                pass
        reached = result.is_ok() or fault.code not in UNREACHABLE_CODES
        if self._health.record_probe(name, answered=reached):
            self._prefixes.forget(name)
            self._refresh()

    def _handle_report(self, target: Target, report: LoadReport) -> None:
        name = target.metadata.name
        if report.leaving:
            self._leaving.record_leaving(name, self._versions[name])
        else:
            self._leaving.record_live(name)
        if self._load_poller.is_own(name):
            self._slots.observe(name, report)
            self._loaded.observe(target, report)

    def _target_changed(self, name: str, record: LeavingRecord, own: bool) -> None:
        self._publish(TARGET_TOPIC, name, record, own=own)
        if record.leaving:
            self._prefixes.forget(name)

    def _vm_changed(self, name: str, record: LeavingRecord, own: bool) -> None:
        self._publish(VM_TOPIC, name, record, own=own)

    def _publish(self, topic: str, name: str, record: LeavingRecord, *, own: bool) -> None:
        event = Event.TARGET_LEAVING if record.leaving else Event.TARGET_RETURNED
        emit(logger, event, name=name, topic=topic, sequence=record.sequence, own=own)
        self._refresh()
        self._broadcast.announce(topic, name, record.to_number())

    def _refresh(self) -> None:
        usable = {name for name in self._targets if self._is_usable(name)}
        pools: dict[str, set[str]] = {}
        for name in usable:
            for service in self._targets[name].services:
                pools.setdefault(service, set()).add(name)
        # Ejection always leaves some targets of a service; back-offs apply even if none remains.
        self._sendable = usable - self._health.ejected(pools) - self._backoffs.names
        self._notify()

    def _is_usable(self, name: str) -> bool:
        target = self._targets[name]
        if target.state is not TargetState.ACTIVE or self._leaving.is_leaving(name):
            return False
        return not target.vm or not self._leaving_vms.is_leaving(target.vm)

    def _is_observed_here(self, name: str) -> bool:
        """Return whether this router polls a target, or no router does."""
        return name not in self._polled or self._load_poller.is_own(name)

    def _status(self, name: str) -> TargetStatus:
        target = self._targets[name]
        return TargetStatus(
            name=name,
            standing=self._standing(target),
            slots=self.slots(target),
            configured_slots=target.slots,
            loaded=list(self._loaded.services(target)),
        )

    def _standing(self, target: Target) -> TargetStanding:
        name = target.metadata.name
        if target.state is not TargetState.ACTIVE:
            return TargetStanding.LEAVING_CONFIGURED
        if self._leaving.is_leaving(name):
            return TargetStanding.LEAVING_ANNOUNCED
        if not self._is_usable(name):
            return TargetStanding.LEAVING_VM
        if name in self._backoffs.names:
            return TargetStanding.BACKING_OFF
        if name not in self._sendable:
            return TargetStanding.EJECTED
        half_open = self._health.is_half_open(name)
        return TargetStanding.PROBING if half_open else TargetStanding.SERVING

    def _vm_names(self) -> set[str]:
        return {target.vm for target in self._targets.values() if target.vm}

    def _notify(self) -> None:
        self._listeners.notify()


def make_known_targets(
    clock: Clock,
    engine: Engine,
    members: Membership,
    peers: PeerLinks,
    *,
    gossip: Gossip | None = None,
) -> KnownTargets:
    """Create the target directory of a router; ``gossip`` defaults to the membership."""
    return KnownTargets(clock, engine, members, peers, gossip or members)


def _make_receiver(ledger: LeavingLedger) -> Callable[[str, int], None]:
    def receive(name: str, value: int) -> None:
        ledger.apply_remote(name, decode_leaving_record(value))

    return receive
