"""Fault events and random sequences of them."""

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
class FaultEvent:
    """A fault, or a planned stop where ``fault`` is ``None``.

    It affects the router with index ``victim``, at once or when that router next reaches a fault
    point starting with ``point``. After ``seconds``, ``heals`` removes all faults of the fleet.
    """

    fault: FaultKind | None
    victim: int
    point: str
    seconds: float
    heals: bool


def draw_sequence(rng: random.Random) -> list[FaultEvent]:
    """Draw a random sequence of fault events."""
    return [
        FaultEvent(
            fault=rng.choice([*FaultKind, None]),
            victim=rng.randrange(ROUTERS),
            point=rng.choice(POINTS),
            seconds=rng.choice(SECONDS),
            heals=rng.random() < 0.5,
        )
        for _ in range(rng.choice(LENGTHS))
    ]
