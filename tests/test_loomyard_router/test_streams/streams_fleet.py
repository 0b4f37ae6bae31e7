"""Test fixture: routers that exchange records of streams, on stepped time."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import gevent
from attrs import define
from result import Ok

from loomyard_router.admission.waiting_time import RetryHint
from loomyard_router.announced.announced_target import AnnouncedTarget
from loomyard_router.announced.target_registry import TargetRegistry
from loomyard_router.members.membership import Member
from loomyard_router.requests.caller_presence import CallerPresence
from loomyard_router.routed.request_head import RequestHead
from loomyard_router.routed.routed_request import RoutedRequest
from loomyard_router.routes.kind import RouteKind
from loomyard_router.routes.route_table import make_route_table
from loomyard_router.routes.route_table_holder import RouteTableHolder
from loomyard_router.streams.stream_origin import StreamOrigin
from loomyard_router.streams.stream_origins import StreamOrigins, make_stream_origins
from loomyard_standins.memory_network import MemoryNetwork
from loomyard_standins.stepped_clock import SteppedClock
from test_loomyard_router.test_admission.slots_case import Members
from test_loomyard_router.test_routed.routed_case import route

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from loomyard.errors import Fault
    from loomyard_router.routes.route import Route

SERVICE = "engine"
OLD = StreamOrigin(service=SERVICE, software_version="v1")
NEW = StreamOrigin(service=SERVICE, software_version="v2")
SECONDS = 10.0
DATA_CENTRES = 3


class PausableMembers(Members):
    """Membership whose live routers and pauses are set by a test."""

    paused: Callable[[float], None] = staticmethod(lambda _: None)

    def subscribe_pause(self, paused: Callable[[float], None]) -> None:
        self.paused = paused


@define(eq=False)
class Router:
    """The components of one router."""

    members: PausableMembers
    registry: TargetRegistry
    origins: StreamOrigins


class StreamsFleet:
    """Connected routers in three data centres; each knows targets of both versions."""

    def __init__(self, count: int, *, seed: int = 1, versions: tuple[str, ...] = ("v1", "v2")):
        self.clock = SteppedClock()
        self.network = MemoryNetwork(seed=seed)
        self.versions = versions
        self.routers: dict[str, Router] = {}
        self._incarnations = 0
        self._members: dict[str, Member] = {}
        self._table = make_route_table(version=1, routes=[make_route()], services=[], accounts=None)
        self._seed = seed
        for number in range(count):
            self.start(f"r{number}", tell=False)
        self.tell_members()

    def start(self, name: str, *, tell: bool = True, first: bool = False) -> Router:
        """Start a router without records, in place of one of the same name."""
        self._incarnations += 1
        own = Member(
            name=name,
            incarnation=self._incarnations,
            address="",
            data_centre=f"d{int(name[1:]) % DATA_CENTRES}",
        )
        self._members[name] = own
        members = PausableMembers(own, list(self._members.values()))
        registry = TargetRegistry(self.clock, first_start=first)
        holder = RouteTableHolder(lambda _: Ok(self._table))
        origins = make_stream_origins(
            clock=self.clock,
            registry=registry,
            holder=holder,
            members=members,
            peers=self.network.join(own),
            hint=RetryHint(random.Random(self._seed)),
            rng=random.Random(f"{self._seed} {name}"),
        )
        holder.offer(b"", "store")
        registry.replace_all(make_targets(self.versions))
        router = self.routers[name] = Router(members, registry, origins)
        origins.start()
        if tell:
            self.tell_members()
        return router

    def kill(self, *names: str, tell: bool = True) -> None:
        """End routers without notice; the others learn of it unless ``tell`` is false."""
        for name in names:
            self.routers.pop(name).origins.stop()
            self.network.leave(name)
            if tell:
                self._members.pop(name)
        if tell:
            self.tell_members()

    def stop_planned(self, name: str) -> None:
        """Stop a router as planned: the others learn that it leaves, and it hands over."""
        router = self.routers[name]
        left = [member for member in self._members.values() if member.name != name]
        router.members.change(left)
        router.origins.hand_over()
        self.run(0.1)
        self.kill(name)

    def tell_members(self) -> None:
        """Tell all routers who is there."""
        for router in self.routers.values():
            router.members.change(list(self._members.values()))

    def begin(self, attempt_id: str, origin: StreamOrigin, name: str = "r0") -> None:
        """Let a router relay the first event of a stream."""
        request = self.make_request(attempt_id)
        request.origin = origin
        self.routers[name].origins.record(request)

    def find(self, name: str, resumes: str, *, seconds: float = 0.2) -> Result[StreamOrigin, Fault]:
        """Look up at a router what began a stream."""
        request = self.make_request(f"next-{resumes}", resumes=resumes)
        task = gevent.spawn(self.routers[name].origins.find, request)
        self.run(seconds)
        return task.get(block=False)

    def find_everywhere(self, resumes: str) -> set[str]:
        """Return what the routers find: versions, or the names of result codes."""
        found = set()
        for name in self.routers:
            outcome = self.find(name, resumes)
            found.add(
                outcome.unwrap().software_version
                if outcome.is_ok()
                else outcome.unwrap_err().code.name
            )
        return found

    def make_request(self, attempt_id: str, *, resumes: str = "") -> RoutedRequest:
        """Return a request that begins a stream, or that takes one up."""
        now = self.clock.now()
        head = RequestHead(
            attempt_id=attempt_id,
            deadline=now + SECONDS,
            resumed_attempt_id=resumes,
            last_event_id="3" if resumes else "",
        )
        return RoutedRequest(
            head=head,
            route=make_route(),
            service=SERVICE,
            account=None,
            method="POST",
            path="/p/x",
            body=b"",
            presence=CallerPresence(),
            arrived_at=now,
            deadline=now + SECONDS,
        )

    def run(self, seconds: float) -> None:
        """Advance the clock, running what is due."""
        self.clock.run(self.clock.now() + seconds)

    def stop(self) -> None:
        """Stop all tasks."""
        for router in self.routers.values():
            router.origins.stop()
        self.run(0.0)


def make_route() -> Route:
    """Return the route of all streams."""
    return route(service=SERVICE, kind=RouteKind.STREAM, resumable=True, timeout=SECONDS)


def make_targets(versions: tuple[str, ...]) -> list[AnnouncedTarget]:
    """Return a target of each version."""
    return [
        AnnouncedTarget(
            id=f"t-{version}", service=SERVICE, address="10.0.0.1:80", software_version=version
        )
        for version in versions
    ]
