"""The subcommand ``status``, which prints the state of all routers."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from attrs import frozen

from loomyardctl.exit_codes import ExitCode
from loomyardctl.failure_report import report_failure
from loomyardctl.output import OutputFormat, print_document, print_table

if TYPE_CHECKING:
    import argparse

    from loomyardctl.context import Context

NAME = "status"
HELP = "show the routers: version in force, lag and readiness"
HEAD = ["ROUTER", "DATA CENTRE", "STATE", "VERSION", "APPLIED", "LAG", "LOG", "MEMBERS", "DIGEST"]
DIGEST_DIGITS = 8


@frozen
class FleetVersion:
    """The latest configuration version in the fleet and its digest."""

    version: int
    digest: str


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command to its parser."""
    parser.add_argument(
        "--check", action="store_true", help="exit 1 unless all routers are ready and none lags"
    )


def run(context: Context) -> ExitCode:
    """Print the state of each router, and the routers that do not answer."""
    answered = context.client.get("status")
    if answered.is_err():
        return report_failure(answered.unwrap_err())
    reply = answered.unwrap()
    if not reply.ok:
        return report_failure(reply)
    routers = reply.document.get("routers", [])
    unresponsive = reply.document.get("silent", [])
    fleet = find_fleet_version(routers)
    if context.output is not OutputFormat.TABLE:
        print_document(reply.document, context.output)
    else:
        print_table(HEAD, [_row(router, fleet) for router in routers])
        for router in unresponsive:
            print(f"{router['name']}: {router['detail']}")
    healthy = not unresponsive and all(_is_healthy(router, fleet) for router in routers)
    return ExitCode.OK if healthy or not context.arguments.check else ExitCode.FAILED


def find_fleet_version(routers: list[dict[str, Any]]) -> FleetVersion:
    """Return the latest version and the digest that most routers have for it."""
    version = max((router.get("version", -1) for router in routers), default=-1)
    digests = [r.get("digest", "") for r in routers if r.get("version", -1) == version]
    return FleetVersion(version, Counter(digests).most_common(1)[0][0] if digests else "")


def _row(router: dict[str, Any], fleet: FleetVersion) -> list[object]:
    return [
        router["name"],
        router.get("data_centre", "") or "-",
        _state(router),
        router.get("version", -1),
        router.get("applied", -1),
        _lag(router, fleet),
        "reachable" if router.get("log_reachable") else "unreachable",
        len(router.get("members", [])),
        router.get("digest", "")[:DIGEST_DIGITS],
    ]


def _lag(router: dict[str, Any], fleet: FleetVersion) -> str:
    if router.get("version", -1) != fleet.version:
        return f"behind {fleet.version}"
    return "-" if router.get("digest", "") == fleet.digest else "differs"


def _state(router: dict[str, Any]) -> str:
    if router.get("stopping"):
        return "stopping"
    return "ready" if router.get("ready") else "not ready"


def _is_healthy(router: dict[str, Any], fleet: FleetVersion) -> bool:
    return _state(router) == "ready" and _lag(router, fleet) == "-"
