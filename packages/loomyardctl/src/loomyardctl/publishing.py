"""Publication of a change and the report of its outcome."""

from __future__ import annotations

import getpass
import secrets
import sys
import time
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from loomyard.errors import Executed, ResultCode
from loomyardctl.exit_codes import ExitCode
from loomyardctl.output import OutputFormat, print_document
from loomyardctl.reply import Reply, Unanswered

if TYPE_CHECKING:
    from loomyardctl.client import OperatorsClient
    from loomyardctl.context import Context

CHANGE_ID_BYTES = 16
OUTCOME_POLLS = 10
OUTCOME_POLL_SECONDS = 0.5
ACCEPTED = "accepted"
STALE = "stale"


def find_author() -> str:
    """Return the name of the operating system user, empty if it is not known."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""


def publish(
    context: Context, *, puts: list[dict[str, Any]], deletions: list[dict[str, Any]]
) -> Result[dict[str, Any], Reply | Unanswered]:
    """Send one change; after a lost answer poll its outcome by its id, never send it again."""
    change_id = secrets.token_hex(CHANGE_ID_BYTES)
    document = {
        "change_id": change_id,
        "author": find_author(),
        "puts": puts,
        "deletions": deletions,
        "wait_seconds": context.arguments.wait,
    }
    answered = context.client.post("changes", document)
    if answered.is_err() and answered.unwrap_err().executed is Executed.NO:
        return Err(answered.unwrap_err())
    reply = answered.ok()
    if reply is None or reply.code is ResultCode.CHANGE_UNSETTLED:
        reply = _poll_outcome(context.client, change_id)
    if reply is None:
        detail = f"change {change_id} may or may not take effect; check before you repeat it"
        return Err(Unanswered(detail=detail, executed=Executed.UNKNOWN))
    return Ok(reply.document) if reply.code is None else Err(reply)


def report_outcome(context: Context, outcome: dict[str, Any]) -> ExitCode:
    """Print the outcome of a change and return the exit code."""
    accepted = outcome["verdict"] == ACCEPTED
    if context.output is not OutputFormat.TABLE:
        print_document(outcome, context.output)
    elif accepted:
        _print_accepted(outcome)
    else:
        print(f"rejected as {outcome['verdict']} at offset {outcome['offset']}", file=sys.stderr)
        for detail in outcome.get("detail", "").split("; "):
            print(f"  {detail}", file=sys.stderr)
    return ExitCode.OK if accepted else ExitCode.FAILED


def _print_accepted(outcome: dict[str, Any]) -> None:
    in_force, lagging = outcome.get("in_force", []), outcome.get("lagging", [])
    print(f"accepted as version {outcome['offset']}")
    print(f"in force on {len(in_force)} routers: {', '.join(in_force)}")
    for router in lagging:
        print(f"not yet on {router['name']}: {router['detail']}")


def _poll_outcome(client: OperatorsClient, change_id: str) -> Reply | None:
    for _ in range(OUTCOME_POLLS):
        reply = client.get(f"changes/{change_id}").ok()
        if reply is not None and reply.code is None:
            return reply
        time.sleep(OUTCOME_POLL_SECONDS)
    return None
