"""A measured point of a probe."""

from __future__ import annotations

from attrs import field, frozen


@frozen(kw_only=True)
class Sample:
    """A size and the values measured at it, by quantity.

    The name of a quantity ends in its unit: ``rss_bytes``, ``cpu_seconds``, ``sent_bytes``.
    """

    size: int
    quantities: dict[str, float] = field(factory=dict)
