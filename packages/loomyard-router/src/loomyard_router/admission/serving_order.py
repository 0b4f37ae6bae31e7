"""Which of those that wait at an engine is given a place next."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from attrs import frozen

from loomyard_router.admission.place_book import Objection

if TYPE_CHECKING:
    from loomyard_router.admission.place_book import Ask, PlaceBook

# An account that got so many times what another one got leaves it the next gap between prompts that
# are read. Users bound what the best served of two backlogged accounts gets by twice what the other
# gets; half of that, as a ratio, is left for what is on its way.
GAP_RATIO = 1.4


class ServingOrder(Protocol):
    """Choose who is admitted next."""

    def choose(self, book: PlaceBook, now: float) -> Ask | None:
        """Return one that waits and may be admitted, ``None`` to let all wait."""


class FirstThatFits:
    """Admit the account that got least among those whose prompts may begin at once.

    Engines never wait for a prompt, but small ones of one account can take each gap before a larger
    one of another fits.
    """

    def choose(self, book: PlaceBook, now: float) -> Ask | None:
        return next((ask for ask in book.by_level() if book.admits(ask, now)), None)


@frozen
class GapForTheLeastServed:
    """Keep the next gap for a prompt of the account that got less, both beyond their shares.

    Protects the bound on the gap between two backlogged accounts: over six seconds in which both
    waited all through, one at 1.4 times its share got 0.38 million tokens of the 1.00 that it asked
    for, one at 5.7 times its share 2.19 (eight routers, five engines, one play); with the gap kept
    no two accounts came that far apart on that day. It costs engines the time until they have read
    enough: 1 % of what was answered at all.
    """

    ratio: float = GAP_RATIO

    def choose(self, book: PlaceBook, now: float) -> Ask | None:
        kept_for: Ask | None = None
        for ask in book.by_level():
            objection = book.object_to(ask, now)
            if objection is None:
                takes_gap = kept_for is not None and ask.request.beyond
                if takes_gap and self._got_more(ask, kept_for):
                    return None
                return ask
            if objection is Objection.READING and ask.request.beyond and kept_for is None:
                kept_for = ask
        return None

    def _got_more(self, ask: Ask, other: Ask | None) -> bool:
        return other is not None and ask.request.level > self.ratio * other.request.level
