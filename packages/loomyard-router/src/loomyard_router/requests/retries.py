"""Policy that decides whether and when a failed attempt is retried."""

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
    """Allow retries only where nothing can run twice, within budgets, with full-jitter back-off."""

    def __init__(self, clock: Clock, *, rng: random.Random | None = None) -> None:
        self._clock = clock
        self._rng = rng or random.Random()
        self._accounts = RetryBudget()
        self._targets = RetryBudget()

    def record_request(self, account: str, target: str) -> None:
        """Credit the budgets of the account and the target with a first attempt."""
        self._accounts.record_request(account)
        self._targets.record_request(target)

    def check(self, request: Request, failed: FailedAttempt, number: int) -> Fault | None:
        """Return the final fault of a request, or spend a retry and return ``None``."""
        fault = failed.fault
        if failed.target is None or fault.code not in ATTEMPT_CODES or number >= MAX_ATTEMPTS:
            return fault
        if fault.executed is not Executed.NO and not request.idempotent:
            return fault
        account = request.account.metadata.name
        if not (self._accounts.has_retry(account) and self._targets.has_retry(failed.target)):
            detail = f"no retry is left after: {fault.detail} [{fault.code:d}]"
            return attrs.evolve(
                fault,
                code=ResultCode.RETRY_BUDGET_SPENT,
                detail=detail,
                retry_after=BUDGET_RETRY_AFTER,
            )
        self._accounts.spend(account)
        self._targets.spend(failed.target)
        return None

    def wait(self, request: Request, number: int) -> None:
        """Wait before the next attempt, never past the deadline."""
        longest = min(MAX_DELAY, BASE_DELAY * 2**number)
        remaining = max(0.0, request.deadline - self._clock.now())
        self._clock.sleep(min(remaining, self._rng.uniform(0.0, longest)))
