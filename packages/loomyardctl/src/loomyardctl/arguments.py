"""The argument parser: flags take precedence over environment variables, these over defaults."""

from __future__ import annotations

import argparse
from typing import TYPE_CHECKING

from loomyardctl.commands import (
    apply,
    delete,
    diff,
    drain,
    explain,
    get,
    restore,
    status,
    targets,
    validate,
)
from loomyardctl.output import OutputFormat

if TYPE_CHECKING:
    from collections.abc import Mapping

    from loomyardctl.commands.command import Command

COMMANDS: tuple[Command, ...] = (
    validate,
    apply,
    get,
    delete,
    diff,
    status,
    targets,
    explain,
    drain,
    restore,
)
DEFAULT_ROUTER = "http://127.0.0.1:8081"
EPILOG = """\
exit codes:
  0  done
  1  rejected by the fleet, not found or failed
  2  wrong usage, or a manifest has faults; nothing was sent
  3  no router or no log service can be reached; nothing was changed
  4  unsettled: an answer was lost and the change may or may not take effect

A flag takes precedence over the environment variable in brackets."""


def make_parser(environment: Mapping[str, str]) -> argparse.ArgumentParser:
    """Make the argument parser with a subparser for each command."""
    shared = _make_shared(environment)
    parser = argparse.ArgumentParser(
        prog="loomyardctl",
        description="Control a loomyard fleet: publish manifests and inspect what the routers do.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for command in COMMANDS:
        subparser = commands.add_parser(
            command.NAME,
            help=command.HELP,
            description=command.HELP,
            parents=[shared],
            epilog=EPILOG,
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        command.add_arguments(subparser)
        subparser.set_defaults(run=command.run)
    return parser


def _make_shared(environment: Mapping[str, str]) -> argparse.ArgumentParser:
    shared = argparse.ArgumentParser(add_help=False)
    shared.add_argument(
        "--router",
        action="append",
        metavar="URL",
        default=None,
        help="operators' address of a router; repeat it for routers to try in turn"
        f" [LOOMYARDCTL_ROUTER, separated by commas] (default: {DEFAULT_ROUTER})",
    )
    shared.add_argument(
        "--key",
        default=environment.get("LOOMYARDCTL_KEY", ""),
        help="operator key; preferably set by its variable [LOOMYARDCTL_KEY]",
    )
    shared.add_argument(
        "--ca-file",
        default=environment.get("LOOMYARDCTL_CA_FILE", ""),
        help="file of CA certificates to trust for https [LOOMYARDCTL_CA_FILE]",
    )
    shared.add_argument(
        "-o",
        "--output",
        choices=[output.value for output in OutputFormat],
        default=environment.get("LOOMYARDCTL_OUTPUT", OutputFormat.TABLE.value),
        help="output format (default: table) [LOOMYARDCTL_OUTPUT]",
    )
    routers = environment.get("LOOMYARDCTL_ROUTER", DEFAULT_ROUTER)
    shared.set_defaults(default_routers=[url.strip() for url in routers.split(",")])
    return shared
