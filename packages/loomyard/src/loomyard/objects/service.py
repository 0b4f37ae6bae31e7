"""The service object: a model or plain service that callers request by name."""

from __future__ import annotations

from enum import Enum
from typing import Any

from attrs import field, frozen, validators

from loomyard.objects.metadata import Metadata
from loomyard.objects.operation import Operation

MAX_UNITS = 1e9
_COST_VALIDATORS: list[Any] = [validators.ge(0), validators.le(MAX_UNITS)]


class ServiceType(Enum):
    """Whether a service is a model on engines or a plain HTTP service."""

    MODEL = "model"
    PLAIN = "plain"


@frozen(kw_only=True)
class Service:
    """A model service or a plain service.

    Cost is in units: for a model ``prompt_weight`` times prompt tokens plus
    ``completion_weight`` times generated tokens, for a plain service ``second_weight`` times
    seconds of target time. ``default_cost`` is the estimate, in units, while no costs are known.
    """

    metadata: Metadata
    type: ServiceType = ServiceType.MODEL
    prompt_weight: float = field(default=1.0, validator=_COST_VALIDATORS)
    completion_weight: float = field(default=2.0, validator=_COST_VALIDATORS)
    second_weight: float = field(default=1000.0, validator=_COST_VALIDATORS)
    default_cost: float = field(
        default=500.0, validator=[validators.gt(0), validators.le(MAX_UNITS)]
    )
    operations: list[Operation] = field(factory=list)
