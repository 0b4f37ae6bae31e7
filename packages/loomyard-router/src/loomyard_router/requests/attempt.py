"""One attempt at one target, once it is answered."""

from __future__ import annotations

from attrs import define

from loomyard.outside.engine import TargetAnswer, TargetCall
from loomyard_router.requests.settlement import Settlement


@define(kw_only=True, eq=False)
class Attempt:
    """An attempt whose answer has begun; ``first`` is the part of the body read so far."""

    number: int
    target: str
    call: TargetCall
    answer: TargetAnswer
    settlement: Settlement
    first: bytes = b""
