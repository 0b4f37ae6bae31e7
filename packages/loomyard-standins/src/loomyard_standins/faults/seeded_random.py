"""A random number generator that is always seeded."""

from __future__ import annotations

import random

SEED = 7


class SeededRandom(random.Random):
    """Generator with a fixed seed by default, so that runs are reproducible."""

    def __init__(self, seed: object = None) -> None:
        super().__init__(SEED if seed is None else seed)  # type: ignore[arg-type]
