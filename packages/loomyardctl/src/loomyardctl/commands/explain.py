"""Explain what was decided for a request."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

from loomyardctl.exit_codes import ExitCode
from loomyardctl.failures import report_failure
from loomyardctl.output import OutputFormat, print_document, print_table

if TYPE_CHECKING:
    import argparse

    from loomyardctl.context import Context

NAME = "explain"
HELP = "tell what was decided for a request and why"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments."""
    parser.add_argument("request_id", metavar="REQUEST-ID")


def run(context: Context) -> ExitCode:
    """Print the steps of a request on every router that remembers it."""
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
