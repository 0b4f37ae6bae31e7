"""CPU idle time of the host that runs a benchmark."""

from __future__ import annotations

import os

IDLE_FIELD = 4


def idle_core_seconds() -> float:
    """Return the idle seconds since boot, summed over all cores."""
    with open("/proc/stat") as file:
        return int(file.readline().split()[IDLE_FIELD]) / os.sysconf("SC_CLK_TCK")
