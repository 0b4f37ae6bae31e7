"""Memory that this process uses."""

from __future__ import annotations

import resource
from contextlib import suppress
from pathlib import Path

from attrs import frozen


@frozen
class Usage:
    """Bytes of address space and of resident memory, 0 where the kernel does not tell."""

    address_space: int = 0
    resident: int = 0


def read_usage() -> Usage:
    """Return what the process uses now."""
    with suppress(OSError, ValueError, IndexError):
        pages = Path("/proc/self/statm").read_text(encoding="ascii").split()
        size = resource.getpagesize()
        return Usage(int(pages[0]) * size, int(pages[1]) * size)
    return Usage()
