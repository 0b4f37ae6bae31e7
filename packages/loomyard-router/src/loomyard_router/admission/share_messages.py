"""Messages by which routers sum up the demand and usage of client accounts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import field, frozen

from loomyard_router.peers.message_types import peer_message

if TYPE_CHECKING:
    from collections.abc import Mapping

# No share is known, so no account is over its share.
NO_SHARE = -1


@peer_message("ur")
@frozen(kw_only=True)
class UsageReport:
    """Recent demand and usage of accounts, in tokens, at the sender and at those reporting to it.

    ``routers`` is the number of routers summed up. Only the accounts with the largest demand are
    named. ``unmet`` are the tokens that accounts lately asked for and engines
    had no room for.
    """

    demand: dict[str, int]
    usage: dict[str, int]
    routers: int = 1
    unmet: dict[str, int] = field(factory=dict)


@peer_message("uo")
@frozen(kw_only=True)
class OwnUsage:
    """The part of a report that the sender measured itself, where others report to it.

    It counts on if the sender falls silent.
    """

    demand: dict[str, int]
    usage: dict[str, int]
    unmet: dict[str, int] = field(factory=dict)


def make_own_usage(
    demand: Mapping[str, float], usage: Mapping[str, float], unmet: Mapping[str, float]
) -> OwnUsage:
    """Return the tokens by account in whole numbers."""
    rounded = [
        {account: round(tokens) for account, tokens in one.items()}
        for one in (demand, usage, unmet)
    ]
    return OwnUsage(demand=rounded[0], usage=rounded[1], unmet=rounded[2])


@peer_message("um")
@frozen
class ReportsMoved:
    """Tell a router that the sender reports to another one from now on."""


@peer_message("uw")
@frozen(kw_only=True)
class UsageReply:
    """Max-min share of each account in the fleet, and the usage there of the accounts reported.

    All in tokens of the share window, with ``NO_SHARE`` for what is not known. ``share`` is the
    share of the stated rate; ``served_share`` that of the tokens served in fact, where that is
    more. ``usage_cap`` is the usage up to which accounts are admitted while another one with little
    usage is backlogged.
    """

    share: int = NO_SHARE
    served_share: int = NO_SHARE
    usage_cap: int = NO_SHARE
    usage: dict[str, int] = field(factory=dict)

    def known(self) -> dict[str, int]:
        """Return the share, the served share and the cap by name, without unknown ones."""
        shares = {"share": self.share, "served_share": self.served_share, "cap": self.usage_cap}
        return {name: tokens for name, tokens in shares.items() if tokens != NO_SHARE}
