"""Buffering of answers that their callers do not read, so that targets get their slots back."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from gevent.queue import Queue

from loomyard.events import Event, emit
from loomyard_router.requests.whole_answers import AnswerBrokenError
from loomyard_router.supervision.guard import call_guarded
from loomyard_router.supervision.tasks import start_task

if TYPE_CHECKING:
    from collections.abc import Callable, Generator

    import gevent

    from loomyard.clock import Clock
    from loomyard_router.routed.body_budget import BodyBudget

logger = logging.getLogger(__name__)

# Time after which an answer counts as unread: a caller that reads takes a block within a few
# milliseconds, over a lossy link within about 200.
UNREAD_SECONDS = 0.5
CHECK_SECONDS = 0.25
# Wait for free memory before an answer is aborted; targets themselves cut off an answer that is
# not read for some seconds.
MEMORY_WAIT_SECONDS = 2.5


class UnreadAnswers:
    """Watch answers that wait for their callers, in one task that runs only while there are any.

    A slot at a target is worth more than the memory of an answer. So the rest of an unread answer
    is buffered here within the memory budget; beyond it the answer is aborted.
    """

    def __init__(self, clock: Clock, budget: BodyBudget) -> None:
        self.clock = clock
        self.budget = budget
        self.buffered = 0
        self.aborted = 0
        self._waiting: dict[BufferedAnswer, float] = {}
        self._task: gevent.Greenlet | None = None

    def add_waiting(self, answer: BufferedAnswer) -> None:
        """Record that a block was handed to a caller."""
        self._waiting[answer] = self.clock.now()
        if self._task is None or self._task.dead:
            self._task = start_task("unread answers", self._run)

    def remove_waiting(self, answer: BufferedAnswer) -> None:
        """Record that the caller took the block, or has gone."""
        self._waiting.pop(answer, None)

    def check(self) -> None:
        """Start to buffer the answers that have waited for too long."""
        oldest = self.clock.now() - UNREAD_SECONDS
        for answer, since in list(self._waiting.items()):
            if since <= oldest:
                self.remove_waiting(answer)
                self.buffered += 1
                call_guarded("unread answers", answer.start_buffering)

    def _run(self) -> None:
        try:
            while self._waiting:
                self.clock.sleep(CHECK_SECONDS)
                self.check()
        finally:
            self._task = None


class BufferedAnswer:
    """The blocks of one answer, from its target to its caller.

    They are read from the target as the caller takes them. For a caller that does not, a task reads
    the rest into memory and calls ``ended`` when it is done with the target, with the reason if the
    answer was aborted, else with an empty text.
    """

    def __init__(
        self,
        blocks: Generator[bytes, None, None],
        *,
        request_id: str,
        account: str,
        unread: UnreadAnswers,
        ended: Callable[[str], None],
    ) -> None:
        self._source = blocks
        self._request_id = request_id
        self._unread = unread
        self._ended = ended
        self._reservation = unread.budget.make_reservation(account)
        self._buffer: Queue = Queue()
        self._reader: gevent.Greenlet | None = None

    def blocks(self) -> Generator[bytes, None, None]:
        """Yield the blocks to the caller."""
        try:
            for block in self._source:
                self._unread.add_waiting(self)
                yield block
                self._unread.remove_waiting(self)
                if self._reader is not None:
                    yield from self._yield_buffered()
                    return
        finally:
            self._unread.remove_waiting(self)
            if self._reader is None:
                self._source.close()
            else:
                self._reader.kill(block=False)
            self._reservation.release()

    def start_buffering(self) -> None:
        """Read the rest of the answer without waiting for the caller."""
        emit(logger, Event.ANSWER_UNREAD, request=self._request_id, seconds=UNREAD_SECONDS)
        self._reader = start_task("unread answers", self._read_all)

    def _yield_buffered(self) -> Generator[bytes, None, None]:
        while True:
            block = self._buffer.get()
            if block is None:
                return
            if isinstance(block, AnswerBrokenError):
                raise block
            yield block

    def _read_all(self) -> None:
        size = 0
        outcome: AnswerBrokenError | None = AnswerBrokenError("the answer was not read to its end")
        detail = ""
        try:
            for block in self._source:
                size += len(block)
                if not self._reserve(size):
                    detail = self._record_abort(size)
                    outcome = AnswerBrokenError(detail)
                    return
                self._buffer.put(block)
            outcome = None
        except AnswerBrokenError as error:
            outcome = error
        finally:
            self._buffer.put(outcome)
            self._source.close()
            self._ended(detail)

    def _reserve(self, size: int) -> bool:
        """Reserve memory, waiting for some to be released; tell whether that succeeded."""
        deadline = self._unread.clock.now() + MEMORY_WAIT_SECONDS
        while self._reservation.grow_to(size).is_err():
            if self._unread.clock.now() >= deadline:
                return False
            self._unread.clock.sleep(CHECK_SECONDS)
        return True

    def _record_abort(self, size: int) -> str:
        self._unread.aborted += 1
        detail = f"the caller does not read, and no memory is left for {size} bytes of the answer"
        emit(logger, Event.ANSWER_GIVEN_UP, request=self._request_id, detail=detail)
        return detail
