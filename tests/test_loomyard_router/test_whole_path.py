"""End-to-end tests through routers and engines, with the OpenAI client and over HTTP."""

from __future__ import annotations

import json
import socket
import unittest

import gevent
import openai
from geventhttpclient import HTTPClient

from loomyard_standins.fleet import sample_key, start_fleet


class WholePathTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = start_fleet(routers=2, engines=2)
        cls.addClassCleanup(cls.fleet.stop)

    def client(self, key: str = sample_key("kiosk")) -> openai.OpenAI:
        return openai.OpenAI(base_url=self.fleet.urls[0] + "/v1", api_key=key, max_retries=0)

    def test_lists_models(self) -> None:
        self.assertEqual([model.id for model in self.client().models.list()], ["assistant"])

    def test_whole_answer(self) -> None:
        answer = self.client().chat.completions.create(
            model="assistant", messages=[{"role": "user", "content": "hi"}], max_tokens=5
        )
        self.assertEqual(answer.choices[0].message.content, "t0 t1 t2 t3 t4 ")
        self.assertEqual(answer.usage.completion_tokens, 5)

    def test_streamed_answer(self) -> None:
        chunks = list(
            self.client().completions.create(
                model="assistant", prompt="hi", max_tokens=4, stream=True
            )
        )
        text = "".join(chunk.choices[0].text for chunk in chunks if chunk.choices)
        self.assertEqual(text, "t0 t1 t2 t3 ")

    def test_nagles_algorithm_does_not_delay_the_end_of_an_answer(self) -> None:
        server = self.fleet.routers[0]._server.socket
        self.assertTrue(server.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))

    def test_unknown_key(self) -> None:
        with self.assertRaises(openai.AuthenticationError) as caught:
            self.client("wrong").models.list()
        self.assertEqual(caught.exception.body["loomyard"]["executed"], "no")

    def test_plain_service(self) -> None:
        client = HTTPClient("127.0.0.1", self.fleet.routers[1].port)
        headers = {"Authorization": f"Bearer {sample_key('labels')}"}
        response = client.post("/services/records/lots/7?x=1", b"steel", headers)
        self.assertEqual(json.loads(response.read())["echo"], "steel")
        self.assertEqual(self.fleet.plain.executed[-1][1], "/lots/7")

    def test_a_keyed_request_that_is_repeated_at_any_router_runs_once(self) -> None:
        headers = {"Authorization": f"Bearer {sample_key('kiosk')}", "Idempotency-Key": '"r-1"'}
        answers = [
            bytes(
                HTTPClient("127.0.0.1", router.port)
                .post("/services/records/receipts", b"swap", headers)
                .read()
            )
            for router in self.fleet.routers * 2
        ]
        self.assertEqual(len(set(answers)), 1)
        ran = [call for call in self.fleet.plain.executed if call[1] == "/receipts"]
        self.assertEqual(len(ran), 1)

    def post_receipt(self, router, key: str, body: bytes = b"swap"):
        headers = {"Authorization": f"Bearer {sample_key('kiosk')}", "Idempotency-Key": key}
        client = HTTPClient("127.0.0.1", router.port)
        response = client.post("/services/records/receipts", body, headers)
        return response.status_code, json.loads(response.read())

    def test_concurrent_requests_with_one_key_run_once_and_get_one_answer(self) -> None:
        before = len(self.fleet.plain.executed)
        tasks = [
            gevent.spawn(self.post_receipt, router, "race") for router in self.fleet.routers * 3
        ]
        gevent.joinall(tasks, raise_error=True)
        self.assertEqual({task.value[0] for task in tasks}, {200})
        self.assertEqual(len({task.value[1]["number"] for task in tasks}), 1)
        self.assertEqual(len(self.fleet.plain.executed) - before, 1)

    def test_a_repeat_is_refused_if_the_answer_was_too_large_to_store(self) -> None:
        body = b"x" * 20_000
        status, _ = self.post_receipt(self.fleet.routers[0], "large", body)
        again, problem = self.post_receipt(self.fleet.routers[1], "large", body)
        self.assertEqual((status, again), (200, 409))
        self.assertEqual((problem["code"], problem["executed"]), (4006, "yes"))

    def test_without_the_log_service_only_requests_with_a_key_are_refused(self) -> None:
        router, before = self.fleet.routers[0], len(self.fleet.plain.executed)
        self.fleet.log.log.down = True
        status, problem = self.post_receipt(router, "down")
        self.assertEqual((status, problem["code"], problem["executed"]), (503, 4005, "no"))
        self.assertEqual(len(self.fleet.plain.executed), before)
        headers = {"Authorization": f"Bearer {sample_key('kiosk')}"}
        client = HTTPClient("127.0.0.1", router.port)
        unclaimed = client.post("/services/records/receipts", b"swap", headers)
        self.assertEqual(unclaimed.status_code, 200)
        self.fleet.log.log.down = False
        while self.post_receipt(router, "down")[0] != 200:
            gevent.sleep(0.01)
        self.assertEqual(len(self.fleet.plain.executed), before + 2)

    def test_unknown_service_is_a_problem_document(self) -> None:
        client = HTTPClient("127.0.0.1", self.fleet.routers[1].port)
        headers = {"Authorization": f"Bearer {sample_key('labels')}"}
        response = client.get("/services/none/", headers)
        problem = json.loads(response.read())
        self.assertEqual((response.status_code, problem["code"]), (404, 1004))
        self.assertEqual((problem["executed"], problem["retry_safe"]), ("no", True))


if __name__ == "__main__":
    unittest.main()
