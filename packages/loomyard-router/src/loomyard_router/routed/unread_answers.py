"""Take answers that their callers do not read off their targets."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import gevent
from gevent.queue import Queue

from loomyard.events import Event, emit
from loomyard_router.requests.whole_answers import AnswerBrokenError

if TYPE_CHECKING:
    from collections.abc import Callable, Generator

    from loomyard.clock import Clock
    from loomyard_router.routed.body_budget import BodyBudget

logger = logging.getLogger(__name__)

# A caller that reads takes a block within a few milliseconds, over a lossy link within some 200.
UNREAD_SECONDS = 0.5
LOOK_SECONDS = 0.25
# Targets cut answers off that stay unread for some seconds; until then there may be room again.
GIVE_UP_SECONDS = 2.5


class UnreadAnswers:
    """Watch answers that wait for their callers; one task looks at all of them while there are any.

    A place at a target is worth more than the memory of an answer, so what comes is kept here, as
    far as the budget of bytes goes; beyond it the answer is broken off.
    """

    def __init__(self, clock: Clock, budget: BodyBudget) -> None:
        self.clock = clock
        self.budget = budget
        self.buffered = 0
        self.aborted = 0
        self._waiting: dict[PassedAnswer, float] = {}
        self._task: gevent.Greenlet | None = None

    def enter(self, answer: PassedAnswer) -> None:
        """Take in that a block is given to a caller."""
        self._waiting[answer] = self.clock.now()
        if self._task is None:
            self._task = gevent.spawn(self._run)

    def leave(self, answer: PassedAnswer) -> None:
        """Take in that the caller has it, or is gone."""
        self._waiting.pop(answer, None)

    def look(self) -> None:
        """Take off what has waited for too long."""
        oldest = self.clock.now() - UNREAD_SECONDS
        for answer, since in list(self._waiting.items()):
            if since <= oldest:
                self.leave(answer)
                self.buffered += 1
                answer.take_off()

    def _run(self) -> None:
        while self._waiting:
            self.clock.sleep(LOOK_SECONDS)
            self.look()
        self._task = None


class PassedAnswer:
    """The blocks of one answer on their way from its target to its caller.

    They are read as the caller takes them. Once it is seen not to, a task of its own reads all that
    is left; ``ended`` is called when nothing more comes from the target, with why that was broken
    off, if it was.
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
        self._lease = unread.budget.open(account)
        self._kept: Queue = Queue()
        self._reader: gevent.Greenlet | None = None

    def blocks(self) -> Generator[bytes, None, None]:
        """Give the blocks to the caller."""
        try:
            for block in self._source:
                self._unread.enter(self)
                yield block
                self._unread.leave(self)
                if self._reader is not None:
                    yield from self._give_kept()
                    return
        finally:
            self._unread.leave(self)
            if self._reader is None:
                self._source.close()
            else:
                self._reader.kill(block=False)
            self._lease.end()

    def take_off(self) -> None:
        """Read on without the caller."""
        emit(logger, Event.ANSWER_UNREAD, request=self._request_id, seconds=UNREAD_SECONDS)
        self._reader = gevent.spawn(self._read_all)

    def _give_kept(self) -> Generator[bytes, None, None]:
        while True:
            block = self._kept.get()
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
                if not self._find_room(size):
                    detail = self._give_up(size)
                    outcome = AnswerBrokenError(detail)
                    return
                self._kept.put(block)
            outcome = None
        except AnswerBrokenError as error:
            outcome = error
        finally:
            self._kept.put(outcome)
            self._source.close()
            self._ended(detail)

    def _find_room(self, size: int) -> bool:
        """Wait for room in memory while the caller may still read."""
        deadline = self._unread.clock.now() + GIVE_UP_SECONDS
        while self._lease.grow_to(size).is_err():
            if self._unread.clock.now() >= deadline:
                return False
            self._unread.clock.sleep(LOOK_SECONDS)
        return True

    def _give_up(self, size: int) -> str:
        self._unread.aborted += 1
        detail = f"the caller does not read, and {size} bytes of the answer find no room here"
        emit(logger, Event.ANSWER_GIVEN_UP, request=self._request_id, detail=detail)
        return detail
