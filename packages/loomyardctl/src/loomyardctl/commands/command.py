"""The protocol of a subcommand."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import argparse

    from loomyardctl.context import Context
    from loomyardctl.exit_codes import ExitCode


class Command(Protocol):
    """A module of a subcommand with ``NAME``, ``HELP`` and two functions."""

    NAME: str
    HELP: str

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of the command to its parser."""

    def run(self, context: Context) -> ExitCode:
        """Run the command and return its exit code."""
