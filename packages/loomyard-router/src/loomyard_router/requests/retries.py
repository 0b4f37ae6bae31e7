"""Whether and when a failed attempt is followed by another."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs
from attrs import frozen

from loomyard.errors import Executed, Fault, ResultCode
from loomyard_router.requests.retry_budget import RetryBudget

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.requests.request import Request

MAX_ATTEMPTS = 4
BASE_DELAY = 0.025
MAX_DELAY = 1.0
BUDGET_RETRY_AFTER = 2.0
ATTEMPT_CODES = frozenset(
    [
        ResultCode.TARGET_UNREACHABLE,
        ResultCode.TARGET_REFUSED,
        ResultCode.TARGET_FAILED,
        ResultCode.ANSWER_LOST,
        ResultCode.ANSWER_INCOMPLETE,
        ResultCode.ANSWER_INVALID,
    ]
)


@frozen(kw_only=True)
class FailedAttempt:
    """A fault and the target it came from; no target where none was chosen."""

    fault: Fault
    target: str | None = None


class Retries:
    """Allow a retry only where nothing can run twice, within the budgets, at full jitter."""

    def __init__(self, clock: Clock, *, spread: random.Random | None = None) -> None:
        self._clock = clock
        self._spread = spread or random.Random()
        self._accounts = RetryBudget()
        self._targets = RetryBudget()

    def deposit(self, account: str, target: str) -> None:
        """Take in a first attempt."""
        self._accounts.deposit(account)
        self._targets.deposit(target)

    def refuse(self, request: Request, failed: FailedAttempt, number: int) -> Fault | None:
        """Return the final fault after an attempt, or ``None`` where another may follow."""
        fault = failed.fault
        if failed.target is None or fault.code not in ATTEMPT_CODES or number >= MAX_ATTEMPTS:
            return fault
        if fault.executed is not Executed.NO and not request.idempotent:
            return fault
        account = request.account.metadata.name
        if not (self._accounts.has(account) and self._targets.has(failed.target)):
            detail = f"no retry is left after: {fault.detail} [{fault.code:d}]"
            return attrs.evolve(
                fault,
                code=ResultCode.RETRY_BUDGET_SPENT,
                detail=detail,
                retry_after=BUDGET_RETRY_AFTER,
            )
        self._accounts.take(account)
        self._targets.take(failed.target)
        return None

    def wait(self, request: Request, number: int) -> None:
        """Wait before the next attempt, never past the deadline."""
        longest = min(MAX_DELAY, BASE_DELAY * 2**number)
        left = max(0.0, request.deadline - self._clock.now())
        self._clock.sleep(min(left, self._spread.uniform(0.0, longest)))
