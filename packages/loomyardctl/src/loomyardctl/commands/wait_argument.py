"""The argument ``--wait`` of commands that publish changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import argparse

DEFAULT_WAIT_SECONDS = 5.0


def add_wait_argument(parser: argparse.ArgumentParser) -> None:
    """Add ``--wait``, the seconds to wait until the change is in force, to a parser."""
    parser.add_argument(
        "--wait",
        type=float,
        default=DEFAULT_WAIT_SECONDS,
        metavar="SECONDS",
        help="how long to wait until all routers have the change"
        f" (default: {DEFAULT_WAIT_SECONDS:g})",
    )
