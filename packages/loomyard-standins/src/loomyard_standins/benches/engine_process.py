"""Process that runs all targets of a run; a line on standard input ends the measurement."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402
from gevent.fileobject import FileObject  # noqa: E402

from loomyard_standins.benches.batch_engine import BatchEngine  # noqa: E402
from loomyard_standins.benches.child import announce  # noqa: E402
from loomyard_standins.benches.places import target_host  # noqa: E402
from loomyard_standins.benches.plain_target import PlainTarget  # noqa: E402


def main() -> int:
    """Serve until standard input gives a line or ends; after a line print the report."""
    plan = json.loads(sys.argv[1])
    step = plan["step_seconds"]
    targets = [_make(item, position, step) for position, item in enumerate(plan["targets"])]
    for target in targets:
        target.start()
    ticks = _Ticks()
    gevent.spawn(ticks.run, targets, step)
    announce(urls=[target.url for target in targets])
    if FileObject(sys.stdin.fileno(), "rb", close=False).readline():
        announce(changes=[target.meter.changes for target in targets], late_ticks=ticks.late_share)
    return 0


class _Ticks:
    def __init__(self) -> None:
        self._made = 0
        self._late = 0

    @property
    def late_share(self) -> float:
        return self._late / max(1, self._made)

    def run(self, targets: list[BatchEngine | PlainTarget], step: float) -> None:
        due = time.monotonic()
        while True:
            due += step
            now = time.monotonic()
            if now > due:
                # A late step is not caught up, so the engine runs slower than configured.
                self._late += 1
                due = now
            gevent.sleep(max(0.0, due - now))
            self._made += 1
            for target in targets:
                target.step()


def _make(item: dict, position: int, step: float) -> BatchEngine | PlainTarget:
    host = target_host(position)
    if item["type"] == "plain":
        return PlainTarget(host=host, slots=item["slots"])
    return BatchEngine(host=host, model=item["service"], slots=item["slots"], step_seconds=step)


if __name__ == "__main__":
    sys.exit(main())
