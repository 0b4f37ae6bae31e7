"""Key-value state replicated to another router as deltas."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterator

K = TypeVar("K")
V = TypeVar("V")


class ChangedValues(Generic[K, V]):
    """Map keys to values, each with the sequence number of the message that first carries it."""

    def __init__(self) -> None:
        self._values: dict[K, tuple[int, V]] = {}

    def __iter__(self) -> Iterator[K]:
        return iter(self._values)

    def get(self, key: K) -> V | None:
        """Return the value of a key, ``None`` if there is none."""
        entry = self._values.get(key)
        return entry[1] if entry else None

    def set(self, key: K, value: V, sequence: int) -> bool:
        """Store a value to be sent in the message ``sequence``; return whether it changed."""
        entry = self._values.get(key)
        if entry is not None and entry[1] == value:
            return False
        self._values[key] = (sequence, value)
        return True

    def set_acknowledged(self, key: K, value: V) -> None:
        """Store a value that the other side knows already, so that it is not sent."""
        self._values[key] = (0, value)

    def sequence(self, key: K) -> int:
        """Return the number of the message that first carried the value, 0 if there is none."""
        entry = self._values.get(key)
        return entry[0] if entry else 0

    def changed_since(self, sequence: int) -> dict[K, V]:
        """Return the values that changed after the message ``sequence``."""
        return {key: value for key, (at, value) in self._values.items() if at > sequence}

    def remove(self, key: K) -> None:
        """Remove a key, if it is there; the other side is not notified."""
        self._values.pop(key, None)
