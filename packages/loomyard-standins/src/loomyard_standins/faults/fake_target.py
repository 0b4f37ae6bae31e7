"""In-memory target that injects answer faults and records calls and orders."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from gevent.event import Event
from result import Err, Ok, Result

from loomyard.errors import Executed, Fault, ResultCode
from loomyard.external.engine import CacheEvent, EngineOrder, LoadReport, TargetCall
from loomyard_standins.faults.answer_fault import AnswerFault
from loomyard_standins.faults.fake_answer import FakeAnswer
from loomyard_standins.faults.generated import generate, generate_plain
from loomyard_standins.faults.observations import OrderRecord, Run

if TYPE_CHECKING:
    from collections import deque
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard_standins.faults.observations import Observations

MODEL = "assistant"
LATE_SECONDS = 1.0
STEP_SECONDS = 0.003
EVENT_STREAM = "text/event-stream"
JSON_TYPE = "application/json"
NO_ANSWER = frozenset([AnswerFault.GONE_BEFORE, AnswerFault.LOST, AnswerFault.LATE])
BROKEN = frozenset(
    [
        AnswerFault.GONE_DURING,
        AnswerFault.HALF,
        AnswerFault.HALF_FORGOTTEN,
        AnswerFault.DOUBLED,
    ]
)


class FakeTarget:
    """Fake of a model engine, or of a plain server if ``plain``.

    ``faults`` is a queue that targets may share; each fault applies to one call. ``on_run`` is
    called after a call was executed and before its answer is returned.
    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        observations: Observations,
        faults: deque[AnswerFault],
        *,
        plain: bool = False,
        checks_fencing: bool = False,
    ) -> None:
        self.name = name
        self.plain = plain
        self.checks_fencing = checks_fencing
        self.up = True
        self.died_at = 0.0
        self.leaving = False
        self.faults = faults
        self.on_run: Callable[[Run], None] = lambda run: None
        self.models = set() if plain else {MODEL}
        self.highest_fencing = -1
        self._clock = clock
        self._observations = observations
        self._retained_runs: dict[str, Run] = {}
        self._released = Event()
        self._released.set()
        self._repeating: set[str] = set()
        self._answers: list[FakeAnswer] = []

    @property
    def url(self) -> str:
        return f"http://{self.name}"

    @property
    def running(self) -> int:
        """Return the number of retained runs while answers are held, and 0 otherwise."""
        return 0 if self._released.is_set() else len(self._retained_runs)

    def hold(self) -> None:
        """Block all reads of answers until ``release``."""
        self._released.clear()

    def release(self) -> None:
        """Unblock the reads of answers."""
        self._released.set()

    def restart(self) -> None:
        """Start the target again, without retained runs and with the initial models."""
        self.up = True
        self._retained_runs.clear()
        self.models = set() if self.plain else {MODEL}

    def fail_open_answers(self, fault: AnswerFault) -> bool:
        """Apply a fault to all open answers; return false if there is none."""
        answers = [answer for answer in self._answers if answer.open]
        for answer in answers:
            if fault is AnswerFault.GONE_AFTER:
                answer.call_at_end(self._die)
                continue
            self._break_off(answer)
            if fault is AnswerFault.DOUBLED:
                self._repeating.add(answer.attempt_id)
        if answers and fault is AnswerFault.GONE_DURING:
            self._die()
        return bool(answers)

    def open(self, call: TargetCall) -> Result[FakeAnswer, Fault]:
        """Execute a call and return its answer, subject to the next queued fault."""
        if not self.up or self._pop_fault(AnswerFault.REFUSED):
            return Err(_fault(ResultCode.TARGET_UNREACHABLE, "refused", Executed.NO))
        if not self.plain and json.loads(call.body)["model"] not in self.models:
            return Ok(self._refuse(call, 404, "Loomyard-Not-Run"))
        run = self._run(call)
        if run.refused:
            return Ok(self._refuse(call, 503, "Loomyard-Leaving"))
        self.on_run(run)
        fault = self.faults.popleft() if self.faults else None
        if fault is AnswerFault.LATE:
            self._clock.sleep(LATE_SECONDS)
        if fault in (AnswerFault.GONE_BEFORE, AnswerFault.LOST):
            run.broken = True
            if fault is AnswerFault.GONE_BEFORE:
                self._die()
            return Err(_fault(ResultCode.ANSWER_LOST, "the answer was lost", Executed.UNKNOWN))
        return Ok(self._answer(run, fault))

    def resume(self, call: TargetCall, after: int) -> Result[FakeAnswer, Fault]:
        """Return the rest of a retained stream; ``DOUBLED`` ones repeat the last event received."""
        if not self.up:
            return Err(_fault(ResultCode.TARGET_UNREACHABLE, "refused", Executed.UNKNOWN))
        run = self._retained_runs.get(call.attempt_id)
        if run is None:
            return Err(_fault(ResultCode.STREAM_GONE, "stream not retained", Executed.UNKNOWN))
        start = after if run.attempt_id in self._repeating else after + 1
        return Ok(self._make_answer(run, run.chunks[max(0, start) :]))

    def cancel(self, attempt_id: str) -> Result[None, Fault]:
        """Mark the run of an attempt as cancelled."""
        if attempt_id in self._retained_runs:
            self._retained_runs[attempt_id].cancelled = True
        return Ok(None)

    def load(self) -> Result[LoadReport, Fault]:
        """Return a load report."""
        if not self.up:
            return Err(_fault(ResultCode.TARGET_UNREACHABLE, "refused", Executed.NO))
        return Ok(
            LoadReport(
                running=self.running,
                waiting=0,
                step_seconds=STEP_SECONDS,
                models=sorted(self.models),
                fencing=self.highest_fencing,
                leaving=self.leaving,
            )
        )

    def cache_events(self, after: int) -> Result[list[CacheEvent], Fault]:
        """Return no cache events."""
        return Ok([])

    def order(self, order: EngineOrder) -> Result[None, Fault]:
        """Execute an order; refuse it as fenced if fencing is checked and its number is old."""
        if not self.up:
            return Err(_fault(ResultCode.TARGET_UNREACHABLE, "refused", Executed.NO))
        fenced = self.checks_fencing and order.fencing < self.highest_fencing
        self._observations.orders.append(
            OrderRecord(
                target=self.name,
                checks_fencing=self.checks_fencing,
                action=order.action,
                subject=order.subject,
                fencing=order.fencing,
                at=self._clock.now(),
                effective=not fenced,
            )
        )
        if fenced:
            return Err(_fault(ResultCode.ORDER_FENCED, "old fencing number", Executed.NO))
        self.highest_fencing = max(self.highest_fencing, order.fencing)
        lost = self.faults.popleft() if self.faults and self.faults[0] in NO_ANSWER else None
        if order.action.startswith("unload"):
            self.models.discard(order.subject)
        else:
            self.models.add(order.subject)
        if lost is AnswerFault.LATE:
            self._clock.sleep(LATE_SECONDS)
        elif lost is not None:
            if lost is AnswerFault.GONE_BEFORE:
                self._die()
            return Err(_fault(ResultCode.ANSWER_LOST, "the answer was lost", Executed.UNKNOWN))
        return Ok(None)

    def _run(self, call: TargetCall) -> Run:
        generated = generate_plain(call) if self.plain else generate(call)
        run = Run(
            target=self.name,
            attempt_id=call.attempt_id,
            marker=generated.marker,
            at=self._clock.now(),
            tokens=generated.tokens,
            chunks=generated.chunks,
            refused=self.leaving,
        )
        self._observations.runs.append(run)
        if run.refused:
            self._observations.leaving.setdefault(self.name, run.at)
            return run
        self._retained_runs[call.attempt_id] = run
        return run

    def _answer(self, run: Run, fault: AnswerFault | None) -> FakeAnswer:
        chunks = run.chunks
        half = chunks[: len(chunks) // 2] if len(chunks) > 1 else [chunks[0][: len(chunks[0]) // 2]]
        if fault is AnswerFault.GARBAGE:
            run.broken = True
            return self._make_answer(run, [b"\x00\xff garbage"])
        if fault is AnswerFault.CROSSED:
            other = Run(target=self.name, attempt_id="other.1", marker="other", at=run.at)
            marked = [chunk.replace(run.marker.encode(), b"other") for chunk in chunks]
            return self._make_answer(other, marked)
        if fault is AnswerFault.HALF_ENDED:
            run.broken = True
            return self._make_answer(run, half)
        if fault not in BROKEN:
            dies = fault is AnswerFault.GONE_AFTER
            return self._make_answer(run, chunks, after_end=self._die if dies else None)
        if fault is AnswerFault.DOUBLED:
            self._repeating.add(run.attempt_id)
        if fault is AnswerFault.HALF_FORGOTTEN:
            del self._retained_runs[run.attempt_id]
        dies = fault is AnswerFault.GONE_DURING
        run.broken = True
        return self._make_answer(run, half, broken=True, after_end=self._die if dies else None)

    def _make_answer(
        self,
        run: Run,
        chunks: list[bytes],
        *,
        broken: bool = False,
        after_end: Callable[[], None] | None = None,
    ) -> FakeAnswer:
        stream = chunks[0].startswith(b"id: ") if chunks else True
        answer = FakeAnswer(
            attempt_id=run.attempt_id,
            chunks=chunks,
            content_type=EVENT_STREAM if stream else JSON_TYPE,
            before_read=self._released.wait,
            broken=broken,
            after_end=after_end or (lambda: None),
        )
        self._answers = [*(a for a in self._answers if a.open), answer]
        return answer

    def _refuse(self, call: TargetCall, status: int, header: str) -> FakeAnswer:
        return FakeAnswer(
            attempt_id=call.attempt_id,
            chunks=[b'{"error": "refused"}'],
            content_type=JSON_TYPE,
            before_read=self._released.wait,
            status=status,
            headers=[(header, "1")],
        )

    def _pop_fault(self, fault: AnswerFault) -> bool:
        if self.faults and self.faults[0] is fault:
            self.faults.popleft()
            return True
        return False

    def _break_off(self, answer: FakeAnswer) -> None:
        answer.break_off()
        if answer.attempt_id in self._retained_runs:
            self._retained_runs[answer.attempt_id].broken = True

    def _die(self) -> None:
        self.up = False
        self.died_at = self._clock.now()
        for answer in self._answers:
            if answer.open:
                self._break_off(answer)


def _fault(code: ResultCode, detail: str, executed: Executed) -> Fault:
    return Fault(code=code, detail=detail, executed=executed)
