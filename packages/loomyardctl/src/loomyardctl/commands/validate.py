"""The subcommand ``validate``, which checks manifests offline."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok

from loomyardctl.exit_codes import ExitCode
from loomyardctl.manifest_files import read_files, report_faults

if TYPE_CHECKING:
    import argparse

    from loomyardctl.context import Context

NAME = "validate"
HELP = "check manifests without a connection to the fleet"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command to its parser."""
    parser.add_argument("files", nargs="+", help="manifest files, folders, or - for standard input")


def run(context: Context) -> ExitCode:
    """Validate manifests and print every fault with file, object and field."""
    match read_files(context.arguments.files):
        case Ok(manifests):
            print(f"{len(manifests)} objects are valid")
            return ExitCode.OK
        case Err(faults):
            report_faults(faults)
    return ExitCode.USAGE
