"""Which errors mean that the process lacks memory or descriptors, and their count."""

from __future__ import annotations

import errno
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

MEMORY, DESCRIPTORS = "memory", "descriptors"
_KINDS = {
    errno.ENOMEM: MEMORY,
    errno.ENOBUFS: MEMORY,
    errno.EMFILE: DESCRIPTORS,
    errno.ENFILE: DESCRIPTORS,
}

# Like limits they belong to the process.
_counts: Counter[str] = Counter()
_listeners: list[Callable[[str], None]] = []


def find_shortage(error: BaseException | None) -> str:
    """Return what an error, or one that it was raised from, says is lacking; empty for others."""
    while error is not None:
        if isinstance(error, MemoryError):
            return MEMORY
        if isinstance(error, OSError) and error.errno in _KINDS:
            return _KINDS[error.errno]
        error = error.__cause__
    return ""


def note_shortage(error: BaseException) -> bool:
    """Count an error and tell the listeners, if it means a shortage; tell whether it does."""
    kind = find_shortage(error)
    if not kind:
        return False
    _counts[kind] += 1
    for listener in _listeners:
        listener(kind)
    return True


def shortage_counts() -> dict[str, int]:
    """Return the errors so far, by what was lacking."""
    return dict(_counts)


def subscribe(listener: Callable[[str], None]) -> None:
    """Call back with what is lacking, at each such error; it must not block or allocate much."""
    _listeners.append(listener)


def unsubscribe(listener: Callable[[str], None]) -> None:
    """End the calls."""
    if listener in _listeners:
        _listeners.remove(listener)
