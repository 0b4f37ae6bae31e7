"""What must hold whatever fails, checked on what callers and targets say while they run."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Any

from attrs import define, field

from loomyard_standins.programs.documents import COLD_PER_SECOND, EMPTYING
from loomyard_standins.programs.promise import Breach, Promise
from loomyard_standins.programs.said_by_targets import SaidByTargets
from loomyard_standins.programs.words import HTTP_OK, NOT_RUN_STATUSES, ONCE

if TYPE_CHECKING:
    from collections.abc import Iterator

HTTP_NOT_FOUND = 404
# After so many ends all routers have to know a request within some seconds, or as long after they
# stood still or started, and may send it a few times more.
KNOWN_ENDS = 3
KNOWN_SECONDS = 3.0
MORE_SENDS = 3
# An order is in force 2.5 s after its acknowledgement; as long after faults of what it comes by.
ORDER_SECONDS = 4.0
COLD_WINDOW = 1.0
MOST_COLD_RUNS = int(1.5 * COLD_PER_SECOND) + 5
STORE = "store"


@define(eq=False)
class Promises:
    """Take in what programs say, and tell what breaks a promise as soon as it is seen."""

    requests: int = 0
    answered: int = 0
    refused: int = 0
    runs: int = 0
    # Seconds from the acknowledgement of each version until each router was first seen to serve it.
    lags: list[float] = field(factory=list)
    # Seconds from a target's word that it leaves, or a caller's leaving, to what still ran there.
    after_leaving: list[float] = field(factory=list)
    after_caller: list[float] = field(factory=list)
    # Targets that ended under requests, and sends of those that came when all routers had to know.
    ended: int = 0
    sent_later: int = 0
    said: SaidByTargets = field(init=False)
    _ends: defaultdict[str, list[float]] = field(factory=lambda: defaultdict(list))
    _late_sends: Counter[str] = field(factory=Counter)
    # Routers that stand still or start, and since when the others run.
    _disturbed: set[str] = field(factory=set)
    _calm_since: dict[str, float] = field(factory=dict)
    _routers: dict[str, str] = field(factory=dict)
    _data_centres: dict[str, str] = field(factory=dict)
    _emptied: dict[str, float] = field(factory=dict)
    _cold: dict[str, float] = field(factory=dict)
    _cold_runs: defaultdict[str, list[float]] = field(factory=lambda: defaultdict(list))
    _kinds: dict[str, str] = field(factory=dict)
    _sent_at: dict[str, float] = field(factory=dict)
    _ran: defaultdict[str, list[str]] = field(factory=lambda: defaultdict(list))
    _statuses: dict[str, int] = field(factory=dict)
    _acked: dict[int, float] = field(factory=dict)
    _served: dict[str, dict[int, float]] = field(factory=dict)
    _started: dict[str, float] = field(factory=dict)
    _leaving: dict[str, float] = field(factory=dict)
    _left: dict[str, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.said = SaidByTargets(self._may_have_forgotten)

    def note_router(self, router: str, at: float) -> None:
        """Take in that a life of a router ended; a new one may know less."""
        self._started[router] = at
        self._served[router] = {}

    def note_leaving(self, target: str, at: float) -> None:
        """Take in that a target says that it leaves."""
        self._leaving[target] = at

    def note_target(self, target: str, data_centre: str) -> None:
        """Take in that a life of a target begins."""
        self._data_centres[target] = data_centre
        self._leaving.pop(target, None)
        self._cold.pop(target, None)
        self.said.forget(target)

    def note_cold(self, target: str, at: float | None) -> None:
        """Take in that a target says that it is cold, or that it is not any more."""
        if at is None:
            self._cold.pop(target, None)
        else:
            self._cold[target] = at

    def disturb(self, who: str) -> None:
        """Take in that a router, a target or the store is struck, so that it may know less."""
        self._disturbed.add(who)

    def calm(self, who: str, at: float) -> None:
        """Take in that it runs again."""
        self._disturbed.discard(who)
        self._calm_since[who] = at

    def note_sent(self, attempt_id: str, kind: str) -> None:
        """Take in that a request goes out."""
        self.requests += 1
        self._kinds[attempt_id] = kind

    def take(self, said: dict[str, Any]) -> Iterator[Breach]:
        """Take in what a program said."""
        if "sent" in said:
            self.note_sent(said["sent"], said["kind"])
            self._routers[said["sent"]] = said.get("router", "")
            self._sent_at[said["sent"]] = said["at"]
        elif "passed_leaving" in said:
            self.said.note_leaving(said["router"], said["passed_leaving"], said["at"])
        elif "turned_away" in said:
            router = self._routers.get(said["turned_away"], "")
            if router:
                yield from self.said.take_turned_away(
                    router, said["target"], said["at"], rest=said["rest"]
                )
        elif "run" in said:
            yield from self._take_run(said)
        elif "ends" in said:
            self.ended += 1
            self._ends[said["ends"]].append(said["at"])
        elif "saw" in said:
            yield from self._take_answer(said)
        elif "left" in said:
            self._left[said["left"]] = said["at"]
        elif "probe" in said:
            yield from self._take_probe(said)
        elif str(said.get("acked")).startswith(EMPTYING):
            self._take_order(said)
        elif said.get("version") is not None:
            self._acked[said["version"]] = said["at"]

    def unasked(self) -> Iterator[Breach]:
        """Return what ran though nobody sent it; to be asked for at the end."""
        for attempt_id in self._ran.keys() - self._kinds.keys():
            yield Breach(Promise.ASKED, f"{attempt_id!r} ran at {self._ran[attempt_id]}")

    def _take_run(self, said: dict[str, Any]) -> Iterator[Breach]:
        attempt_id = said["run"]
        self.runs += 1
        targets = self._ran[attempt_id]
        targets.append(said["target"])
        if said["target"] in self._leaving:
            self.after_leaving.append(said["at"] - self._leaving[said["target"]])
        if attempt_id in self._left:
            self.after_caller.append(said["at"] - self._left[attempt_id])
        yield from self._take_heeded(said["target"], attempt_id, said["at"])
        router = self._routers.get(attempt_id, "")
        sent_at = self._sent_at.get(attempt_id, said["at"])
        yield from self.said.take_run(router, said["target"], attempt_id, sent_at)
        if attempt_id in self._statuses:
            detail = f"{attempt_id} got {self._statuses[attempt_id]}, then ran at {targets}"
            yield Breach(Promise.NOT_RUN, detail)
        if said.get("ending") is not None:
            yield from self._take_ending_run(said["ending"], attempt_id, said["at"])
        if len(targets) > 1 and self._kinds.get(attempt_id) == ONCE:
            yield Breach(Promise.AT_MOST_ONCE, f"{attempt_id} ran at {targets}")

    def _may_have_forgotten(self, router: str, since: float) -> bool:
        """Tell whether a router stood still or started, and may have forgotten what it knew."""
        changed = max(self._started.get(router, 0.0), self._calm_since.get(router, 0.0))
        return router in self._disturbed or changed > since

    def _take_order(self, said: dict[str, Any]) -> None:
        data_centre = said["acked"].removeprefix(EMPTYING)
        if said["dropped"]:
            self._emptied.pop(data_centre, None)
        else:
            # One that is written again stands since it was written first.
            self._emptied.setdefault(data_centre, said["at"])

    def _take_heeded(self, target: str, attempt_id: str, at: float) -> Iterator[Breach]:
        """Judge a run by what is said of its target, where nothing that says so was struck."""
        struck = (self._routers.get(attempt_id, ""), target, STORE)
        if self._disturbed.intersection(struck):
            return
        calm = max(self._calm_since.get(one, 0.0) for one in struck)
        data_centre = self._data_centres.get(target, "")
        emptied = self._emptied.get(data_centre)
        if emptied is not None and at > max(calm, emptied) + ORDER_SECONDS:
            detail = f"{attempt_id} ran at {target} in {data_centre} {at - emptied:.2f} s after"
            yield Breach(Promise.EMPTIED, detail)
        cold = self._cold.get(target)
        if cold is not None and at > max(calm, cold) + ORDER_SECONDS:
            runs = self._cold_runs[target]
            runs.append(at)
            lately = sum(at - run <= COLD_WINDOW for run in runs)
            if lately > MOST_COLD_RUNS:
                yield Breach(Promise.COLD, f"{target} ran {lately} requests in a second")

    def _take_ending_run(self, ending: str, attempt_id: str, at: float) -> Iterator[Breach]:
        ends, router = self._ends[ending], self._routers.get(attempt_id, "")
        if len(ends) < KNOWN_ENDS or router in self._disturbed:
            return
        if at <= max(ends[KNOWN_ENDS - 1], self._calm_since.get(router, 0.0)) + KNOWN_SECONDS:
            return
        self.sent_later += 1
        self._late_sends[ending] += 1
        if self._late_sends[ending] > MORE_SENDS:
            detail = f"{ending} request sent {self._late_sends[ending]} times more"
            yield Breach(Promise.FEW_ENDS, detail)

    def _take_answer(self, said: dict[str, Any]) -> Iterator[Breach]:
        attempt_id, status = said["saw"], said["status"]
        self.answered += status == HTTP_OK and said["whole"]
        if not said["own"]:
            yield Breach(Promise.OWN_ANSWER, f"{attempt_id} got something else as {status}")
        if status in NOT_RUN_STATUSES:
            self.refused += 1
            self._statuses[attempt_id] = status
            if self._ran.get(attempt_id):
                detail = f"{attempt_id} got {status}, but had run at {self._ran[attempt_id]}"
                yield Breach(Promise.NOT_RUN, detail)

    def _take_probe(self, said: dict[str, Any]) -> Iterator[Breach]:
        router, version, began = said["router"], said["probe"], said["began"]
        if began < self._started.get(router, 0.0):
            return
        served = self._served.setdefault(router, {})
        if said["status"] == HTTP_OK:
            if version not in served and version in self._acked:
                self.lags.append(said["at"] - self._acked[version])
            served.setdefault(version, said["at"])
        if said["status"] != HTTP_NOT_FOUND:
            return
        # A version has all routes of those before it.
        before = [known for known, at in served.items() if known >= version and at < began]
        if before:
            detail = f"{router} does not know version {version}, but had served {max(before)}"
            yield Breach(Promise.NEVER_BACK, detail)
