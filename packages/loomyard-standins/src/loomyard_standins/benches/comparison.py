"""Comparison of one share policy with the others of the same run."""

from __future__ import annotations

from typing import Any

from loomyard_standins.benches.timeline import Phase
from loomyard_standins.benches.window_figures import round_figure

WINDOWS = (*(phase.value for phase in Phase), "whole")
GAP = "gap_one_service"


def compare(figures: dict[str, Any], policy: str) -> dict[str, Any]:
    """Return the ratios of gap and utilisation to each other policy, for each window."""
    own = figures[policy]
    return {
        window: _compare_window(
            own[window],
            {name: found[window] for name, found in figures.items() if name != policy},
        )
        for window in WINDOWS
        if window in own
    }


def make_table(figures: dict[str, Any]) -> str:
    """Return a text table of gap and utilisation of each window and policy."""
    lines = [f"{'gap in units over weight, utilisation':30}" + "".join(f"{p:>18}" for p in figures)]
    first = next(iter(figures.values()))
    for window in WINDOWS:
        if window in first:
            lines.append(_line(window, [found[window] for found in figures.values()]))
        if "settled" in first.get(window, {}):
            settled = [found[window]["settled"] for found in figures.values()]
            lines.append(_line("  from 2 s on", settled))
    return "\n".join(lines)


def _line(name: str, cells: list[dict[str, Any]]) -> str:
    texts = (f"{c[GAP]['units']:10} {c['utilisation_percent']:5.1f} %" for c in cells)
    return f"{name:30}" + "".join(f"{text:>18}" for text in texts)


def _compare_window(own: dict[str, Any], others: dict[str, dict[str, Any]]) -> dict[str, Any]:
    return {
        name: {
            "gap_ratio": round_figure(own[GAP]["units"] / max(1, found[GAP]["units"])),
            "utilisation_ratio": round_figure(
                own["utilisation_percent"] / max(1.0, found["utilisation_percent"])
            ),
        }
        for name, found in others.items()
    }
