"""Reports of failed requests and their exit codes."""

from __future__ import annotations

import sys

from loomyard.errors import Executed, ResultCode
from loomyardctl.exit_codes import ExitCode
from loomyardctl.reply import Reply, Unanswered

_EXIT_CODES = {
    ResultCode.CHANGE_UNSETTLED: ExitCode.UNSETTLED,
    ResultCode.LOG_UNAVAILABLE: ExitCode.UNREACHABLE,
    ResultCode.INVALID_MANIFEST: ExitCode.USAGE,
    ResultCode.MALFORMED_REQUEST: ExitCode.USAGE,
}


def report_failure(failure: Reply | Unanswered) -> ExitCode:
    """Print the reason of a failure to standard error and return the exit code."""
    match failure:
        case Unanswered(executed=Executed.NO):
            print(f"no router answers: {failure.detail}", file=sys.stderr)
            return ExitCode.UNREACHABLE
        case Unanswered():
            print(f"the answer was lost: {failure.detail}", file=sys.stderr)
            return ExitCode.UNSETTLED
        case Reply(code=code):
            print(failure.problem, file=sys.stderr)
            return ExitCode.FAILED if code is None else _EXIT_CODES.get(code, ExitCode.FAILED)
