"""End-to-end tests of targets that leave."""

from __future__ import annotations

import unittest

import gevent
import openai

from loomyard_standins.fleet import sample_key, start_fleet


class LeavingPathTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = start_fleet(routers=1, engines=2)
        self.addCleanup(self.fleet.stop)

    def complete(self) -> str:
        client = openai.OpenAI(
            base_url=self.fleet.urls[0] + "/v1", api_key=sample_key("kiosk"), max_retries=0
        )
        answer = client.completions.create(model="assistant", prompt="hi", max_tokens=1)
        return answer.choices[0].text

    def test_a_leaving_refusal_is_retried_elsewhere_and_stops_new_work(self) -> None:
        targets = self.fleet.routers[0].components.targets
        self.fleet.engines[0].leaving = True
        answers = [self.complete() for _ in range(12)]
        self.assertEqual(answers, ["t0 "] * 12)
        self.assertFalse(targets.may_send("engine-0"))
        self.assertEqual(self.fleet.engines[0].opened, [])

    def test_a_leaving_load_report_stops_new_work(self) -> None:
        targets = self.fleet.routers[0].components.targets
        self.fleet.engines[1].leaving = True
        with gevent.Timeout(10):
            while targets.may_send("engine-1"):
                gevent.sleep(0.02)
        self.assertEqual(self.fleet.engines[1].opened, [])


if __name__ == "__main__":
    unittest.main()
