"""Protocol of the probes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from loomyard_standins.benches.slopes.sample import Sample


class Probe(Protocol):
    """A measurement at several sizes, each in a process of its own."""

    @property
    def sizes(self) -> tuple[int, ...]:
        """Return the sizes to measure, four or more."""

    def measure(self, size: int) -> Sample:
        """Build what is measured at a size and measure it."""
