"""A stream whose ids rise in steps can't be taken up: the channel is closed without an answer.

Seven routers before three runners whose events hold six tokens each and bear the number of tokens
made so far as their id: 6, 12, 18. One router is killed while clients read streams there. Each takes
its stream up at another router, on a channel that it keeps there, with the id of its last event. The
runner goes on after that event; the router drops what it says and closes the channel.
"""

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from fleet_2 import BROKEN, HELD, TROUBLE, engine, event, plain, route, run_case

CLIENTS, EVENTS, STEP = 24, 40, 6
EVENT_SECONDS = 0.05
ALLOWED = 3


async def draft(channel) -> bool:
    after = int(channel.request.head.get("last-event-id") or 0)
    if not await channel.work(0.05):
        return False
    kind = "Content-Type: text/event-stream"
    await channel.write(channel.head("200 OK", kind, "Transfer-Encoding: chunked"))
    for number in range(after + STEP, EVENTS * STEP + 1, STEP):
        await channel.chunk(event(number))
        if not await channel.work(EVENT_SECONDS):
            return False
    await channel.write(b"0\r\n\r\n")
    return True


async def look_up(channel) -> bool:
    await channel.write(channel.head("200 OK", "Content-Length: 5") + b"hello")
    return True


def last_id(body: bytes) -> int:
    """Return the id of the last whole event of a stream."""
    whole = body[: body.rfind(b"\n\n") + 1]
    ids = [line[4:] for line in whole.split(b"\n") if line.startswith(b"id: ")]
    return int(ids[-1]) if ids else 0


async def case(fleet) -> int:
    await fleet.store.start()
    for number in range(3):
        await fleet.add_runner(f"i-llm-{number}", "loom-llm", 48, draft)
    await fleet.add_runner("i-api-0", "swap-api", 6, look_up)
    terms = {"max_attempts": 2, "timeout_ms": 15000, "slo_ms": 400, "gap_slo_ms": 200}
    drafts = route(
        "draft", "/draft/", "loom-llm", "streaming", resumable=True, sticky=True, **terms
    )
    looks = route("bay", "/bay/", "swap-api", "idempotent", max_attempts=2, timeout_ms=1500)
    fleet.publish([drafts, looks], [engine("loom-llm"), plain("swap-api")], tokens_per_s=10_000_000)
    await fleet.start_routers(7)
    killed, calm = fleet.routers[0], fleet.routers[1]
    client = fleet.client
    unanswered, completed, resumed = [], 0, 0

    async def read_draft(number: int) -> None:
        nonlocal completed, resumed
        kept = await client.connect(calm)
        await client.send(calm, "GET", "/bay/x", deadline_ms=3000, channel=kept)
        prompt = (
            "Loomyard-Model: m",
            "Loomyard-Token-Usage: 146,240",
            f"Loomyard-Prompt-Prefix: 5c1e07a2:80,{number:08x}:66",
        )
        first = await client.send(killed, "POST", "/draft/new", body=b"p" * 146, lines=prompt)
        if first.complete:
            completed += first.status == 200
        elif first.status == 200 and last_id(first.body):
            resumed += 1
            named = (f"Last-Event-Id: {last_id(first.body)}", f"Resumes: {first.id}")
            again = await client.send(
                calm, "POST", "/draft/new", body=b"p" * 146, lines=(*prompt, *named), channel=kept
            )
            completed += again.complete and again.status == 200
            if not again.status and any(again.id == run[0] for run in fleet.runs):
                unanswered.append(again.id)
                fleet.record.write("broken", request=again.id, why="closed_without_an_answer")
        kept[1].close()

    readers = []
    for number in range(CLIENTS):
        readers.append(asyncio.create_task(read_draft(number)))
        await asyncio.sleep(0.03)
    await asyncio.sleep(0.6)
    if TROUBLE:
        killed.signal(signal.SIGKILL)
    await asyncio.gather(*readers)
    print(
        f"{CLIENTS} streams, {resumed} taken up, {completed} complete; "
        f"forwarded and closed without an answer: {len(unanswered)} (allowed: {ALLOWED})"
    )
    return BROKEN if len(unanswered) > ALLOWED else HELD


run_case(HERE, case)
