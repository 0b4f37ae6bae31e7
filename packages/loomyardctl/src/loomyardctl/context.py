"""What a command works with."""

from __future__ import annotations

import argparse

from attrs import frozen

from loomyardctl.client import OperatorsClient
from loomyardctl.output import OutputFormat


@frozen(kw_only=True)
class Context:
    """The client, the output format and the arguments of the command."""

    client: OperatorsClient
    output: OutputFormat
    arguments: argparse.Namespace
