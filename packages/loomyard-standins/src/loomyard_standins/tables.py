"""Generator of the reference pages on result codes, log events and settings."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from loomyard.errors import ResultCode
from loomyard.events import Event
from loomyard_router.callers.problems import status_of
from loomyard_router.settings import ENVIRONMENT_PREFIX, make_parser

NOTICE = "<!-- Written by `make tables` from the code; do not edit. -->\n\n"
LEVELS = {10: "debug", 20: "info", 30: "warning", 40: "error", 50: "critical"}


def make_tables() -> dict[str, str]:
    """Return the text of each generated page by file name."""
    return {
        "RESULT-CODES.md": NOTICE + _codes(),
        "LOG-EVENTS.md": NOTICE + _events(),
        "SETTINGS.md": NOTICE + _settings(),
    }


def _codes() -> str:
    lines = [
        "# Result codes",
        "",
        "`executed` stands in each error itself, since it depends on how far the request came.",
        "The status is what a caller gets; codes of 5xxx to 7xxx mostly go to operators and logs.",
        "",
        "| code | name | HTTP status | meaning |",
        "|---|---|---|---|",
    ]
    for code in sorted(ResultCode):
        status = int(status_of(code))
        lines.append(f"| {int(code)} | `{code.name}` | {status} | {code.meaning} |")
    return "\n".join(lines) + "\n"


def _events() -> str:
    lines = ["# Log events", "", "| number | name | level | meaning |", "|---|---|---|---|"]
    for event in sorted(Event, key=lambda e: e.number):
        level = LEVELS[event.level]
        lines.append(f"| {event.number} | `{event.name}` | {level} | {event.meaning} |")
    return "\n".join(lines) + "\n"


def _settings() -> str:
    lines = [
        "# Settings of `loomyard-router`",
        "",
        "A flag goes before its environment variable, that before the default.",
        "",
        "| flag | environment | default | meaning |",
        "|---|---|---|---|",
    ]
    for action in make_parser({})._actions:
        flag = action.option_strings[-1]
        if flag == "--help":
            continue
        variable = ENVIRONMENT_PREFIX + flag.removeprefix("--").upper().replace("-", "_")
        meaning = (action.help or "").split(" [")[0]
        default = "host name" if action.dest == "name" else action.default
        lines.append(f"| `{flag}` | `{variable}` | `{default}` | {meaning} |")
    return "\n".join(lines) + "\n"


def main() -> int:
    """Write the generated pages into the folder given as argument."""
    parser = argparse.ArgumentParser()
    parser.add_argument("folder", type=Path)
    folder = parser.parse_args().folder
    for name, text in make_tables().items():
        (folder / name).write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
