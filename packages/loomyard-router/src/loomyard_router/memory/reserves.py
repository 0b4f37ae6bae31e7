"""Memory and descriptors held for the handling of a shortage of them."""

from __future__ import annotations

import os
from contextlib import suppress
from typing import TYPE_CHECKING, Protocol

from loomyard_router.memory.limits import limits_allocations
from loomyard_router.memory.shortages import DESCRIPTORS, MEMORY, find_shortage

if TYPE_CHECKING:
    from collections.abc import Callable

# Address space alone, as pages that are never written take no memory.
RESERVED_BYTES = 2 << 20
# Must be free beside the reserve, or there is a shortage; twice as much ends one.
FREE_BYTES = 2 << 20
# Where no single piece of address space is left, free blocks of the allocator count, and room for
# what is not taken from it.
BLOCK_BYTES = 1 << 16
ROOM_BYTES = 1 << 20
RESERVED_DESCRIPTORS = 8
# So many must be free for a while, those of the reserve among them, to end a shortage.
WANTED_DESCRIPTORS = 24
LEAST_DESCRIPTORS = 4


class Reserve(Protocol):
    """Something that is held, and released when there is a shortage of it."""

    kind: str

    def is_short(self) -> bool:
        """Try whether there is too little beside the reserve."""

    def take(self, *, least: bool = False) -> bool:
        """Hold the reserve again if there is enough for a while; tell whether there is.

        Where that does not come, the ``least`` with which to go on is enough, without a reserve.
        """

    def release(self) -> None:
        """Give the reserve back."""


class MemoryReserve:
    """A reserve of address space."""

    kind = MEMORY

    def __init__(self) -> None:
        self._held: list[bytes] = []

    def is_short(self) -> bool:
        return limits_allocations() and not _allocate(FREE_BYTES)

    def take(self, *, least: bool = False) -> bool:
        self.release()
        if not _allocate(FREE_BYTES if least else RESERVED_BYTES + 2 * FREE_BYTES):
            return False
        if _allocate(RESERVED_BYTES + FREE_BYTES):
            self._held = _allocate(RESERVED_BYTES)
        return True

    def release(self) -> None:
        self._held = []


class DescriptorReserve:
    """A reserve of descriptors."""

    kind = DESCRIPTORS

    def __init__(self) -> None:
        self._held: list[int] = []

    def is_short(self) -> bool:
        # A failed accept or connect tells in time, and does no harm.
        return False

    def take(self, *, least: bool = False) -> bool:
        self.release()
        try:
            self._held = _open(WANTED_DESCRIPTORS)
        except OSError:
            # Without this file there is no reserve, which is no shortage.
            return True
        count = len(self._held)
        _close(self._held, RESERVED_DESCRIPTORS if count == WANTED_DESCRIPTORS else 0)
        return count >= (LEAST_DESCRIPTORS if least else WANTED_DESCRIPTORS)

    def release(self) -> None:
        _close(self._held, 0)


def _allocate(size: int, new: Callable[[int], bytes] = bytes) -> list[bytes]:
    """Return memory of a size, in one piece if possible; nothing where there is too little."""
    # Unlike other types ``bytes`` does not write a large piece, which stays out of resident memory.
    with suppress(MemoryError):
        return [new(size)]
    with suppress(MemoryError):
        return [new(ROOM_BYTES), *(new(BLOCK_BYTES) for _ in range(size // BLOCK_BYTES))][1:]
    return []


def _open(count: int) -> list[int]:
    """Open so many descriptors, or fewer where there are no more."""
    opened: list[int] = []
    try:
        while len(opened) < count:
            opened.append(os.dup(opened[0]) if opened else os.open(os.devnull, os.O_RDONLY))
    except OSError as error:
        if not find_shortage(error):
            _close(opened, 0)
            raise
    return opened


def _close(opened: list[int], left: int) -> None:
    while len(opened) > left:
        os.close(opened.pop())
