"""Model of which prompt prefixes an engine has cached."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Iterable

# Engines evict the least recently used parts; no more than this many are assumed to be cached.
MAX_PARTS = 2048


@define(eq=False)
class PrefixCacheModel:
    """Least recently used cache of the prompt parts that were sent to an engine.

    A part saves reading only if all parts before it are cached as well.
    """

    _parts: OrderedDict[str, int] = field(factory=OrderedDict)

    def cached_tokens(self, parts: Iterable[tuple[str, int]]) -> int:
        """Return how many tokens of a prompt are cached; ``parts`` are pairs of id and tokens."""
        tokens = 0
        for part, size in parts:
            if part not in self._parts:
                break
            tokens += size
        return tokens

    def record_use(self, parts: Iterable[tuple[str, int]]) -> None:
        """Record that the engine reads a prompt with these parts."""
        for part, size in parts:
            self._parts[part] = size
            self._parts.move_to_end(part)
        while len(self._parts) > MAX_PARTS:
            self._parts.popitem(last=False)
