"""A runner crashes in the middle of streams whose events name their id after their data."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    ENGINES,
    STREAM_ROUTE,
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
    stream_headers,
)

ROUTERS, RUNNERS = 3, 6
EVENTS = 60
STREAMS = 36
OPTIONS = {"events": EVENTS, "gap_s": 0.03, "first_s": 0.03, "framed": True, "id_last": True}
CLIENT_GAP_S = 2.0
ENTRY_LAPSES_S = 3 * 1.2


async def main(record: Record, folder: Path, processes: list) -> int:
    store = Store()
    await store.start(loopback(1))
    runners: list[Runner] = []
    for number in range(RUNNERS):
        host = loopback(100 + number)
        runner = Runner("engines", f"{host}:{free_port(host)}", OPTIONS, folder / f"{host}.log")
        processes.append(runner)
        runners.append(runner)
    for runner in runners:
        await runner.ready()
        store.put("keyed.servers", runner.id, runner.entry())
    store.put("keyed.op", "config", configuration(7, [STREAM_ROUTE], [ENGINES]))
    routers = await start_routers(ROUTERS, store, folder)
    processes += routers

    clients = [
        asyncio.create_task(client(routers[n % ROUTERS], f"{n:06d}beef")) for n in range(STREAMS)
    ]
    await asyncio.sleep(0.9)
    if TROUBLE:
        victim = max(runners, key=lambda runner: runner.runs)
        record(f"{victim.id} crashes")
        victim.end()
        await asyncio.sleep(ENTRY_LAPSES_S)
        store.put("keyed.servers", victim.id, None)
    answers = dict(await asyncio.gather(*clients))

    runs: dict[str, list[str]] = {attempt: [] for attempt in answers}
    for runner in runners:
        for line in runner.log.read_text(encoding="utf-8").splitlines():
            event = json.loads(line)
            if "runs" in event:
                after = event["after"]
                runs[event["runs"]].append(f"{runner.id} {'after ' + after if after else 'from 0'}")
    whole = broken = cut = other = resumed = 0
    for attempt, answer in sorted(answers.items()):
        pieces, at = read_events(answer.body)
        expected = [(number, f"piece-{number:05d}") for number in range(EVENTS)]
        missing = [number for number, text in expected if (number, text) not in pieces]
        resumed += len(runs[attempt]) > 1
        verdict = "other"
        if answer.status != 200:
            other += 1
        elif not answer.complete:
            verdict = "cut off visibly"
            cut += 1
        elif pieces == expected:
            verdict = "whole"
            whole += 1
        else:
            verdict = f"ended as complete, pieces missing: {missing}"
            broken += 1
        record(
            f"{attempt}: status {answer.status}, run by {', '.join(runs[attempt])}; {verdict} "
            f"{answer.error}"
        )
        if verdict.startswith("ended"):
            record(f"  bytes around the missing piece: {at}")
    record.say(
        f"streams: {whole} whole, {resumed} resumed by a router, {cut} cut off visibly, {other} "
        f"refused, {broken} ended as complete with a piece missing"
    )
    if whole == 0 or (TROUBLE and resumed == 0):
        return 2
    return 1 if broken else 0


def read_events(body: bytes) -> tuple[list[tuple[int, str]], str]:
    """Read events as text/event-stream has it: fields in any order, none without data is one.

    Also return what stands around the first event that has an id and no data.
    """
    events, odd = [], ""
    blocks = body.decode().split("\n\n")
    for number, block in enumerate(blocks[:-1]):
        fields = dict(line.split(": ", 1) for line in block.split("\n") if ": " in line)
        if "data" in fields:
            events.append((int(fields.get("id", -1)), fields["data"]))
        elif not odd:
            odd = repr("\n\n".join(blocks[max(0, number - 1) : number + 2]))
    return events, odd


async def client(router, attempt: str):
    answer = await request(
        router,
        attempt=attempt,
        method="POST",
        path=f"/draft/{attempt}",
        body=b"x" * 800,
        deadline_ms=15000,
        headers=stream_headers(1200, EVENTS),
        gap_s=CLIENT_GAP_S,
    )
    return attempt, answer


sys.exit(run_case(main, FOLDER))
