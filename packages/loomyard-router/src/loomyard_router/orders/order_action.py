"""Actions that an engine can be ordered to take."""

from __future__ import annotations

from enum import StrEnum


class OrderAction(StrEnum):
    """Action of an order; its subject is a model, an adapter with its version, or a role."""

    LOAD = "load"
    UNLOAD = "unload"
    SET_ROLE = "role"
