"""Exit codes of ``loomyardctl``."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit code; ``UNSETTLED`` means that the outcome of a change is not known."""

    OK = 0
    FAILED = 1
    USAGE = 2
    UNREACHABLE = 3
    UNSETTLED = 4
