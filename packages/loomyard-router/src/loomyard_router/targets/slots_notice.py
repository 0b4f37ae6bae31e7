"""What the router that polls a target found, as it goes between routers."""

from __future__ import annotations

from attrs import field, frozen


@frozen(kw_only=True)
class SlotsNotice:
    """The greater ``sequence`` is the newer; ``models`` are loaded now, where that can change."""

    sequence: int
    slots: int
    models: list[str] = field(factory=list)
