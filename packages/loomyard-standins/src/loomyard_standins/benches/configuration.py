"""Benchmark of the configuration: loading, changes, snapshots and propagation to routers.

Run as ``make bench-configuration``; each size runs in its own process. The last line is JSON.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import hashlib  # noqa: E402
import json  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from typing import Any  # noqa: E402

import gevent  # noqa: E402
from gevent import subprocess  # noqa: E402

from loomyard.clock import SystemClock  # noqa: E402
from loomyard.codec import encode  # noqa: E402
from loomyard.configuration import (  # noqa: E402
    ABSENT,
    CONFIG_STREAM,
    Change,
    Put,
    pack,
    unpack,
)
from loomyard.external.http_log import connect_log  # noqa: E402
from loomyard.external.log_service import LogRecord  # noqa: E402
from loomyard.objects import ClientAccount, Metadata  # noqa: E402
from loomyard_router.configuration.follower import ConfigFollower  # noqa: E402
from loomyard_router.configuration.replica import ConfigReplica  # noqa: E402
from loomyard_standins.benches.slopes.usage import resident_bytes  # noqa: E402
from loomyard_standins.log_service import LogServer, MemoryLog  # noqa: E402

SIZES = (1_000, 10_000, 31_000)
ACCOUNTS_PER_CHANGE = 500
RECORDS_PER_READ = 100
CHANGES_TIMED = 200
ROUTERS = 8
APPENDS_TIMED = 30
MILLISECONDS = 1000.0


class Account:
    """The client account that is changed, with the version that its next change is based on."""

    def __init__(self) -> None:
        self.version = ABSENT
        self._number = 0

    def next_record(self) -> bytes:
        """Return the next change of the account as an encoded record."""
        self._number += 1
        item = make_account(0, weight=1.0 + self._number % 9)
        put = Put(object=item, based_on=self.version)
        return encode(Change(change_id=f"t{self._number}", puts=[put]))


def make_account(number: int, weight: float = 1.0) -> ClientAccount:
    """Make a client account with one key and two labels."""
    return ClientAccount(
        metadata=Metadata(
            name=f"account-{number:05}", labels={"tier": "standard", "site": f"s{number % 40}"}
        ),
        key_digests=[hashlib.sha256(str(number).encode()).hexdigest()],
        weight=weight,
    )


def make_records(size: int) -> list[bytes]:
    """Return the encoded records that create ``size`` accounts."""
    records = []
    for start in range(0, size, ACCOUNTS_PER_CHANGE):
        numbers = range(start, min(start + ACCOUNTS_PER_CHANGE, size))
        puts = [Put(object=make_account(number)) for number in numbers]
        records.append(encode(Change(change_id=f"c{start}", puts=puts)))
    return records


def measure(size: int) -> dict[str, Any]:
    """Measure a configuration of ``size`` accounts in this process."""
    records = [LogRecord(offset, data) for offset, data in enumerate(make_records(size))]
    memory_before, replica = resident_bytes(), ConfigReplica()
    started = time.perf_counter()
    replica.apply(records)
    load = time.perf_counter() - started
    memory = resident_bytes() - memory_before
    assert len(replica.routing.accounts) == size
    result = {
        "objects": size,
        "records_bytes": sum(len(record.payload) for record in records),
        "load_ms": load * MILLISECONDS,
        "memory_bytes": memory,
        **_time_changes(replica, len(records)),
        **_time_snapshot(replica),
        **_time_in_force(records),
    }
    return {key: round(v, 3) if isinstance(v, float) else v for key, v in result.items()}


def _time_changes(replica: ConfigReplica, offset: int) -> dict[str, Any]:
    account, times = Account(), []
    account.version = 0
    for number in range(offset, offset + CHANGES_TIMED):
        record = LogRecord(number, account.next_record())
        started = time.perf_counter()
        replica.apply([record])
        times.append((time.perf_counter() - started) * MILLISECONDS)
        account.version = number
    assert replica.state.version == offset + CHANGES_TIMED - 1
    return _percentiles("change_ms", times)


def _time_snapshot(replica: ConfigReplica) -> dict[str, Any]:
    (parts, pack_seconds), pack_block = _measure_blocking(
        lambda: _timed(lambda: pack(replica.state))
    )
    (state, unpack_seconds), unpack_block = _measure_blocking(
        lambda: _timed(lambda: unpack(parts).unwrap())
    )
    assert state == replica.state
    return {
        "snapshot_bytes": sum(len(part.data) for part in parts),
        "snapshot_parts": len(parts),
        "pack_ms": pack_seconds * MILLISECONDS,
        "pack_longest_block_ms": pack_block * MILLISECONDS,
        "unpack_ms": unpack_seconds * MILLISECONDS,
        "unpack_longest_block_ms": unpack_block * MILLISECONDS,
    }


def _time_in_force(records: list[LogRecord]) -> dict[str, Any]:
    server = LogServer(MemoryLog())
    server.start()
    for record in records:
        server.log.append(CONFIG_STREAM, record.payload)
    followers = [ConfigFollower(connect_log(server.address), SystemClock()) for _ in range(ROUTERS)]
    for follower in followers:
        follower.start()
    _await_version(followers, len(records) - 1)
    account, times = Account(), []
    account.version = 0
    for _ in range(APPENDS_TIMED):
        started = time.perf_counter()
        account.version = server.log.append(CONFIG_STREAM, account.next_record()).unwrap()
        _await_version(followers, account.version)
        times.append((time.perf_counter() - started) * MILLISECONDS)
    for follower in followers:
        follower.stop()
    server.stop()
    return _percentiles("in_force_ms", times)


def _await_version(followers: list[ConfigFollower], version: int) -> None:
    for follower in followers:
        while follower.state.version < version:
            follower.replica.await_update(1.0)


def _timed(work: Any) -> tuple[Any, float]:
    started = time.perf_counter()
    outcome = work()
    return outcome, time.perf_counter() - started


def _measure_blocking(work: Any) -> tuple[Any, float]:
    """Return the result of work and the longest time, in seconds, that it blocked the loop."""
    longest = 0.0

    def watch_loop() -> None:
        nonlocal longest
        last = time.perf_counter()
        while True:
            gevent.sleep(0)
            now = time.perf_counter()
            longest, last = max(longest, now - last), now

    other = gevent.spawn(watch_loop)
    gevent.sleep(0)
    outcome = work()
    gevent.sleep(0)
    other.kill()
    return outcome, longest


def _percentiles(name: str, times: list[float]) -> dict[str, float]:
    times.sort()
    return {
        f"{name}_p50": times[len(times) // 2],
        f"{name}_p99": times[min(len(times) - 1, len(times) * 99 // 100)],
        f"{name}_max": times[-1],
    }


def main() -> int:
    """Measure each size in its own process and print the results."""
    if len(sys.argv) > 1:
        print(json.dumps(measure(int(sys.argv[1]))))
        return 0
    results = []
    for size in SIZES:
        command = [sys.executable, "-m", "loomyard_standins.benches.configuration", str(size)]
        lines = subprocess.check_output(command).decode().splitlines()
        results.append(json.loads(lines[-1]))
    for key in results[0]:
        print(f"{key:24}", *(f"{result[key]:>14}" for result in results))
    print(json.dumps({"bench": "configuration", "routers": ROUTERS, "sizes": results}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
