"""Tests of the subcommands with routers in the same process."""

from __future__ import annotations

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path
from typing import TYPE_CHECKING, Any
from unittest import mock

import yaml

from loomyard_router.requests.journal import Step
from loomyard_standins.fleet import OPERATOR_KEY, start_fleet
from loomyardctl.__main__ import run
from loomyardctl.publishing import publish

if TYPE_CHECKING:
    from loomyardctl.context import Context

ACCOUNT = "kind: ClientAccount\nmetadata: {name: kiosk, labels: {tier: gold}}\nweight: %s\n"
UNREACHABLE = "http://127.0.0.1:1"


class CommandsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = start_fleet(routers=1, engines=1)
        self.addCleanup(self.fleet.stop)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.router = f"http://127.0.0.1:{self.fleet.routers[0].operators.port}"

    def call(self, *argv: str, key: str = OPERATOR_KEY, router: str = "") -> tuple[int, str, str]:
        environment = {"LOOMYARDCTL_KEY": key, "LOOMYARDCTL_ROUTER": router or self.router}
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = run(argv, environment)
        return int(code), out.getvalue(), err.getvalue()

    def write(self, text: str, name: str = "a.yaml") -> str:
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def test_apply_reports_the_routers_with_the_version_in_force(self) -> None:
        code, out, _ = self.call("apply", self.write(ACCOUNT % 3), "-o", "json")
        outcome = json.loads(out)
        self.assertEqual((code, outcome["verdict"]), (0, "accepted"))
        self.assertEqual(outcome["in_force"], ["router-0"])
        self.assertEqual(self.fleet.routers[0].components.follower.state.version, outcome["offset"])
        code, out, _ = self.call("apply", self.write(ACCOUNT % 3))
        self.assertEqual((code, out), (0, "nothing to change: 1 objects are up to date\n"))

    def test_no_manifest_is_applied_if_one_is_not_valid(self) -> None:
        bad = self.write(ACCOUNT % 3 + "---\nkind: Route\nmetadata: {name: R}\nservice: x\n")
        appends = self.fleet.log.log.appends
        code, _, err = self.call("apply", bad)
        self.assertEqual(code, 2)
        self.assertIn(f"{bad}: Route/R: metadata.name: not a name", err)
        self.assertEqual(self.fleet.log.log.appends, appends)

    def test_a_manifest_with_an_outdated_version_is_rejected(self) -> None:
        _, manifest, _ = self.call("get", "clientaccounts", "kiosk", "-o", "yaml")
        old = yaml.safe_load(manifest)
        self.assertEqual(self.call("apply", self.write(ACCOUNT % 4))[0], 0)
        mine = self.write(yaml.safe_dump(old | {"weight": 9.0}), "mine.yaml")
        code, _, err = self.call("apply", mine, "--retry", "3")
        self.assertEqual(code, 1)
        self.assertIn("rejected as stale", err)
        self.assertIn("ClientAccount/kiosk: based on version 0, now version 1", err)

    def test_a_conflict_with_another_operator_is_retried_only_on_request(self) -> None:
        mine, other = self.write(ACCOUNT % 4, "mine.yaml"), self.write(ACCOUNT % 5, "other.yaml")

        def publish_after_other(context: Context, **change: Any) -> Any:
            with mock.patch("loomyardctl.commands.apply.publish", publish):
                self.call("apply", other)
            return publish(context, **change)

        patched = mock.patch("loomyardctl.commands.apply.publish", publish_after_other)
        with patched:
            self.assertEqual(self.call("apply", mine)[0], 1)
        publishers = mock.Mock(side_effect=[publish_after_other, publish])
        with mock.patch(
            "loomyardctl.commands.apply.publish", lambda context, **c: publishers()(context, **c)
        ):
            self.write(ACCOUNT % 6, "other.yaml")
            self.assertEqual(self.call("apply", mine, "--retry", "1")[0], 0)
        account = self.fleet.routers[0].components.follower.routing.accounts["kiosk"]
        self.assertEqual((account.weight, publishers.call_count), (4.0, 2))

    def test_parts_splits_a_set_into_changes_with_services_first(self) -> None:
        route = "kind: Route\nmetadata: {name: a}\nservice: new\n---\n"
        service = "kind: Service\nmetadata: {name: new}\n"
        appends = self.fleet.log.log.appends
        code, out, _ = self.call("apply", self.write(route + service), "--parts", "1")
        self.assertEqual((code, out.splitlines()[0]), (0, "accepted as version 2"))
        self.assertEqual(self.fleet.log.log.appends, appends + 2)

    def test_a_reference_to_an_unknown_service_is_rejected(self) -> None:
        text = "kind: Route\nmetadata: {name: r}\nservice: nowhere\n"
        code, _, err = self.call("apply", self.write(text))
        self.assertEqual(code, 1)
        self.assertIn("Route/r: there is no Service/nowhere", err)

    def test_delete_fails_for_unknown_and_referenced_objects(self) -> None:
        self.assertEqual(self.call("delete", "route/records")[0], 0)
        self.assertEqual(self.call("get", "Route", "records")[0], 1)
        self.assertEqual(self.call("delete", "route/records")[0], 1)
        code, _, err = self.call("delete", "service/assistant")
        self.assertEqual(code, 1)
        self.assertIn("Service/assistant: Route/assistant still names it", err)

    def test_diff_prints_differences_and_changes_nothing(self) -> None:
        code, out, _ = self.call("diff", self.write(ACCOUNT % 5))
        self.assertEqual(code, 0)
        self.assertIn("+weight: 5.0", out)
        self.assertIn("replace ClientAccount/kiosk", out)
        self.assertEqual(self.fleet.routers[0].components.follower.state.version, 0)

    def test_status_and_get_print_tables(self) -> None:
        code, out, _ = self.call("status", "--check")
        self.assertEqual(code, 0)
        self.assertRegex(out, r"router-0 +dc-1 +ready +0 +\d+ +- +reachable +1 ")
        code, out, _ = self.call("get", "targets")
        self.assertEqual(code, 0)
        self.assertIn("Target  engine-0", out)

    def test_targets_print_why_a_target_gets_no_work(self) -> None:
        code, out, _ = self.call("targets")
        self.assertEqual(code, 0)
        self.assertRegex(out, r"engine-0 +serving +8 +8 +assistant")
        self.fleet.routers[0].components.targets.report_leaving("engine-0")
        _, out, _ = self.call("targets", "-o", "json")
        standings = {t["name"]: t["standing"] for t in json.loads(out)["targets"]}
        self.assertEqual(standings["engine-0"], "leaving by its own word")

    def test_explain_prints_the_steps_of_a_known_request(self) -> None:
        journal = self.fleet.routers[0].components.journal
        journal.record("req-1", Step.QUEUED, "behind 3 of account kiosk")
        code, out, _ = self.call("explain", "req-1")
        self.assertEqual(code, 0)
        self.assertRegex(out, r"router-0 +queued +behind 3 of account kiosk")
        self.assertEqual(self.call("explain", "req-2")[0], 1)

    def test_drain_of_targets_and_routers(self) -> None:
        self.assertEqual(self.call("drain", "target", "engine-0")[0], 0)
        self.assertFalse(self.fleet.routers[0].components.targets.may_send("engine-0"))
        stop_requests: list[bool] = []
        self.fleet.routers[0].on_stop_request(lambda: stop_requests.append(True))
        self.assertEqual(self.call("drain", "router", "router-0")[0], 0)
        self.assertEqual(stop_requests, [True])
        self.assertEqual(self.call("drain", "router", "router-9")[0], 1)

    def test_restore_is_refused_while_the_log_has_the_configuration(self) -> None:
        code, _, err = self.call("restore", self.write(ACCOUNT % 3))
        self.assertEqual(code, 1)
        self.assertIn("the log service has the records", err)

    def test_after_a_lost_answer_the_outcome_is_read_without_a_second_append(self) -> None:
        self.fleet.log.log.lose_answers = 1
        appends = self.fleet.log.log.appends
        code, out, _ = self.call("apply", self.write(ACCOUNT % 6))
        self.assertEqual((code, out.splitlines()[0]), (0, "accepted as version 1"))
        self.assertEqual(self.fleet.log.log.appends, appends + 1)

    def test_exit_codes_when_routers_or_the_log_are_unreachable(self) -> None:
        manifest = self.write(ACCOUNT % 7)
        self.assertEqual(self.call("apply", manifest, router=UNREACHABLE)[0], 3)
        self.assertEqual(self.call("apply", manifest, router=f"{UNREACHABLE},{self.router}")[0], 0)
        self.fleet.log.log.down = True
        self.assertEqual(self.call("apply", self.write(ACCOUNT % 8))[0], 3)

    def test_a_wrong_key_is_refused(self) -> None:
        for key in ("wrong", ""):
            code, _, err = self.call("apply", self.write(ACCOUNT % 9), key=key)
            self.assertEqual(code, 1)
            self.assertIn("[6006]", err)
        self.assertEqual(self.fleet.log.log.appends, 1)


if __name__ == "__main__":
    unittest.main()
