"""The protocol of what is measured against a size."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from loomyard_standins.benches.slopes.sample import Sample


class Probe(Protocol):
    """Measure one size in a process of its own."""

    @property
    def sizes(self) -> tuple[int, ...]:
        """Return the sizes to measure, four or more."""

    def measure(self, size: int) -> Sample:
        """Build the size and measure it."""
