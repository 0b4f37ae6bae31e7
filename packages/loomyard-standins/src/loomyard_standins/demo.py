"""The demonstration: a fleet in one process, its callers and what they saw."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from collections import Counter  # noqa: E402
from urllib.parse import urlsplit  # noqa: E402

import gevent  # noqa: E402
from geventhttpclient import HTTPClient  # noqa: E402
from hdrh.histogram import HdrHistogram  # noqa: E402

from loomyard_standins.fleet import ACCOUNTS, StandinFleet, sample_key, start_fleet  # noqa: E402

SECONDS = 10.0
CALLERS_PER_ACCOUNT = 12
MAX_MILLISECONDS = 60_000


def main() -> int:
    """Run the demonstration, or serve until interrupted."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--serve", action="store_true", help="keep the fleet running")
    fleet = start_fleet()
    try:
        if parser.parse_args().serve:
            _serve(fleet)
        else:
            _demonstrate(fleet)
    finally:
        fleet.stop()
    return 0


def _serve(fleet: StandinFleet) -> None:
    print("routers:", *fleet.urls)
    for account in ACCOUNTS:
        print(f"key of {account}: {sample_key(account)}")
    print(
        f"curl -sN {fleet.urls[0]}/v1/chat/completions"
        f" -H 'Authorization: Bearer {sample_key('kiosk')}'"
        """ -H 'Content-Type: application/json'"""
        """ -d '{"model":"assistant","stream":true,"messages":[{"role":"user","content":"hi"}]}'"""
    )
    sys.stdout.flush()
    gevent.sleep(3600 * 24 * 365)


def _demonstrate(fleet: StandinFleet) -> None:
    tokens: Counter[str] = Counter()
    latency = {name: HdrHistogram(1, MAX_MILLISECONDS, 3) for name in ACCOUNTS}
    until = time.monotonic() + SECONDS
    callers = [
        gevent.spawn(_call, fleet, account, number, until, tokens, latency[account])
        for account in ACCOUNTS
        for number in range(CALLERS_PER_ACCOUNT)
    ]
    gevent.joinall(callers, raise_error=True)
    print(f"{'account':12} {'weight':>6} {'tokens':>8} {'p50 ms':>7} {'p99 ms':>7}")
    for name, weight in ACCOUNTS.items():
        p50, p99 = (latency[name].get_value_at_percentile(p) for p in (50, 99))
        print(f"{name:12} {weight:6.1f} {tokens[name]:8} {p50:7} {p99:7}")


def _call(
    fleet: StandinFleet,
    account: str,
    number: int,
    until: float,
    tokens: Counter[str],
    latency: HdrHistogram,
) -> None:
    parts = urlsplit(fleet.urls[number % len(fleet.urls)])
    client = HTTPClient(parts.hostname, parts.port, network_timeout=60.0)
    headers = {"Authorization": f"Bearer {sample_key(account)}"}
    while (started := time.monotonic()) < until:
        stream = number % 2 == 0
        body = {"model": "assistant", "prompt": "x" * 40, "max_tokens": 40, "stream": stream}
        response = client.post("/v1/completions", json.dumps(body), headers)
        answer = bytes(response.read())
        tokens[account] += answer.count(b"\n\n") - 2 if stream else _tokens(answer)
        latency.record_value(max(1, int(1000 * (time.monotonic() - started))))


def _tokens(answer: bytes) -> int:
    return json.loads(answer)["usage"]["completion_tokens"]


if __name__ == "__main__":
    sys.exit(main())
