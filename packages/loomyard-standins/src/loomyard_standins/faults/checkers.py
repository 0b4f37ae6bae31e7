"""The invariants, checked on what callers and targets saw."""

from __future__ import annotations

from collections import Counter, defaultdict
from enum import Enum
from itertools import combinations
from typing import TYPE_CHECKING

from attrs import frozen

from loomyard_standins.faults.answer_text import answer_text, is_whole
from loomyard_standins.faults.sightings import Ending

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from loomyard_standins.faults.sightings import CallerSaw, Run, Sightings

LEAVING_SECONDS = 2.0
IN_FORCE_SECONDS = 3.0
WAIT_BOUND_SECONDS = 30.0
GAP_BOUND_TOKENS = 400.0
LEASE_SECONDS = 3.0
FLOOR_REQUESTS = 1
HTTP_OK = 200


class Invariant(Enum):
    """What must always hold."""

    WHOLE_ANSWER = "a caller gets its own whole answer, or sees that it did not"
    NOT_EXECUTED = "what is refused as not executed was not executed"
    AT_MOST_ONCE = "a non-idempotent request runs at most once"
    LEAVING = "a leaving target gets no new work after 2 s"
    PLANNED_STOP = "a planned stop cuts off no request in flight"
    NEVER_REVERTS = "the configuration that a router serves never goes back"
    IN_FORCE = "an accepted configuration is in force everywhere within 3 s"
    NO_STARVATION = "every waiting client account gets service within a bound"
    BOUNDED_GAP = "the gap between two backlogged client accounts stays bounded"
    ENDS = "every request ends for its caller"
    RECOVERS = "after the faults are mended every live router serves"
    AGREED = "all routers end with the same configuration"
    STOP_ENDS = "a planned stop ends"
    LAPSED = "a router that slept past its lease starts no more than the floor when it wakes"
    FENCED = "no order with an old fencing number takes effect"


@frozen
class Violation:
    """A sighting against an invariant."""

    invariant: Invariant
    detail: str


def check(sightings: Sightings) -> list[Violation]:
    """Return every violation of every invariant."""
    return [
        Violation(invariant, detail)
        for invariant, checker in CHECKERS.items()
        for detail in checker(sightings)
    ]


def check_whole_answers(sightings: Sightings) -> Iterator[str]:
    """Check that whole answers are the callers' own and that parts are parts of them."""
    for saw in sightings.callers:
        if saw.status != HTTP_OK:
            continue
        text = answer_text(saw)
        if text is None:
            yield f"{saw.marker}: an unreadable answer: {saw.body[:80]!r}"
        elif is_whole(saw) and text != saw.expected:
            yield f"{saw.marker}: got {text!r}, not {saw.expected!r}"
        elif not saw.expected.startswith(text):
            yield f"{saw.marker}: got {text!r}, no part of {saw.expected!r}"


def check_not_executed(sightings: Sightings) -> Iterator[str]:
    """Check that nothing ran of a request of which every call was refused as not executed."""
    runs = _runs_by_marker(sightings)
    calls: defaultdict[str, list[CallerSaw]] = defaultdict(list)
    for saw in sightings.callers:
        calls[saw.marker].append(saw)
    for marker, saws in calls.items():
        if all(saw.executed == "no" for saw in saws) and runs[marker]:
            yield f"{marker}: refused as not executed, but ran at {runs[marker][0].target}"


def check_at_most_once(sightings: Sightings) -> Iterator[str]:
    """Check that non-idempotent requests ran at most once."""
    runs = _runs_by_marker(sightings)
    for marker in {saw.marker for saw in sightings.callers if not saw.idempotent}:
        if len(runs[marker]) > 1:
            yield f"{marker}: ran as {[run.attempt_id for run in runs[marker]]}"


def check_leaving(sightings: Sightings) -> Iterator[str]:
    """Check that leaving targets get no new work."""
    for run in sightings.runs:
        known = sightings.leaving.get(run.target)
        if known is not None and run.at > known + LEAVING_SECONDS:
            yield f"{run.marker}: sent to {run.target} {run.at - known:.2f} s after it was leaving"


def check_planned_stop(sightings: Sightings) -> Iterator[str]:
    """Check that a router that stopped as planned cut nothing off that its target answered."""
    broken = {run.marker for run in sightings.runs if run.broken}
    for saw in sightings.callers:
        if (
            saw.marker in broken
            or saw.router_died
            or saw.started > sightings.stopped.get(saw.router, -1.0)
        ):
            continue
        if saw.ending is Ending.CUT:
            yield f"{saw.marker}: cut off by the planned stop of {saw.router}"


def check_stop_ends(sightings: Sightings) -> Iterator[str]:
    """Check that routers that were to stop have gone."""
    for router in sightings.stopped.keys() - sightings.exited:
        yield f"{router}: still there"


