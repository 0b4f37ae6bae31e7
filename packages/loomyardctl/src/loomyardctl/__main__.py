"""The command ``loomyardctl``."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from result import Err, Ok

from loomyard.manifests import read_manifests

EXIT_INVALID = 2


def main() -> int:
    """Run one command."""
    parser = argparse.ArgumentParser(prog="loomyardctl", description="Steer a loomyard fleet.")
    commands = parser.add_subparsers(dest="command", required=True)
    validate = commands.add_parser("validate", help="check manifests without a fleet")
    validate.add_argument("files", nargs="+", type=Path)
    arguments = parser.parse_args()
    sources = [(str(path), path.read_text()) for path in arguments.files]
    match read_manifests(sources):
        case Ok(objects):
            print(f"{len(objects)} objects are valid")
            return 0
        case Err(faults):
            for fault in faults:
                print(fault, file=sys.stderr)
    return EXIT_INVALID


if __name__ == "__main__":
    sys.exit(main())
