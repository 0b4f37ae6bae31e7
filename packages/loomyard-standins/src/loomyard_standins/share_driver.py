"""Simulation of share policies in virtual time, to compare them within seconds."""

from __future__ import annotations

import random
from collections import Counter
from itertools import combinations
from math import exp, log
from typing import TYPE_CHECKING

from attrs import evolve

from loomyard.objects import TargetState, ref_of
from loomyard.routing import Routing
from loomyard_router.members.membership import Member
from loomyard_router.requests.estimates import CostEstimates
from loomyard_router.shares.allocator_selection import find_allocator
from loomyard_router.shares.fifo import make_fifo_policy
from loomyard_router.shares.fleet import (
    BYTES_PER_SECOND,
    POLL_INTERVAL,
    FleetPolicy,
    make_fleet_policy,
)
from loomyard_router.shares.local import make_local_policy
from loomyard_router.shares.waiting import WaitingRequest
from loomyard_router.targets.directory import ConfiguredTargets, make_configured_targets
from loomyard_standins.immediate_result import ImmediateResult
from loomyard_standins.policy_metrics import PolicyMetrics
from loomyard_standins.share_attempt import LINK_DELAY, ShareAttempt
from loomyard_standins.share_state import make_share_state
from loomyard_standins.virtual_engine import VirtualEngine
from loomyard_standins.virtual_time import Agenda, VirtualMembers, VirtualNetwork

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard_router.shares.policy import SharePolicy
    from loomyard_standins.share_load import Load

SAMPLE_INTERVAL = 0.1  # seconds
DEADLINE = 1e9  # seconds; never reached, so that no request times out
DETECTION_DELAY = 1.0  # seconds until routers notice that others stopped, came back or are cut off


