"""How long a command waits for the routers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import argparse

DEFAULT_WAIT = 5.0


def add_wait(parser: argparse.ArgumentParser) -> None:
    """Declare ``--wait``."""
    parser.add_argument(
        "--wait",
        type=float,
        default=DEFAULT_WAIT,
        metavar="SECONDS",
        help=f"how long to wait until all routers have the change (default: {DEFAULT_WAIT:g})",
    )
