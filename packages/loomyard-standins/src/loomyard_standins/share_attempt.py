"""Simulated request that the driver of the share policies submits."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard_router.shares.admission import Admission
    from loomyard_router.shares.waiting import WaitingRequest
    from loomyard_standins.share_driver import ShareDriver
    from loomyard_standins.virtual_engine import VirtualEngine

LINK_DELAY = 0.0015  # seconds from an engine to a router, and from router to router
STEP_SECONDS = 0.003  # per token
CHUNK_TOKENS = 64  # tokens between two charges of a running request


class ShareAttempt:
    """One request from submission to completion; ``resubmit`` starts its caller's next one."""

    def __init__(
        self,
        driver: ShareDriver,
        position: int,
        waiting: WaitingRequest,
        tokens: int,
        resubmit: Callable[[], None],
    ) -> None:
        self._driver = driver
        self._position = position
        self._waiting = waiting
        self._tokens = tokens
        self._resubmit = resubmit
        self._done = 0
        self._policy = driver.policies[position]
        self._admission: Admission | None = None
        self._running = False
        self._ended = False

    def begin(self, admission: Admission) -> None:
        """Run on the admitted engine, or queue there while its slots are in use."""
        self._admission = admission
        engine = self._engine
        if engine.running < engine.slots:
            self._run()
        else:
            engine.queue.append(self._run)

    def abandon(self) -> None:
        """Drop the request because its router was killed; the caller retries after 10 ms."""
        self._ended = True
        if self._running:
            self._leave_engine()
        else:
            self._driver.waiting[self._key] -= 1
        self._driver.agenda.after(0.01, self._resubmit)

    @property
    def _key(self) -> tuple[str, str]:
        return self._waiting.account.metadata.name, self._waiting.service.metadata.name

    @property
    def _engine(self) -> VirtualEngine:
        assert self._admission is not None
        return self._driver.engines[self._admission.target.metadata.name]

    def _run(self) -> None:
        if self._ended:
            self._start_next()
            return
        self._running = True
        self._driver.waiting[self._key] -= 1
        self._engine.running += 1
        self._step()

    def _step(self) -> None:
        count = min(CHUNK_TOKENS, self._tokens - self._done)
        self._driver.agenda.after(count * STEP_SECONDS, lambda: self._progress(count))

    def _progress(self, count: int) -> None:
        if self._ended:
            return
        admission = self._admission
        assert admission is not None
        self._done += count
        self._driver.served[self._key[0]] += count
        if self._done < self._tokens:
            self._policy.charge(admission, max(admission.charged, float(self._done)))
            self._step()
            return
        self._ended = True
        self._driver.finished[self._key] += 1
        self._driver.open_requests.pop((self._position, self._waiting.request_id), None)
        self._driver.estimates[self._position].record(
            self._waiting.account, self._waiting.service, self._tokens
        )
        self._leave_engine()
        # The answer reaches the router, and the caller sends its next request, a link delay later.
        self._driver.agenda.after(LINK_DELAY, self._finish)

    def _finish(self) -> None:
        assert self._admission is not None
        self._policy.finish(self._admission, float(self._tokens))
        self._resubmit()

    def _leave_engine(self) -> None:
        self._running = False
        self._engine.running -= 1
        self._start_next()

    def _start_next(self) -> None:
        engine = self._engine
        if engine.queue and engine.running < engine.slots:
            engine.queue.popleft()()
