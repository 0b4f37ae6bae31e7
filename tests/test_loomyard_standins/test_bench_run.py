"""Tests of the components of a benchmark run that need no child process."""

from __future__ import annotations

import unittest

import numpy as np

from loomyard_standins.benches.comparison import compare, make_table
from loomyard_standins.benches.control_traffic import control_traffic_rates
from loomyard_standins.benches.counter_snapshot import CounterSnapshot
from loomyard_standins.benches.draws import HINT_FACTOR, MAX_OVER_MEAN, Draws
from loomyard_standins.benches.load_balancer import LoadBalancer
from loomyard_standins.benches.router_status import RouterStatus
from loomyard_standins.benches.timeline import WARM_UP_SECONDS, Phase, Timeline
from loomyard_standins.benches.workload import USERS, make_workload


def status(size: int, messages: int) -> RouterStatus:
    return RouterStatus(
        version=0,
        live=2,
        log_appends=messages,
        control_bytes=size,
        control_messages=messages,
        slots_moved=messages,
        kinds={"sr": (messages, size)},
    )


def snapshot(at: float, *statuses: RouterStatus) -> CounterSnapshot:
    return CounterSnapshot(
        at=at, driver_cpu=0.0, targets_cpu=0.0, routers_cpu=(), statuses=statuses
    )


class RunTest(unittest.TestCase):
    def test_callers_connect_to_the_next_router_while_theirs_is_down(self) -> None:
        ports = [10, 11, 12]
        balancer = LoadBalancer(ports)
        balancer.set_down(1, down=True)
        balancer.set_down(2, down=True)
        self.assertEqual([balancer.port(router) for router in range(3)], [10, 10, 10])
        balancer.set_down(1, down=False)
        ports[1] = 99
        self.assertEqual(balancer.port(1), 99)
        self.assertEqual(LoadBalancer([7]).port(5), 7)

    def test_the_phases_of_a_run_follow_each_other(self) -> None:
        timeline = Timeline(calm=3.0, flood=2.0, event=1.0)
        self.assertEqual(timeline.start_of(Phase.CALM), WARM_UP_SECONDS)
        for earlier, later in zip(timeline.phases, timeline.phases[1:], strict=False):
            self.assertEqual(timeline.end_of(earlier), timeline.start_of(later))
        self.assertEqual(timeline.end, WARM_UP_SECONDS + 3 + 2 + 4)
        self.assertEqual(Timeline(calm=3.0, flood=2.0).end, WARM_UP_SECONDS + 5)

    def test_control_counts_what_was_sent_between_two_snapshots(self) -> None:
        before = snapshot(10.0, status(1000, 10), status(0, 0))
        after = snapshot(14.0, status(1400, 14), status(2000, 40))
        figures = control_traffic_rates(before, after)
        self.assertEqual(figures["bytes_per_s_mean"], 300)
        self.assertEqual(figures["bytes_per_s_busiest"], 500)
        self.assertEqual(figures["messages_per_s_mean"], 5.5)
        self.assertEqual(figures["messages_per_s_busiest"], 10.0)
        self.assertEqual(figures["log_appends_per_s"], 11.0)
        self.assertEqual(figures["bytes_per_s_by_kind"], {"sr": 300})

    def test_the_fleet_is_compared_within_one_run(self) -> None:
        def window(gap: int, used: float) -> dict:
            gaps = {"gap_one_service": {"units": gap, "accounts": ["a", "b"]}}
            return {"calm": {**gaps, "utilisation_percent": used}}

        figures = {"single": window(100, 80.0), "fleet": window(150, 60.0)}
        self.assertEqual(
            compare(figures, "fleet"),
            {"calm": {"single": {"gap_ratio": 1.5, "utilisation_ratio": 0.75}}},
        )
        _, line = make_table(figures).splitlines()
        self.assertEqual(line.split(), ["calm", "100", "80.0", "%", "150", "60.0", "%"])

    def test_draws_depend_on_seed_and_account_only(self) -> None:
        plan = make_workload(USERS[0]).accounts[0]
        first, second = Draws(plan, 1), Draws(plan, 1)
        costs = [first.tokens() for _ in range(2000)]
        self.assertEqual(costs, [second.tokens() for _ in range(2000)])
        self.assertNotEqual(costs, [Draws(plan, 2).tokens() for _ in range(2000)])
        self.assertLess(abs(np.mean(costs) / plan.mean_cost - 1), 0.1)
        self.assertLessEqual(max(costs), MAX_OVER_MEAN * plan.mean_cost + 1)
        hints = [hint for _ in range(200) if (hint := first.cost_hint(100.0)) is not None]
        self.assertGreaterEqual(min(hints), 100.0 / HINT_FACTOR)
        self.assertLessEqual(max(hints), 100.0 * HINT_FACTOR)

    def test_both_users_have_16_accounts_and_their_numbers_of_targets(self) -> None:
        targets = {"cambiavolt": (6, 3), "cap-bon": (5, 3)}
        for user in USERS:
            workload = make_workload(user)
            self.assertEqual(len(workload.accounts), 16)
            *models, plain = workload.services
            self.assertEqual((sum(m.targets for m in models), plain.targets), targets[user])
            names = {plan.name for plan in workload.accounts}
            self.assertLessEqual({workload.smallest, workload.flooding}, names)


if __name__ == "__main__":
    unittest.main()
