"""The router to which each router reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard.rendezvous import choose

if TYPE_CHECKING:
    from loomyard_router.members.membership import Membership

# The fleet's accounts and targets have one allocator; more would each take a part of the accounts.
ALLOCATORS = 1
ALLOCATOR_KEY = "allocator"


def find_allocator(members: Membership) -> str:
    """Return the name of the allocator: the same on every router with the same view."""
    return choose(ALLOCATOR_KEY, [member.name for member in members.live()])
