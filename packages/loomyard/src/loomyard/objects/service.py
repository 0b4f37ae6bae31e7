"""A service: what callers ask for by name."""

from __future__ import annotations

from enum import Enum
from typing import Any

from attrs import field, frozen, validators

from loomyard.objects.metadata import Metadata
from loomyard.objects.operation import Operation

MAX_UNITS = 1e9
_IN_UNITS: list[Any] = [validators.ge(0), validators.le(MAX_UNITS)]


class ServiceType(Enum):
    """How a service is called and how its cost is counted."""

    MODEL = "model"
    PLAIN = "plain"


@frozen(kw_only=True)
class Service:
    """A model service or a plain service.

    Cost is in units: for a model ``prompt_weight`` times prompt tokens plus
    ``completion_weight`` times generated tokens, for a plain service ``second_weight`` times
    seconds of target time. ``default_cost`` is the estimate, in units, where nothing is known.
    """

    metadata: Metadata
    type: ServiceType = ServiceType.MODEL
    prompt_weight: float = field(default=1.0, validator=_IN_UNITS)
    completion_weight: float = field(default=2.0, validator=_IN_UNITS)
    second_weight: float = field(default=1000.0, validator=_IN_UNITS)
    default_cost: float = field(
        default=500.0, validator=[validators.gt(0), validators.le(MAX_UNITS)]
    )
    operations: list[Operation] = field(factory=list)
