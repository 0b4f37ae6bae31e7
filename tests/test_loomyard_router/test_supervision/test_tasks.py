"""Tests that an exception ends no duty of a router unseen."""

from __future__ import annotations

import ast
import logging
import random
import unittest
from pathlib import Path
from typing import TYPE_CHECKING

import gevent
from result import Err, Ok

import loomyard_router
from loomyard_router.feeds.fan_out_consumer import FanOutConsumer
from loomyard_router.feeds.feed import Batch, Listing
from loomyard_router.feeds.feed_follower import FeedFollower
from loomyard_router.feeds.feed_position import FeedPosition
from loomyard_router.metrics.exposition import RouterCollector, expose
from loomyard_router.metrics.request_metrics import RequestMetrics
from loomyard_router.peers.traffic import TrafficCounters
from loomyard_router.routed.deadline_watch import DeadlineWatch
from loomyard_router.supervision import failures, uncaught
from loomyard_router.supervision.failures import failure_counts
from loomyard_router.supervision.listeners import Listeners
from loomyard_router.supervision.tasks import MAX_RESTART_SECONDS, start_supervised, start_task
from loomyard_standins.fake_clock import FakeClock
from loomyard_standins.stepped_clock import SteppedClock
from test_loomyard_router.test_feeds.feed_case import (
    UNAVAILABLE,
    RecordingConsumer,
    ScriptedFeed,
    record,
)
from test_loomyard_router.test_routed.routed_case import RoutedCase, route
from test_loomyard_router.test_routed.scripted_target import plain_script

if TYPE_CHECKING:
    from collections.abc import Callable

# Callables that start a task or a callback of the event loop.
STARTERS = {"spawn", "spawn_later", "spawn_raw", "start_new_thread", "run_callback"}
# Tasks that catch every exception themselves, and one that does nothing.
CAUGHT = ("run_repeatedly", "_run_forever", "_do_nothing")


def count(part: str) -> int:
    return failure_counts().get(part, 0)


class TasksTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = SteppedClock()

    # Guards against a task whose duty ends with one exception.
    def test_a_supervised_task_goes_on_after_exceptions_and_each_is_counted(self) -> None:
        runs: list[float] = []

        def run() -> None:
            runs.append(self.clock.now())
            if len(runs) <= 10:
                raise KeyError("gone")
            self.clock.sleep(1000.0)

        before = count("test duty")
        task = start_supervised("test duty", self.clock, run)
        self.clock.run(self.clock.now() + 20.0)
        task.kill()
        self.assertEqual(11, len(runs))
        self.assertEqual(10, count("test duty") - before)
        pauses = [later - earlier for earlier, later in zip(runs, runs[1:], strict=False)]
        self.assertLessEqual(max(pauses), MAX_RESTART_SECONDS + 1e-6)

    def test_a_failure_is_logged_with_its_place_and_shown_as_a_metric(self) -> None:
        def fail() -> None:
            raise KeyError("old")

        with self.enabled_logs() as logs:
            start_task("test task", fail).join()
        (line,) = logs.records
        self.assertEqual(
            ("test task", "KeyError: 'old'"), (line.fields["part"], line.fields["error"])
        )
        self.assertIn("fail", line.fields["at"][-1])
        text = expose(RouterCollector(RequestMetrics(FakeClock()), TrafficCounters(), lambda: 0))
        self.assertRegex(text.decode(), r'loomyard_task_failures_total\{part="test task"\} [1-9]')

    def test_what_nothing_supervises_is_counted_too(self) -> None:
        hub = gevent.get_hub()
        previous = hub.print_exception
        self.addCleanup(setattr, hub, "print_exception", previous)
        uncaught.record_uncaught()
        before = count(uncaught.UNSUPERVISED)
        gevent.spawn(lambda: {}["missing"]).join()
        timer = hub.loop.timer(0.0)
        timer.start(lambda: {}["missing"])
        gevent.sleep(0.01)
        timer.close()
        self.assertEqual(2, count(uncaught.UNSUPERVISED) - before)

    # Guards against a new task or callback outside of the supervision.
    def test_the_router_starts_tasks_only_through_the_supervision(self) -> None:
        found = []
        folder = Path(loomyard_router.__file__).parent
        for file in folder.rglob("*.py"):
            text = file.read_text(encoding="utf-8")
            for node in ast.walk(ast.parse(text)):
                if getattr(getattr(node, "func", None), "attr", "") not in STARTERS:
                    continue
                line = ast.get_source_segment(text, node) or ""
                if not any(one in line for one in CAUGHT):
                    found.append(file.relative_to(folder).as_posix())
        self.assertEqual({"supervision/tasks.py"}, set(found))

    def enabled_logs(self) -> unittest.case._AssertLogsContext:
        """Record log lines, which the test runner disables."""
        disabled = logging.root.manager.disable
        logging.disable(logging.NOTSET)
        self.addCleanup(logging.disable, disabled)
        return self.assertLogs(failures.logger)


