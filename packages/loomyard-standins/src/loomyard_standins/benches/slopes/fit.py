"""Least-squares fit of a straight line."""

from __future__ import annotations

from typing import TYPE_CHECKING

import numpy
from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Sequence

    from loomyard_standins.benches.slopes.sample import Sample


@frozen(kw_only=True)
class Fit:
    """A straight line, and its largest residual relative to the largest value measured."""

    intercept: float
    slope: float
    residual: float


def fit_line(samples: Sequence[Sample], quantity: str) -> Fit:
    """Fit one quantity against the size by least squares."""
    sizes = numpy.array([sample.size for sample in samples], dtype=float)
    values = numpy.array([sample.quantities[quantity] for sample in samples], dtype=float)
    slope, intercept = numpy.polyfit(sizes, values, 1)
    errors = numpy.abs(values - (intercept + slope * sizes))
    largest = float(numpy.abs(values).max()) or 1.0
    return Fit(
        intercept=float(intercept),
        slope=float(slope),
        residual=float(errors.max()) / largest,
    )