class ShareDriver:
    """Simulated routers with one policy, engines of fixed speed and accounts with closed loops.

    ``engines`` gives the number of engines and the slots of each by service. Metrics leave out
    the first ``settle`` seconds.
    """

    def __init__(
        self,
        policy: str,
        loads: list[Load],
        *,
        routers: int = 8,
        engines: dict[str, tuple[int, int]],
        seed: int = 1,
        settle: float = 20.0,
        byte_rate: float = BYTES_PER_SECOND,
    ) -> None:
        self.agenda = Agenda()
        self.policy = policy
        self.byte_rate = byte_rate
        self.loads = loads
        self.random = random.Random(seed)
        self.network = VirtualNetwork(self.agenda, delay=LINK_DELAY, seed=seed)
        self.state = make_share_state(loads, engines)
        self.routing = Routing(self.state)
        self.engines = {name: VirtualEngine(t.slots) for name, t in self.routing.targets.items()}
        self.count = 1 if policy == "single" else routers
        self.members: dict[int, VirtualMembers] = {}
        self.policies: dict[int, SharePolicy] = {}
        self.directories: dict[int, ConfiguredTargets] = {}
        self.estimates: dict[int, CostEstimates] = {}
        self.open_requests: dict[tuple[int, str], Callable[[], None]] = {}
        self.served: Counter[str] = Counter()
        self.finished: Counter[tuple[str, str]] = Counter()
        self.waiting: Counter[tuple[str, str]] = Counter()
        self.settle = settle
        self.gap = 0.0
        self.gap_at = (0.0, "", "")
        self.busy = 0.0
        self.capacity = 0.0
        self.excess = 0
        self.trace: list[tuple[float, dict[str, float]]] = []
        self._extremes: dict[tuple[str, str], tuple[float, float]] = {}
        self._number = 0
        self._generation = dict.fromkeys(range(self.count), 0)
        for position in range(self.count):
            self.start_router(position)
        self.share_full_view()

    def start_router(self, position: int) -> None:
        """Start a router without state."""
        self._generation[position] += 1
        generation = self._generation[position]
        member = Member(
            name=f"router-{position}", incarnation=generation, address="", data_centre=""
        )
        members = VirtualMembers(member)
        directory = make_configured_targets()
        policy: SharePolicy
        if self.policy == "fifo":
            policy = make_fifo_policy(self.agenda)
        elif self.policy in ("single", "local"):
            policy = make_local_policy(self.agenda, position=position, routers=self.count)
        else:
            policy = fleet = make_fleet_policy(
                self.agenda,
                members=members,
                peers=self.network.join(member),
                directory=directory,
                byte_rate=self.byte_rate,
            )
            self.agenda.every(POLL_INTERVAL, lambda: self._poll(position, generation, fleet))
        directory.reconfigure(self.routing)
        policy.reconfigure(self.routing)
        self.members[position] = members
        self.directories[position] = directory
        self.policies[position] = policy
        self.estimates[position] = CostEstimates()

    def kill_router(self, position: int) -> None:
        """Kill a router: callers move to the next, others notice after ``DETECTION_DELAY``."""
        self._generation[position] += 1
        self.network.links.pop(f"router-{position}", None)
        del self.policies[position]
        del self.members[position]
        for key in [key for key in self.open_requests if key[0] == position]:
            self.open_requests.pop(key)()
        self.agenda.after(DETECTION_DELAY, self.share_full_view)

    def restart_router(self, position: int) -> None:
        """Start a killed router without state; the others notice after ``DETECTION_DELAY``."""
        self.start_router(position)
        self.agenda.after(DETECTION_DELAY, self.share_full_view)

    def change_target(self, name: str, state: TargetState, *, slots: int | None = None) -> None:
        """Change the state and, if given, the number of slots of a target on all routers."""
        target = self.routing.targets[name]
        changed = evolve(target, state=state, slots=slots or target.slots)
        self.state = self.state.replace(self.state.applied + 1, [changed], [])
        self.routing = Routing(self.state, self.routing, [ref_of(changed)])
        for position, policy in self.policies.items():
            self.directories[position].reconfigure(self.routing)
            policy.reconfigure(self.routing)

    def find_allocator(self) -> int:
        """Return the position of the allocator; valid while all routers are alive."""
        return int(find_allocator(self.members[0]).rpartition("-")[2])

    def cut(self, side: set[int]) -> None:
        """Partition the network: after ``DETECTION_DELAY`` each side takes the other for dead."""
        names = {f"router-{position}" for position in side}
        self.network.cuts = {
            frozenset((name, other))
            for name in names
            for other in self.network.links
            if other not in names
        }
        self.agenda.after(DETECTION_DELAY, lambda: self._split(side))

    def heal(self) -> None:
        """End the partition."""
        self.network.cuts = set()
        self.agenda.after(DETECTION_DELAY, self.share_full_view)

    def restart_warm_up(self, seconds: float = 2.0) -> None:
        """Leave the next seconds out of the metrics and measure the gap anew from there."""
        self.settle = self.agenda.now() + seconds
        self._extremes = {}

    def _split(self, side: set[int]) -> None:
        for position, members in self.members.items():
            reachable = [
                other.own for p, other in self.members.items() if (p in side) == (position in side)
            ]
            members.set_view(reachable)

    def share_full_view(self) -> None:
        """Give every router a membership view with all routers."""
        view = [members.own for members in self.members.values()]
        for members in self.members.values():
            members.set_view(view)

    def run(self, seconds: float) -> PolicyMetrics:
        """Run for some seconds of virtual time and return the metrics."""
        for load in self.loads:
            for number in range(load.outstanding):
                self._launch(load, number)
        self.agenda.every(SAMPLE_INTERVAL, self._sample)
        self.agenda.run(seconds)
        sent, size = self.network.messages, self.network.bytes
        return PolicyMetrics(
            policy=self.policy,
            gap=round(self.gap),
            utilisation=round(100 * self.busy / max(1e-9, self.capacity), 3),
            messages=round(sum(sent.values()) / seconds / self.count, 2),
            bytes=round(sum(size.values()) / seconds / self.count),
            busiest_messages=round(max(sent.values(), default=0) / seconds, 2),
            busiest_bytes=round(max(size.values(), default=0) / seconds),
            excess=self.excess,
        )

    def _poll(self, position: int, generation: int, policy: FleetPolicy) -> bool:
        if self._generation[position] != generation:
            return False
        policy.poll()
        return True

    def _launch(self, load: Load, number: int) -> None:
        for begin, end in load.spans:
            self.agenda.after(begin, lambda end=end: self._submit(load, number, end))

    def _submit(self, load: Load, number: int, until: float) -> None:
        if self.agenda.now() >= until:
            return
        position = load.routers[number % len(load.routers)] % self.count
        while position not in self.policies:
            position = (position + 1) % self.count
        tokens = max(1, round(self.random.lognormvariate(log(load.mean) - 0.5, 1.0)))
        hint = tokens * exp(self.random.uniform(-log(4), log(4)))
        account = self.routing.accounts[load.account]
        service = self.routing.services[load.service]
        now = self.agenda.now()
        waiting = WaitingRequest(
            request_id=str(self._next_number()),
            account=account,
            service=service,
            targets=self.routing.resolve(account, load.service).unwrap(),
            estimate=self.estimates[position].estimate(account, service, hint),
            enqueued_at=now,
            deadline=now + DEADLINE,
        )
        key = (load.account, load.service)

        def resubmit() -> None:
            self._submit(load, number, until)

        attempt = ShareAttempt(self, position, waiting, tokens, resubmit)
        waiting.admitted = ImmediateResult(attempt.begin)
        self.waiting[key] += 1
        self.open_requests[position, waiting.request_id] = attempt.abandon
        if self.policies[position].submit(waiting).is_err():
            self.waiting[key] -= 1
            del self.open_requests[position, waiting.request_id]
            self.agenda.after(1.0, resubmit)

    def _next_number(self) -> int:
        self._number += 1
        return self._number

    def _sample(self) -> None:
        if self.agenda.now() < self.settle:
            return
        self._sample_use()
        self._sample_gap()

    def _sample_use(self) -> None:
        backlogged_services = {service for (_, service), count in self.waiting.items() if count > 0}
        for name, engine in self.engines.items():
            self.excess = max(self.excess, len(engine.queue))
            if backlogged_services & set(self.routing.targets[name].services):
                self.busy += engine.running
                self.capacity += engine.slots

    def _sample_gap(self) -> None:
        backlogged = sorted({account for (account, _), n in self.waiting.items() if n > 0})
        served = {a: self.served[a] / self.routing.accounts[a].weight for a in backlogged}
        self.trace.append((self.agenda.now(), {a: float(n) for a, n in self.served.items()}))
        extremes = {}
        for pair in combinations(backlogged, 2):
            difference = served[pair[0]] - served[pair[1]]
            low, high = self._extremes.get(pair, (difference, difference))
            low, high = min(low, difference), max(high, difference)
            extremes[pair] = low, high
            if high - low > self.gap:
                self.gap = high - low
                self.gap_at = (self.agenda.now(), *pair)
        self._extremes = extremes
