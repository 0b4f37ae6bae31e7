"""Which shared parts of prompts an engine keeps, by what was sent to it."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Iterable

# An engine forgets the parts that were longest unused; beyond this many none is relied upon.
MOST_PARTS = 2048


@define(eq=False)
class PromptMemory:
    """The parts used last; a part is of use only if all parts before it are kept as well."""

    _parts: OrderedDict[str, int] = field(factory=OrderedDict)

    def kept(self, parts: Iterable[tuple[str, int]]) -> int:
        """Return how many tokens of a prompt need not be read."""
        tokens = 0
        for part, size in parts:
            if part not in self._parts:
                break
            tokens += size
        return tokens

    def use(self, parts: Iterable[tuple[str, int]]) -> None:
        """Take in that a prompt is read."""
        for part, size in parts:
            self._parts[part] = size
            self._parts.move_to_end(part)
        while len(self._parts) > MOST_PARTS:
            self._parts.popitem(last=False)
