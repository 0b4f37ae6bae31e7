"""A random number generator that is always seeded."""

from __future__ import annotations

import random

SEED = 7


class SeededRandom(random.Random):
    """Draw the same numbers each time where no seed is given."""

    def __init__(self, seed: object = None) -> None:
        super().__init__(SEED if seed is None else seed)  # type: ignore[arg-type]
