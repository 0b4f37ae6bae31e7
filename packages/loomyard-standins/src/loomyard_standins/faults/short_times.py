"""Proportionally shortened timings, in seconds, of orders and configuration snapshots."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard_router.configuration import snapshot_writer
from loomyard_router.orders import (
    order_controller,
    order_lease_manager,
    order_planner,
    order_sender,
)

if TYPE_CHECKING:
    from types import ModuleType

SHORT_RETENTION_SECONDS = 8.0
SHORT_TIMES: dict[ModuleType, dict[str, float]] = {
    snapshot_writer: {"CHECK_SECONDS": 1.0},
    order_controller: {"STEP_SECONDS": 0.2},
    order_lease_manager: {"TERM": 2.0, "RENEW_AFTER": 0.6, "MARGIN": 0.4, "TAKEOVER_AFTER": 2.5},
    order_planner: {"BACKLOG_SECONDS": 1.0, "IDLE_SECONDS": 1.0, "DWELL_SECONDS": 2.0},
    order_sender: {"ORDER_SECONDS": 0.6, "LOAD_SECONDS": 2.0, "RETRY_SECONDS": 0.4},
}
