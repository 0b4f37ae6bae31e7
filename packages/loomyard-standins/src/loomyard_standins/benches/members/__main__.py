"""Measure membership and links between router processes on one VM."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import statistics  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from typing import Any  # noqa: E402

import gevent  # noqa: E402
from gevent import subprocess  # noqa: E402

ROUTERS = 8
IDLE_SECONDS = 10.0
KILLS = 5
# Longest wait for a node to declare a killed router dead.
DEATH_TIMEOUT_SECONDS = 10.0
ROUNDS = 3000
ROUND_SECONDS = 0.0005
# Messages sent back to back in one round.
BATCHES = (1, 20)
LINKS = 24


class NodeProcess:
    """A node in a process of its own, controlled by lines on its standard input."""

    def __init__(self, name: str, seed: str = "") -> None:
        self.name = name
        command = [sys.executable, "-m", "loomyard_standins.benches.members.node", name, seed]
        self._process = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )

    def call(self, *arguments: object) -> dict[str, Any]:
        """Run a command with its arguments and return its JSON answer."""
        self._process.stdin.write(" ".join(str(argument) for argument in arguments) + "\n")
        self._process.stdin.flush()
        return json.loads(self._process.stdout.readline())

    def kill(self) -> None:
        self._process.kill()
        self._process.wait()


def main() -> int:
    """Run all measurements and print their results as one line of JSON."""
    nodes = start(ROUTERS)
    try:
        results = {
            "idle": measure_idle(nodes),
            "links": measure_messages(nodes[0], nodes[1]),
            "death_seconds": measure_deaths(nodes),
        }
    finally:
        for node in nodes:
            node.kill()
    results["link_bytes"] = measure_memory()
    print(json.dumps(results))
    return 0


def start(count: int) -> list[NodeProcess]:
    """Start nodes and wait until each has all of them in its membership."""
    first = NodeProcess("router-0")
    seed = first.call("sample")["address"]
    nodes = [first, *(NodeProcess(f"router-{n}", seed) for n in range(1, count))]
    await_live(nodes)
    return nodes


def await_live(nodes: list[NodeProcess]) -> None:
    """Wait until each node has all nodes as live members."""
    while any(node.call("sample")["live"] < len(nodes) for node in nodes):
        gevent.sleep(0.1)


def measure_idle(nodes: list[NodeProcess]) -> dict[str, float]:
    """Return mean datagrams, bytes, CPU share and memory of an idle router."""
    gevent.sleep(5.0)
    before = [node.call("sample") for node in nodes]
    gevent.sleep(IDLE_SECONDS)
    after = [node.call("sample") for node in nodes]
    memory = [node.call("memory")["resident"] for node in nodes]
    pairs = list(zip(before, after, strict=True))
    return {
        "datagrams_per_second": mean_rate(pairs, "sent_messages"),
        "bytes_per_second": mean_rate(pairs, "sent_bytes"),
        "core_share": statistics.mean(b["cpu"] - a["cpu"] for a, b in pairs) / IDLE_SECONDS,
        "resident_megabytes": statistics.mean(memory) / 1e6,
    }


def mean_rate(pairs: list[tuple[dict, dict]], field: str) -> float:
    """Return the mean growth of a counter a second, over all routers."""
    increases = [total(b, field) - total(a, field) for a, b in pairs]
    return statistics.mean(increases) / IDLE_SECONDS


def total(sample: dict[str, Any], field: str) -> int:
    """Sum a counter over the message types."""
    return sum(counters[field] for counters in sample["kinds"].values())


def measure_messages(sender: NodeProcess, receiver: NodeProcess) -> dict[str, Any]:
    """Return CPU time and bytes of a small message, sent alone and in batches."""
    sender.call("ask", receiver.name)
    timer = sender.call("flood", receiver.name, ROUNDS, ROUND_SECONDS, 0)["cpu"]
    results: dict[str, Any] = {"timer_microseconds_a_turn": 1e6 * timer / ROUNDS}
    for batch in BATCHES:
        count = ROUNDS * batch
        before = sender.call("sample"), receiver.call("sample")
        used = sender.call("flood", receiver.name, ROUNDS, ROUND_SECONDS, batch)["cpu"] - timer
        while (after := receiver.call("sample"))["received"] < before[1]["received"] + count:
            gevent.sleep(0.05)
        after_sender = sender.call("sample")
        size = grown(before[0], after_sender, "frame", "sent_bytes")
        size += grown(before[0], after_sender, "bench-counter", "sent_bytes")
        results[f"batch_{batch}"] = {
            "sender_microseconds": 1e6 * used / count,
            "receiver_microseconds": 1e6 * (after["cpu"] - before[1]["cpu"]) / count,
            "bytes": size / count,
        }
    return results


def grown(before: dict[str, Any], after: dict[str, Any], kind: str, field: str) -> int:
    """Return the growth of one counter of one message type."""
    return after["kinds"][kind][field] - before["kinds"].get(kind, {}).get(field, 0)


def measure_deaths(nodes: list[NodeProcess]) -> dict[str, float]:
    """Kill routers linked to router-0; return the seconds until all nodes declared them dead."""
    seed = nodes[0].call("sample")["address"]
    durations = []
    for number in range(KILLS):
        victim = nodes.pop()
        nodes[0].call("ask", victim.name)
        killed_at = time.monotonic()
        victim.kill()
        durations.append(
            max(find_death(node, victim.name, killed_at) for node in nodes) - killed_at
        )
        nodes.append(NodeProcess(f"spare-{number}", seed))
        await_live(nodes)
    return {"median": statistics.median(durations), "longest": max(durations)}


def find_death(node: NodeProcess, name: str, since: float) -> float:
    """Return the monotonic time at which a node declared a router dead."""
    while time.monotonic() < since + DEATH_TIMEOUT_SECONDS:
        for at, member, state in node.call("sample")["changes"]:
            if member == name and state == "dead" and at >= since:
                return at
        gevent.sleep(0.05)
    raise TimeoutError(f"{node.name} did not declare {name} dead")


def measure_memory() -> dict[str, float]:
    """Return the memory of an idle link, in bytes, at the side that accepted it."""
    nodes = start(LINKS + 1)
    try:
        gevent.sleep(2.0)
        before = nodes[0].call("memory")["resident"]
        for node in nodes[1:]:
            node.call("ask", nodes[0].name)
        gevent.sleep(1.0)
        after = nodes[0].call("memory")["resident"]
    finally:
        for node in nodes:
            node.kill()
    return {"links": LINKS, "per_link": (after - before) / LINKS}


if __name__ == "__main__":
    sys.exit(main())
