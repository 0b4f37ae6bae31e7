"""Refusal of requests by their first bytes, before they are decoded."""

from __future__ import annotations

import logging
import re
from collections import Counter
from typing import TYPE_CHECKING

from attrs import frozen

from loomyard.errors import Fault, ResultCode
from loomyard.events import Event, emit
from loomyard_router.callers.problems import encode_empty_answer
from loomyard_router.supervision.tasks import start_task_later

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard_router.admission.account_backlog import AccountBacklog
    from loomyard_router.admission.waiting_time import RetryHint
    from loomyard_router.metrics.request_metrics import RequestMetrics
    from loomyard_router.routed.http_codecs import CallerCodec, HeadPreview
    from loomyard_router.routes.route_table_holder import RouteTableHolder

logger = logging.getLogger(__name__)

# Seconds of refusals that one log line sums up; a line for each would double the cost of refusing.
LOG_SECONDS = 1.0
MAX_ACCOUNTS_LOGGED = 8
MILLISECONDS = 1000
HEAD_END = b"\r\n\r\n"
LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*(\d{1,18})[ \t]*\r\n", re.IGNORECASE)
BODILESS = (b"GET ", b"HEAD ")


@frozen
class RefusedEarly:
    """The refusal to send, and the size of the refused request in bytes."""

    answer: bytes
    size: int


class EarlyRefusal:
    """Check the first request of a connection, so that a refused one need not be decoded.

    Decoding is most of the cost of a refusal. It would make a lagging router lag further, also one
    that gets hundreds of requests a second from an account over its share.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        holder: RouteTableHolder,
        codec: CallerCodec,
        backlog: AccountBacklog,
        overloaded: Callable[[], bool],
        short: Callable[[], bool] = lambda: False,
        retry_hint: RetryHint,
        meters: RequestMetrics,
    ) -> None:
        self._clock = clock
        self._holder = holder
        self._codec = codec
        self._backlog = backlog
        self._overloaded = overloaded
        self._short = short
        self._retry_hint = retry_hint
        self._meters = meters
        self._counts: Counter[str] = Counter()
        self._overload_count = 0
        self._short_count = 0
        self._cap_count = 0
        self._longest_wait = 0.0
        self._first_attempt_id = ""

    @property
    def enabled(self) -> bool:
        """Tell whether any request could be refused or passed on early now."""
        # Each read also starts a measurement of the lag.
        overloaded = self._overloaded()
        backlog = self._backlog
        return (
            self._short()
            or overloaded
            or self.is_lagging
            or backlog.any_near_limit
            or backlog.any_over_cap
        )

    @property
    def is_lagging(self) -> bool:
        """Tell whether the event loop of this router lags, if not so much that it refuses."""
        return self._backlog.is_router_lagging

    def may_be_passed_on(self, first: bytes) -> bool:
        """Tell whether another router could serve the request that begins with ``first``.

        Every router refuses what is over a cap.
        """
        if HEAD_END not in first or self._short():
            return False
        if not self._backlog.any_over_cap:
            return True
        account = self._find_account(self._codec.preview_head(first))
        return not (account and self._backlog.is_capped(account))

    def is_refused_for_lag(self, first: bytes) -> bool:
        """Tell whether this router is about to refuse a request that another one may serve."""
        if not self.is_lagging:
            return False
        if self._overloaded():
            return True
        if not self._backlog.any_near_limit:
            return False
        account = self._find_account(self._codec.preview_head(first))
        return bool(account) and self._backlog.is_full(account)

    def check(self, first: bytes, accepted_at: float) -> RefusedEarly | None:
        """Return the refusal of the request that begins with ``first``, ``None`` to decode it.

        Its connection was accepted at ``accepted_at``.
        """
        end = first.find(HEAD_END)
        if end < 0:
            return None
        head = first[: end + len(HEAD_END)]
        length = LENGTH.search(head)
        if length is None and not head.startswith(BODILESS):
            return None
        fault = self._find_fault(head)
        if fault is None:
            return None
        self._meters.count(fault.code)
        self._longest_wait = max(self._longest_wait, self._clock.now() - accepted_at)
        answer = encode_empty_answer(*self._codec.encode_refusal(fault))
        return RefusedEarly(answer, len(head) + int(length[1] if length else 0))

    def _find_fault(self, head: bytes) -> Fault | None:
        if self._holder.table is None:
            return None
        preview = self._codec.preview_head(head)
        name = self._find_account(preview)
        if self._short():
            fault = self._retry_hint.make_refusal(
                ResultCode.ROUTER_SHORT, "this router is short of memory or descriptors"
            )
        elif self._overloaded():
            fault = self._retry_hint.make_refusal(
                ResultCode.ROUTER_OVERLOADED, "the event loop lags"
            )
        elif name and preview.has_prompt and self._backlog.is_full(name):
            self._cap_count += self._backlog.is_capped(name)
            fault = self._retry_hint.make_refusal(
                ResultCode.QUEUE_FULL, "too many of the account's requests wait"
            )
        else:
            return None
        if name and preview.has_prompt:
            self._backlog.record_refused(name)
        self._record(fault, name, preview.attempt_id)
        return fault

    def _find_account(self, preview: HeadPreview) -> str:
        """Return the name of the account with the key of a request, empty without one."""
        table = self._holder.table
        account = table.authenticate(preview.key) if table is not None and preview.key else None
        return "" if account is None else account.name

    def _record(self, fault: Fault, account: str, attempt_id: str) -> None:
        if not self._counts:
            start_task_later(LOG_SECONDS, "early refusals", self._write_log)
            self._first_attempt_id = attempt_id
        self._counts[account] += 1
        self._short_count += fault.code is ResultCode.ROUTER_SHORT
        self._overload_count += fault.code is ResultCode.ROUTER_OVERLOADED

    def _write_log(self) -> None:
        counts, self._counts = self._counts, Counter()
        overload_count, self._overload_count = self._overload_count, 0
        short_count, self._short_count = self._short_count, 0
        cap_count, self._cap_count = self._cap_count, 0
        longest_wait, self._longest_wait = self._longest_wait, 0.0
        emit(
            logger,
            Event.REFUSED_EARLY,
            requests=counts.total(),
            behind=overload_count,
            short=short_count,
            capped=cap_count,
            full=counts.total() - overload_count - short_count - cap_count,
            longest_wait_ms=round(longest_wait * MILLISECONDS),
            accounts=dict(counts.most_common(MAX_ACCOUNTS_LOGGED)),
            first=self._first_attempt_id,
        )
