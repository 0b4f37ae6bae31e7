"""Small announced items, spread with the datagrams of membership."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from attrs import define, field

from loomyard.clock import Clock
from loomyard_router.members.digests import unordered_digest
from loomyard_router.members.messages import Item

if TYPE_CHECKING:
    from collections.abc import Iterable


MAX_ITEMS = 512
MAX_LIFE = 600.0
MAX_NAME = 128
TENTHS = 10
# An item about to end is not passed on, so that copies can't keep each other alive.
LEAST_TENTHS = 5


@define(eq=False)
class _Held:
    value: int
    until: float


@define(eq=False)
class Topics:
    """The items of all topics; the highest value of a key wins."""

    clock: Clock
    _held: dict[tuple[str, str], _Held] = field(factory=dict)
    _digest: int | None = None
    _listeners: dict[str, list[Callable[[str, int], None]]] = field(factory=dict)

    @property
    def digest(self) -> int:
        """Return a sum over the items, equal where they agree."""
        if self._digest is None:
            self._digest = unordered_digest(
                [topic, key, held.value] for (topic, key), held in self._held.items()
            )
        return self._digest

    def subscribe(self, topic: str, heard: Callable[[str, int], None]) -> None:
        """Call back with the items of a topic, known ones first."""
        self._listeners.setdefault(topic, []).append(heard)
        for (name, key), held in list(self._held.items()):
            if name == topic:
                heard(key, held.value)

    def announce(self, topic: str, key: str, value: int, until: float) -> bool:
        """Hold an own item; false where nothing is new or there is no room."""
        return self._hold(topic, key, value, until)

    def hear(self, item: Item) -> bool:
        """Hold an item of another router and tell listeners; false where nothing is new."""
        until = self.clock.now() + item.tenths / TENTHS
        if not self._hold(item.topic, item.key, item.value, until):
            return False
        for heard in self._listeners.get(item.topic, []):
            heard(item.key, item.value)
        return True

    def item(self, topic: str, key: str) -> Item | None:
        """Return an item to pass on."""
        held = self._held.get((topic, key))
        if held is None:
            return None
        tenths = int((held.until - self.clock.now()) * TENTHS)
        return Item(topic, key, held.value, tenths) if tenths >= LEAST_TENTHS else None

    def keys(self) -> Iterable[tuple[str, str]]:
        """Return topic and key of all items."""
        return list(self._held)

    def expire(self) -> None:
        """Forget items past their end."""
        now = self.clock.now()
        for name in [name for name, held in self._held.items() if held.until <= now]:
            del self._held[name]
            self._digest = None

    def _hold(self, topic: str, key: str, value: int, until: float) -> bool:
        held = self._held.get((topic, key))
        if held is not None and held.value >= value:
            return False
        full = held is None and len(self._held) >= MAX_ITEMS
        if full or len(topic) + len(key) > MAX_NAME:
            return False
        until = min(until, self.clock.now() + MAX_LIFE)
        self._held[topic, key] = _Held(value, until)
        self._digest = None
        return True
