"""Small announced items, gossiped with the datagrams of membership."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from loomyard.clock import Clock
from loomyard_router.members.digests import unordered_digest
from loomyard_router.members.messages import Item
from loomyard_router.supervision.listeners import Listeners

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


MAX_ITEMS = 512
MAX_LIFETIME = 600.0
MAX_NAME_CHARS = 128
TENTHS = 10
# An item about to expire is not sent any more, so that copies can't keep each other alive.
MIN_TENTHS = 5


@define(eq=False)
class _StoredItem:
    value: int
    until: float


@define(eq=False)
class Topics:
    """The items of all topics; the highest value of a key wins."""

    clock: Clock
    _items: dict[tuple[str, str], _StoredItem] = field(factory=dict)
    _digest: int | None = None
    _listeners: dict[str, Listeners] = field(factory=dict)

    @property
    def digest(self) -> int:
        """Return a digest of the items, equal where routers have the same ones."""
        if self._digest is None:
            self._digest = unordered_digest(
                [topic, key, stored.value] for (topic, key), stored in self._items.items()
            )
        return self._digest

    def subscribe(self, topic: str, received: Callable[[str, int], None]) -> None:
        """Call back with key and value of the items of a topic, known ones first."""
        self._listeners.setdefault(topic, Listeners(f"topic {topic}")).subscribe(received)
        for (name, key), stored in list(self._items.items()):
            if name == topic:
                received(key, stored.value)

    def announce(self, topic: str, key: str, value: int, until: float) -> bool:
        """Store an item of this router; false where it is not new or not accepted."""
        return self._put(topic, key, value, until)

    def receive(self, item: Item) -> bool:
        """Store an item of another router and notify listeners; false where it is not new."""
        until = self.clock.now() + item.tenths / TENTHS
        if not self._put(item.topic, item.key, item.value, until):
            return False
        if item.topic in self._listeners:
            self._listeners[item.topic].notify(item.key, item.value)
        return True

    def item(self, topic: str, key: str) -> Item | None:
        """Return an item in the form to send, ``None`` where it is unknown or about to expire."""
        stored = self._items.get((topic, key))
        if stored is None:
            return None
        tenths = int((stored.until - self.clock.now()) * TENTHS)
        return Item(topic, key, stored.value, tenths) if tenths >= MIN_TENTHS else None

    def keys(self) -> Iterable[tuple[str, str]]:
        """Return topic and key of all items."""
        return list(self._items)

    def expire(self) -> None:
        """Remove expired items."""
        now = self.clock.now()
        for name in [name for name, stored in self._items.items() if stored.until <= now]:
            del self._items[name]
            self._digest = None

    def _put(self, topic: str, key: str, value: int, until: float) -> bool:
        stored = self._items.get((topic, key))
        if stored is not None and stored.value >= value:
            return False
        full = stored is None and len(self._items) >= MAX_ITEMS
        if full or len(topic) + len(key) > MAX_NAME_CHARS:
            return False
        until = min(until, self.clock.now() + MAX_LIFETIME)
        self._items[topic, key] = _StoredItem(value, until)
        self._digest = None
        return True