class ListenersTest(unittest.TestCase):
    def test_a_listener_that_raises_does_not_stop_the_others(self) -> None:
        seen: list[int] = []
        listeners = Listeners("test listeners")
        before = count("test listeners")
        for listener in (seen.append, lambda _: {}["missing"], seen.append):
            listeners.subscribe(listener)
        listeners.notify(7)
        self.assertEqual([7, 7], seen)
        self.assertEqual(1, count("test listeners") - before)

    # Guards against one exchange that can't be closed and so keeps the deadlines of all others.
    def test_a_deadline_that_fails_does_not_stop_the_others(self) -> None:
        class Exchange:
            def __init__(self, expire: Callable[[], None]) -> None:
                self.expire = expire

        clock = SteppedClock()
        watch = DeadlineWatch(clock)
        expired: list[str] = []
        watch.set_deadline(Exchange(lambda: {}["missing"]), clock.now() + 1.0)
        watch.set_deadline(Exchange(lambda: expired.append("first")), clock.now() + 1.0)
        clock.run(clock.now() + 2.0)
        watch.set_deadline(Exchange(lambda: expired.append("second")), clock.now() + 1.0)
        clock.run(clock.now() + 2.0)
        self.assertEqual(["first", "second"], expired)


class FeedTest(unittest.TestCase):
    """A consumer that fails once, at any call and by any way that records take."""

    def follower(self, consumer: object, feed: ScriptedFeed) -> FeedFollower:
        return FeedFollower(feed, consumer, FakeClock(), random.Random(1), min_read_interval=0.0)

    # Guards against records that were read, could not be applied and are never read again.
    def test_records_on_which_a_consumer_failed_are_listed_again(self) -> None:
        class Failing(RecordingConsumer):
            failures = 1

            def apply_records(self, records: list, source: str = "store") -> None:
                if self.failures:
                    self.failures -= 1
                    raise KeyError("old")
                super().apply_records(records, source)

        listing = Ok(Listing(records=[record("a", 0)], position=FeedPosition(0, 1)))
        both = [record("a", 0), record("b", 1)]
        again = Ok(Listing(records=both, position=FeedPosition(0, 2)))
        batch = Ok(Batch(records=[record("b", 1)], position=FeedPosition(0, 2)))
        more = Ok(Batch(records=[record("c", 2)], position=FeedPosition(0, 3)))
        consumer = Failing()
        feed = ScriptedFeed([listing, Err(UNAVAILABLE), again], [batch, more])
        follower = self.follower(consumer, feed)
        before = count("feed feed")
        for _ in range(5):
            follower.step()
        self.assertEqual(1, count("feed feed") - before)
        applied = [call for call in consumer.calls if call not in ("lost", "regained")]
        self.assertEqual([("store", ["a"]), ("store", ["a", "b"]), ["c"]], applied)

    def test_a_failing_consumer_does_not_keep_records_from_the_others(self) -> None:
        class Failing(RecordingConsumer):
            def apply_listing(self, records: list, source: str) -> None:
                raise KeyError("old")

        last = RecordingConsumer()
        fan_out = FanOutConsumer((Failing(), last))
        with self.assertRaises(KeyError):
            fan_out.apply_listing([record("a", 0)], "store")
        self.assertEqual([("store", ["a"])], last.calls)


class RouterTest(RoutedCase):
    # Guards against listeners of the configuration whose exception ends the task that follows it.
    def test_versions_come_into_force_though_a_listener_of_each_fails(self) -> None:
        calls: list[int] = []

        def fail(table: object) -> None:
            calls.append(1)
            raise KeyError("old")

        self.router.holder.subscribe(fail)
        self.router.registry.subscribe(lambda: {}["missing"])
        self.target("t1", plain_script)
        for version in range(1, 6):
            self.publish(route(), route(f"/n{version}/"), version=version)
            self.assertEqual(200, self.call(f"/n{version}/x").status)
        self.assertEqual(5, len(calls))

    # Guards against one entry on which the decoder fails, and which keeps all others from the feed.
    def test_an_entry_on_which_the_decoder_fails_withdraws_only_its_own_target(self) -> None:
        self.publish(route())
        self.targets.put("bad", b"not a number")
        self.target("t1", plain_script)
        self.assertEqual(200, self.call().status)


if __name__ == "__main__":
    unittest.main()
