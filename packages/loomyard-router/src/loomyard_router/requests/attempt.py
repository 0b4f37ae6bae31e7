"""An attempt at a target whose answer has begun."""

from __future__ import annotations

from attrs import define

from loomyard.external.engine import TargetAnswer, TargetCall
from loomyard_router.requests.settlement import Settlement


@define(kw_only=True, eq=False)
class Attempt:
    """An attempt and its answer; ``first`` is the part of the body read so far."""

    number: int
    target: str
    call: TargetCall
    answer: TargetAnswer
    settlement: Settlement
    first: bytes = b""
