"""A change of the configuration that was read from the log."""

from __future__ import annotations

from attrs import frozen

from loomyard.configuration import Decision


@frozen(kw_only=True)
class SettledChange:
    """The offset of a change in the log and the decision on it."""

    change_id: str
    offset: int
    decision: Decision
