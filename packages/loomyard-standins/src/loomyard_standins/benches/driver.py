"""Load driver: the callers of all client accounts of one run."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING

import gevent
from gevent.lock import Semaphore
from gevent.pool import Pool

from loomyard.objects import ServiceType
from loomyard_standins.benches.account_plan import Pattern
from loomyard_standins.benches.caller import HTTP_OK, Caller, Reply
from loomyard_standins.benches.draws import Draws
from loomyard_standins.benches.timeline import Phase

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard_standins.benches.account_plan import AccountPlan
    from loomyard_standins.benches.load_balancer import LoadBalancer
    from loomyard_standins.benches.timeline import Timeline
    from loomyard_standins.benches.trace import Trace, TracedRequest
    from loomyard_standins.benches.workload import Workload

PROMPT_WEIGHT = 1.0
COMPLETION_WEIGHT = 2.0
SECOND_WEIGHT = 1000.0
CHARACTERS_PER_TOKEN = 4
MAX_OPEN_CALLS = 400
MAX_RETRY_DELAY_SECONDS = 1.0
RECONNECT_DELAY_SECONDS = 0.05
BURST_PERIOD_SECONDS = 2.0
RETURNING_ON_SECONDS = 2.0
RETURNING_OFF_SECONDS = 1.0
LAG_SAMPLE_SECONDS = 0.01


def api_key_of(account: str) -> str:
    """Return the API key of an account."""
    return f"key-{account}"


class Driver:
    """Run the callers until the timeline ends and record their requests in the trace."""

    def __init__(
        self,
        workload: Workload,
        timeline: Timeline,
        trace: Trace,
        balancer: LoadBalancer,
        seed: int,
    ) -> None:
        self.refused = 0
        self.failed = 0
        self.truncated = 0
        self.loop_lag: list[float] = []
        self._timeline = timeline
        self._trace = trace
        self._balancer = balancer
        self._services = {plan.name: n for n, plan in enumerate(workload.services)}
        self._types = {plan.name: plan.type for plan in workload.services}
        self._accounts = workload.accounts
        self._seed = seed
        self._tasks = Pool()

    def run(self, *, idle: bool = False) -> None:
        """Send requests until the end, then kill all callers; when idle, send nothing."""
        gevent.spawn(self._measure_loop_lag)
        for number, plan in enumerate(self._accounts if not idle else ()):
            start = _STARTS[plan.pattern]
            start(self, _Account(number, plan, Draws(plan, self._seed)))
        gevent.sleep(max(0.0, self._seconds_left()))
        self._tasks.kill()

    def _seconds_left(self) -> float:
        return self._trace.started + self._timeline.end - time.monotonic()

    def _elapsed(self) -> float:
        return time.monotonic() - self._trace.started

    def _start_backlog(self, account: _Account) -> None:
        for service in account.plan.services:
            for number in range(account.plan.callers):
                self._tasks.spawn(self._call_forever, account, service, number, _no_wait)

    def _start_returning(self, account: _Account) -> None:
        for number in range(account.plan.callers):
            self._tasks.spawn(
                self._call_forever, account, account.plan.services[0], number, self._await_return
            )

    def _start_poisson(self, account: _Account) -> None:
        self._tasks.spawn(self._send_open_loop, account, 0.0, self._timeline.end)

    def _start_flood(self, account: _Account) -> None:
        start, stop = (f(Phase.FLOOD) for f in (self._timeline.start_of, self._timeline.end_of))
        self._tasks.spawn(self._send_open_loop, account, start, stop)

    def _start_bursts(self, account: _Account) -> None:
        self._tasks.spawn(self._send_bursts, account)

    def _call_forever(
        self, account: _Account, service: str, number: int, await_send_time: Callable[[], None]
    ) -> None:
        router = account.plan.routers[number % len(account.plan.routers)]
        caller = self._connect(account, router)
        while True:
            await_send_time()
            gevent.sleep(self._call(account, service, caller))

    def _await_return(self) -> None:
        phase = self._elapsed() % (RETURNING_ON_SECONDS + RETURNING_OFF_SECONDS)
        if phase > RETURNING_ON_SECONDS:
            gevent.sleep(RETURNING_ON_SECONDS + RETURNING_OFF_SECONDS - phase)

    def _send_open_loop(self, account: _Account, start: float, stop: float) -> None:
        gevent.sleep(start)
        idle: list[Caller] = []
        open_calls = Semaphore(MAX_OPEN_CALLS)
        due = time.monotonic()
        while self._elapsed() < stop:
            due += account.draws.interarrival_seconds(account.plan.rate)
            gevent.sleep(max(0.0, due - time.monotonic()))
            open_calls.acquire()
            self._tasks.spawn(self._call_once, account, idle).rawlink(
                lambda _: open_calls.release()
            )

    def _call_once(self, account: _Account, idle: list[Caller]) -> None:
        if idle:
            caller = idle.pop()
        else:
            routers = account.plan.routers
            caller = self._connect(account, routers[account.draws.position(len(routers))])
        self._call(account, account.plan.services[0], caller)
        idle.append(caller)

    def _send_bursts(self, account: _Account) -> None:
        routers = account.plan.routers
        callers = [
            self._connect(account, routers[number % len(routers)])
            for number in range(account.plan.callers)
        ]
        while True:
            service = account.plan.services[0]
            tasks = [self._tasks.spawn(self._call, account, service, c) for c in callers]
            gevent.sleep(BURST_PERIOD_SECONDS)
            gevent.joinall(tasks)

    def _connect(self, account: _Account, router: int) -> Caller:
        return Caller(lambda: self._balancer.port(router), api_key_of(account.plan.name))

    def _call(self, account: _Account, service: str, caller: Caller) -> float:
        """Send one request; return the seconds to wait before the next one."""
        request = self._trace.record_sent(account.number, self._services[service])
        try:
            if self._types[service] is ServiceType.PLAIN:
                reply = self._call_plain(account, service, caller, request)
            else:
                reply = self._call_model(account, service, caller, request)
        except OSError:
            self.failed += 1
            self._trace.record_refusal(request)
            return RECONNECT_DELAY_SECONDS
        if reply.status == HTTP_OK:
            return 0.0
        self.refused += 1
        self._trace.record_refusal(request)
        return min(MAX_RETRY_DELAY_SECONDS, reply.retry_after) * account.draws.jitter()

    def _call_model(
        self, account: _Account, service: str, caller: Caller, request: TracedRequest
    ) -> Reply:
        tokens, prompt = account.draws.tokens(), account.draws.prompt_tokens()
        cost = PROMPT_WEIGHT * prompt + COMPLETION_WEIGHT * tokens
        document = {
            "model": service,
            "prompt": account.plan.name[:CHARACTERS_PER_TOKEN].ljust(
                CHARACTERS_PER_TOKEN * prompt, "x"
            ),
            "max_tokens": tokens,
            "stream": True,
            "stream_options": {"include_usage": True},
        }
        trace = self._trace

        def on_tokens(count: int) -> None:
            trace.events += count
            units = COMPLETION_WEIGHT * count
            if count and request.served is None:
                units += PROMPT_WEIGHT * prompt
            trace.record_service(request, units)

        body = json.dumps(document).encode()
        reply = caller.call("/v1/completions", body, account.draws.cost_hint(cost), on_tokens)
        self.truncated += not reply.complete
        return reply

    def _call_plain(
        self, account: _Account, service: str, caller: Caller, request: TracedRequest
    ) -> Reply:
        seconds = account.draws.seconds()
        body = json.dumps({"seconds": seconds}).encode()
        hint = account.draws.cost_hint(SECOND_WEIGHT * seconds)
        reply = caller.call(f"/services/{service}/work", body, hint, _ignore_tokens)
        if reply.status == HTTP_OK:
            self._trace.record_service_over(request, SECOND_WEIGHT * seconds, seconds)
        return reply

    def _measure_loop_lag(self) -> None:
        while True:
            due = time.monotonic() + LAG_SAMPLE_SECONDS
            gevent.sleep(LAG_SAMPLE_SECONDS)
            self.loop_lag.append(time.monotonic() - due)


class _Account:
    def __init__(self, number: int, plan: AccountPlan, draws: Draws) -> None:
        self.number = number
        self.plan = plan
        self.draws = draws


def _no_wait() -> None:
    pass


def _ignore_tokens(_: int) -> None:
    pass


_STARTS: dict[Pattern, Callable[[Driver, _Account], None]] = {
    Pattern.BACKLOG: Driver._start_backlog,
    Pattern.RETURNING: Driver._start_returning,
    Pattern.POISSON: Driver._start_poisson,
    Pattern.FLOOD: Driver._start_flood,
    Pattern.BURSTS: Driver._start_bursts,
}
