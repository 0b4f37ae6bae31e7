"""Comparison of one share policy with the others of the same run."""

from __future__ import annotations

from typing import Any

from loomyard_standins.benches.timeline import Phase
from loomyard_standins.benches.window_metrics import round_significant

WINDOWS = (*(phase.value for phase in Phase), "whole")
GAP = "gap_one_service"


def compare(metrics: dict[str, Any], policy: str) -> dict[str, Any]:
    """Return the ratios of gap and utilisation to each other policy, for each window."""
    own = metrics[policy]
    return {
        window: _compare_window(
            own[window],
            {name: other[window] for name, other in metrics.items() if name != policy},
        )
        for window in WINDOWS
        if window in own
    }


def make_table(metrics: dict[str, Any]) -> str:
    """Return a text table of gap and utilisation of each window and policy."""
    lines = [f"{'gap in units over weight, utilisation':30}" + "".join(f"{p:>18}" for p in metrics)]
    first_policy_metrics = next(iter(metrics.values()))
    for window in WINDOWS:
        if window in first_policy_metrics:
            lines.append(_format_line(window, [other[window] for other in metrics.values()]))
        if "settled" in first_policy_metrics.get(window, {}):
            settled = [other[window]["settled"] for other in metrics.values()]
            lines.append(_format_line("  from 2 s on", settled))
    return "\n".join(lines)


def _format_line(name: str, cells: list[dict[str, Any]]) -> str:
    texts = (f"{c[GAP]['units']:10} {c['utilisation_percent']:5.1f} %" for c in cells)
    return f"{name:30}" + "".join(f"{text:>18}" for text in texts)


def _compare_window(own: dict[str, Any], others: dict[str, dict[str, Any]]) -> dict[str, Any]:
    return {
        name: {
            "gap_ratio": round_significant(own[GAP]["units"] / max(1, other[GAP]["units"])),
            "utilisation_ratio": round_significant(
                own["utilisation_percent"] / max(1.0, other["utilisation_percent"])
            ),
        }
        for name, other in others.items()
    }
