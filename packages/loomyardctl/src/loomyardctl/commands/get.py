"""The subcommand ``get``, which prints objects in force."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

from loomyardctl.commands.references import parse_kind
from loomyardctl.exit_codes import ExitCode
from loomyardctl.failure_report import report_failure
from loomyardctl.output import OutputFormat, print_document, print_table
from loomyardctl.plan import entry_ref

if TYPE_CHECKING:
    import argparse

    from loomyardctl.context import Context

NAME = "get"
HELP = "show the objects in force"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command to its parser."""
    parser.add_argument("kind", nargs="?", type=parse_kind, help="only objects of this kind")
    parser.add_argument("name", nargs="?", help="only the object of this name")


def run(context: Context) -> ExitCode:
    """Print objects; in YAML as manifests with the version that they are based on."""
    kind, name = context.arguments.kind, context.arguments.name
    query = {"ref": f"{kind}/{name}"} if name else {"kind": kind} if kind else {}
    answered = context.client.get(f"objects?{urlencode(query)}")
    if answered.is_err():
        return report_failure(answered.unwrap_err())
    reply = answered.unwrap()
    if not reply.ok:
        return report_failure(reply)
    entries = sorted(reply.document["objects"], key=entry_ref)
    if name and not entries:
        print(f"there is no {kind}/{name}", file=sys.stderr)
        return ExitCode.FAILED
    _print(context, reply.document, entries)
    return ExitCode.OK


def _print(context: Context, document: Any, entries: list[dict[str, Any]]) -> None:
    if context.output is OutputFormat.JSON:
        print_document(document | {"objects": entries}, context.output)
    elif context.output is OutputFormat.YAML:
        manifests = [{"version": entry["version"], **entry["object"]} for entry in entries]
        print_document(manifests, context.output)
    else:
        print_table(["KIND", "NAME", "VERSION", "LABELS"], [_row(entry) for entry in entries])


def _row(entry: dict[str, Any]) -> list[object]:
    item = entry["object"]
    labels = item["metadata"].get("labels", {})
    text = ",".join(f"{key}={value}" for key, value in sorted(labels.items()))
    return [item["kind"], item["metadata"]["name"], entry["version"], text]
