"""The machine under a bench."""

from __future__ import annotations

import os

IDLE_FIELD = 4


def idle_core_seconds() -> float:
    """Return the seconds that all cores together were idle since the machine started."""
    with open("/proc/stat") as file:
        return int(file.readline().split()[IDLE_FIELD]) / os.sysconf("SC_CLK_TCK")
