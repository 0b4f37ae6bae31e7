"""Memory and CPU time of this process."""

from __future__ import annotations

import gc
import os
import time
from pathlib import Path

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes() -> int:
    """Return the resident memory in bytes after a garbage collection."""
    gc.collect()
    pages = Path("/proc/self/statm").read_text().split()[1]
    return int(pages) * PAGE_BYTES


def cpu_seconds() -> float:
    """Return the CPU time that this process has used, in seconds."""
    return time.process_time()
