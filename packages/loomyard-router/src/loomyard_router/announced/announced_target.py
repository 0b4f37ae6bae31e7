"""A target that announced itself."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True)
class AnnouncedTarget:
    """One life of a target: ``id`` is new at each start, ``address`` is ``host:port``."""

    id: str
    service: str
    address: str
    data_centre: str = ""
    slots: int = 1
    draining: bool = False
