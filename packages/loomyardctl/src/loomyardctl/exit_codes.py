"""Exit codes of the command."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """How a command ended."""

    OK = 0
    FAILED = 1
    USAGE = 2
    UNREACHABLE = 3
    UNSETTLED = 4
