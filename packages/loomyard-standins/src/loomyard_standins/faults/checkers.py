"""Checkers of the fleet's invariants over the recorded calls, runs and orders."""

from __future__ import annotations

from collections import Counter, defaultdict
from enum import Enum
from itertools import combinations
from typing import TYPE_CHECKING

from attrs import frozen

from loomyard_standins.faults.answer_text import answer_text, is_whole
from loomyard_standins.faults.observations import Ending

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from loomyard_standins.faults.observations import CallRecord, Observations, Run

LEAVING_SECONDS = 2.0  # time for all routers to learn that a target is leaving
IN_FORCE_SECONDS = 3.0  # time for all routers to apply an accepted configuration
WAIT_BOUND_SECONDS = 30.0
GAP_BOUND_TOKENS = 400.0  # between two backlogged accounts, divided by weight
LEASE_SECONDS = 3.0  # lifetime of a slot lease
FALLBACK_REQUESTS = 1  # per service and router without a valid lease
HTTP_OK = 200


class Invariant(Enum):
    """Properties that hold under every fault; the values are printed in the fault matrix page."""

    WHOLE_ANSWER = "a caller gets its own complete answer, or can detect that it did not"
    NOT_EXECUTED = "a request refused as not executed was not executed"
    AT_MOST_ONCE = "a non-idempotent request runs at most once"
    LEAVING = "a leaving target gets no new work after 2 s"
    PLANNED_STOP = "a planned stop cuts off no request in flight"
    NEVER_REVERTS = "the configuration that a router serves never reverts to an older one"
    IN_FORCE = "an accepted configuration is in force everywhere within 3 s"
    NO_STARVATION = "every waiting client account gets service within a bound"
    BOUNDED_GAP = "the gap between two backlogged client accounts stays bounded"
    ENDS = "every request gets an outcome"
    RECOVERS = "every live router serves requests once the faults are healed"
    AGREED = "all routers end with the same configuration"
    STOP_ENDS = "a planned stop ends"
    LAPSED = (
        "a router paused past its lease starts no more than the fallback admission when it resumes"
    )
    FENCED = "no order with an old fencing number takes effect"


@frozen
class Violation:
    """An observation that violates an invariant, with a sentence of detail."""

    invariant: Invariant
    detail: str


def check(observations: Observations) -> list[Violation]:
    """Return every violation of every invariant."""
    return [
        Violation(invariant, detail)
        for invariant, checker in CHECKERS.items()
        for detail in checker(observations)
    ]


def check_whole_answers(observations: Observations) -> Iterator[str]:
    """Check that a complete answer equals the expected one and a partial one is its prefix."""
    for record in observations.calls:
        if record.status != HTTP_OK:
            continue
        text = answer_text(record)
        if text is None:
            yield f"{record.marker}: an unreadable answer: {record.body[:80]!r}"
        elif is_whole(record) and text != record.expected:
            yield f"{record.marker}: got {text!r}, not {record.expected!r}"
        elif not record.expected.startswith(text):
            yield f"{record.marker}: got {text!r}, not a prefix of {record.expected!r}"


def check_not_executed(observations: Observations) -> Iterator[str]:
    """Check that a request ran nowhere if all of its calls were refused as not executed."""
    runs = _runs_by_marker(observations)
    calls: defaultdict[str, list[CallRecord]] = defaultdict(list)
    for record in observations.calls:
        calls[record.marker].append(record)
    for marker, records in calls.items():
        if all(record.executed == "no" for record in records) and runs[marker]:
            yield f"{marker}: refused as not executed, but ran at {runs[marker][0].target}"


def check_at_most_once(observations: Observations) -> Iterator[str]:
    """Check that non-idempotent requests ran at most once."""
    runs = _runs_by_marker(observations)
    for marker in {record.marker for record in observations.calls if not record.idempotent}:
        if len(runs[marker]) > 1:
            yield f"{marker}: ran as {[run.attempt_id for run in runs[marker]]}"


def check_leaving(observations: Observations) -> Iterator[str]:
    """Check that leaving targets get no new work from routers that can know of it.

    Routers that are paused or partitioned, or were until ``LEAVING_SECONDS`` ago, are exempt.
    """
    routers = {record.marker: record.router for record in observations.calls}
    for run in observations.runs:
        known = observations.leaving.get(run.target)
        if known is None or run.at <= known + LEAVING_SECONDS:
            continue
        if not _was_isolated(observations, routers.get(run.marker, ""), run.at):
            yield f"{run.marker}: sent to {run.target} {run.at - known:.2f} s after it was leaving"


def check_planned_stop(observations: Observations) -> Iterator[str]:
    """Check that a planned stop of a router cut off no answer that its target completed."""
    broken = {run.marker for run in observations.runs if run.broken}
    for record in observations.calls:
        if (
            record.marker in broken
            or record.router_died
            or record.started > observations.stopped.get(record.router, -1.0)
        ):
            continue
        if record.ending is Ending.CUT:
            yield f"{record.marker}: cut off by the planned stop of {record.router}"


def check_stop_ends(observations: Observations) -> Iterator[str]:
    """Check that every router that began a planned stop exited."""
    for router in observations.stopped.keys() - observations.exited:
        yield f"{router}: planned stop did not end"


def check_never_reverts(observations: Observations) -> Iterator[str]:
    """Check that no router lists an older generation than it listed before."""
    newest: dict[str, int] = {}
    for models in observations.model_listings:
        if models.generation < newest.get(models.router, -1):
            yield f"{models.router}: generation {models.generation} after {newest[models.router]}"
        newest[models.router] = max(models.generation, newest.get(models.router, -1))


