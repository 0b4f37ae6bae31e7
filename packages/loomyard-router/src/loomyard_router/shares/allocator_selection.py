"""The router to which each router reports."""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING

from loomyard.rendezvous import choose

if TYPE_CHECKING:
    from loomyard_router.members.membership import Membership

# The fleet's accounts and targets have one allocator; more would each take a part of the accounts.
ALLOCATORS = 1
ALLOCATOR_KEY = "allocator"
# The choice is asked for at each report and changes with the members only.
VIEWS_KEPT = 8


def find_allocator(members: Membership) -> str:
    """Return the name of the allocator: the same on every router with the same view."""
    return _choose(tuple(member.name for member in members.live()))


@lru_cache(maxsize=VIEWS_KEPT)
def _choose(names: tuple[str, ...]) -> str:
    return choose(ALLOCATOR_KEY, names)
