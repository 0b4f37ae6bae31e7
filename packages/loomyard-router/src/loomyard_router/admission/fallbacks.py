"""How many engines are asked for a slot besides the preferred one."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loomyard_router.routed.routed_request import RoutedRequest

# Engines tried besides the preferred one before the request waits for that one again.
MAX_FALLBACKS = 2
# The same for a prompt that is mostly unshared: little of it has to be read again elsewhere. A long
# one gets its first token in time only from an engine that reads nothing else, as about every
# second engine does.
MAX_FALLBACKS_UNSHARED = 6
# The same at a lagging router, whose requests for slots take the time of those that have one.
MAX_FALLBACKS_LAGGING = 1
# A prompt counts as mostly unshared from this ratio of unshared to shared tokens on.
UNSHARED_RATIO = 2.0


def find_max_fallbacks(request: RoutedRequest, *, over_share: bool, lagging: bool) -> int:
    """Return how many engines a request may ask besides the preferred one."""
    wanted = _find_max_in_time(request, over_share=over_share)
    return min(wanted, MAX_FALLBACKS_LAGGING) if lagging else wanted


def _find_max_in_time(request: RoutedRequest, *, over_share: bool) -> int:
    if request.origin is not None:
        # The engines of its version may be few, and it may go on nowhere else.
        return MAX_FALLBACKS_UNSHARED
    mostly_unshared = request.head.prompt_tokens - request.shared_prompt_tokens >= (
        UNSHARED_RATIO * request.shared_prompt_tokens
    )
    if not over_share or not request.affinity_key:
        return MAX_FALLBACKS_UNSHARED if mostly_unshared else MAX_FALLBACKS
    # Requests over the share must not make other engines read shared parts again.
    return MAX_FALLBACKS if mostly_unshared else 0
