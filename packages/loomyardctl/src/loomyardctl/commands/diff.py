"""The subcommand ``diff``, which shows what ``apply`` would change."""

from __future__ import annotations

from difflib import unified_diff
from typing import TYPE_CHECKING, Any

import yaml

from loomyardctl.exit_codes import ExitCode
from loomyardctl.failure_report import report_failure
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
    """Add the arguments of the command to its parser."""
    parser.add_argument("files", nargs="+", help="manifest files, folders, or - for standard input")


def run(context: Context) -> ExitCode:
    """Print the differences between manifests and the objects in force."""
    read = read_files(context.arguments.files)
    if read.is_err():
        report_faults(read.unwrap_err())
        return ExitCode.USAGE
    planned = make_plan(context.client, read.unwrap())
    if planned.is_err():
        return report_failure(planned.unwrap_err())
    plan = planned.unwrap()
    if context.output is not OutputFormat.TABLE:
        print_document([_to_document(put) for put in plan.puts], context.output)
        return ExitCode.OK
    for put in plan.puts:
        print(f"{put.action} {put.ref}")
        print("".join(_diff_lines(put)), end="")
    print(f"{len(plan.puts)} to change, {len(plan.unchanged)} up to date")
    return ExitCode.OK


def _to_document(put: PlannedPut) -> dict[str, Any]:
    return {
        "action": put.action,
        "based_on": put.based_on,
        "before": put.before,
        "after": put.after,
    }


def _diff_lines(put: PlannedPut) -> list[str]:
    before = _yaml_lines(put.before) if put.before is not None else []
    return list(unified_diff(before, _yaml_lines(put.after), "in force", "manifest"))


def _yaml_lines(item: dict[str, Any]) -> list[str]:
    return yaml.safe_dump(item, sort_keys=True).splitlines(keepends=True)
