"""One thing that happens to a fleet in a drawn sequence."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from loomyard_standins.faults.fault_kind import FaultKind

if TYPE_CHECKING:
    import random

NOW = ""
POINTS = (
    NOW,
    "request.received",
    "engine.open",
    "engine.opened",
    "engine.read",
    "engine.ended",
    "engine.load",
    "log.append ",
    "log.appended ",
    "log.answered loomyard.configuration",
    "peer.send",
    "peer.receive",
    "peer.request",
)
SECONDS = (0.2, 0.6, 1.2, 2.4, 4.0)
ROUTERS = 3
LENGTHS = (2, 2, 2, 3, 3, 4, 5)


@frozen
class Happening:
    """A fault, or a planned stop where ``fault`` is ``None``.

    It strikes the router ``victim`` at once or when that router reaches ``point`` next, and lasts
    for some seconds; with ``heals`` everything is mended then.
    """

    fault: FaultKind | None
    victim: int
    point: str
    seconds: float
    heals: bool


def draw_sequence(source: random.Random) -> list[Happening]:
    """Draw a sequence."""
    return [
        Happening(
            fault=source.choice([*FaultKind, None]),
            victim=source.randrange(ROUTERS),
            point=source.choice(POINTS),
            seconds=source.choice(SECONDS),
            heals=source.random() < 0.5,
        )
        for _ in range(source.choice(LENGTHS))
    ]
