"""Routers that were started after a route of streams went away follow the configuration no more.

Three routers. One version of the configuration takes a route of streams away, then the routers are
stopped by SIGTERM and started again in turn. Two more versions follow: the last one adds a route and
takes a key away. Well after that, each router is asked for the new route with a good key, and for an
old route with the key that is gone.
"""

import asyncio
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from fleet_2 import BOUNDS, BROKEN, HELD, KEY, TROUBLE, engine, event, plain, route, run_case

LOST_KEY = "k7b2ex5wa5xwyhks8nbk"
APPLY = BOUNDS["config_apply_ms"] / 1000
CONTACT = BOUNDS["contact_ms"] / 1000


async def stream(channel) -> bool:
    if not await channel.work(0.05):
        return False
    kind = "Content-Type: text/event-stream"
    await channel.write(channel.head("200 OK", kind, "Transfer-Encoding: chunked"))
    for number in range(1, 9):
        await channel.chunk(event(number))
        if not await channel.work(0.02):
            return False
    await channel.write(b"0\r\n\r\n")
    return True


async def serve(channel) -> bool:
    if not await channel.work(0.05):
        return False
    await channel.write(channel.head("200 OK", "Content-Length: 5") + b"hello")
    return True


def streams(name: str) -> dict:
    terms = {"resumable": True, "max_attempts": 2, "timeout_ms": 15000, "slo_ms": 400}
    return route(name, f"/{name}/", "loom-llm", "streaming", gap_slo_ms=200, sticky=True, **terms)


def lookups(name: str) -> dict:
    terms = {"max_attempts": 2, "timeout_ms": 1500, "slo_ms": 300}
    return route(name, f"/{name}/", "swap-api", "idempotent", **terms)


async def case(fleet) -> int:
    await fleet.store.start()
    for number in range(2):
        await fleet.add_runner(f"i-llm-{number}", "loom-llm", 48, stream)
        await fleet.add_runner(f"i-api-{number}", "swap-api", 6, serve)
    services = [engine("loom-llm"), plain("swap-api")]
    client = fleet.client

    def publish(*routes: dict, keys: tuple[str, ...] = (KEY, LOST_KEY)) -> None:
        fleet.publish(list(routes), services, keys=keys)

    publish(streams("draft"), streams("old"), lookups("bay"))
    await fleet.start_routers(3)
    publish(streams("draft"), lookups("bay"))  # the route "old" goes away
    await asyncio.sleep(APPLY + 1.0)
    if TROUBLE:
        for router in fleet.routers:
            router.signal(signal.SIGTERM)
            await asyncio.to_thread(router.process.wait, 12)
            router.start()
            await router.wait_ready()
    await asyncio.sleep(CONTACT + 2.0)
    publish(streams("draft"), lookups("bay"), lookups("bay-2"))
    await asyncio.sleep(APPLY + 1.0)
    publish(streams("draft"), lookups("bay"), lookups("bay-2"), lookups("bay-3"), keys=(KEY,))
    acked = time.monotonic()
    missing, dropped = 0, 0
    for wait in (APPLY + 1.0, 4 * APPLY):
        await asyncio.sleep(max(0.0, acked + wait - time.monotonic()))
        for router in fleet.routers:
            answer = await client.send(router, "GET", "/bay-3/x", deadline_ms=3000)
            missing += answer.status == 404
            answer = await client.send(router, "GET", "/bay/x", deadline_ms=3000, key=LOST_KEY)
            ran = any(answer.id == run[0] for run in fleet.runs)
            dropped += ran
            fleet.record.write("seen", router=router.name, after_ack_s=wait, ran_under_lost_key=ran)
    print(f"404 on the new route: {missing} of 6; run under the key that is gone: {dropped} of 6")
    return BROKEN if missing or dropped else HELD


run_case(HERE, case)
