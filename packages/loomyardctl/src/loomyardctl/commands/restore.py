"""The subcommand ``restore``, for a fleet whose log service lost the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard.codec import DOCUMENT_CODEC
from loomyard.objects import ConfigObject
from loomyardctl.exit_codes import ExitCode
from loomyardctl.failure_report import report_failure
from loomyardctl.manifest_files import read_files, report_faults
from loomyardctl.publishing import report_outcome

if TYPE_CHECKING:
    import argparse

    from loomyardctl.context import Context

NAME = "restore"
HELP = "restore the configuration after the log service lost it"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command to its parser."""
    parser.add_argument("files", nargs="+", help="manifests of all objects")


def run(context: Context) -> ExitCode:
    """Restore all objects; refused while any reachable router has a configuration."""
    read = read_files(context.arguments.files)
    if read.is_err():
        report_faults(read.unwrap_err())
        return ExitCode.USAGE
    objects = [
        DOCUMENT_CODEC.unstructure(manifest.object, unstructure_as=ConfigObject)
        for manifest in read.unwrap()
    ]
    answered = context.client.post("restore", {"objects": objects})
    if answered.is_err():
        return report_failure(answered.unwrap_err())
    reply = answered.unwrap()
    return (
        report_failure(reply) if reply.code is not None else report_outcome(context, reply.document)
    )
