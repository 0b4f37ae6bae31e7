"""Fairness gap: largest difference of weighted service between two backlogged accounts."""

from __future__ import annotations

from itertools import combinations

import numpy as np
from attrs import frozen


@frozen(kw_only=True)
class Gap:
    """Largest gap, in cost units divided by weight, and the positions of its two accounts."""

    units: float = 0.0
    accounts: tuple[int, int] = (0, 0)


def contender_gap(
    service: np.ndarray, backlog: np.ndarray, weights: np.ndarray, window: np.ndarray
) -> Gap:
    """Return the largest gap between two accounts backlogged on the same service.

    Shapes: ``service`` and ``backlog`` (account, service, bucket); ``weights`` (account,);
    ``window`` (bucket,).
    """
    gaps = [
        _largest_gap(
            service[:, s], weights, lambda i, j, s=s: backlog[i, s] & backlog[j, s], window
        )
        for s in range(service.shape[1])
    ]
    return max(gaps, key=lambda gap: gap.units)


def fleet_gap(
    service: np.ndarray, backlog: np.ndarray, weights: np.ndarray, window: np.ndarray
) -> Gap:
    """Return the largest gap in total service while two accounts share a backlogged service."""
    total = service.sum(axis=1)
    return _largest_gap(total, weights, lambda i, j: (backlog[i] & backlog[j]).any(axis=0), window)


def _largest_gap(
    service: np.ndarray, weights: np.ndarray, both_backlogged, window: np.ndarray
) -> Gap:
    zero = np.zeros((len(weights), 1))
    normalized_service = (
        np.concatenate([zero, np.cumsum(service, axis=1)], axis=1) / weights[:, None]
    )
    worst = Gap()
    for i, j in combinations(range(len(weights)), 2):
        difference = normalized_service[i] - normalized_service[j]
        for start, stop in true_ranges(both_backlogged(i, j) & window):
            span = difference[start : stop + 1]
            units = float(span.max() - span.min())
            if units > worst.units:
                worst = Gap(units=units, accounts=(i, j))
    return worst


def true_ranges(mask: np.ndarray) -> list[tuple[int, int]]:
    """Return the half-open index ranges of consecutive true values."""
    edges = np.flatnonzero(np.diff(np.concatenate([[False], mask, [False]]).astype(np.int8)))
    return list(zip(edges[::2].tolist(), edges[1::2].tolist(), strict=True))
