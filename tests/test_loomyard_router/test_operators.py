"""Tests of the operators' interface on three routers that share a log, without sockets."""

from __future__ import annotations

import io
import json
import unittest
from typing import Any

import gevent
from result import Err

from loomyard.configuration import CONFIG_STREAM
from loomyard.errors import Executed, Fault, ResultCode
from loomyard_router.callers.keys import digest_key
from loomyard_router.configuration.log_snapshots import LogSnapshots
from loomyard_router.operators.app import OperatorsApp
from loomyard_router.operators.changes import ChangePublisher
from loomyard_router.operators.config_restorer import ConfigRestorer
from loomyard_router.operators.fleet_status import FleetStatus
from loomyard_router.operators.keys import OperatorKeys
from loomyard_router.operators.messages import DrainRequest
from loomyard_router.operators.request_explainer import RequestExplainer
from loomyard_router.operators.router_drainer import RouterDrainer
from loomyard_router.requests.journal import Journal, Step
from loomyard_router.targets.directory import make_configured_targets
from loomyard_standins.config_fleet import ConfigFleet, ConfigRouter

KEY = "key-operator"
HANG_SECONDS = 5.0


class OperatedRouter:
    """A router with an operators' interface whose WSGI application is called directly."""

    def __init__(self, fleet: ConfigFleet, router: ConfigRouter) -> None:
        self.config_router = router
        self.journal = Journal(fleet.clock)
        self.stops = 0
        clock, follower = fleet.clock, router.follower
        network = {"members": router.members, "peers": router.links}
        fleet_status = FleetStatus(
            clock=clock, follower=follower, stopping=lambda: False, **network
        )
        self.app = OperatorsApp(
            keys=OperatorKeys([digest_key(KEY)]),
            follower=follower,
            publisher=ChangePublisher(
                clock=clock, log=fleet.log, follower=follower, fleet_status=fleet_status
            ),
            fleet_status=fleet_status,
            explainer=RequestExplainer(clock=clock, journal=self.journal, **network),
            restorer=ConfigRestorer(
                clock=clock,
                log=fleet.log,
                follower=follower,
                snapshots=LogSnapshots(fleet.log),
                fleet_status=fleet_status,
            ),
            drainer=RouterDrainer(clock=clock, begin_stop=self.stop, **network),
            targets=make_configured_targets(),
        )

    def stop(self) -> None:
        self.stops += 1

    def call(self, method: str, path: str, document: Any = None, key: str = KEY) -> tuple[int, Any]:
        body = b"" if document is None else json.dumps(document).encode()
        return self.send(method, path, body, key)

    def send(self, method: str, path: str, body: bytes, key: str = KEY) -> tuple[int, Any]:
        path, _, query = path.partition("?")
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": f"/operators/v1/{path}",
            "QUERY_STRING": query,
            "CONTENT_LENGTH": str(len(body)),
            "HTTP_AUTHORIZATION": f"Bearer {key}",
            "wsgi.input": io.BytesIO(body),
        }
        statuses: list[str] = []
        with gevent.Timeout(HANG_SECONDS):  # the fake clock stands still, so a wait would hang
            answer = b"".join(self.app(environ, lambda status, _: statuses.append(status)))
        return int(statuses[0].split()[0]), json.loads(answer)


def put(weight: float, based_on: int = -1) -> dict[str, Any]:
    account = {"kind": "ClientAccount", "metadata": {"name": "kiosk"}, "weight": weight}
    return {"puts": [{"object": account, "based_on": based_on}], "wait_seconds": 0}


class OperatorsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = ConfigFleet()
        self.routers = [OperatedRouter(self.fleet, self.fleet.start(name)) for name in "abc"]
        self.followers = [router.config_router.follower for router in self.routers]

    def publish(self, router: OperatedRouter, document: dict[str, Any]) -> tuple[int, Any]:
        return self.post(router, "changes", document)

    def post(self, router: OperatedRouter, path: str, document: dict[str, Any]) -> tuple[int, Any]:
        """Post a document while all routers poll the log."""
        task = gevent.spawn(router.call, "POST", path, document)
        while not task.ready():
            gevent.sleep(0)
            self.poll()
            self.fleet.clock.advance(0.1)
        return task.get()

    def poll(self) -> None:
        for follower in self.followers:
            follower.poll()

    def test_one_of_three_concurrent_changes_is_accepted_on_every_router(self) -> None:
        tasks = [
            gevent.spawn(router.call, "POST", "changes", put(weight))
            for router, weight in zip(self.routers, (1.0, 2.0, 3.0), strict=True)
        ]
        gevent.sleep(0)
        for follower in self.followers:
            follower.poll()
        answers = [task.get() for task in tasks]
        self.assertEqual([status for status, _ in answers], [200, 409, 409])
        self.assertEqual({f.state.digest for f in self.followers}, {self.followers[0].state.digest})
        self.assertIn("based on absence, now version 0", answers[1][1]["detail"])

    def test_lagging_and_unresponsive_routers_are_listed(self) -> None:
        self.followers.pop()
        status, outcome = self.publish(self.routers[0], put(1.0))
        self.assertEqual((status, outcome["in_force"]), (200, ["a", "b"]))
        issue = {"name": "c", "detail": "has applied offset -1, cannot reach the log service"}
        self.assertEqual(outcome["lagging"], [issue])
        self.fleet.network.cut({"a"}, {"b"})
        _, report = self.routers[0].call("GET", "status")
        self.assertEqual(
            [(r["name"], r["version"]) for r in report["routers"]], [("a", 0), ("c", -1)]
        )
        self.assertEqual([issue["name"] for issue in report["silent"]], ["b"])

    def test_a_change_whose_append_was_not_answered_is_unsettled_and_found_later(self) -> None:
        class AnswerLosingLog:
            def append(self, stream: str, payload: bytes) -> Any:
                lost.append(payload)
                return Err(
                    Fault(code=ResultCode.LOG_ANSWER_LOST, detail="", executed=Executed.UNKNOWN)
                )

        lost: list[bytes] = []
        publisher = self.routers[0].app._publisher
        publisher._log = AnswerLosingLog()
        document = put(1.0) | {"change_id": "mine"}
        task = gevent.spawn(self.routers[0].call, "POST", "changes", document)
        gevent.sleep(0)
        self.fleet.clock.advance(5.0)
        self.followers[0].replica._updated.set()
        self.assertEqual((task.get()[0], task.get()[1]["code"]), (504, 5004))
        self.assertEqual(len(lost), 1)
        self.fleet.append_record(lost[0])
        self.followers[1].poll()
        status, outcome = self.routers[1].call("GET", "changes/mine")
        self.assertEqual((status, outcome["verdict"], outcome["offset"]), (200, "accepted", 0))

    def test_a_settled_change_is_not_appended_again(self) -> None:
        document = put(1.0) | {"change_id": "mine"}
        for _ in range(2):
            status, outcome = self.publish(self.routers[0], document)
            self.assertEqual((status, outcome["verdict"], outcome["offset"]), (200, "accepted", 0))
        self.assertEqual(self.fleet.log.appends, 1)

    def test_malformed_changes_are_not_appended(self) -> None:
        big = put(1.0)
        big["puts"][0]["object"]["metadata"]["labels"] = {"x": "y" * 600_000}
        surrogate = json.dumps(put(1.0)).replace(
            '"name": "kiosk"', '"name": "kiosk", "labels": {"x": "\\ud800"}'
        )
        bodies = [json.dumps(big).encode(), b"", b"[]", b"{", b'{"puts": [{}]}', b'{"puts": []}']
        for body in [*bodies, surrogate.encode(), json.dumps(put(-1.0)).encode(), b"[" * 100_000]:
            with self.subTest(body=body[:40]):
                status, problem = self.routers[0].send("POST", "changes", body)
                self.assertIn(status, (400, 422))
                self.assertIn(problem["code"], (1001, 5001, 5003))
        self.assertEqual(self.fleet.log.appends, 0)

    def test_calls_without_a_valid_key_are_refused(self) -> None:
        for key in ("wrong", "", KEY + "x", digest_key(KEY)):
            for method, path in (
                ("GET", "objects"),
                ("POST", "changes"),
                ("POST", "routers/a/drain"),
            ):
                status, problem = self.routers[0].call(method, path, put(1.0), key=key)
                self.assertEqual((status, problem["code"]), (401, ResultCode.OPERATOR_REFUSED))
        self.assertEqual((self.fleet.log.appends, self.routers[0].stops), (0, 0))

    def test_a_configuration_whose_records_were_trimmed_is_restored(self) -> None:
        account = put(2.0)["puts"][0]["object"]
        self.fleet.append_changes(4)
        self.fleet.log.trim(CONFIG_STREAM, 2)
        self.poll()
        status, outcome = self.post(self.routers[0], "restore", {"objects": [account]})
        self.assertEqual((status, outcome["in_force"]), (200, ["a", "b", "c"]))
        self.assertEqual({f.state.digest for f in self.followers}, {self.followers[0].state.digest})
        status, outcome = self.publish(self.routers[1], put(3.0, based_on=3))
        self.assertEqual((status, outcome["in_force"]), (200, ["a", "b", "c"]))

    def test_a_restore_is_refused_while_a_router_or_the_log_has_a_configuration(self) -> None:
        objects = {"objects": [put(2.0)["puts"][0]["object"]]}
        route = {"kind": "Route", "metadata": {"name": "r"}, "service": "none"}
        self.poll()
        status, problem = self.routers[0].call("POST", "restore", objects)
        self.assertEqual((status, problem["code"]), (422, 5003))
        self.fleet.append_changes(4)
        self.fleet.log.trim(CONFIG_STREAM, 2)
        self.poll()
        status, problem = self.routers[0].call("POST", "restore", {"objects": [route]})
        self.assertEqual((status, problem["detail"]), (422, "Route/r: there is no Service/none"))
        self.followers[1].replica.adopt_newer(self.fleet.fold_all())
        status, problem = self.routers[0].call("POST", "restore", objects)
        self.assertEqual(status, 422)
        self.assertIn("b has a configuration", problem["detail"])
        self.assertEqual(self.fleet.log.appends, 4)

    def test_any_router_explains_requests_of_others_and_drains_them(self) -> None:
        self.routers[2].journal.record("req-1", Step.QUEUED, "behind 3")
        status, found = self.routers[0].call("GET", "requests/req-1")
        self.assertEqual((status, [item["router"] for item in found]), (200, ["c"]))
        self.assertEqual(found[0]["entries"][0]["detail"], "behind 3")
        self.assertEqual(self.routers[0].call("GET", "requests/req-2")[0], 404)
        self.assertEqual(self.routers[0].call("POST", "routers/b/drain")[0], 200)
        self.assertEqual([router.stops for router in self.routers], [0, 1, 0])
        late = DrainRequest(incarnation=2)  # for another incarnation of the router
        self.assertFalse(
            self.routers[0].config_router.links.request("b", late, 1.0).unwrap().accepted
        )
        self.assertEqual(self.routers[1].stops, 1)


if __name__ == "__main__":
    unittest.main()
