"""Clients that leave early: runners go on working for them for up to a second.

Three routers before six runners that read a long prompt in 0.7 s. Clients send such prompts as a
link with some milliseconds of delay carries them: in parts. Some leave within their objective. Rule:
half a second after the close, runners are still at work on at most a quarter of the streams that
would have run that long.
"""

import asyncio
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from fleet_2 import BROKEN, HELD, TROUBLE, engine, event, route, run_case

REQUESTS, GAP_SECONDS = 140, 0.3
LEAVING_SHARE = 0.3
# A prompt of the largest size of the site, at one byte a token, and the time that a runner of the
# site takes to read it and to make the first token.
PROMPT_TOKENS, READING_SECONDS = 54600, 54600 / 81.9 / 1000 + 0.041
# The first window of a TCP connection, and a round trip to the clients.
PART_BYTES, ROUND_TRIP_SECONDS = 14600, 0.002
OBJECTIVE_SECONDS = 0.8
SLACK_SECONDS, MAX_SHARE = 0.5, 0.25


async def draft(channel) -> bool:
    if not await channel.work(READING_SECONDS):
        return False
    kind = "Content-Type: text/event-stream"
    await channel.write(channel.head("200 OK", kind, "Transfer-Encoding: chunked"))
    for number in range(1, 31):
        await channel.chunk(event(number))
        if not await channel.work(0.02):
            return False
    await channel.write(b"0\r\n\r\n")
    return True


async def case(fleet) -> int:
    await fleet.store.start()
    for number in range(6):
        await fleet.add_runner(f"i-llm-{number}", "loom-pool", 64, draft)
    terms = {"resumable": True, "max_attempts": 2, "timeout_ms": 15000, "slo_ms": 800}
    drafts = route("draft", "/draft/", "loom-pool", "streaming", gap_slo_ms=300, **terms)
    fleet.publish([drafts], [engine("loom-pool", 64)], tokens_per_s=10_000_000)
    await fleet.start_routers(3)
    rng = random.Random(5)
    tasks = []
    for number in range(REQUESTS):
        leaves = TROUBLE and rng.random() < LEAVING_SHARE
        send = fleet.client.send(
            fleet.routers[number % 3],
            "POST",
            "/draft/new",
            body=b"p" * PROMPT_TOKENS,
            parts=-(-PROMPT_TOKENS // PART_BYTES),
            part_gap=ROUND_TRIP_SECONDS,
            lines=(
                "Loomyard-Model: m",
                f"Loomyard-Token-Usage: {PROMPT_TOKENS},330",
                f"Loomyard-Prompt-Prefix: {number:08x}:{PROMPT_TOKENS}",
            ),
            leave_after=rng.uniform(0.04, OBJECTIVE_SECONDS / 2) if leaves else None,
        )
        tasks.append(asyncio.create_task(send))
        await asyncio.sleep(GAP_SECONDS)
    answers = await asyncio.gather(*tasks)
    await asyncio.sleep(2.0)
    begun = {run[0]: run[2] for run in fleet.runs}
    ended = {end[0]: end[2] for end in fleet.ends}
    # What would have run half a second beyond the close, by the reading of its prompt alone.
    owed = [
        one
        for one in answers
        if one.left
        and one.id in begun
        and begun[one.id] + READING_SECONDS > one.ended_at + SLACK_SECONDS
    ]
    late = [one for one in owed if ended[one.id] > one.ended_at + SLACK_SECONDS]
    for one in late:
        seconds = round(ended[one.id] - one.ended_at, 3)
        fleet.record.write("broken", request=one.id, at_work_after_close_s=seconds)
    served = sum(one.status == 200 and one.complete for one in answers)
    print(
        f"{len(answers)} requests, {served} served, {sum(one.left for one in answers)} left; "
        f"{len(owed)} would have run on for half a second, {len(late)} were still at work then"
    )
    return BROKEN if len(late) > MAX_SHARE * len(owed) else HELD


run_case(HERE, case)
