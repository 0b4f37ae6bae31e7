"""Metrics of a simulation run of a share policy."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True)
class PolicyMetrics:
    """Metrics of one run; the field names are the JSON keys that ``share_rounds`` prints.

    ``gap``: largest change of the difference of normalized service (tokens divided by weight)
    between two accounts while both had a backlog. ``utilisation``: percentage of the slots in use
    among engines with waiting requests. ``messages`` and ``bytes``: sent per second, mean of the
    routers; ``busiest_*``: maximum of the routers. ``excess``: longest queue at an engine.
    """

    policy: str
    gap: float
    utilisation: float
    messages: float
    bytes: float
    busiest_messages: float
    busiest_bytes: float
    excess: int
