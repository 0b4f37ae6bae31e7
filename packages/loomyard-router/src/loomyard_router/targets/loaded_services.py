"""Encoding of a target's loaded services as an integer for gossip."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from loomyard.objects import Target

MASK_BITS = 32
MASK = (1 << MASK_BITS) - 1


def to_number(target: Target, sequence: int, models: Iterable[str]) -> int:
    """Encode as the sequence, then a bit mask of the services in configured order.

    A later sequence gives a greater number, as gossip keeps the greatest value of a key.
    """
    known = set(models)
    mask = sum(1 << n for n, service in enumerate(_services(target)) if service in known)
    return sequence << MASK_BITS | mask


def sequence_of(number: int) -> int:
    """Return the sequence of an encoded number."""
    return number >> MASK_BITS


def services_of(target: Target, number: int) -> list[str]:
    """Return the loaded services of an encoded number."""
    return [service for n, service in enumerate(_services(target)) if number >> n & 1]


def _services(target: Target) -> list[str]:
    return [*target.services, *target.loadable][:MASK_BITS]
