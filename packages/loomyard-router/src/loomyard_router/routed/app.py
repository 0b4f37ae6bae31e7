"""WSGI application that serves callers on routes."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from attrs import evolve
from result import Err, Ok, Result

from loomyard.errors import Executed, Fault, ResultCode
from loomyard.events import Event, emit
from loomyard_router.callers.app import DROPPED_HEADERS
from loomyard_router.callers.handler import PRESENCE_KEY, TARGET_KEY
from loomyard_router.callers.problems import status_line
from loomyard_router.memory.shortages import note_shortage
from loomyard_router.metrics.phase import Phase
from loomyard_router.planned_stop import STOPPING
from loomyard_router.requests.body import Body
from loomyard_router.requests.caller_presence import CallerPresence
from loomyard_router.requests.whole_answers import AnswerBrokenError
from loomyard_router.routed import shortage_fault
from loomyard_router.routed.body_reading import read_body
from loomyard_router.routed.reported_body import ReportedBody
from loomyard_router.routed.request_stage import RequestStage
from loomyard_router.routed.routed_request import PUBLIC_ACCOUNT, RoutedRequest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from loomyard.clock import Clock
    from loomyard_router.feeds.read_guard import ReadGuard
    from loomyard_router.metrics.request_metrics import RequestMetrics
    from loomyard_router.requests.answer import Answer
    from loomyard_router.routed.body_budget import BodyBudget
    from loomyard_router.routed.forwarder import Forwarder
    from loomyard_router.routed.http_codecs import CallerCodec
    from loomyard_router.routed.open_requests import OpenRequests
    from loomyard_router.routed.request_head import RequestHead
    from loomyard_router.routed.run_times import RunTimes
    from loomyard_router.routes.account_config import AccountConfig
    from loomyard_router.routes.route import Route
    from loomyard_router.routes.route_table import RouteTable
    from loomyard_router.routes.route_table_holder import RouteTableHolder

    Environ = dict[str, Any]
    StartResponse = Callable[[str, list[tuple[str, str]]], Any]

logger = logging.getLogger(__name__)

HEADERS_KEY = "loomyard.headers"
# Where another router passed the request on: the version of the configuration in force there.
TABLE_VERSION_KEY = "loomyard.table-version"
NOT_READY_RETRY_AFTER = 0.5
OVERLOADED = Fault(
    code=ResultCode.ROUTER_OVERLOADED, detail="the event loop of this router lags", retry_after=0.6
)


class RoutedApp:
    """Serve requests on routes, each under the configuration in force when it arrives.

    While ``closing_connections`` returns true, answers close their connections; while
    ``refusing_requests`` does, every request is refused.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        holder: RouteTableHolder,
        codec: CallerCodec,
        forwarder: Forwarder,
        meters: RequestMetrics,
        open_requests: OpenRequests,
        run_times: RunTimes,
        closing_connections: Callable[[], bool],
        refusing_requests: Callable[[], bool] = lambda: False,
        overloaded: Callable[[], bool] = lambda: False,
        short: Callable[[], bool] = lambda: False,
        body_budget: BodyBudget,
        read_guard: ReadGuard,
    ) -> None:
        self._read_guard = read_guard
        self._clock = clock
        self._bodies = body_budget
        self._holder = holder
        self._codec = codec
        self._forwarder = forwarder
        self._meters = meters
        self._open_requests = open_requests
        self._run_times = run_times
        self._closing_connections = closing_connections
        self._refusing_requests = refusing_requests
        self._overloaded = overloaded
        self._short = short

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        arrived_at = self._clock.now()
        headers = environ[HEADERS_KEY]
        if self._overloaded():
            return self._refuse(environ, start_response, OVERLOADED, None)
        if self._short():
            return self._refuse(environ, start_response, shortage_fault.NEW_REQUEST, None)
        if self._refusing_requests():
            return self._refuse(environ, start_response, STOPPING, None)
        self._read_guard.ensure()
        try:
            read = self._read_request(environ, headers, arrived_at)
        except MemoryError as error:
            note_shortage(error)
            fault = shortage_fault.make_shortage_fault(error, sent=False)
            return self._refuse(environ, start_response, fault, None)
        if read.is_err():
            return self._refuse(environ, start_response, read.unwrap_err(), None)
        request = read.unwrap()
        try:
            outcome = self._forward(request)
        except BaseException:
            request.release_body()
            raise
        if outcome.is_err():
            request.release_body()
            return self._refuse(environ, start_response, outcome.unwrap_err(), request)
        answer = outcome.unwrap()
        begun = self._begin_body(answer.body, request)
        if begun.is_err():
            return self._refuse(environ, start_response, begun.unwrap_err(), request)
        is_last = TABLE_VERSION_KEY in environ or self._closing_connections()
        return self._answer(start_response, answer, request, is_last=is_last)

    def _read_request(
        self, environ: Environ, headers: list[tuple[str, str]], now: float
    ) -> Result[RoutedRequest, Fault]:
        table = self._holder.table
        if table is None:
            detail = "this router has not received a configuration yet"
            code = ResultCode.NOT_READY
            return Err(Fault(code=code, detail=detail, retry_after=NOT_READY_RETRY_AFTER))
        if environ.get(TABLE_VERSION_KEY, table.version) != table.version:
            # Callers of one router must not meet an older version after a newer one.
            detail = "another configuration version is in force at the router that took the request"
            code = ResultCode.NOT_READY
            return Err(Fault(code=code, detail=detail, retry_after=NOT_READY_RETRY_AFTER))
        head = self._codec.decode_request_head(headers, now)
        if head.is_err():
            return Err(head.unwrap_err())
        target = environ[TARGET_KEY]
        route = table.find(_host(environ), target.partition("?")[0])
        if route is None:
            detail = f"no route of configuration version {table.version} matches the request"
            return Err(Fault(code=ResultCode.UNKNOWN_PATH, detail=detail))
        account = self._authenticate(table, route, head.unwrap())
        if account.is_err():
            return Err(account.unwrap_err())
        terms = account.unwrap()
        reservation = self._bodies.make_reservation(PUBLIC_ACCOUNT if terms is None else terms.name)
        try:
            body = read_body(environ, table.limits.body_bytes, reservation)
        except BaseException:
            reservation.release()
            raise
        if body.is_err():
            reservation.release()
            return Err(body.unwrap_err())
        request = self._make_request(environ, head.unwrap(), route, terms, body.unwrap(), now)
        request.table_version = table.version
        request.read_at = self._clock.now()
        answer_memory = self._bodies.make_reservation(request.account_name)

        # By its number, as a function that refers to the request would keep it until a collection.
        number = self._open_requests.add(request)

        def release() -> None:
            self._open_requests.discard(number)
            reservation.release()
            answer_memory.release()

        request.answer_memory = answer_memory
        request.release_body = release
        return Ok(request)

    def _forward(self, request: RoutedRequest) -> Result[Answer, Fault]:
        try:
            return self._forwarder.forward(request)
        except MemoryError as error:
            note_shortage(error)
            return Err(shortage_fault.make_shortage_fault(error, sent=request.trace.attempts > 0))

    def _authenticate(
        self, table: RouteTable, route: Route, head: RequestHead
    ) -> Result[AccountConfig | None, Fault]:
        if route.public or not table.keys_required:
            return Ok(None)
        account = table.authenticate(head.key)
        if account is None:
            detail = f"no client account of configuration version {table.version} has this key"
            return Err(Fault(code=ResultCode.UNKNOWN_KEY, detail=detail))
        return Ok(account)

    def _make_request(
        self,
        environ: Environ,
        head: RequestHead,
        route: Route,
        account: AccountConfig | None,
        body: bytes,
        now: float,
    ) -> RoutedRequest:
        deadline = head.deadline
        if route.timeout is not None:
            deadline = min(deadline, now + route.timeout)
        return RoutedRequest(
            head=head,
            route=route,
            service=route.choose_service(head.attempt_id),
            account=account,
            method=environ["REQUEST_METHOD"],
            path=environ[TARGET_KEY],
            body=body,
            presence=environ.get(PRESENCE_KEY) or CallerPresence(),
            arrived_at=now,
            deadline=deadline,
        )

    def _begin_body(self, body: Iterable[bytes], request: RoutedRequest) -> Result[None, Fault]:
        """Wait for the first bytes to relay. Errors: ``ANSWER_INCOMPLETE``; it may have run."""
        if not isinstance(body, Body):
            return Ok(None)
        try:
            body.read_first()
        except AnswerBrokenError as error:
            body.close()
            request.release_body()
            code = ResultCode.ANSWER_INCOMPLETE
            return Err(Fault(code=code, detail=str(error), executed=Executed.UNKNOWN))
        except BaseException:
            body.close()
            request.release_body()
            raise
        return Ok(None)

    def _answer(
        self,
        start_response: StartResponse,
        answer: Answer,
        request: RoutedRequest,
        *,
        is_last: bool,
    ) -> Iterable[bytes]:
        headers = [(n, v) for n, v in answer.headers if n.lower() not in DROPPED_HEADERS]
        if is_last:
            headers.append(("Connection", "close"))
        start_response(status_line(answer.status), headers)
        request.stage = RequestStage.ANSWERING

        def finish() -> None:
            request.release_body()
            broken = request.trace.broken
            code = ResultCode.ANSWER_INCOMPLETE if broken else 0
            extra = {"why": broken} if broken else {}
            self._report_end(
                request, status=answer.status, code=code, executed=Executed.YES, **extra
            )

        if isinstance(answer.body, list):
            # The WSGI server sets Content-Length for a body that is a list of one block.
            finish()
            return answer.body
        return ReportedBody(answer.body, finish)

    def _refuse(
        self,
        environ: Environ,
        start_response: StartResponse,
        fault: Fault,
        request: RoutedRequest | None,
    ) -> Iterable[bytes]:
        if request is not None and request.withdrawn:
            fault = evolve(STOPPING, executed=fault.executed)
        status, headers = self._codec.encode_refusal(fault)
        if request is not None:
            self._report_end(
                request,
                status=status,
                code=fault.code,
                executed=fault.executed,
                why=fault.detail,
                retry_after=fault.retry_after,
            )
        else:
            self._meters.count(fault.code)
            emit(
                logger,
                Event.REQUEST_REFUSED,
                request=dict(environ[HEADERS_KEY]).get(self._codec.id_header, ""),
                path=environ[TARGET_KEY],
                status=int(status),
                code=int(fault.code),
                why=fault.detail,
            )
        # Callers retry on another connection, so this one would only stay idle.
        headers.append(("Connection", "close"))
        start_response(status_line(status), headers)
        return [b""]

    def _report_end(
        self,
        request: RoutedRequest,
        *,
        status: int,
        code: int,
        executed: Executed,
        **extra: object,
    ) -> None:
        """Record the metrics of a finished request and write its log line."""
        trace, head = request.trace, request.head
        if trace.ended_by_close:
            extra["ended_by_close"] = True
        if head.resumed_attempt_id or head.last_event_id:
            extra |= {"resumes": head.resumed_attempt_id, "after": head.last_event_id}
        now = self._clock.now()
        if trace.slot_at is not None and executed is Executed.YES and not trace.broken:
            self._run_times.record(request.route.name, now - trace.slot_at)
        self._meters.count(ResultCode(code) if code else None)
        measured = (
            (Phase.QUEUE, trace.slot_at),
            (Phase.FIRST_TOKEN, trace.answer_started_at),
            (Phase.TOTAL, now),
        )
        for phase, at in measured:
            if at is not None:
                seconds = at - request.arrived_at
                self._meters.record(request.account_name, request.service, phase, seconds)
        emit(
            logger,
            Event.REQUEST_ENDED,
            request=request.head.attempt_id,
            route=request.route.name,
            service=request.service,
            account=request.account_name,
            version=request.table_version,
            status=int(status),
            code=int(code),
            executed=executed.value,
            target=trace.target,
            software=trace.software_version,
            attempts=trace.attempts,
            taken=trace.slots_in_use,
            choice=trace.target_rank,
            objection=trace.refusal_reason,
            expected_ms=round(trace.expected_ttft * 1000),
            share_used=None if trace.share_used is None else round(trace.share_used, 2),
            prompt=request.head.prompt_tokens,
            shared=request.shared_prompt_tokens,
            cost=round(request.cost),
            placed_ms=_milliseconds(request.arrived_at, trace.slot_at),
            first_ms=_milliseconds(request.arrived_at, trace.answer_started_at),
            ended_ms=_milliseconds(request.arrived_at, now),
            targets_ago_ms=_milliseconds(0.0, trace.targets_age),
            **extra,
        )


def _milliseconds(since: float, until: float | None) -> int | None:
    return None if until is None else round((until - since) * 1000)


def _host(environ: Environ) -> str:
    host = environ.get("HTTP_HOST", "").lower()
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host
