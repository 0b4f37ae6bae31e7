"""The subcommand ``drain``, for targets and routers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

from loomyardctl.exit_codes import ExitCode
from loomyardctl.failure_report import report_failure
from loomyardctl.output import OutputFormat, print_document
from loomyardctl.publishing import report_outcome

if TYPE_CHECKING:
    import argparse

    from loomyardctl.context import Context

NAME = "drain"
HELP = "send no new work to a target, or begin the planned stop of a router"
PATHS = {"target": "targets", "router": "routers"}


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command to its parser."""
    parser.add_argument("what", choices=sorted(PATHS))
    parser.add_argument("name")


def run(context: Context) -> ExitCode:
    """Drain a target by a change of its state, or a router by a request to it."""
    what, name = context.arguments.what, context.arguments.name
    answered = context.client.post(f"{PATHS[what]}/{quote(name, safe='')}/drain")
    if answered.is_err():
        return report_failure(answered.unwrap_err())
    reply = answered.unwrap()
    if reply.code is not None:
        return report_failure(reply)
    if what == "target":
        return report_outcome(context, reply.document)
    if context.output is not OutputFormat.TABLE:
        print_document(reply.document, context.output)
    else:
        print(f"{reply.document['name']}: {reply.document['detail']}")
    return ExitCode.OK
