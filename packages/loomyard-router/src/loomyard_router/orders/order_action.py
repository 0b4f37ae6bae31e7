"""What an engine may be ordered to do."""

from __future__ import annotations

from enum import StrEnum


class OrderAction(StrEnum):
    """The actions; the subject is a model, an adapter with its version, or a role."""

    LOAD = "load"
    UNLOAD = "unload"
    SET_ROLE = "role"
