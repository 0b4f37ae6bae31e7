"""Tests of a process that the soak started."""

from __future__ import annotations

import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

import gevent

from loomyard_standins.programs.program import Program

# More than a pipe holds, so that a write waits for its reader.
LONG_LINE = "x" * 200_000
LINES = 5
SHORT_LINE = b'{"read": 1}\n'
SLOW_READER = """
import json, sys, time
time.sleep(0.3)
for line in sys.stdin:
    print(json.dumps({"read": len(line)}), flush=True)
"""


class ProgramTest(unittest.TestCase):
    # Guards against tasks of the soak that ended when another one was writing.
    def test_tasks_may_write_while_the_process_does_not_read(self) -> None:
        read: list[dict[str, Any]] = []
        with tempfile.TemporaryDirectory() as folder:
            command = [sys.executable, "-c", SLOW_READER]
            program = Program(command, Path(folder) / "log", read.append)
            self.addCleanup(program.kill)
            tasks = [gevent.spawn(program.send_line, LONG_LINE) for _ in range(LINES)]
            gevent.joinall(tasks, raise_error=True)
            with gevent.Timeout(10.0):
                while len(read) < LINES:
                    gevent.sleep(0.01)
        self.assertEqual([{"read": len(LONG_LINE) + 1}] * LINES, read)

    # Guards against checks of a running program's log that miss its end, or count it later.
    def test_the_log_holds_a_line_as_soon_as_the_listener_has_it(self) -> None:
        logged: list[bytes] = []
        with tempfile.TemporaryDirectory() as folder:
            log = Path(folder) / "log"
            command = [sys.executable, "-c", SLOW_READER]
            program = Program(command, log, lambda _: logged.append(log.read_bytes()))
            self.addCleanup(program.kill)
            program.send_line("")
            with gevent.Timeout(10.0):
                while not logged:
                    gevent.sleep(0.01)
            self.assertTrue(program.running)
        self.assertEqual([SHORT_LINE], logged)


if __name__ == "__main__":
    unittest.main()
