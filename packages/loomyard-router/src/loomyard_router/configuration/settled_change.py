"""A change whose verdict is known."""

from __future__ import annotations

from attrs import frozen

from loomyard.configuration import Decision


@frozen(kw_only=True)
class SettledChange:
    """A change at its offset of the log, and what was decided."""

    change_id: str
    offset: int
    decision: Decision
