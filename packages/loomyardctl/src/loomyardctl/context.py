"""The context that is passed to a command."""

from __future__ import annotations

import argparse

from attrs import frozen

from loomyardctl.client import OperatorsClient
from loomyardctl.output import OutputFormat


@frozen(kw_only=True)
class Context:
    """Client, output format and parsed arguments of one run of the command."""

    client: OperatorsClient
    output: OutputFormat
    arguments: argparse.Namespace
