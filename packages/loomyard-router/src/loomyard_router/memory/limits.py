"""Limits on the memory and descriptors of this process."""

from __future__ import annotations

import resource
from contextlib import suppress
from pathlib import Path

from attrs import frozen

MEGABYTE = 1 << 20
CGROUP_FILES = ("/sys/fs/cgroup/memory.max", "/sys/fs/cgroup/memory/memory.limit_in_bytes")
# A larger number stands for no limit.
MAX_LIMIT = 1 << 50


@frozen(kw_only=True)
class Limits:
    """Limits that were found, memory in bytes; ``None`` where there is none."""

    address_space: int | None = None
    data: int | None = None
    cgroup: int | None = None
    descriptors: int | None = None

    @property
    def memory(self) -> int | None:
        """Return the least limit on memory."""
        return min(filter(None, (self.address_space, self.data, self.cgroup)), default=None)

    def least_megabytes(self, stated: float) -> float:
        """Return the least of these limits on memory and a stated one, in megabytes."""
        return stated if self.memory is None else min(stated, self.memory / MEGABYTE)

    def least_descriptors(self, stated: int) -> int:
        """Return the least of the limits on descriptors."""
        return stated if self.descriptors is None else min(stated, self.descriptors)


def read_limits() -> Limits:
    """Return the limits in force now."""
    return Limits(
        address_space=_soft(resource.RLIMIT_AS),
        data=_soft(resource.RLIMIT_DATA),
        cgroup=_read_cgroup(),
        descriptors=_soft(resource.RLIMIT_NOFILE),
    )


def limits_allocations() -> bool:
    """Tell whether a limit in force now makes allocations fail."""
    return _soft(resource.RLIMIT_AS) is not None or _soft(resource.RLIMIT_DATA) is not None


def _soft(kind: int) -> int | None:
    with suppress(OSError, ValueError):
        soft = resource.getrlimit(kind)[0]
        return soft if 0 <= soft < MAX_LIMIT else None
    return None


def _read_cgroup() -> int | None:
    for name in CGROUP_FILES:
        with suppress(OSError, ValueError):
            amount = int(Path(name).read_text(encoding="ascii"))
            return amount if 0 < amount < MAX_LIMIT else None
    return None
