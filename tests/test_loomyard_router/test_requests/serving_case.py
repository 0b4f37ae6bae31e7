"""Test case with a request pipeline, scripted targets and recorded claims."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING

from result import Ok

from loomyard.clock import SystemClock
from loomyard.codec import encode
from loomyard.configuration import Change, Put
from loomyard.objects import ClientAccount, Metadata, Route, Service, ServiceType, Target
from loomyard_router.claims.claim_coordinator import Claim, ClaimKey, RecordedOutcome
from loomyard_router.configuration.follower import CONFIG_STREAM, ConfigFollower
from loomyard_router.metrics.request_metrics import RequestMetrics
from loomyard_router.peers.no_peers import NoPeers
from loomyard_router.requests.estimates import CostEstimates
from loomyard_router.requests.journal import Journal
from loomyard_router.requests.pending_resumes import PendingResumes
from loomyard_router.requests.request import Request
from loomyard_router.requests.request_pipeline import RequestPipeline
from loomyard_router.requests.retries import Retries
from loomyard_router.requests.stream_resumer import StreamResumer
from loomyard_router.requests.stream_token import StreamTokens
from loomyard_router.shares.local import make_local_policy
from loomyard_router.targets.directory import make_configured_targets
from loomyard_router.targets.http_engine import make_http_engine
from loomyard_standins.log_service import MemoryLog
from loomyard_standins.scripted_target import ScriptedTarget, answer_bytes

if TYPE_CHECKING:
    from gevent.socket import socket

    from loomyard_standins.scripted_target import ReceivedCall


class NoBackOff(random.Random):
    """Random numbers that make every back-off zero."""

    def uniform(self, a: float, b: float) -> float:
        return a


class ClaimRecorder:
    """Claim keeper that grants every claim and records the steps that follow."""

    def __init__(self) -> None:
        self.steps: list[object] = []

    def claim(self, key: ClaimKey, deadline: float) -> Ok[Claim]:
        self.steps.append("claim")
        return Ok(Claim(key=key, claim_id="c"))

    def begin(self, claim: Claim, deadline: float) -> Ok[None]:
        self.steps.append("begin")
        return Ok(None)

    def finish(self, claim: Claim, outcome: RecordedOutcome | None) -> None:
        self.steps.append(outcome)

    def abandon(self, claim: Claim) -> None:
        self.steps.append("abandon")


class ServingCase(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = SystemClock()
        self.claims = ClaimRecorder()
        self.targets = make_configured_targets()
        self.left: list[str] = []
        self.targets.report_leaving = self.left.append  # type: ignore[method-assign]
        self.rests: list[tuple[str, float]] = []
        self.targets.report_backoff = (  # type: ignore[method-assign]
            lambda name, until: self.rests.append((name, until))
        )
        self.policy = make_local_policy(self.clock)
        self.engines = [ScriptedTarget(answer_whole) for _ in range(2)]
        for engine in self.engines:
            engine.start()
            self.addCleanup(engine.stop)

    def serve(self, **options: object):
        request = self.make_request(**options)
        return self.make_serving().serve(request)

    def make_serving(self) -> RequestPipeline:
        follower = ConfigFollower(MemoryLog(), self.clock)
        follower._log.append(CONFIG_STREAM, encode(self.change()))
        follower.subscribe(self.targets.reconfigure)
        follower.poll()
        self.account = follower.routing.accounts["kiosk"]
        self.services = follower.routing.services
        engine = make_http_engine(self.clock)
        resuming = StreamResumer(
            clock=self.clock,
            follower=follower,
            engine=engine,
            tokens=StreamTokens(("secret",)),
            pending=PendingResumes(self.clock, NoPeers(), "router-0", seconds=5.0),
        )
        return RequestPipeline(
            stream_resumer=resuming,
            meters=RequestMetrics(self.clock),
            clock=self.clock,
            follower=follower,
            policy=self.policy,
            targets=self.targets,
            claims=self.claims,
            engine=engine,
            estimates=CostEstimates(),
            journal=Journal(self.clock),
            retries=Retries(self.clock, rng=NoBackOff()),
        )

    def change(self) -> Change:
        objects = [
            ClientAccount(metadata=Metadata(name="kiosk")),
            Service(metadata=Metadata(name="assistant")),
            Service(metadata=Metadata(name="records"), type=ServiceType.PLAIN),
            *(Route(metadata=Metadata(name=name), service=name) for name in self.names()),
            *(
                Target(
                    metadata=Metadata(name=f"t{number}"),
                    url=engine.url,
                    services=list(self.names()),
                    slots=1,
                )
                for number, engine in enumerate(self.engines)
            ),
        ]
        return Change(change_id="1", puts=[Put(object=item) for item in objects])

    def names(self) -> tuple[str, str]:
        return ("assistant", "records")

    def make_request(self, service: str = "records", **options: object) -> Request:
        kind = ServiceType.MODEL if service == "assistant" else ServiceType.PLAIN
        return Request(
            request_id="req-1",
            account=ClientAccount(metadata=Metadata(name="kiosk")),
            service=Service(metadata=Metadata(name=service), type=kind),
            method="POST",
            path="/v1/completions",
            body=b"{}",
            arrived_at=self.clock.now(),
            deadline=self.clock.now() + 5.0,
            **options,
        )

    def script(self, *scripts) -> None:
        """Answer the calls of both targets in this order."""
        left = list(scripts)
        for engine in self.engines:
            engine.script = lambda call, sock: left.pop(0)(call, sock)

    @property
    def sent(self) -> int:
        return sum(len(engine.work_calls) for engine in self.engines)

    def assert_slots_free(self) -> None:
        self.assertEqual(self.policy._running.total(), 0)


def answer_whole(call: ReceivedCall, sock: socket) -> None:
    sock.sendall(answer_bytes(call, b'{"ok": 1}'))
