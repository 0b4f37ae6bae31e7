"""Trace of a run as callers see it: service received over time, and all requests."""

from __future__ import annotations

import time

import numpy as np
from attrs import define

BUCKET_SECONDS = 0.01


@define(eq=False)
class TracedRequest:
    """A request; ``served`` is the time of its first service, ``account`` a position."""

    account: int
    service: int
    sent: float
    served: float | None = None
    refused: bool = False


class Trace:
    """Service in cost units, of shape (account, service, bucket); times are monotonic."""

    def __init__(self, *, accounts: int, services: int, seconds: float) -> None:
        self.started = time.monotonic()
        self.buckets = round(seconds / BUCKET_SECONDS)
        self.service = np.zeros((accounts, services, self.buckets))
        self.requests: list[TracedRequest] = []
        self.events = 0

    def record_sent(self, account: int, service: int) -> TracedRequest:
        """Record that a request was sent now."""
        request = TracedRequest(account, service, time.monotonic())
        self.requests.append(request)
        return request

    def record_service(self, request: TracedRequest, units: float) -> None:
        """Record that a request received ``units`` of service now."""
        now = time.monotonic()
        if request.served is None:
            request.served = now
        bucket = self._bucket(now)
        if 0 <= bucket < self.buckets:
            self.service[request.account, request.service, bucket] += units

    def record_service_over(self, request: TracedRequest, units: float, seconds: float) -> None:
        """Record service received evenly over the last ``seconds``."""
        now = time.monotonic()
        request.served = max(request.sent, now - seconds)
        first, last = self._bucket(request.served), self._bucket(now)
        share = units / (last - first + 1)
        first, last = max(0, first), min(self.buckets - 1, last)
        self.service[request.account, request.service, first : last + 1] += share

    def record_refusal(self, request: TracedRequest) -> None:
        """Record that a request was refused, which leaves it out of the backlog."""
        request.refused = True
        request.served = request.sent

    def backlog(self) -> np.ndarray:
        """Return a mask (account, service, bucket): a request waited during the whole bucket."""
        accounts, services, _ = self.service.shape
        covered = np.zeros((accounts, services, self.buckets), dtype=bool)
        after_end = self.started + (self.buckets + 1) * BUCKET_SECONDS
        intervals_by_queue: dict[tuple[int, int], list[tuple[float, float]]] = {}
        for request in self.requests:
            served = after_end if request.served is None else request.served
            intervals_by_queue.setdefault((request.account, request.service), []).append(
                (request.sent, served)
            )
        for (account, service), intervals in intervals_by_queue.items():
            for first, last in _merge_intervals(intervals):
                start = int(np.ceil((first - self.started) / BUCKET_SECONDS))
                stop = int((last - self.started) / BUCKET_SECONDS)
                covered[account, service, max(0, start) : max(0, stop)] = True
        return covered

    def _bucket(self, at: float) -> int:
        return int((at - self.started) / BUCKET_SECONDS)


def _merge_intervals(intervals: list[tuple[float, float]]) -> list[tuple[float, float]]:
    merged: list[tuple[float, float]] = []
    for first, last in sorted(intervals):
        if merged and first <= merged[-1][1]:
            merged[-1] = (merged[-1][0], max(merged[-1][1], last))
        else:
            merged.append((first, last))
    return merged
