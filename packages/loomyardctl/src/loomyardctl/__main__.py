"""Entry point of the command ``loomyardctl``."""

from __future__ import annotations

import os
import ssl
import sys
from typing import TYPE_CHECKING

from loomyardctl.arguments import make_parser
from loomyardctl.client import OperatorsClient
from loomyardctl.context import Context
from loomyardctl.exit_codes import ExitCode
from loomyardctl.output import OutputFormat
from loomyardctl.publishing import find_author

if TYPE_CHECKING:
    import argparse
    from collections.abc import Mapping, Sequence


def main() -> int:
    """Run the command of the process arguments and return its exit code."""
    return run(sys.argv[1:], os.environ)


def run(argv: Sequence[str], environment: Mapping[str, str]) -> int:
    """Parse the arguments, run the command and return its exit code."""
    arguments = make_parser(environment).parse_args(list(argv))
    try:
        client = _make_client(arguments)
    except OSError as error:
        print(f"the certificates cannot be read: {error}", file=sys.stderr)
        return ExitCode.USAGE
    context = Context(client=client, output=OutputFormat(arguments.output), arguments=arguments)
    return arguments.run(context)


def _make_client(arguments: argparse.Namespace) -> OperatorsClient:
    context = ssl.create_default_context(cafile=arguments.ca_file) if arguments.ca_file else None
    urls = arguments.router or arguments.default_routers
    return OperatorsClient(urls, arguments.key, find_author(), context)


if __name__ == "__main__":
    sys.exit(main())
