"""Messages by which routers sum up what client accounts asked and got."""

from __future__ import annotations

from attrs import field, frozen

from loomyard_router.peers.message_types import peer_message

# No share is known: nobody is beyond it.
NO_SHARE = -1


@peer_message("ur")
@frozen(kw_only=True)
class UsageReport:
    """What accounts asked and got lately, in tokens, at the sender and those that report to it.

    ``summed`` says that reports of other routers are in it. Only the accounts that asked most are
    named.
    """

    asked: dict[str, int]
    given: dict[str, int]
    summed: bool = False


@peer_message("uw")
@frozen(kw_only=True)
class ShareWord:
    """The max-min share of each account over the fleet, and what the accounts reported got there.

    All in tokens of the share window. ``share`` is of the stated rate, ``reached`` of what was
    given in fact where that was more; ``most`` is what an account may have got to be admitted while
    another one that got little waits. Each is ``NO_SHARE`` where none is known.
    """

    share: int = NO_SHARE
    reached: int = NO_SHARE
    most: int = NO_SHARE
    given: dict[str, int] = field(factory=dict)
