"""Refuse by its first bytes what would be refused after it was read."""

from __future__ import annotations

import logging
import re
from collections import Counter
from typing import TYPE_CHECKING

import gevent
from attrs import frozen

from loomyard.errors import Fault, ResultCode
from loomyard.events import Event, emit
from loomyard_router.callers.problems import status_line

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard_router.admission.account_backlog import AccountBacklog
    from loomyard_router.admission.waiting_time import RetryHint
    from loomyard_router.metrics.meters import Meters
    from loomyard_router.routed.http_codecs import CallerCodec
    from loomyard_router.routes.table_holder import TableHolder

logger = logging.getLogger(__name__)

# One line tells of all that was refused in this time; one for each would cost as much again.
TELL_SECONDS = 1.0
MOST_ACCOUNTS_TOLD = 8
HEAD_END = b"\r\n\r\n"
LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*(\d{1,18})[ \t]*\r\n", re.IGNORECASE)
BODILESS = (b"GET ", b"HEAD ")


@frozen
class RefusedEarly:
    """The answer to a request, and how many bytes the request has."""

    answer: bytes
    size: int


class EarlyRefusal:
    """Judge the first request of a connection while that may spare the work of reading it.

    Reading a request into types costs most of a refusal, so a router that is behind, or one that
    an account beyond its share sends hundreds of requests a second, would fall behind further.
    """

    def __init__(
        self,
        *,
        holder: TableHolder,
        codec: CallerCodec,
        backlog: AccountBacklog,
        overloaded: Callable[[], bool],
        retry_hint: RetryHint,
        meters: Meters,
    ) -> None:
        self._holder = holder
        self._dialect = codec
        self._waiting = backlog
        self._overloaded = overloaded
        self._hint = retry_hint
        self._meters = meters
        self._counts: Counter[str] = Counter()
        self._late = 0
        self._first = ""

    @property
    def watching(self) -> bool:
        """Tell whether a request could be refused so now."""
        return self._waiting.any_near_limit or self._overloaded()

    def judge(self, first: bytes) -> RefusedEarly | None:
        """Return the answer to a request that began with some bytes, ``None`` to read it whole."""
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
        status, headers = self._dialect.encode_refusal(fault)
        lines = [f"{name}: {value}\r\n" for name, value in headers]
        answer = (
            f"HTTP/1.1 {status_line(status)}\r\n{''.join(lines)}"
            "Content-Length: 0\r\nConnection: close\r\n\r\n"
        )
        return RefusedEarly(answer.encode(), len(head) + int(length[1] if length else 0))

    def _find_fault(self, head: bytes) -> Fault | None:
        table = self._holder.table
        if table is None:
            return None
        glance = self._dialect.preview_head(head)
        account = table.authenticate(glance.key) if glance.key else None
        name = "" if account is None else account.name
        if self._overloaded():
            fault = self._hint.make_refusal(ResultCode.ROUTER_OVERLOADED, "this router is behind")
        elif name and glance.has_prompt and self._waiting.is_full(name):
            fault = self._hint.make_refusal(ResultCode.QUEUE_FULL, "too many requests wait here")
        else:
            return None
        self._note(fault, name, glance.attempt_id)
        return fault

    def _note(self, fault: Fault, account: str, attempt_id: str) -> None:
        if not self._counts:
            self._first = attempt_id
            gevent.spawn_later(TELL_SECONDS, self._tell)
        self._counts[account] += 1
        self._late += fault.code is ResultCode.ROUTER_OVERLOADED

    def _tell(self) -> None:
        counts, self._counts = self._counts, Counter()
        late, self._late = self._late, 0
        emit(
            logger,
            Event.REFUSED_EARLY,
            requests=counts.total(),
            behind=late,
            accounts=dict(counts.most_common(MOST_ACCOUNTS_TOLD)),
            first=self._first,
        )
