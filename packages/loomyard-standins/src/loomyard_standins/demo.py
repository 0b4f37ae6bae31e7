"""Demonstration: run a fleet with callers in one process and print their metrics."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402

from loomyard_standins.demonstration.callers import Caller  # noqa: E402
from loomyard_standins.demonstration.tally import Tally  # noqa: E402
from loomyard_standins.demonstration.utilisation import UtilisationMeter  # noqa: E402
from loomyard_standins.fleet import (  # noqa: E402
    ACCOUNTS,
    ENGINE_SLOTS,
    RECEIPT_ACCOUNT,
    StandinFleet,
    sample_key,
    start_fleet,
)

RUN_SECONDS = 10.0
CALLERS_PER_ACCOUNT = 24
SERVE_SECONDS = 365 * 24 * 3600


def main() -> int:
    """Run the demonstration, or with ``--serve`` keep the fleet up until interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--serve", action="store_true", help="keep the fleet running until interrupted"
    )
    parser.add_argument("--policy", default="fleet", help="share policy")
    arguments = parser.parse_args()
    fleet = start_fleet(policy=arguments.policy)
    try:
        if arguments.serve:
            _serve(fleet)
        else:
            _demonstrate(fleet)
    finally:
        fleet.stop()
    return 0


def _serve(fleet: StandinFleet) -> None:
    print("routers:", *fleet.urls)
    for account in [*ACCOUNTS, RECEIPT_ACCOUNT]:
        print(f"key of {account}: {sample_key(account)}")
    print(
        f"curl -sN {fleet.urls[0]}/v1/chat/completions"
        f" -H 'Authorization: Bearer {sample_key('kiosk')}'"
        " -H 'Content-Type: application/json'"
        """ -d '{"model":"assistant","stream":true,"messages":[{"role":"user","content":"hi"}]}'""",
        flush=True,
    )
    gevent.sleep(SERVE_SECONDS)


def _demonstrate(fleet: StandinFleet) -> None:
    tallies = {name: Tally() for name in ACCOUNTS}
    receipts = Tally()
    meter = UtilisationMeter(fleet.engines, ENGINE_SLOTS * len(fleet.engines))
    appends = fleet.log.log.appends
    sent = [
        (r.components.traffic.sent_bytes, r.components.traffic.sent_messages) for r in fleet.routers
    ]
    _run_callers(fleet, tallies, receipts, until=time.monotonic() + RUN_SECONDS)
    utilisation = meter.stop()
    print(f"{'account':12} {'weight':>6} {'answers':>8} {'tokens':>8} {'share':>6} {'p50 ms':>7}"
          f" {'p99 ms':>7} {'refused':>8}")  # fmt: skip
    total = sum(tally.tokens for tally in tallies.values())
    for name, weight in ACCOUNTS.items():
        _print_tally(name, weight, tallies[name], total)
    print(
        f"receipts: {receipts.answers} written at most once each, p50 {receipts.percentile(50)} ms,"
        f" {fleet.log.log.appends - appends} log appends"
    )
    print(f"utilisation of the engines: {utilisation:.1%}")
    for router, (sent_bytes, sent_messages) in zip(fleet.routers, sent, strict=True):
        traffic = router.components.traffic
        print(
            f"control sent by {router.components.members.own.name}:"
            f" {(traffic.sent_bytes - sent_bytes) / RUN_SECONDS:.0f} bytes/s,"
            f" {(traffic.sent_messages - sent_messages) / RUN_SECONDS:.1f} messages/s"
        )


def _print_tally(name: str, weight: float, tally: Tally, total: int) -> None:
    print(
        f"{name:12} {weight:6.1f} {tally.answers:8} {tally.tokens:8}"
        f" {tally.tokens / max(1, total):6.1%} {tally.percentile(50):7} {tally.percentile(99):7}"
        f" {tally.refusals:8}"
    )


def _run_callers(
    fleet: StandinFleet, tallies: dict[str, Tally], receipts: Tally, *, until: float
) -> None:
    tasks = []
    for name, tally in tallies.items():
        for number in range(CALLERS_PER_ACCOUNT):
            caller = Caller(fleet.urls[number % len(fleet.urls)], sample_key(name), tally)
            tasks.append(gevent.spawn(caller.ask, until, stream=number % 2 == 0))
    for url in fleet.urls:
        writer = Caller(url, sample_key(RECEIPT_ACCOUNT), receipts)
        tasks.append(gevent.spawn(writer.write_receipts, until))
    gevent.joinall(tasks, raise_error=True)


if __name__ == "__main__":
    sys.exit(main())