def check_never_reverts(sightings: Sightings) -> Iterator[str]:
    """Check that no router lets callers see an older configuration than before."""
    newest: dict[str, int] = {}
    for seen in sightings.seen:
        if seen.generation < newest.get(seen.router, -1):
            yield f"{seen.router}: generation {seen.generation} after {newest[seen.router]}"
        newest[seen.router] = max(seen.generation, newest.get(seen.router, -1))


def check_in_force(sightings: Sightings) -> Iterator[str]:
    """Check that reachable routers serve an accepted configuration in time."""
    for generation, (accepted, reachable) in sightings.generations.items():
        for seen in sightings.seen:
            late = seen.at > accepted + IN_FORCE_SECONDS
            if seen.router in reachable and late and seen.generation < generation:
                yield f"{seen.router}: served {seen.generation}, not {generation}, for too long"


def check_no_starvation(sightings: Sightings) -> Iterator[str]:
    """Check that every request starts, or is refused, within the bound."""
    started = {run.marker: run.at for run in reversed(sightings.runs)}
    now = max((run.at for run in sightings.runs), default=0.0)
    for saw in sightings.callers:
        ended = now if saw.ended is None else saw.ended
        waited = started.get(saw.marker, ended) - saw.started
        if waited > WAIT_BOUND_SECONDS:
            yield f"{saw.marker}: waited {waited:.1f} s"


def check_bounded_gap(sightings: Sightings) -> Iterator[str]:
    """Check service over weight between accounts while both are backlogged."""
    for left, right in combinations(sorted(sightings.weights), 2):
        low = high = difference = 0.0
        for run in sightings.runs:
            if not (_backlogged(sightings, left, run.at) and _backlogged(sightings, right, run.at)):
                low = high = difference = 0.0
                continue
            account = account_of(run.marker)
            service = run.tokens / sightings.weights.get(account, 1.0)
            difference += service * ((account == left) - (account == right))
            low, high = min(low, difference), max(high, difference)
            if high - low > GAP_BOUND_TOKENS:
                yield f"{left} and {right}: a gap of {high - low:.0f} tokens"
                break


def check_lapsed(sightings: Sightings) -> Iterator[str]:
    """Check that a holder that wakes after its lease sends one request a service at most."""
    routers = {saw.marker: saw.router for saw in sightings.callers}
    for woken in sightings.woken:
        if woken.slept <= LEASE_SECONDS:
            continue
        started = Counter(
            run.target.partition("-")[0]
            for run in sightings.runs
            if run.at == woken.at and routers.get(run.marker) == woken.router
        )
        for service, count in started.items():
            if count > FLOOR_REQUESTS:
                yield f"{woken.router}: started {count} at {service} after {woken.slept:.1f} s"


def check_fenced(sightings: Sightings) -> Iterator[str]:
    """Check that no order takes effect after one with a higher fencing number."""
    highest: dict[str, int] = {}
    for order in sightings.orders:
        if not order.effective:
            continue
        if order.fencing < highest.get(order.target, -1):
            yield f"{order.target}: {order.fencing} took effect after {highest[order.target]}"
        highest[order.target] = max(order.fencing, highest.get(order.target, -1))


def check_ends(sightings: Sightings) -> Iterator[str]:
    """Check that no caller is left without an outcome."""
    for saw in sightings.callers:
        if saw.ended is None:
            yield f"{saw.marker}: still open at {saw.router}"


def check_recovers(sightings: Sightings) -> Iterator[str]:
    """Check that calls after the mending get whole answers."""
    for saw in sightings.callers:
        if saw.probe and not (saw.status == HTTP_OK and is_whole(saw)):
            yield f"{saw.marker}: {saw.ending.value}, status {saw.status}, code {saw.code}"


def check_agreed(sightings: Sightings) -> Iterator[str]:
    """Check that the routers list the same models at the end."""
    final = [seen for seen in sightings.seen if seen.final]
    for seen in final[1:]:
        if different := seen.models ^ final[0].models:
            yield f"{seen.router} and {final[0].router} differ in {sorted(different)}"


CHECKERS: dict[Invariant, Callable[[Sightings], Iterator[str]]] = {
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
    """Return the account whose name starts a marker."""
    return marker.partition("/")[0]


def _runs_by_marker(sightings: Sightings) -> defaultdict[str, list[Run]]:
    runs: defaultdict[str, list[Run]] = defaultdict(list)
    for run in sightings.runs:
        if not run.refused:
            runs[run.marker].append(run)
    return runs


def _backlogged(sightings: Sightings, account: str, at: float) -> bool:
    # A request waits from its start until its first run or its refusal.
    started = {run.marker: run.at for run in reversed(sightings.runs)}
    for saw in sightings.callers:
        if saw.account != account or saw.started >= at:
            continue
        until = started.get(saw.marker, saw.ended if saw.ended is not None else at)
        if until >= at:
            return True
    return False
