"""Trace of a run as callers see it: service received over time, and all requests."""

from __future__ import annotations

import time

import numpy as np
from attrs import define

BUCKET_SECONDS = 0.01


@define(eq=False)
class Wait:
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
        self.waits: list[Wait] = []
        self.events = 0

    def send(self, account: int, service: int) -> Wait:
        """Record that a request was sent now."""
        wait = Wait(account, service, time.monotonic())
        self.waits.append(wait)
        return wait

    def add(self, wait: Wait, units: float) -> None:
        """Record that a request received ``units`` of service now."""
        now = time.monotonic()
        if wait.served is None:
            wait.served = now
        bucket = self._bucket(now)
        if 0 <= bucket < self.buckets:
            self.service[wait.account, wait.service, bucket] += units

    def add_spread(self, wait: Wait, units: float, seconds: float) -> None:
        """Record service received evenly over the last ``seconds``."""
        now = time.monotonic()
        wait.served = max(wait.sent, now - seconds)
        first, last = self._bucket(wait.served), self._bucket(now)
        share = units / (last - first + 1)
        first, last = max(0, first), min(self.buckets - 1, last)
        self.service[wait.account, wait.service, first : last + 1] += share

    def refuse(self, wait: Wait) -> None:
        """Record that a request was refused, which leaves it out of the backlog."""
        wait.refused = True
        wait.served = wait.sent

    def backlog(self) -> np.ndarray:
        """Return a mask (account, service, bucket): a request waited during the whole bucket."""
        accounts, services, _ = self.service.shape
        whole = np.zeros((accounts, services, self.buckets), dtype=bool)
        after_end = self.started + (self.buckets + 1) * BUCKET_SECONDS
        spans: dict[tuple[int, int], list[tuple[float, float]]] = {}
        for wait in self.waits:
            served = after_end if wait.served is None else wait.served
            spans.setdefault((wait.account, wait.service), []).append((wait.sent, served))
        for (account, service), pairs in spans.items():
            for first, last in _union(pairs):
                start = int(np.ceil((first - self.started) / BUCKET_SECONDS))
                stop = int((last - self.started) / BUCKET_SECONDS)
                whole[account, service, max(0, start) : max(0, stop)] = True
        return whole

    def _bucket(self, at: float) -> int:
        return int((at - self.started) / BUCKET_SECONDS)


def _union(pairs: list[tuple[float, float]]) -> list[tuple[float, float]]:
    joined: list[tuple[float, float]] = []
    for first, last in sorted(pairs):
        if joined and first <= joined[-1][1]:
            joined[-1] = (joined[-1][0], max(joined[-1][1], last))
        else:
            joined.append((first, last))
    return joined
