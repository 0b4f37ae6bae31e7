"""Show what an apply would change."""

from __future__ import annotations

from difflib import unified_diff
from typing import TYPE_CHECKING, Any

import yaml

from loomyardctl.exit_codes import ExitCode
from loomyardctl.failures import report_failure
from loomyardctl.manifest_files import read_files, report_faults
from loomyardctl.output import OutputFormat, print_document
from loomyardctl.plan import make_plan

if TYPE_CHECKING:
    import argparse

    from loomyardctl.context import Context
    from loomyardctl.plan import PlannedPut

NAME = "diff"
HELP = "show what apply would change"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments."""
    parser.add_argument("files", nargs="+", help="manifest files, folders, or - for standard input")


def run(context: Context) -> ExitCode:
    """Print the differences between manifests and what is in force."""
    read = read_files(context.arguments.files)
    if read.is_err():
        report_faults(read.unwrap_err())
        return ExitCode.USAGE
    planned = make_plan(context.client, read.unwrap())
    if planned.is_err():
        return report_failure(planned.unwrap_err())
    plan = planned.unwrap()
    if context.output is not OutputFormat.TABLE:
        print_document([_document(put) for put in plan.puts], context.output)
        return ExitCode.OK
    for put in plan.puts:
        print(f"{put.action} {put.ref}")
        print("".join(_lines(put)), end="")
    print(f"{len(plan.puts)} to change, {len(plan.unchanged)} as they should be")
    return ExitCode.OK


def _document(put: PlannedPut) -> dict[str, Any]:
    return {
        "action": put.action,
        "based_on": put.based_on,
        "before": put.before,
        "after": put.after,
    }


def _lines(put: PlannedPut) -> list[str]:
    before = _text(put.before) if put.before is not None else []
    return list(unified_diff(before, _text(put.after), "in force", "manifest"))


def _text(item: dict[str, Any]) -> list[str]:
    return yaml.safe_dump(item, sort_keys=True).splitlines(keepends=True)
