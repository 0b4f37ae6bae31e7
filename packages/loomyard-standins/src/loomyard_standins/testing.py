"""Run the tests and close with the line that counts them."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import logging  # noqa: E402
import sys  # noqa: E402
import unittest  # noqa: E402


def main() -> int:
    """Run the tests below a folder."""
    logging.disable(logging.CRITICAL)
    suite = unittest.defaultTestLoader.discover(sys.argv[1], top_level_dir=sys.argv[1])
    outcome = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = len(outcome.failures) + len(outcome.errors) + len(outcome.unexpectedSuccesses)
    skipped = len(outcome.skipped)
    passed = outcome.testsRun - failed - skipped
    line = f"{passed} passed, {failed} failed"
    print(f"{line}, {skipped} skipped" if skipped else line, flush=True)
    return 1 if failed or not outcome.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
