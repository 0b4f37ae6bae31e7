"""The cost of a request in units of its service."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loomyard.objects import Service


def token_cost(service: Service, *, prompt: int, completion: int) -> float:
    """Return the cost of prompt and completion tokens."""
    return service.prompt_weight * prompt + service.completion_weight * completion


def time_cost(service: Service, seconds: float) -> float:
    """Return the cost of some seconds of target time."""
    return service.second_weight * seconds
