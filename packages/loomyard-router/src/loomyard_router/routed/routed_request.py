"""A caller's request on a route."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from attrs import define, field

from loomyard_router.requests.caller_presence import CallerPresence
from loomyard_router.routed.fingerprint import make_fingerprint
from loomyard_router.routed.request_head import RequestHead
from loomyard_router.routed.request_trace import RequestTrace
from loomyard_router.routes.account_config import AccountConfig
from loomyard_router.routes.route import Route
from loomyard_router.streams.stream_id import make_stream_id
from loomyard_router.streams.stream_origin import StreamOrigin

if TYPE_CHECKING:
    from loomyard_router.announced.announced_target import AnnouncedTarget

# Cost of an output token in prompt tokens, as the platform accounts for engine time.
OUTPUT_WEIGHT = 2
PUBLIC_ACCOUNT = ""


@define(kw_only=True, eq=False)
class RoutedRequest:
    """A decoded request; ``deadline`` is the earlier one of the caller and of the route's timeout.

    ``origin`` is what began the stream of which the caller has events, ``None`` without one;
    ``slot_wanted_at`` is when it arrived, or when its stream last broke off at a target.
    ``crash_count`` is the number of targets known to have crashed under it. Of the attempt under
    way, ``send_rank`` is its number among those under which targets may crash, and
    ``first_event_at`` the time of its first event. ``release_body`` frees the memory of the body.
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
    table_version: int = -1
    origin: StreamOrigin | None = None
    slot_wanted_at: float = field(init=False)
    trace: RequestTrace = field(factory=RequestTrace)
    crash_count: int = 0
    send_rank: int = 1
    first_event_at: float | None = None
    release_body: Callable[[], None] = lambda: None
    _fingerprint: str = ""

    @slot_wanted_at.default
    def _use_arrival(self) -> float:
        return self.arrived_at

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

    def may_run_at(self, target: AnnouncedTarget) -> bool:
        """Tell whether a target of the service has the version that began the stream, if any."""
        return self.origin is None or target.software_version == self.origin.software_version
