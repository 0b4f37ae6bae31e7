"""Selection of the router that allocates slots, to which all routers report."""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING

from loomyard.rendezvous import choose

if TYPE_CHECKING:
    from loomyard_router.members.membership import Membership

# One allocator serves all accounts and targets; several would each serve a part of the accounts.
ALLOCATORS = 1
ALLOCATOR_KEY = "allocator"
# The selection is needed at each report and changes only with the live members.
CACHED_VIEWS = 8


def find_allocator(members: Membership) -> str:
    """Return the name of the allocator, the same on every router with the same live members."""
    return _choose(tuple(member.name for member in members.live()))


@lru_cache(maxsize=CACHED_VIEWS)
def _choose(names: tuple[str, ...]) -> str:
    return choose(ALLOCATOR_KEY, names)
