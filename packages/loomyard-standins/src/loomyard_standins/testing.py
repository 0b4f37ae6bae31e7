"""Test runner in several processes; the last line of its output counts the tests."""

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

from loomyard_standins.known_red import FILE_NAME, classify_known_red, read_known_red  # noqa: E402

PART_FLAG = "--part"
MAX_PROCESSES = 6


class RecordingResult(unittest.TextTestResult):
    """Test result that also keeps the ids of the tests that ran."""

    def __init__(self, *arguments: object, **options: object) -> None:
        super().__init__(*arguments, **options)  # type: ignore[arg-type]
        self.ran: set[str] = set()

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        self.ran.add(test.id())
        super().startTest(test)

    @property
    def failed(self) -> set[str]:
        """Return the ids of the failed tests; a failed sub-test counts as its test."""
        failures = [test for test, _ in [*self.failures, *self.errors]] + self.unexpectedSuccesses
        return {getattr(test, "test_case", test).id() for test in failures}


@define
class Outcome:
    """Combined results of the tests of one or more processes."""

    run: int = 0
    skipped: int = 0
    ran: set[str] = field(factory=set)
    failed: set[str] = field(factory=set)

    def add(self, document: dict) -> None:
        """Add the JSON document that a test process wrote."""
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
    report = classify_known_red(known, outcome.ran, outcome.failed)
    for entry in report.red:
        print(f"known red: {entry.test}: {entry.cause} ({entry.issue})")
    for entry in report.green:
        print(f"listed as known red, but passes: {entry.test} ({entry.issue})")
    for entry in report.not_run:
        print(f"listed as known red, but there is no such test: {entry.test}")
    for part in broken:
        print(f"part {part} of the tests ended without a result")
    failed, skipped, red = len(report.unexpected) + len(broken), outcome.skipped, len(report.red)
    passed = outcome.run - len(report.unexpected) - skipped - red
    if red:
        print(f"{red} known red, neither passed nor failed")
    # CI parses the last line.
    line = f"{passed} passed, {failed} failed"
    line += f", {skipped} skipped" if skipped else ""
    print(line, flush=True)
    return 1 if failed or report.not_run or not outcome.run else 0


def _run_parts(folder: str) -> tuple[Outcome, list[int]]:
    """Run each part in a process; return the total and the parts that ended without a result."""
    count = min(MAX_PROCESSES, os.cpu_count() or 1)
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
    """Group the tests of each class that has ``setUpClass``; other tests stand alone."""
    groups: dict[str, list[unittest.TestCase]] = {}
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            for name, tests in _by_fixture(item).items():
                groups.setdefault(name, []).extend(tests)
        else:
            test_class = type(item)
            shared = test_class.setUpClass.__func__ is not unittest.TestCase.setUpClass.__func__
            name = f"{test_class.__module__}.{test_class.__qualname__}" if shared else item.id()
            groups.setdefault(name, []).append(item)
    return groups


if __name__ == "__main__":
    sys.exit(main())
