"""Refusal of requests whose prompts hold blocked parts, and the single requests that try them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, frozen

from loomyard.rendezvous import rank
from loomyard_router.crashes.attribution import PartGroup

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.crashes.crash_ledger import CrashLedger
    from loomyard_router.members.membership import Membership

# For how long a trial may be under way before another starts; an innocent part is cleared a second
# after its answer began, and a crash is known within milliseconds.
TRIAL_SECONDS = 2.0
# Time after which a refused caller returns where a trial is due or under way.
TRIAL_RETRY_SECONDS = 1.0
# In a large fleet one router meets too few callers to find a request for a trial soon.
ROUTERS_PER_TRIAL = 10
# For how long requests are compared before one is sent that holds some parts of a group, and for
# how long one that holds few of them keeps those with more from being sent.
CHOICE_SECONDS = 0.5
FEWEST_SECONDS = 5.0
MAX_GROUPS = 64


@frozen(kw_only=True)
class PartVerdict:
    """Whether a request may be sent, and then which groups of parts it tries.

    ``refused_until`` is the clock time at which a refused request may come back.
    """

    refused_until: float | None = None
    trials: tuple[PartGroup, ...] = ()


ALLOWED = PartVerdict()


@define
class _Choice:
    """The fewest parts of a group that a request held lately."""

    usable_at: float
    fewest: int = 0
    until: float = 0.0

    def admits(self, count: int, now: float) -> bool:
        """Tell whether none of the requests that came lately holds fewer parts than this one."""
        if count <= self.fewest or self.until <= now:
            self.fewest, self.until = count, now + FEWEST_SECONDS
        return count == self.fewest and now >= self.usable_at


class PartGate:
    """Decides on requests by the blocked parts that their prompts hold.

    Parts of one group explain the same crashes, together or one of them alone. A request that
    holds all of them would tell nothing new and is refused. Of the others, those that hold the
    fewest may tell the parts apart: one router of ten sends them, one at a time. Once a block has
    lasted, it sends single requests that hold all parts.
    """

    def __init__(self, clock: Clock, ledger: CrashLedger, members: Membership) -> None:
        self._clock = clock
        self._ledger = ledger
        self._members = members
        self._trials: dict[PartGroup, float] = {}
        self._choices: dict[PartGroup, _Choice] = {}

    def check(self, parts: frozenset[str]) -> PartVerdict:
        """Decide on a request whose prompt holds parts, by the names of suspects."""
        trials = []
        for group in self._ledger.groups:
            choice = self._choice(group)
            held = group.parts & parts
            if not held:
                continue
            until = self._refused_until(group, held, choice)
            if until is not None:
                return PartVerdict(refused_until=until)
            trials.append(group)
        return PartVerdict(trials=tuple(trials)) if trials else ALLOWED

    def start_trials(self, groups: tuple[PartGroup, ...]) -> None:
        """Record that a request is sent that tries groups of parts."""
        now = self._clock.now()
        self._trials = {one: until for one, until in self._trials.items() if until > now}
        self._trials.update(dict.fromkeys(groups, now + TRIAL_SECONDS))

    def _refused_until(
        self, group: PartGroup, held: frozenset[str], choice: _Choice
    ) -> float | None:
        now = self._clock.now()
        if held == group.parts:
            until = self._ledger.group_blocked_until(group)
            if until > now:
                return until
        may_tell = held == group.parts or choice.admits(len(held), now)
        if not may_tell or not self._may_try(group):
            return now + TRIAL_RETRY_SECONDS
        trial_until = self._trials.get(group, now)
        return trial_until if trial_until > now else None

    def _choice(self, group: PartGroup) -> _Choice:
        choice = self._choices.get(group)
        if choice is None:
            if len(self._choices) >= MAX_GROUPS:
                self._choices.clear()
            choice = self._choices[group] = _Choice(self._clock.now() + CHOICE_SECONDS)
        return choice

    def _may_try(self, group: PartGroup) -> bool:
        """Tell whether this router is one of those that send trials of a group."""
        names = [member.name for member in self._members.live()]
        count = 1 + len(names) // ROUTERS_PER_TRIAL
        return self._members.own.name in rank(min(group.parts), names)[:count]
