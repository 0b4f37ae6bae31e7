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
from loomyard_standins.benches.child import send_to_parent  # noqa: E402
from loomyard_standins.benches.data_centres import target_host  # noqa: E402
from loomyard_standins.benches.plain_target import PlainTarget  # noqa: E402


def main() -> int:
    """Serve until standard input gives a line or ends; after a line print the report."""
    plan = json.loads(sys.argv[1])
    step = plan["step_seconds"]
    targets = [
        _make_target(description, position, step)
        for position, description in enumerate(plan["targets"])
    ]
    for target in targets:
        target.start()
    clock = _StepClock()
    gevent.spawn(clock.run, targets, step)
    send_to_parent(urls=[target.url for target in targets])
    if FileObject(sys.stdin.fileno(), "rb", close=False).readline():
        send_to_parent(
            changes=[target.meter.changes for target in targets], late_ticks=clock.late_fraction
        )
    return 0


class _StepClock:
    def __init__(self) -> None:
        self._steps = 0
        self._late_steps = 0

    @property
    def late_fraction(self) -> float:
        return self._late_steps / max(1, self._steps)

    def run(self, targets: list[BatchEngine | PlainTarget], step: float) -> None:
        due = time.monotonic()
        while True:
            due += step
            now = time.monotonic()
            if now > due:
                # A late step is not caught up, so the engine runs slower than configured.
                self._late_steps += 1
                due = now
            gevent.sleep(max(0.0, due - now))
            self._steps += 1
            for target in targets:
                target.step()


def _make_target(description: dict, position: int, step: float) -> BatchEngine | PlainTarget:
    host = target_host(position)
    if description["type"] == "plain":
        return PlainTarget(host=host, slots=description["slots"])
    return BatchEngine(
        host=host, model=description["service"], slots=description["slots"], step_seconds=step
    )


if __name__ == "__main__":
    sys.exit(main())
