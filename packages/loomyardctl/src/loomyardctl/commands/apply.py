"""The subcommand ``apply``, which creates and replaces objects."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from loomyard.objects import Service
from loomyardctl.commands.wait_argument import add_wait_argument
from loomyardctl.exit_codes import ExitCode
from loomyardctl.failure_report import report_failure
from loomyardctl.manifest_files import read_files, report_faults
from loomyardctl.plan import make_plan
from loomyardctl.publishing import ACCEPTED, STALE, publish, report_outcome

if TYPE_CHECKING:
    import argparse
    from collections.abc import Iterator

    from loomyard.manifests import Manifest
    from loomyardctl.context import Context
    from loomyardctl.plan import Plan, PlannedPut
    from loomyardctl.reply import Reply, Unanswered

    Outcome = dict[str, Any]

NAME = "apply"
HELP = "create and replace objects, all or none"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command to its parser."""
    parser.add_argument("files", nargs="+", help="manifest files, folders, or - for standard input")
    parser.add_argument(
        "--retry",
        type=int,
        default=0,
        metavar="TIMES",
        help="retries after a conflict with a concurrent change, each with a new comparison;"
        " manifests that contain a version are never retried (default: 0)",
    )
    parser.add_argument(
        "--parts",
        type=int,
        default=0,
        metavar="OBJECTS",
        help="split sets that are too large for one change into changes of this many objects,"
        " services first; each takes effect separately, the first rejected one ends the command",
    )
    add_wait_argument(parser)


def run(context: Context) -> ExitCode:
    """Apply manifests; send nothing if any of them is not valid."""
    read = read_files(context.arguments.files)
    if read.is_err():
        report_faults(read.unwrap_err())
        return ExitCode.USAGE
    manifests = read.unwrap()
    for tries_left in range(context.arguments.retry, -1, -1):
        planned = make_plan(context.client, manifests)
        if planned.is_err():
            return report_failure(planned.unwrap_err())
        plan = planned.unwrap()
        if not plan.puts:
            print(f"nothing to change: {len(plan.unchanged)} objects are up to date")
            return ExitCode.OK
        published = _publish(context, plan)
        if published.is_err():
            return report_failure(published.unwrap_err())
        outcome = published.unwrap()
        if outcome["verdict"] != STALE or not tries_left or _have_versions(manifests):
            break
    return report_outcome(context, outcome)


def _publish(context: Context, plan: Plan) -> Result[Outcome, Reply | Unanswered]:
    """Publish the changes of a plan in turn and return the outcome of the last one sent."""
    outcome: Outcome = {}
    for puts in _split_puts(plan, context.arguments.parts):
        documents = [{"object": put.after, "based_on": put.based_on} for put in puts]
        published = publish(context, puts=documents, deletions=[])
        if published.is_err():
            return Err(published.unwrap_err())
        outcome = published.unwrap()
        if outcome["verdict"] != ACCEPTED:
            break
    return Ok(outcome)


def _split_puts(plan: Plan, size: int) -> Iterator[list[PlannedPut]]:
    if size <= 0:
        yield plan.puts
        return
    ordered = sorted(plan.puts, key=lambda put: put.ref.kind != Service.__name__)
    for start in range(0, len(ordered), size):
        yield ordered[start : start + size]


def _have_versions(manifests: list[Manifest]) -> bool:
    return any(manifest.version is not None for manifest in manifests)
