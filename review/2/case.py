"""Two of four runners of a service leave within half a second, as planned, without `draining`."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    ONCE_ROUTE,
    PLAIN,
    TROUBLE,
    Record,
    Runner,
    Store,
    configuration,
    free_port,
    loopback,
    request,
    run_case,
    start_routers,
)

DRAIN_S = 2.0
# A runner that leaves goes on serving for drain_ms and a little longer.
LONGER_S = 0.2
# The replacement of a release has started and announced itself so long before the old one leaves.
NEW_FIRST_S = 0.15
REQUESTS_PER_S = 60
ROUNDS = 5
OPTIONS = {"events": 0, "work_s": 0.06}


async def main(record: Record, folder: Path, processes: list) -> int:
    store = Store()
    await store.start(loopback(1))
    hosts = iter(range(100, 250))

    async def start_runner() -> Runner:
        host = loopback(next(hosts))
        address = f"{host}:{free_port(host)}"
        runner = Runner("plain", address, OPTIONS, folder / f"runner-{host}.log")
        processes.append(runner)
        await runner.ready()
        return runner

    def announce(runner: Runner) -> None:
        store.put("keyed.servers", runner.id, runner.entry(slots=6))

    runners = [await start_runner() for _ in range(3)]
    for runner in runners:
        announce(runner)
    store.put("keyed.op", "config", configuration(7, [ONCE_ROUTE], [PLAIN]))
    routers = await start_routers(2, store, folder)
    processes += routers

    gone: dict[str, float] = {}
    answers: dict[str, object] = {}
    stop = asyncio.Event()
    traffic = asyncio.create_task(send_traffic(routers, answers, record, stop))
    await asyncio.sleep(2.0)
    logs = list(runners)
    for number in range(ROUNDS):
        if not TROUBLE:
            await asyncio.sleep(4.0)
            continue
        # release: the new one starts first; scale_in: one more leaves at the same moment.
        reborn = await start_runner()
        logs.append(reborn)
        announce(reborn)
        record(f"round {number}: {reborn.id} is announced as ready")
        await asyncio.sleep(NEW_FIRST_S)
        leaving, runners = runners[:2], [*runners[2:], reborn]
        for runner in leaving:
            gone[runner.id] = store.put("keyed.servers", runner.id, None)
            record(f"round {number}: the entry of {runner.id} is gone, acked at {gone[runner.id]:.3f}")
        await asyncio.sleep(DRAIN_S + LONGER_S)
        for runner in leaving:
            runner.end()
            record(f"round {number}: {runner.id} has ended, {DRAIN_S + LONGER_S:.1f} s after its entry went")
        # scale_out: a third one again, for the next round.
        more = await start_runner()
        logs.append(more)
        announce(more)
        runners.append(more)
        await asyncio.sleep(4.0)
    stop.set()
    await traffic

    late = lost = runs = 0
    for runner in logs:
        events = [json.loads(line) for line in runner.log.read_text(encoding="utf-8").splitlines()]
        done = {event["done"] for event in events if "done" in event}
        for event in events:
            if "runs" not in event:
                continue
            runs += 1
            attempt = event["runs"]
            answer = answers.get(attempt)
            after = event["at"] - gone.get(runner.id, float("inf"))
            record(
                f"{attempt} ran at {runner.id}, at {event['at']:.3f}, finished: {attempt in done}, "
                f"the client got {answer.status if answer else None}"
            )
            if after > DRAIN_S:
                late += 1
                lost += attempt not in done
                record(f"  {after * 1000:.0f} ms after the ack that {runner.id} is gone")
    served = sum(answer.status == 200 for answer in answers.values())
    record.say(
        f"requests: {len(answers)}, served {served}, runs {runs}; {late} reached a runner more than "
        f"{DRAIN_S * 1000:.0f} ms after the ack that it is gone, {lost} of these were cut by its end"
    )
    if served < len(answers) / 2:
        return 2
    return 1 if late else 0


async def send_traffic(routers, answers: dict, record: Record, stop: asyncio.Event) -> None:
    tasks = []
    number = 0
    due = time.monotonic()
    while not stop.is_set():
        number += 1
        attempt = f"{number:06d}cafe"
        tasks.append(asyncio.create_task(client(routers[number % 2], attempt, answers)))
        due += 1 / REQUESTS_PER_S
        await asyncio.sleep(max(0.0, due - time.monotonic()))
    await asyncio.gather(*tasks)


async def client(router, attempt: str, answers: dict) -> None:
    answers[attempt] = await request(
        router,
        attempt=attempt,
        method="POST",
        path=f"/receipt/{attempt}",
        body=b"x" * 600,
        deadline_ms=3000,
    )


sys.exit(run_case(main, FOLDER))
