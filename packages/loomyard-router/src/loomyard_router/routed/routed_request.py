"""A request on a route."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field

from loomyard_router.requests.caller_presence import CallerPresence
from loomyard_router.routed.fingerprint import make_fingerprint
from loomyard_router.routed.request_head import RequestHead
from loomyard_router.routed.request_trace import RequestTrace
from loomyard_router.routes.account_terms import AccountTerms
from loomyard_router.routes.route import Route

# An output token takes as much of an engine as two prompt tokens, by the platform's account.
OUTPUT_WEIGHT = 2
PUBLIC_ACCOUNT = ""


@define(kw_only=True, eq=False)
class RoutedRequest:
    """A request as it was read; ``deadline`` also bounds it by the timeout of its route.

    ``suspicion`` is how many targets are known to have ended under it. Of the send under way
    ``send_rank`` is its place in the sends under which targets may end, and ``began_at`` when the
    first event came. ``release_body`` gives back the bytes of the body.
    """

    head: RequestHead
    route: Route
    service: str
    account: AccountTerms | None
    method: str
    path: str
    body: bytes = field(repr=False)
    presence: CallerPresence
    arrived_at: float
    deadline: float
    table_version: int = -1
    trace: RequestTrace = field(factory=RequestTrace)
    crash_count: int = 0
    send_rank: int = 1
    first_event_at: float | None = None
    release_body: Callable[[], None] = lambda: None
    _fingerprint: str = ""

    @property
    def fingerprint(self) -> str:
        """Return by what the request is known when it comes again; made when it is first needed."""
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
    def cost(self) -> float:
        """Return the expected work in tokens, output counted double; at least 1."""
        return max(1.0, self.head.prompt_tokens + OUTPUT_WEIGHT * self.output_tokens)

    @property
    def output_tokens(self) -> int:
        """Return how many tokens are likely made: the caller's estimate within its bound."""
        most, hint = self.head.max_output_tokens, self.head.output_hint
        return most if hint is None else min(most or hint, hint)

    @property
    def shared_prompt_tokens(self) -> int:
        """Return the tokens of the prompt that other requests may share."""
        return sum(part.tokens for part in self.head.prompt[:-1])

    @property
    def affinity_key(self) -> str:
        """Return the id of the longest prompt that other requests share, empty without one."""
        prompt = self.head.prompt
        if not prompt:
            return ""
        # The last part is the request's own.
        return prompt[-2].id if len(prompt) > 1 else prompt[0].id
