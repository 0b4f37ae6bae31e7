"""Measured phases of requests."""

from __future__ import annotations

from enum import Enum


class Phase(Enum):
    """A phase of a request whose duration is measured by client account and service."""

    QUEUE = "queue"
    FIRST_TOKEN = "first_token"
    BETWEEN_TOKENS = "between_tokens"
    TOTAL = "total"