def check_in_force(observations: Observations) -> Iterator[str]:
    """Check that reachable routers serve an accepted generation within ``IN_FORCE_SECONDS``."""
    for generation, (accepted, reachable) in observations.generations.items():
        for models in observations.model_listings:
            late = models.at > accepted + IN_FORCE_SECONDS
            if models.router in reachable and late and models.generation < generation:
                yield f"{models.router}: served {models.generation}, not {generation}, too long"


def check_no_starvation(observations: Observations) -> Iterator[str]:
    """Check that every request starts, or ends, within ``WAIT_BOUND_SECONDS``."""
    started = {run.marker: run.at for run in reversed(observations.runs)}
    now = max((run.at for run in observations.runs), default=0.0)
    for record in observations.calls:
        ended = now if record.ended is None else record.ended
        waited = started.get(record.marker, ended) - record.started
        if waited > WAIT_BOUND_SECONDS:
            yield f"{record.marker}: waited {waited:.1f} s"


def check_bounded_gap(observations: Observations) -> Iterator[str]:
    """Check that the normalized service of two accounts stays close while both are backlogged."""
    for left, right in combinations(sorted(observations.weights), 2):
        low = high = difference = 0.0
        for run in observations.runs:
            if not (
                _backlogged(observations, left, run.at) and _backlogged(observations, right, run.at)
            ):
                low = high = difference = 0.0
                continue
            account = account_of(run.marker)
            service = run.tokens / observations.weights.get(account, 1.0)
            difference += service * ((account == left) - (account == right))
            low, high = min(low, difference), max(high, difference)
            if high - low > GAP_BOUND_TOKENS:
                yield f"{left} and {right}: a gap of {high - low:.0f} tokens"
                break


def check_lapsed(observations: Observations) -> Iterator[str]:
    """Check that a router resumed after its lease lapsed starts one request a service at most."""
    routers = {record.marker: record.router for record in observations.calls}
    for pause in observations.ended_pauses:
        if pause.seconds <= LEASE_SECONDS:
            continue
        started = Counter(
            run.target.partition("-")[0]
            for run in observations.runs
            if run.at == pause.at and routers.get(run.marker) == pause.router
        )
        for service, count in started.items():
            if count > FALLBACK_REQUESTS:
                yield f"{pause.router}: started {count} at {service} after {pause.seconds:.1f} s"


def check_fenced(observations: Observations) -> Iterator[str]:
    """Check that no order takes effect at a target after one with a higher fencing number."""
    highest: dict[str, int] = {}
    for order in observations.orders:
        if not order.effective:
            continue
        if order.fencing < highest.get(order.target, -1):
            yield f"{order.target}: {order.fencing} took effect after {highest[order.target]}"
        highest[order.target] = max(order.fencing, highest.get(order.target, -1))


def check_ends(observations: Observations) -> Iterator[str]:
    """Check that every call ended."""
    for record in observations.calls:
        if record.ended is None:
            yield f"{record.marker}: still open at {record.router}"


def check_recovers(observations: Observations) -> Iterator[str]:
    """Check that probes, sent after all faults are healed, get complete answers."""
    for call in observations.calls:
        if call.probe and not (call.status == HTTP_OK and is_whole(call)):
            yield f"{call.marker}: {call.ending.value}, status {call.status}, code {call.code}"


def check_agreed(observations: Observations) -> Iterator[str]:
    """Check that the routers list the same models at the end."""
    final = [listing for listing in observations.model_listings if listing.final]
    for listing in final[1:]:
        if different := listing.models ^ final[0].models:
            yield f"{listing.router} and {final[0].router} differ in {sorted(different)}"


CHECKERS: dict[Invariant, Callable[[Observations], Iterator[str]]] = {
    Invariant.WHOLE_ANSWER: check_whole_answers,
    Invariant.NOT_EXECUTED: check_not_executed,
    Invariant.AT_MOST_ONCE: check_at_most_once,
    Invariant.LEAVING: check_leaving,
    Invariant.PLANNED_STOP: check_planned_stop,
    Invariant.NEVER_REVERTS: check_never_reverts,
    Invariant.IN_FORCE: check_in_force,
    Invariant.NO_STARVATION: check_no_starvation,
    Invariant.BOUNDED_GAP: check_bounded_gap,
    Invariant.ENDS: check_ends,
    Invariant.RECOVERS: check_recovers,
    Invariant.AGREED: check_agreed,
    Invariant.STOP_ENDS: check_stop_ends,
    Invariant.LAPSED: check_lapsed,
    Invariant.FENCED: check_fenced,
}


def account_of(marker: str) -> str:
    """Return the account of a marker (``account/request``)."""
    return marker.partition("/")[0]


def _runs_by_marker(observations: Observations) -> defaultdict[str, list[Run]]:
    runs: defaultdict[str, list[Run]] = defaultdict(list)
    for run in observations.runs:
        if not run.refused:
            runs[run.marker].append(run)
    return runs


def _was_isolated(observations: Observations, router: str, at: float) -> bool:
    for pause in observations.ended_pauses:
        if pause.router == router and pause.at <= at <= pause.at + LEAVING_SECONDS:
            return True
    return any(
        partition.router == router and partition.since <= at <= partition.until + LEAVING_SECONDS
        for partition in observations.partitions
    )


def _backlogged(observations: Observations, account: str, at: float) -> bool:
    # A request waits from the call until its first run, or until its end if it never ran.
    started = {run.marker: run.at for run in reversed(observations.runs)}
    for record in observations.calls:
        if record.account != account or record.started >= at:
            continue
        until = started.get(record.marker, record.ended if record.ended is not None else at)
        if until >= at:
            return True
    return False
