"""A caller's request on a route."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from attrs import define, field

from loomyard_router.crashes.attribution import PartGroup
from loomyard_router.crashes.suspect import make_part_name
from loomyard_router.requests.caller_presence import CallerPresence
from loomyard_router.routed.body_budget import BodyReservation
from loomyard_router.routed.fingerprint import make_fingerprint
from loomyard_router.routed.request_head import PromptPart, RequestHead
from loomyard_router.routed.request_stage import RequestStage
from loomyard_router.routed.request_trace import RequestTrace
from loomyard_router.routes.account_config import AccountConfig
from loomyard_router.routes.route import Route
from loomyard_router.streams.stream_id import make_stream_id
from loomyard_router.streams.stream_origin import StreamOrigin

if TYPE_CHECKING:
    from loomyard_router.announced.announced_target import AnnouncedTarget

# Cost of an output token in prompt tokens, as the platform accounts for engine time.
OUTPUT_WEIGHT = 2
# Bounds the work for prompts with very many parts.
MAX_SUSPECTED_PARTS = 64
# A request that has yielded events for this long is not blamed if its target crashes. Poison
# requests crashed targets 65 to 121 ms after they began to run, in the users' records; one that
# takes longer than this is not recognized.
ESTABLISHED_SECONDS = 1.0
# After a pause of this process events that were sent before it come as if long after each other.
MAX_EVENT_GAP_SECONDS = 0.25
PUBLIC_ACCOUNT = ""
# So much of an answer may be held without a reservation.
FREE_ANSWER_BYTES = 1 << 16


@define(kw_only=True, eq=False)
class RoutedRequest:
    """A decoded request; ``deadline`` is the earlier one of the caller and of the route's timeout.

    ``origin`` is what began the stream of which the caller has events, ``None`` without one;
    ``arrived_at`` is when its head and ``read_at`` when its body had been read;
    ``slot_wanted_at`` is when it arrived, or when its stream last broke off at a target.
    ``crash_count`` is the number of targets known to have crashed under it, and ``trials`` the
    groups of suspected parts that its next attempt tries. Of the attempt under way, ``send_ranks``
    are its numbers among those of each suspect under which targets may crash, 1 where none is
    given; ``first_event_at`` is the time of its first event, and ``answering_seconds`` for how long
    events have come, without long gaps. ``release_body`` frees the memory of the body.
    """

    head: RequestHead
    route: Route
    service: str
    account: AccountConfig | None
    method: str
    path: str
    body: bytes = field(repr=False)
    presence: CallerPresence
    arrived_at: float
    deadline: float
    read_at: float = field(init=False)
    table_version: int = -1
    origin: StreamOrigin | None = None
    slot_wanted_at: float = field(init=False)
    trace: RequestTrace = field(factory=RequestTrace)
    crash_count: int = 0
    trials: tuple[PartGroup, ...] = ()
    send_ranks: Mapping[str, int] = field(factory=dict)
    first_event_at: float | None = None
    answering_seconds: float = 0.0
    release_body: Callable[[], None] = lambda: None
    # Memory for what is held of its answer; without it, there is no limit.
    answer_memory: BodyReservation | None = None
    stage: RequestStage = RequestStage.WAITING
    withdrawn: bool = False
    _fingerprint: str = ""
    _part_names: frozenset[str] | None = None
    _last_event_at: float = 0.0

    @read_at.default
    @slot_wanted_at.default
    def _use_arrival(self) -> float:
        return self.arrived_at

    def reserve_answer(self, size: int) -> bool:
        """Reserve memory for so much of the answer; tell whether there is any."""
        if size <= FREE_ANSWER_BYTES or self.answer_memory is None:
            return True
        return self.answer_memory.grow_to(size).is_ok()

    @property
    def fingerprint(self) -> str:
        """Return the fingerprint by which a repeat is recognized, computed on first use."""
        if not self._fingerprint:
            self._fingerprint = make_fingerprint(
                method=self.method,
                host=self.route.host,
                path=self.path,
                account=self.account_name,
                body=self.body,
            )
        return self._fingerprint

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts of the prompt that others may share and that may be suspected."""
        return self.head.prompt[:-1][:MAX_SUSPECTED_PARTS]

    @property
    def part_names(self) -> frozenset[str]:
        """Return the names as suspects of the parts that other prompts may share."""
        if self._part_names is None:
            self._part_names = frozenset(
                make_part_name(service=self.service, model=self.head.model, part_id=part.id)
                for part in self.shared_parts
            )
        return self._part_names

    @property
    def suspects(self) -> frozenset[str]:
        """Return the names of all that may be the cause if its target crashes."""
        return self.part_names | {self.fingerprint}

    @property
    def is_established(self) -> bool:
        """Tell whether the target has answered for so long that it does not crash on this."""
        return self.answering_seconds >= ESTABLISHED_SECONDS

    @property
    def account_name(self) -> str:
        return PUBLIC_ACCOUNT if self.account is None else self.account.name

    @property
    def continues_stream(self) -> bool:
        """Return whether the caller has events of the stream from an earlier attempt."""
        named = self.head.resumed_attempt_id or self.head.last_event_id
        return self.route.is_stream and bool(named)

    @property
    def stream_id(self) -> str:
        """Return the id of the attempt that brought the first event, or is to bring it.

        Callers choose the ids, so a long one is replaced by a digest.
        """
        return make_stream_id(self.head.resumed_attempt_id or self.head.attempt_id)

    @property
    def lack_of_targets(self) -> str:
        """Return the detail of a refusal for want of a target that may run this request."""
        if self.origin is None:
            return "no target of the service accepts new requests"
        version = self.origin.software_version
        return f"no target of version {version!r}, which began the stream, accepts new requests"

    @property
    def cost(self) -> float:
        """Return the expected work in tokens, output counted double; at least 1."""
        return max(1.0, self.head.prompt_tokens + OUTPUT_WEIGHT * self.output_tokens)

    @property
    def output_tokens(self) -> int:
        """Return the expected number of output tokens: the caller's hint, at most its limit."""
        limit, hint = self.head.max_output_tokens, self.head.output_hint
        return limit if hint is None else min(limit or hint, hint)

    @property
    def shared_prompt_tokens(self) -> int:
        """Return the tokens of the prompt that other requests may share."""
        return sum(part.tokens for part in self.head.prompt[:-1])

    @property
    def affinity_key(self) -> str:
        """Return the id of the longest prompt prefix to share with others, empty without prompt."""
        prompt = self.head.prompt
        if not prompt:
            return ""
        # The last part belongs to this request alone.
        return prompt[-2].id if len(prompt) > 1 else prompt[0].id

    @property
    def was_sent(self) -> bool:
        """Tell whether a target may have got it."""
        return self.trace.attempts > 0

    def withdraw(self) -> None:
        """End its waits and its attempt for a planned stop; its caller still gets a status."""
        self.withdrawn = True
        self.presence.mark_gone()

    def record_sending(self, *, ended: bool = False) -> None:
        """Record that an attempt is sent, or that it ended without an answer for the caller."""
        if self.stage is not RequestStage.ANSWERING:
            self.stage = RequestStage.WAITING if ended else RequestStage.SENT

    def clear_events(self) -> None:
        """Forget the events of an earlier attempt."""
        self.first_event_at, self.answering_seconds = None, 0.0

    def record_event(self, now: float) -> bool:
        """Record that events came; tell whether they establish the answer."""
        if self.first_event_at is None:
            self.first_event_at = self._last_event_at = now
            return False
        was_established = self.is_established
        self.answering_seconds += min(now - self._last_event_at, MAX_EVENT_GAP_SECONDS)
        self._last_event_at = now
        return self.is_established and not was_established

    def may_run_at(self, target: AnnouncedTarget) -> bool:
        """Tell whether a target of the service has the version that began the stream, if any."""
        return self.origin is None or target.software_version == self.origin.software_version
