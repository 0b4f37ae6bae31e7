"""What a command works with."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    import argparse

    from loomyardctl.client import OperatorsClient
    from loomyardctl.output import OutputFormat


@frozen(kw_only=True)
class Context:
    """The client, the output format and the arguments of the command."""

    client: OperatorsClient
    output: OutputFormat
    arguments: argparse.Namespace
