"""Values that another router should know, and which of them it may not know yet."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterator

K = TypeVar("K")
V = TypeVar("V")


class ChangedValues(Generic[K, V]):
    """Map keys to values, each with the number of the message that carries it first."""

    def __init__(self) -> None:
        self._values: dict[K, tuple[int, V]] = {}

    def __iter__(self) -> Iterator[K]:
        return iter(self._values)

    def get(self, key: K) -> V | None:
        """Return a value."""
        entry = self._values.get(key)
        return entry[1] if entry else None

    def set(self, key: K, value: V, sequence: int) -> bool:
        """Store a value for the message ``sequence``; true where it changed."""
        entry = self._values.get(key)
        if entry is not None and entry[1] == value:
            return False
        self._values[key] = (sequence, value)
        return True

    def adopt(self, key: K, value: V) -> None:
        """Store a value that the other side knows."""
        self._values[key] = (0, value)

    def sequence(self, key: K) -> int:
        """Return the number of the message that carried the value first."""
        entry = self._values.get(key)
        return entry[0] if entry else 0

    def since(self, sequence: int) -> dict[K, V]:
        """Return what changed after a message."""
        return {key: value for key, (at, value) in self._values.items() if at > sequence}

    def drop(self, key: K) -> None:
        """Forget a value."""
        self._values.pop(key, None)
