"""Rates of control traffic between routers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from loomyard_standins.benches.counter_snapshot import CounterSnapshot
    from loomyard_standins.benches.router_status import RouterStatus


def control_traffic_rates(before: CounterSnapshot, after: CounterSnapshot) -> dict[str, Any]:
    """Return per-second rates of control traffic between two counter snapshots."""
    seconds = after.at - before.at
    pairs = list(zip(before.statuses, after.statuses, strict=True))
    bytes_sent = [(b.control_bytes - a.control_bytes) / seconds for a, b in pairs]
    messages = [(b.control_messages - a.control_messages) / seconds for a, b in pairs]
    moved = sum(b.slots_moved - a.slots_moved for a, b in pairs)
    appends = sum(b.log_appends - a.log_appends for a, b in pairs)
    return {
        "bytes_per_s_mean": round(sum(bytes_sent) / len(pairs)),
        "bytes_per_s_busiest": round(max(bytes_sent)),
        "messages_per_s_mean": round(sum(messages) / len(pairs), 2),
        "messages_per_s_busiest": round(max(messages), 2),
        "slots_moved_per_s_per_router": round(moved / seconds / len(pairs), 2),
        "log_appends_per_s": round(appends / seconds, 3),
        "bytes_per_s_by_kind": _by_kind(pairs, seconds),
    }


def _by_kind(pairs: list[tuple[RouterStatus, RouterStatus]], seconds: float) -> dict[str, int]:
    kinds = sorted({kind for _, after in pairs for kind in after.kinds})
    return {
        kind: round(
            sum(b.kinds.get(kind, (0, 0))[1] - a.kinds.get(kind, (0, 0))[1] for a, b in pairs)
            / seconds
            / len(pairs)
        )
        for kind in kinds
    }
