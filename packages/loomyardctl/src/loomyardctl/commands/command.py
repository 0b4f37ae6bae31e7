"""The protocol of a command."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import argparse

    from loomyardctl.context import Context
    from loomyardctl.exit_codes import ExitCode


class Command(Protocol):
    """A subcommand: a module with its ``NAME``, ``HELP`` and two functions."""

    NAME: str
    HELP: str

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the arguments."""

    def run(self, context: Context) -> ExitCode:
        """Run the command."""
