"""The subcommand ``delete``, which deletes objects."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from attrs import asdict

from loomyardctl.commands.references import parse_ref
from loomyardctl.commands.wait_argument import add_wait_argument
from loomyardctl.exit_codes import ExitCode
from loomyardctl.failure_report import report_failure
from loomyardctl.plan import fetch_objects
from loomyardctl.publishing import publish, report_outcome

if TYPE_CHECKING:
    import argparse

    from loomyardctl.context import Context

NAME = "delete"
HELP = "delete objects, all or none"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command to its parser."""
    parser.add_argument("refs", nargs="+", type=parse_ref, metavar="KIND/NAME")
    parser.add_argument(
        "--based-on",
        type=int,
        metavar="VERSION",
        help="delete only this version (default: the version in force)",
    )
    add_wait_argument(parser)


def run(context: Context) -> ExitCode:
    """Delete objects in one change; fail without a change if any of them does not exist."""
    refs, based_on = context.arguments.refs, context.arguments.based_on
    found = fetch_objects(context.client, refs)
    if found.is_err():
        return report_failure(found.unwrap_err())
    entries = found.unwrap()
    missing = [ref for ref in refs if ref not in entries]
    for ref in missing:
        print(f"there is no {ref}", file=sys.stderr)
    if missing:
        return ExitCode.FAILED
    deletions = [
        {
            "ref": asdict(ref),
            "based_on": entries[ref]["version"] if based_on is None else based_on,
        }
        for ref in refs
    ]
    published = publish(context, puts=[], deletions=deletions)
    if published.is_err():
        return report_failure(published.unwrap_err())
    return report_outcome(context, published.unwrap())
