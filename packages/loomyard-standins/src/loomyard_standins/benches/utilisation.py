"""Slot utilisation: fraction of slots busy while requests wait for them."""

from __future__ import annotations

import numpy as np
from attrs import frozen

from loomyard_standins.benches.trace import BUCKET_SECONDS


@frozen(kw_only=True)
class ServiceLoad:
    """Slots of a service, and its cumulative busy slot-seconds at each bucket edge."""

    slots: int
    busy: np.ndarray


def busy_at_edges(changes: list[tuple[float, int]], started: float, buckets: int) -> np.ndarray:
    """Return the integral of the busy slots up to each bucket edge, in slot-seconds."""
    times = np.array([at for at, _ in changes])
    counts = np.array([count for _, count in changes], dtype=float)
    edges = started + np.arange(buckets + 1) * BUCKET_SECONDS
    times = np.append(times, max(edges[-1], times[-1]))
    integral = np.concatenate([[0.0], np.cumsum(counts * np.diff(times))])
    return np.interp(edges, times, integral)


def utilisation(loads: list[ServiceLoad], backlog: np.ndarray, window: np.ndarray) -> float:
    """Return busy over available slot-seconds, counting buckets with a backlog only (else 1).

    Shapes: ``backlog`` (account, service, bucket); ``window`` (bucket,).
    """
    busy = available = 0.0
    for number, load in enumerate(loads):
        waiting = backlog[:, number].any(axis=0) & window
        busy += np.diff(load.busy)[waiting].sum()
        available += load.slots * BUCKET_SECONDS * waiting.sum()
    return float(busy / available) if available else 1.0
