"""Parts of a request's time."""

from __future__ import annotations

from enum import Enum


class Phase(Enum):
    """A part of a request's time that is measured for each client account and service."""

    QUEUE = "queue"
    FIRST_TOKEN = "first_token"
    BETWEEN_TOKENS = "between_tokens"
    TOTAL = "total"
