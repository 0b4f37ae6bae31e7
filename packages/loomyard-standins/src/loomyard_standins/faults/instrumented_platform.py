"""Wrappers that add the fault points of one router to the platform's interfaces."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import gevent
from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode
from loomyard_router.peers.message_types import register_message
from loomyard_router.peers.traffic import TrafficCounters

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard.external.engine import Engine, EngineOrder, TargetAnswer, TargetCall
    from loomyard.external.log_service import LogBatch, LogService
    from loomyard.external.vm_list import Vm, VmList
    from loomyard_router.members.membership import Member, Membership
    from loomyard_router.peers.links import PeerLinks
    from loomyard_standins.faults.fault_points import FaultPoints

MAX_READS_AT_ONCE = 500


class BusyLoopError(Exception):
    """Raised when a router reads the log in a loop without letting time pass."""


class InstrumentedClock:
    """Clock that blocks while its router is paused.

    ``started_after`` shifts the wall clock, in seconds, so that no two starts read equal times.
    """

    def __init__(self, clock: Clock, points: FaultPoints, started_after: float) -> None:
        self._clock = clock
        self._points = points
        self._started_after = started_after

    def now(self) -> float:
        self._points.checkpoint()
        return self._clock.now()

    def wall(self) -> float:
        self._points.checkpoint()
        return self._clock.wall() + self._started_after

    def sleep(self, seconds: float) -> None:
        self._points.checkpoint()
        self._clock.sleep(seconds)
        self._points.checkpoint()


class InstrumentedLog:
    """Log service that can be unreachable for its router or slow (see ``FaultPoints``)."""

    def __init__(self, log: LogService, clock: Clock, points: FaultPoints) -> None:
        self._log = log
        self._clock = clock
        self._points = points
        self._read_at = -1.0
        self._reads = 0

    def append(self, stream: str, payload: bytes) -> Result[int, Fault]:
        self._points.reach(f"log.append {stream}")
        if self._points.log_unreachable:
            return Err(_unreachable_fault())
        self._wait()
        result = self._log.append(stream, payload)
        self._points.reach(f"log.appended {stream}")
        return Err(_unreachable_fault()) if self._points.log_unreachable else result

    def read(
        self, stream: str, offset: int, *, limit: int = 1000, wait: float = 0.0
    ) -> Result[LogBatch, Fault]:
        self._points.reach(f"log.read {stream}")
        self._check_busy()
        if self._points.log_unreachable:
            return Err(_unreachable_fault())
        result = self._log.read(stream, offset, limit=limit, wait=wait)
        self._wait()
        self._points.reach(f"log.answered {stream}")
        return Err(_unreachable_fault()) if self._points.log_unreachable else result

    def _check_busy(self) -> None:
        if self._clock.now() != self._read_at:
            self._read_at, self._reads = self._clock.now(), 0
        self._reads += 1
        if self._reads > MAX_READS_AT_ONCE:
            raise BusyLoopError(f"{self._reads} reads of the log at one time of the clock")

    def _wait(self) -> None:
        if self._points.log_delay:
            self._clock.sleep(self._points.log_delay)


class InstrumentedAnswer:
    """Answer of a target with a fault point after each read."""

    def __init__(self, answer: TargetAnswer, points: FaultPoints) -> None:
        self._answer = answer
        self._points = points

    def __getattr__(self, name: str) -> Any:
        return getattr(self._answer, name)

    def read(self) -> Result[bytes, Fault]:
        result = self._answer.read()
        ended = result.is_err() or not result.unwrap()
        self._points.reach("engine.ended" if ended else "engine.read")
        return result

    def close(self) -> None:
        self._answer.close()


class InstrumentedEngine:
    """Engine client with fault points around calls and orders."""

    def __init__(self, engine: Engine, points: FaultPoints) -> None:
        self._engine = engine
        self._points = points

    def open(self, call: TargetCall) -> Result[TargetAnswer, Fault]:
        self._points.reach("engine.open")
        result = self._engine.open(call)
        self._points.reach("engine.opened")
        return result.map(lambda answer: InstrumentedAnswer(answer, self._points))

    def resume(self, call: TargetCall, after: int) -> Result[TargetAnswer, Fault]:
        self._points.reach("engine.resume")
        result = self._engine.resume(call, after)
        return result.map(lambda answer: InstrumentedAnswer(answer, self._points))

    def order(self, url: str, order: EngineOrder) -> Result[None, Fault]:
        self._points.reach("engine.order")
        result = self._engine.order(url, order)
        self._points.reach("engine.ordered")
        return result

    def cancel(self, url: str, attempt_id: str) -> Result[None, Fault]:
        self._points.checkpoint()
        return self._engine.cancel(url, attempt_id)

    def load(self, url: str) -> Result:
        self._points.reach("engine.load")
        return self._engine.load(url)

    def cache_events(self, url: str, after: int) -> Result:
        self._points.checkpoint()
        return self._engine.cache_events(url, after)


class InstrumentedVmList:
    """VM list that blocks while its router is paused."""

    def __init__(self, vms: VmList, points: FaultPoints) -> None:
        self._vms = vms
        self._points = points

    def read(self) -> Result[list[Vm], Fault]:
        self._points.checkpoint()
        return self._vms.read()


class InstrumentedPeers:
    """Peer links with fault points; requests time out at their deadline on the fake clock."""

    def __init__(
        self, peers: PeerLinks, members: Membership, clock: Clock, points: FaultPoints
    ) -> None:
        self.traffic = TrafficCounters()
        self._peers = peers
        self._members = members
        self._clock = clock
        self._points = points

    def send(self, to: str, message: Any) -> bool:
        self._points.reach(f"peer.send {type(message).__name__}")
        return self._peers.send(to, message)

    def request(
        self, to: str, message: Any, deadline: float, *, urgent: bool = False
    ) -> Result[Any, Fault]:
        self._points.reach(f"peer.request {type(message).__name__}")
        pending = gevent.spawn(self._peers.request, to, message, deadline, urgent=urgent)
        timer = gevent.spawn(self._clock.sleep, max(0.0, deadline - self._clock.now()))
        gevent.wait([pending, timer], count=1)
        timer.kill(block=False)
        self._points.checkpoint()
        if pending.successful() and isinstance(pending.value, Ok | Err):
            return pending.value
        pending.kill(block=False)
        self._members.suspect(to)
        return Err(Fault(code=ResultCode.PEER_UNREACHABLE, detail=f"no answer from {to}"))

    def handle(self, kind: type, handler: Callable[[Member, Any], Any]) -> None:
        def handle_after_point(sender: Member, message: Any) -> Any:
            self._points.reach(f"peer.receive {kind.__name__}")
            return handler(sender, message)

        register_message(kind)
        self._peers.handle(kind, handle_after_point)

    def start(self) -> None:
        self._peers.start()

    def stop(self) -> None:
        self._peers.stop()


def _unreachable_fault() -> Fault:
    return Fault(code=ResultCode.LOG_UNAVAILABLE, detail="log service unreachable")
