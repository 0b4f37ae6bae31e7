"""Run the tests in some processes and close with the line that counts them."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import logging  # noqa: E402
import os  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import unittest  # noqa: E402
from pathlib import Path  # noqa: E402

from attrs import define, field  # noqa: E402
from result import Err, Ok  # noqa: E402

from loomyard_standins.known_red import FILE_NAME, read_known_red, sort_known_red  # noqa: E402

PART_FLAG = "--part"
MOST_PROCESSES = 6


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


@define
class Outcome:
    """What the tests of one or more processes came to."""

    run: int = 0
    skipped: int = 0
    ran: set[str] = field(factory=set)
    failed: set[str] = field(factory=set)

    def add(self, document: dict) -> None:
        """Add the outcome that a process wrote."""
        self.run += document["run"]
        self.skipped += document["skipped"]
        self.ran |= set(document["ran"])
        self.failed |= set(document["failed"])


def main() -> int:
    """Run the tests below a folder; only tests listed as known red may fail."""
    if PART_FLAG in sys.argv:
        return _run_part(sys.argv[1], int(sys.argv[3]), int(sys.argv[4]), Path(sys.argv[5]))
    match read_known_red(Path(FILE_NAME)):
        case Err(detail):
            print(f"{FILE_NAME}: {detail}")
            return 1
        case Ok(known):
            pass
    outcome, broken = _run_parts(sys.argv[1])
    found = sort_known_red(known, outcome.ran, outcome.failed)
    for entry in found.red:
        print(f"known red: {entry.test}: {entry.cause} ({entry.issue})")
    for entry in found.green:
        print(f"listed as known red, but passes: {entry.test} ({entry.issue})")
    for entry in found.not_run:
        print(f"listed as known red, but there is no such test: {entry.test}")
    for part in broken:
        print(f"part {part} of the tests ended without a result")
    failed, skipped, red = len(found.unexpected) + len(broken), outcome.skipped, len(found.red)
    passed = outcome.run - len(found.unexpected) - skipped - red
    if red:
        print(f"{red} known red, neither passed nor failed")
    # The last line has the one form that CI reads.
    line = f"{passed} passed, {failed} failed"
    line += f", {skipped} skipped" if skipped else ""
    print(line, flush=True)
    return 1 if failed or found.not_run or not outcome.run else 0


def _run_parts(folder: str) -> tuple[Outcome, list[int]]:
    """Run each part in a process; return the sum and the parts that ended without a result."""
    count = min(MOST_PROCESSES, os.cpu_count() or 1)
    outcome = Outcome()
    broken = []
    with tempfile.TemporaryDirectory() as scratch:
        files = [Path(scratch) / f"{part}.json" for part in range(count)]
        command = [sys.executable, "-m", "loomyard_standins.testing", folder, PART_FLAG]
        processes = [
            subprocess.Popen([*command, str(part), str(count), str(files[part])])
            for part in range(count)
        ]
        for part, process in enumerate(processes):
            process.wait()
            if files[part].exists():
                outcome.add(json.loads(files[part].read_text(encoding="utf-8")))
            else:
                broken.append(part)
    return outcome, broken


def _run_part(folder: str, part: int, count: int, file: Path) -> int:
    logging.disable(logging.CRITICAL)
    loaded = unittest.defaultTestLoader.discover(folder, top_level_dir=folder)
    cases = sorted(_by_fixture(loaded).items())
    suite = unittest.TestSuite(test for _, tests in cases[part::count] for test in tests)
    result = unittest.TextTestRunner(verbosity=1, resultclass=RecordingResult).run(suite)
    document = {
        "run": result.testsRun,
        "skipped": len(result.skipped),
        "ran": sorted(result.ran),
        "failed": sorted(result.failed),
    }
    file.write_text(json.dumps(document), encoding="utf-8")
    return 0


def _by_fixture(suite: unittest.TestSuite) -> dict[str, list[unittest.TestCase]]:
    """Group tests, in their order, that share what their class sets up."""
    found: dict[str, list[unittest.TestCase]] = {}
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            for name, tests in _by_fixture(item).items():
                found.setdefault(name, []).extend(tests)
        else:
            kind = type(item)
            shared = kind.setUpClass.__func__ is not unittest.TestCase.setUpClass.__func__
            name = f"{kind.__module__}.{kind.__qualname__}" if shared else item.id()
            found.setdefault(name, []).append(item)
    return found


if __name__ == "__main__":
    sys.exit(main())
