"""Benchmark of streaming through a router against direct connections to the engines.

Router, engines and callers run in processes of their own. The last line of output is JSON.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402
from pathlib import Path  # noqa: E402

import gevent  # noqa: E402
from gevent import subprocess  # noqa: E402
from gevent.socket import create_connection, socket  # noqa: E402

from loomyard.codec import encode  # noqa: E402
from loomyard.configuration import Change, Put  # noqa: E402
from loomyard.objects import ClientAccount, Metadata, Route, Service, Target  # noqa: E402
from loomyard_router.callers.keys import digest_key  # noqa: E402
from loomyard_router.configuration.follower import CONFIG_STREAM  # noqa: E402
from loomyard_standins.benches.relay_client import KEY  # noqa: E402
from loomyard_standins.log_service import LogServer, MemoryLog  # noqa: E402

ENGINES = 3
CLIENTS = 3
SATURATED_STREAMS = 60
SATURATED_TOKENS = 20_000
SATURATED_SECONDS = 4.0
STEP_SECONDS = 0.003
PACED_STREAMS = 60
PACED_TOKENS = 1_000
FULL_STREAMS = 240
PACED_SECONDS = 4.0
LOAD_SECONDS = 8.0
PROBES_PER_SECOND = 50.0
HALF_LOAD = 0.5
IDLE_STREAMS = 500
SETTLE_SECONDS = 0.7
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


def main() -> int:
    """Start all processes, measure and print one JSON object."""
    log = LogServer(MemoryLog())
    log.start()
    engines = [_spawn("loomyard_standins.benches.relay_engine") for _ in range(ENGINES)]
    direct = [f"127.0.0.1:{engine.stdout.readline().decode().strip()}" for engine in engines]
    _publish(log, direct)
    port = _free_port()
    router = _spawn(
        "loomyard_router",
        *["--name", "bench", "--listen", f"127.0.0.1:{port}", "--log-service", log.address],
    )
    try:
        result = _measure(router.pid, [f"127.0.0.1:{port}"], direct)
    finally:
        for process in [router, *engines]:
            process.kill()
        log.stop()
    print(json.dumps(result))
    return 0


def _measure(pid: int, routed: list[str], direct: list[str]) -> dict[str, object]:
    _await_ready(routed[0])
    memory = _measure_memory_per_stream(pid, routed)
    saturated = _measure_throughput(pid, routed, SATURATED_STREAMS, SATURATED_TOKENS, 0.0)
    paced = _measure_throughput(pid, routed, PACED_STREAMS, PACED_TOKENS, STEP_SECONDS)
    full = _measure_throughput(pid, routed, FULL_STREAMS, PACED_TOKENS, STEP_SECONDS)
    streams = max(1, int(PACED_STREAMS * HALF_LOAD / float(paced["cores"])))
    routed_ttft = _measure_ttft(pid, routed, streams)
    direct_ttft = _measure_ttft(pid, direct, streams)
    return {
        "saturated": saturated,
        "paced": paced,
        "paced_full": full,
        "memory_per_stream_bytes": memory,
        "half_load": {
            "streams": streams,
            "router": routed_ttft,
            "direct": direct_ttft,
            "added_p50_ms": round(routed_ttft["p50_ms"] - direct_ttft["p50_ms"], 3),
            "added_p99_ms": round(routed_ttft["p99_ms"] - direct_ttft["p99_ms"], 3),
        },
    }


def _measure_throughput(
    pid: int, address: list[str], streams: int, tokens: int, step: float
) -> dict[str, object]:
    seconds = PACED_SECONDS if step else SATURATED_SECONDS
    before = _cpu_seconds(pid)
    clients = _start_streams(address, streams, tokens, step, seconds)
    results = [json.loads(client.communicate()[0]) for client in clients]
    cpu = _cpu_seconds(pid) - before
    events = sum(result["events"] for result in results)
    size = sum(result["bytes"] for result in results)
    gevent.sleep(SETTLE_SECONDS)
    return {
        "streams": streams,
        "events_per_second": round(events / seconds),
        "events_per_core_second": round(events / cpu),
        "bytes_per_core_second": round(size / cpu),
        "cores": round(cpu / seconds, 3),
    }


def _measure_ttft(pid: int, address: list[str], streams: int) -> dict[str, float]:
    before = _cpu_seconds(pid)
    clients = _start_streams(address, streams, PACED_TOKENS, STEP_SECONDS, LOAD_SECONDS)
    gevent.sleep(SETTLE_SECONDS)
    seconds = LOAD_SECONDS - 2 * SETTLE_SECONDS
    probe = _spawn_client(address, "--probes", PROBES_PER_SECOND, "--seconds", seconds)
    result = json.loads(probe.communicate()[0])
    results = [json.loads(client.communicate()[0]) for client in clients]
    result["events_per_second"] = round(sum(r["events"] for r in results) / LOAD_SECONDS)
    result["router_cores"] = round((_cpu_seconds(pid) - before) / LOAD_SECONDS, 3)
    gevent.sleep(SETTLE_SECONDS)
    return result


def _measure_memory_per_stream(pid: int, address: list[str]) -> int:
    for _ in range(2):
        # The first round makes the memory allocator grow; the second shows the streams' memory.
        client = _spawn_client(
            address, "--streams", IDLE_STREAMS, "--tokens", 40, "--step", 0.1, "--seconds", 4.0
        )
        gevent.sleep(0.1)
        before = _resident_bytes(pid)
        gevent.sleep(3.0)
        during = _resident_bytes(pid)
        client.communicate()
        gevent.sleep(SETTLE_SECONDS)
        if _ == 0:
            baseline = before
    return round((during - baseline) / IDLE_STREAMS)


def _start_streams(
    address: list[str], streams: int, tokens: int, step: float, seconds: float
) -> list[subprocess.Popen]:
    counts = [streams // CLIENTS + (number < streams % CLIENTS) for number in range(CLIENTS)]
    options = ("--tokens", tokens, "--step", step, "--seconds", seconds)
    return [_spawn_client(address, "--streams", count, *options) for count in counts if count]


def _spawn_client(address: list[str], *options: object) -> subprocess.Popen:
    arguments = [str(option) for option in options]
    return _spawn("loomyard_standins.benches.relay_client", "--address", *address, *arguments)


def _spawn(module: str, *arguments: str) -> subprocess.Popen:
    command = [sys.executable, "-m", module, *arguments]
    return subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL)


def _publish(log: LogServer, engines: list[str]) -> None:
    objects = [
        ClientAccount(
            metadata=Metadata(name="kiosk"), key_digests=[digest_key(KEY)], queue_limit=4096
        ),
        Service(metadata=Metadata(name="assistant")),
        Route(metadata=Metadata(name="assistant"), service="assistant"),
        *(
            Target(
                metadata=Metadata(name=f"engine-{number}"),
                url=f"http://{address}",
                services=["assistant"],
                slots=4096,
            )
            for number, address in enumerate(engines)
        ),
    ]
    change = Change(change_id="bench", puts=[Put(object=item) for item in objects])
    log.log.append(CONFIG_STREAM, encode(change)).unwrap()


def _await_ready(address: str) -> None:
    host, _, port = address.rpartition(":")
    while True:
        try:
            with create_connection((host, int(port))) as sock:
                sock.sendall(b"GET /readyz HTTP/1.0\r\n\r\n")
                if b" 200 " in sock.recv(256):
                    return
        except OSError:
            pass
        gevent.sleep(0.05)


def _free_port() -> int:
    with socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def _cpu_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def _resident_bytes(pid: int) -> int:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0


if __name__ == "__main__":
    sys.exit(main())
