"""What a router knows of targets from the configuration, peers, VM list and targets themselves."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import gevent
from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode
from loomyard.events import Event, emit
from loomyard.objects import ServiceType, Target, TargetState
from loomyard_router.targets.cache_follower import CacheFollower
from loomyard_router.targets.health import TargetHealth
from loomyard_router.targets.leaving_ledger import LeavingLedger
from loomyard_router.targets.leaving_record import LeavingRecord, leaving_record
from loomyard_router.targets.leaving_vms import LeavingVms
from loomyard_router.targets.load_poller import LoadPoller
from loomyard_router.targets.loaded_book import LoadedBook
from loomyard_router.targets.prefix_index import PrefixIndex
from loomyard_router.targets.resting_targets import RestingTargets
from loomyard_router.targets.slot_book import SlotBook
from loomyard_router.targets.spread import Spread
from loomyard_router.targets.target_status import TargetStanding, TargetStatus

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard.outside.engine import Engine, LoadReport
    from loomyard.outside.vm_list import Vm
    from loomyard.routing import Routing
    from loomyard_router.members.membership import Membership
    from loomyard_router.peers.links import PeerLinks
    from loomyard_router.targets.gossip import Gossip

logger = logging.getLogger(__name__)

TICK_SECONDS = 0.25
# Longer than load reports lag.
TARGET_HOLD = 10.0
TARGET_EXPIRY = 60.0
# Longer than the VM list lags.
VM_HOLD = 60.0
TARGET_TOPIC = "targets.leaving"
VM_TOPIC = "targets.vms"
UNREACHED = frozenset([ResultCode.TARGET_UNREACHABLE, ResultCode.ANSWER_LOST])


class KnownTargets:
    """The target directory of a router."""

    def __init__(
        self,
        clock: Clock,
        engine: Engine,
        members: Membership,
        peers: PeerLinks,
        gossip: Gossip,
    ) -> None:
        self._clock = clock
        self._spread = Spread(clock, members, peers, gossip)
        self._targets: dict[str, Target] = {}
        self._versions: dict[str, int] = {}
        self._polled: set[str] = set()
        self._sendable: set[str] = set()
        self._listeners: list[Callable[[], None]] = []
        self._task: gevent.Greenlet | None = None
        self._health = TargetHealth(clock)
        self._resting = RestingTargets(clock)
        self._slots = SlotBook(clock, members, peers, changed=self._tell)
        self._loaded = LoadedBook(clock, gossip, changed=self._tell)
        self._prefixes = PrefixIndex(clock)
        self._caches = CacheFollower(clock, engine, self._prefixes)
        self._loads = LoadPoller(clock, engine, members, self._take_load)
        self._leaving = LeavingLedger(
            clock, hold=TARGET_HOLD, expiry=TARGET_EXPIRY, changed=self._target_changed
        )
        self._leaving_vms = LeavingLedger(
            clock, hold=VM_HOLD, expiry=None, changed=self._vm_changed
        )
        self._vms = LeavingVms(self._leaving_vms)
        self._spread.subscribe(TARGET_TOPIC, _hearing(self._leaving))
        self._spread.subscribe(VM_TOPIC, _hearing(self._leaving_vms))

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
            self._prefixes.note(name, prefix)
            self._caches.note_send(name)

    def report_leaving(self, name: str) -> None:
        if name in self._targets:
            self._leaving.see_leaving(name, self._versions[name])

    def report_backoff(self, name: str, until: float) -> None:
        if name in self._targets and self._resting.rest(name, until):
            seconds = round(until - self._clock.now(), 3)
            emit(logger, Event.TARGET_ASKS_FOR_REST, target=name, seconds=seconds)
            self._refresh()

    def report_attempt(self, name: str, *, answered: bool) -> None:
        if name not in self._targets:
            return
        if answered and self._health.answered(name):
            self._refresh()
        elif not answered and self._health.failed(name):
            emit(logger, Event.TARGET_EJECTED, target=name)
            self._refresh()

    def statuses(self) -> list[TargetStatus]:
        """Return how each target stands here, by name."""
        return [self._status(name) for name in sorted(self._targets)]

    def apply_vm_list(self, listed: list[Vm]) -> None:
        """Take in a reading of the VM list."""
        self._vms.take(listed, self._vm_names())

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
        self._resting.retain(names)
        self._prefixes.retain(names)
        self._slots.set_targets(self._targets)
        self._loaded.retain(names)
        self._loads.set_targets(polled)
        self._refresh()

    def subscribe(self, changed: Callable[[], None]) -> None:
        self._listeners.append(changed)

    def start(self) -> None:
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        if self._task is not None:
            self._task.kill()
        self._loads.stop()
        self._caches.stop()

    def tick(self) -> None:
        """Start what is due."""
        self._leaving.expire(self._would_have_heard)
        if self._resting.expire():
            self._refresh()
        self._loads.run_due()
        for name in self._health.probes_due():
            if name in self._polled:
                self._loads.poll(name)
            elif self._health.probed(name, answered=True):
                # A plain service has no load report; its next request is the probe.
                self._refresh()
        self._caches.run_due(self._targets)

    def _run(self) -> None:
        while True:
            try:
                self.tick()
            except Exception:
                logger.exception("a tick of the target directory failed")
                emit(logger, Event.HANDLER_FAILED, part="targets")
            self._clock.sleep(TICK_SECONDS)

    def _take_load(self, target: Target, loaded: Result[LoadReport, Fault]) -> None:
        name = target.metadata.name
        if name not in self._targets:
            return
        match loaded:
            case Ok(report):
                self._take_report(target, report)
            case Err(fault):
                pass
        reached = loaded.is_ok() or fault.code not in UNREACHED
        if self._health.probed(name, answered=reached):
            self._prefixes.forget(name)
            self._refresh()

    def _take_report(self, target: Target, report: LoadReport) -> None:
        name = target.metadata.name
        if report.leaving:
            self._leaving.see_leaving(name, self._versions[name])
        else:
            self._leaving.see_live(name)
        if self._loads.is_mine(name):
            self._slots.observe(name, report)
            self._loaded.observe(target, report)

    def _target_changed(self, name: str, record: LeavingRecord, own: bool) -> None:
        self._conclude(TARGET_TOPIC, name, record, own=own)
        if record.leaving:
            self._prefixes.forget(name)

    def _vm_changed(self, name: str, record: LeavingRecord, own: bool) -> None:
        self._conclude(VM_TOPIC, name, record, own=own)

    def _conclude(self, topic: str, name: str, record: LeavingRecord, *, own: bool) -> None:
        event = Event.TARGET_LEAVING if record.leaving else Event.TARGET_RETURNED
        emit(logger, event, name=name, topic=topic, sequence=record.sequence, own=own)
        self._refresh()
        self._spread.announce(topic, name, record.to_number())

    def _refresh(self) -> None:
        usable = {name for name in self._targets if self._is_usable(name)}
        pools: dict[str, set[str]] = {}
        for name in usable:
            for service in self._targets[name].services:
                pools.setdefault(service, set()).add(name)
        # What a target asks for itself is heeded also where none is left.
        self._sendable = usable - self._health.ejected(pools) - self._resting.names
        self._tell()

    def _is_usable(self, name: str) -> bool:
        target = self._targets[name]
        if target.state is not TargetState.ACTIVE or self._leaving.is_leaving(name):
            return False
        return not target.vm or not self._leaving_vms.is_leaving(target.vm)

    def _would_have_heard(self, name: str) -> bool:
        """Tell whether this router polls a target, or nobody does."""
        return name not in self._polled or self._loads.is_mine(name)

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
            return TargetStanding.LEAVING_TOLD
        if not self._is_usable(name):
            return TargetStanding.LEAVING_VM
        if name in self._resting.names:
            return TargetStanding.RESTING
        if name not in self._sendable:
            return TargetStanding.EJECTED
        half_open = self._health.is_half_open(name)
        return TargetStanding.PROBING if half_open else TargetStanding.SERVING

    def _vm_names(self) -> set[str]:
        return {target.vm for target in self._targets.values() if target.vm}

    def _tell(self) -> None:
        for listener in self._listeners:
            listener()


def make_known_targets(
    clock: Clock,
    engine: Engine,
    members: Membership,
    peers: PeerLinks,
    *,
    gossip: Gossip | None = None,
) -> KnownTargets:
    """Make the target directory of a router; membership gossips where nothing else does."""
    return KnownTargets(clock, engine, members, peers, gossip or members)


def _hearing(ledger: LeavingLedger) -> Callable[[str, int], None]:
    def hear(name: str, value: int) -> None:
        ledger.hear(name, leaving_record(value))

    return hear
