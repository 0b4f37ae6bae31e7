"""Show the routers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from loomyardctl.exit_codes import ExitCode
from loomyardctl.failures import report_failure
from loomyardctl.output import OutputFormat, print_document, print_table

if TYPE_CHECKING:
    import argparse

    from loomyardctl.context import Context

NAME = "status"
HELP = "show the routers: version in force, who lags, who is ready"
HEAD = ["ROUTER", "DATA CENTRE", "STATE", "VERSION", "APPLIED", "LAG", "LOG", "MEMBERS", "DIGEST"]
DIGEST_DIGITS = 8


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments."""
    parser.add_argument(
        "--check", action="store_true", help="exit 1 unless all routers are ready and none lags"
    )


def run(context: Context) -> ExitCode:
    """Print how each router is and who does not answer."""
    answered = context.client.get("status")
    if answered.is_err():
        return report_failure(answered.unwrap_err())
    reply = answered.unwrap()
    if not reply.ok:
        return report_failure(reply)
    routers = reply.document.get("routers", [])
    silent = reply.document.get("silent", [])
    newest = max((router.get("version", -1) for router in routers), default=-1)
    if context.output is not OutputFormat.TABLE:
        print_document(reply.document, context.output)
    else:
        print_table(HEAD, [_row(router, newest) for router in routers])
        for laggard in silent:
            print(f"{laggard['name']}: {laggard['detail']}")
    healthy = not silent and all(_is_healthy(router, newest) for router in routers)
    return ExitCode.OK if healthy or not context.arguments.check else ExitCode.FAILED


def _row(router: dict[str, Any], newest: int) -> list[object]:
    version = router.get("version", -1)
    return [
        router["name"],
        router.get("data_centre", "") or "-",
        _state(router),
        version,
        router.get("applied", -1),
        "-" if version == newest else f"behind {newest}",
        "reachable" if router.get("log_reachable") else "unreachable",
        len(router.get("members", [])),
        router.get("digest", "")[:DIGEST_DIGITS],
    ]


def _state(router: dict[str, Any]) -> str:
    if router.get("stopping"):
        return "stopping"
    return "ready" if router.get("ready") else "not ready"


def _is_healthy(router: dict[str, Any], newest: int) -> bool:
    return _state(router) == "ready" and router.get("version", -1) == newest
