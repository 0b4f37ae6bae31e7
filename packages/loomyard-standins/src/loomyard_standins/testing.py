"""Run the tests and close with the line that counts them."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import logging  # noqa: E402
import sys  # noqa: E402
import unittest  # noqa: E402
from pathlib import Path  # noqa: E402

from result import Err, Ok  # noqa: E402

from loomyard_standins.known_red import FILE_NAME, read_known_red, sort_known_red  # noqa: E402


class RecordingResult(unittest.TextTestResult):
    """A result that keeps the ids of the tests that ran."""

    def __init__(self, *arguments: object, **options: object) -> None:
        super().__init__(*arguments, **options)  # type: ignore[arg-type]
        self.ran: set[str] = set()

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        self.ran.add(test.id())
        super().startTest(test)

    @property
    def failed(self) -> set[str]:
        """Return the ids of the tests that failed; a sub-test counts for its test."""
        bad = [test for test, _ in [*self.failures, *self.errors]] + self.unexpectedSuccesses
        return {getattr(test, "test_case", test).id() for test in bad}


def main() -> int:
    """Run the tests below a folder; only tests listed as known red may fail."""
    match read_known_red(Path(FILE_NAME)):
        case Err(detail):
            print(f"{FILE_NAME}: {detail}")
            return 1
        case Ok(known):
            pass
    logging.disable(logging.CRITICAL)
    suite = unittest.defaultTestLoader.discover(sys.argv[1], top_level_dir=sys.argv[1])
    outcome = unittest.TextTestRunner(verbosity=1, resultclass=RecordingResult).run(suite)
    found = sort_known_red(known, outcome.ran, outcome.failed)
    for entry in found.red:
        print(f"known red: {entry.test}: {entry.cause} ({entry.issue})")
    for entry in found.green:
        print(f"listed as known red, but passes: {entry.test} ({entry.issue})")
    for entry in found.not_run:
        print(f"listed as known red, but there is no such test: {entry.test}")
    failed, skipped, red = len(found.unexpected), len(outcome.skipped), len(found.red)
    passed = outcome.testsRun - failed - skipped - red
    line = f"{passed} passed, {failed} failed"
    line += f", {skipped} skipped" if skipped else ""
    line += f", {red} known red" if red else ""
    print(line, flush=True)
    return 1 if failed or found.not_run or not outcome.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
