"""Check the invariants of a soak run on the messages that its programs emit."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Any

from attrs import define, field

from loomyard_standins.programs.departure_checker import DepartureChecker
from loomyard_standins.programs.documents import COLD_REQUESTS_PER_SECOND, EVACUATION_PREFIX
from loomyard_standins.programs.invariant import Invariant, Violation
from loomyard_standins.programs.soak_protocol import (
    CRASHING_PART_KIND,
    HTTP_OK,
    NON_IDEMPOTENT,
    NOT_EXECUTED_STATUSES,
)
from loomyard_standins.programs.stream_checker import StreamChecker
from loomyard_standins.programs.target_notice_checker import TargetNoticeChecker

if TYPE_CHECKING:
    from collections.abc import Iterator

HTTP_NOT_FOUND = 404
# KNOWN_CRASHES crashes under a request make it a poison request, and KNOWN_PART_CRASHES on a part
# of prompts make that one. Each router must know that within
# GOSSIP_SECONDS, counted from its own start or pause if that is later; all routers together
# may send it MAX_LATE_SENDS times more.
KNOWN_CRASHES = 3
KNOWN_PART_CRASHES = 5
GOSSIP_SECONDS = 3.0
MAX_LATE_SENDS = 3
# An evacuation or a cold entry takes effect 2.5 s after its acknowledgement or after the last fault
# of the store, the router or the target, whichever is later; the rest is margin.
ORDER_EFFECT_SECONDS = 4.0
COLD_WINDOW_SECONDS = 1.0
MAX_COLD_RUNS = int(1.5 * COLD_REQUESTS_PER_SECOND) + 5
STORE = "store"
# Components count as under a fault for so long after it.
CONTACT_SECONDS = 3.0


@define(eq=False)
class InvariantChecker:
    """Record the messages of the programs and yield each violation as soon as it is seen.

    All times are seconds of ``time.monotonic``, which the processes of a run share.
    """

    requests: int = 0
    answered: int = 0
    refused: int = 0
    runs: int = 0
    # Seconds from the acknowledgement of each version until each router was first seen to serve it.
    visibility_lags: list[float] = field(factory=list)
    # Seconds from the announcement that a target leaves, or from the disconnection of the caller,
    # to each request that began to run afterwards.
    run_after_target_left: list[float] = field(factory=list)
    run_after_caller_left: list[float] = field(factory=list)
    # Targets that crashed under requests, and sends of such requests after all routers had to know.
    crashes: int = 0
    late_send_count: int = 0
    notices: TargetNoticeChecker = field(init=False)
    streams: StreamChecker = field(init=False)
    departures: DepartureChecker = field(init=False)
    _crashed_at: defaultdict[str, list[float]] = field(factory=lambda: defaultdict(list))
    _late_sends: Counter[str] = field(factory=Counter)
    # Components under a fault, and the time at which the last fault of the others ended.
    _disturbed: set[str] = field(factory=set)
    _recovered_at: dict[str, float] = field(factory=dict)
    # The same without faults in which a router only stood still.
    _faulted: set[str] = field(factory=set)
    _faulted_at: dict[str, float] = field(factory=dict)
    _routers: dict[str, str] = field(factory=dict)
    _data_centres: dict[str, str] = field(factory=dict)
    _evacuated_at: dict[str, float] = field(factory=dict)
    _cold: dict[str, float] = field(factory=dict)
    _cold_runs: defaultdict[str, list[float]] = field(factory=lambda: defaultdict(list))
    _kinds: dict[str, str] = field(factory=dict)
    _sent_at: dict[str, float] = field(factory=dict)
    _run_targets: defaultdict[str, list[str]] = field(factory=lambda: defaultdict(list))
    _statuses: dict[str, int] = field(factory=dict)
    _acked: dict[int, float] = field(factory=dict)
    _served: dict[str, dict[int, float]] = field(factory=dict)
    _started: dict[str, float] = field(factory=dict)
    _leaving_since: dict[str, float] = field(factory=dict)
    _caller_left_at: dict[str, float] = field(factory=dict)
    _refusing_until: dict[str, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.notices = TargetNoticeChecker(self._may_have_lost_state)
        self.streams = StreamChecker(self._is_in_touch, self._is_usable)
        self.departures = DepartureChecker(self._may_have_missed)

    def record_router_end(self, router: str, at: float) -> None:
        """Record that an incarnation of a router ended; the next may know less."""
        self._started[router] = at
        self._served[router] = {}

    def record_leaving(self, target: str, at: float) -> None:
        """Record that the entry of a target announces that it leaves."""
        self._leaving_since[target] = at

    def record_target_start(self, target: str, data_centre: str) -> None:
        """Record that an incarnation of a target starts."""
        self._data_centres[target] = data_centre
        self._leaving_since.pop(target, None)
        self._cold.pop(target, None)
        self.notices.forget_target(target)
        self.departures.forget_target(target)

    def record_cold(self, target: str, at: float | None) -> None:
        """Record since when a target announces that it is cold; ``None`` if it no longer does."""
        if at is None:
            self._cold.pop(target, None)
        else:
            self._cold[target] = at

    def record_disturbance(self, component: str, *, is_stall: bool = False) -> None:
        """Record that a fault of a router, a target or the store begins; it may miss updates."""
        self._disturbed.add(component)
        if not is_stall:
            self._faulted.add(component)

    def record_recovery(self, component: str, at: float, *, is_stall: bool = False) -> None:
        """Record that the fault of a component ended."""
        self._disturbed.discard(component)
        self._recovered_at[component] = at
        if not is_stall:
            self._faulted.discard(component)
            self._faulted_at[component] = at

    def record_sent(self, attempt_id: str, kind: str) -> None:
        """Record that a caller sends a request."""
        self.requests += 1
        self._kinds[attempt_id] = kind

    def check(self, message: dict[str, Any]) -> Iterator[Violation]:
        """Apply a message of a program and yield the violations that it shows."""
        if "sent" in message:
            self.record_sent(message["sent"], message["kind"])
            self._routers[message["sent"]] = message.get("router", "")
            self._sent_at[message["sent"]] = message["at"]
        elif "passed_leaving" in message:
            self.notices.record_leaving(message["router"], message["passed_leaving"], message["at"])
        elif "turned_away" in message:
            self._refusing_until[message["target"]] = message["at"] + message["rest"]
            router = self._routers.get(message["turned_away"], "")
            if router:
                yield from self.notices.check_refusal(
                    router, message["target"], message["at"], backoff=message["rest"]
                )
        elif "run" in message:
            yield from self._check_run(message)
        elif "ends" in message:
            self.crashes += 1
            self._crashed_at[message["ends"]].append(message["at"])
        elif "saw" in message:
            yield from self._check_answer(message)
        elif "left" in message:
            self._caller_left_at[message["left"]] = message["at"]
        elif "probe" in message:
            yield from self._check_probe(message)
        elif "acked" in message:
            self._record_ack(message)

    def find_unsent_runs(self) -> Iterator[Violation]:
        """Yield a violation for each request that ran but was never sent; to call at the end."""
        for attempt_id in self._run_targets.keys() - self._kinds.keys():
            yield Violation(
                Invariant.ASKED,
                f"{attempt_id!r} ran at {self._run_targets[attempt_id]}, never sent",
            )

    def _check_run(self, message: dict[str, Any]) -> Iterator[Violation]:
        attempt_id = message["run"]
        self.runs += 1
        targets = self._run_targets[attempt_id]
        targets.append(message["target"])
        if message["target"] in self._leaving_since:
            self.run_after_target_left.append(
                message["at"] - self._leaving_since[message["target"]]
            )
        if attempt_id in self._caller_left_at:
            self.run_after_caller_left.append(message["at"] - self._caller_left_at[attempt_id])
        yield from self._check_restrictions(message["target"], attempt_id, message["at"])
        router = self._routers.get(attempt_id, "")
        yield from self.departures.check_run(
            message["target"], attempt_id, message["at"], router, STORE
        )
        sent_at = self._sent_at.get(attempt_id, message["at"])
        yield from self.notices.check_run(router, message["target"], attempt_id, sent_at)
        if attempt_id in self._statuses:
            detail = f"{attempt_id} got {self._statuses[attempt_id]}, then ran at {targets}"
            yield Violation(Invariant.NOT_RUN, detail)
        if message.get("ending") is not None:
            yield from self._check_crashing_run(message["ending"], attempt_id, message["at"])
        if len(targets) > 1 and self._kinds.get(attempt_id) == NON_IDEMPOTENT:
            yield Violation(Invariant.AT_MOST_ONCE, f"{attempt_id} ran at {targets}")

    def _may_have_lost_state(self, router: str, since: float) -> bool:
        """Return whether a fault or restart of a router since then may have lost its state."""
        changed = max(self._started.get(router, 0.0), self._recovered_at.get(router, 0.0))
        return router in self._disturbed or changed > since

    def _may_have_missed(self, component: str, since: float) -> bool:
        """Return whether a component was under another fault than a stall after some time."""
        changed = max(self._started.get(component, 0.0), self._faulted_at.get(component, 0.0))
        return component in self._faulted or changed + CONTACT_SECONDS > since

    def _is_in_touch(self, router: str, at: float) -> bool:
        """Return whether neither a router nor the store was under a fault for some time."""
        for component in (router, STORE):
            changed = max(self._started.get(component, 0.0), self._recovered_at.get(component, 0.0))
            if component in self._disturbed or at < changed + CONTACT_SECONDS:
                return False
        return True

    def _is_usable(self, target: str, at: float) -> bool:
        """Return whether nothing keeps requests from a target, or lately did."""
        ended = self._recovered_at.get(target, 0.0)
        return not (
            target in self._disturbed
            or target in self._leaving_since
            or target in self._cold
            or at < self._refusing_until.get(target, 0.0)
            or self._evacuated_at
            or at < ended + CONTACT_SECONDS
        )

    def _record_ack(self, message: dict[str, Any]) -> None:
        self.departures.record_ack(message["acked"], message["at"])
        if message["acked"].startswith(EVACUATION_PREFIX):
            self._record_evacuation(message)
        elif message.get("version") is not None:
            self._acked[message["version"]] = message["at"]

    def _record_evacuation(self, message: dict[str, Any]) -> None:
        data_centre = message["acked"].removeprefix(EVACUATION_PREFIX)
        if message["dropped"]:
            self._evacuated_at.pop(data_centre, None)
        else:
            # Writing the same evacuation again does not restart its time.
            self._evacuated_at.setdefault(data_centre, message["at"])

    def _check_restrictions(self, target: str, attempt_id: str, at: float) -> Iterator[Violation]:
        """Check a run against an evacuation or a cold start of its target, outside faults."""
        components = (self._routers.get(attempt_id, ""), target, STORE)
        if self._disturbed.intersection(components):
            return
        last_fault_end = max(self._recovered_at.get(component, 0.0) for component in components)
        data_centre = self._data_centres.get(target, "")
        since = self._evacuated_at.get(data_centre)
        if since is not None and at > max(last_fault_end, since) + ORDER_EFFECT_SECONDS:
            detail = (
                f"{attempt_id} ran at {target} in {data_centre} {at - since:.2f} s after evacuation"
            )
            yield Violation(Invariant.EMPTIED, detail)
        cold = self._cold.get(target)
        if cold is not None and at > max(last_fault_end, cold) + ORDER_EFFECT_SECONDS:
            runs = self._cold_runs[target]
            runs.append(at)
            recent = sum(at - run <= COLD_WINDOW_SECONDS for run in runs)
            if recent > MAX_COLD_RUNS:
                yield Violation(Invariant.COLD, f"{target} ran {recent} requests in a second")

    def _check_crashing_run(self, kind: str, attempt_id: str, at: float) -> Iterator[Violation]:
        crashes, router = self._crashed_at[kind], self._routers.get(attempt_id, "")
        is_part = kind == CRASHING_PART_KIND
        known = KNOWN_PART_CRASHES if is_part else KNOWN_CRASHES
        if len(crashes) < known or router in self._disturbed:
            return
        if at <= max(crashes[known - 1], self._recovered_at.get(router, 0.0)) + GOSSIP_SECONDS:
            return
        self.late_send_count += 1
        self._late_sends[kind] += 1
        if self._late_sends[kind] > MAX_LATE_SENDS:
            invariant = Invariant.FEW_PART_ENDS if is_part else Invariant.FEW_ENDS
            detail = f"{kind} poison request sent {self._late_sends[kind]} times after all knew it"
            yield Violation(invariant, detail)

    def _check_answer(self, message: dict[str, Any]) -> Iterator[Violation]:
        attempt_id, status = message["saw"], message["status"]
        self.answered += status == HTTP_OK and message["whole"]
        if not message["own"]:
            yield Violation(
                Invariant.OWN_ANSWER, f"{attempt_id} got a wrong body with status {status}"
            )
        if "stream" in message:
            yield from self.streams.check(message, self._routers.get(attempt_id, ""))
        if status in NOT_EXECUTED_STATUSES:
            self.refused += 1
            self._statuses[attempt_id] = status
            if self._run_targets.get(attempt_id):
                detail = f"{attempt_id} got {status}, but ran at {self._run_targets[attempt_id]}"
                yield Violation(Invariant.NOT_RUN, detail)

    def _check_probe(self, message: dict[str, Any]) -> Iterator[Violation]:
        router, version, started_at = message["router"], message["probe"], message["began"]
        if started_at < self._started.get(router, 0.0):
            return
        served = self._served.setdefault(router, {})
        if message["status"] == HTTP_OK:
            if version not in served and version in self._acked:
                self.visibility_lags.append(message["at"] - self._acked[version])
            served.setdefault(version, message["at"])
        if message["status"] != HTTP_NOT_FOUND:
            return
        # A version contains the routes of all versions before it.
        later = [known for known, at in served.items() if known >= version and at < started_at]
        if later:
            detail = f"{router} does not know version {version}, but had served {max(later)}"
            yield Violation(Invariant.NEVER_BACK, detail)
