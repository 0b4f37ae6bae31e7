"""The allocator of the C library; another library than glibc is left as it is."""

from __future__ import annotations

from contextlib import suppress
from typing import Any

# Of malloc.h.
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
M_ARENA_MAX = -8


def limit_arenas(arenas: int) -> bool:
    """Limit the arenas of malloc, each of which reserves 64 MB; tell whether that could be done."""
    return bool(_call("mallopt", M_ARENA_MAX, arenas))


def return_blocks(size: int) -> None:
    """Let malloc give blocks of such a size, and twice as much that is free at the end, back.

    Otherwise both limits follow the largest block that was ever freed, up to 32 MB.
    """
    _call("mallopt", M_MMAP_THRESHOLD, size)
    _call("mallopt", M_TRIM_THRESHOLD, 2 * size)


def trim() -> None:
    """Give free memory back to the kernel."""
    _call("malloc_trim", 0)


def _call(name: str, *arguments: int) -> Any:
    with suppress(ImportError, OSError, AttributeError):
        return getattr(_load(), name)(*arguments)
    return 0


def _load() -> Any:
    import ctypes

    return ctypes.CDLL(None)
