"""The subcommand ``targets``, which prints the targets as one router sees them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyardctl.exit_codes import ExitCode
from loomyardctl.failure_report import report_failure
from loomyardctl.output import OutputFormat, print_document, print_table

if TYPE_CHECKING:
    import argparse

    from loomyardctl.context import Context

NAME = "targets"
HELP = "show the targets as one router sees them: which get new work, and why not"
HEAD = ["TARGET", "STANDING", "SLOTS", "CONFIGURED", "LOADED"]


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command to its parser."""


def run(context: Context) -> ExitCode:
    """Print standing, slots and loaded services of each target."""
    answered = context.client.get("targets")
    if answered.is_err():
        return report_failure(answered.unwrap_err())
    reply = answered.unwrap()
    if not reply.ok:
        return report_failure(reply)
    if context.output is not OutputFormat.TABLE:
        print_document(reply.document, context.output)
        return ExitCode.OK
    rows = [
        [
            target["name"],
            target["standing"],
            target["slots"],
            target["configured_slots"],
            ",".join(target.get("loaded", [])) or "-",
        ]
        for target in reply.document.get("targets", [])
    ]
    print_table(HEAD, rows)
    return ExitCode.OK
