"""The subcommand ``explain``, which prints the decisions for a request."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

from loomyardctl.exit_codes import ExitCode
from loomyardctl.failure_report import report_failure
from loomyardctl.output import OutputFormat, print_document, print_table

if TYPE_CHECKING:
    import argparse

    from loomyardctl.context import Context

NAME = "explain"
HELP = "show the decisions for a request and their reasons"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command to its parser."""
    parser.add_argument("request_id", metavar="REQUEST-ID")


def run(context: Context) -> ExitCode:
    """Print the steps of a request on every router that has a record of it."""
    answered = context.client.get(f"requests/{quote(context.arguments.request_id, safe='')}")
    if answered.is_err():
        return report_failure(answered.unwrap_err())
    reply = answered.unwrap()
    if not reply.ok:
        return report_failure(reply)
    if context.output is not OutputFormat.TABLE:
        print_document(reply.document, context.output)
    else:
        rows = [_row(item["router"], e) for item in reply.document for e in item["entries"]]
        print_table(["TIME", "ROUTER", "STEP", "DETAIL"], rows)
    return ExitCode.OK


def _row(router: str, entry: dict[str, Any]) -> list[object]:
    at = datetime.fromtimestamp(entry["at"], UTC).isoformat(timespec="milliseconds")
    return [at, router, entry["step"], entry["detail"]]
