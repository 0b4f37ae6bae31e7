"""Measure membership and links between router processes on one machine."""

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
DEATH_PATIENCE = 10.0
TURNS = 3000
PACE = 0.0005
BATCHES = (1, 20)
LINKS = 24


class NodeProcess:
    """A node in a process of its own."""

    def __init__(self, name: str, seed: str = "") -> None:
        self.name = name
        command = [sys.executable, "-m", "loomyard_standins.benches.members.node", name, seed]
        self._process = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )

    def call(self, *words: object) -> dict[str, Any]:
        self._process.stdin.write(" ".join(str(word) for word in words) + "\n")
        self._process.stdin.flush()
        return json.loads(self._process.stdout.readline())

    def kill(self) -> None:
        self._process.kill()
        self._process.wait()


def main() -> int:
    """Run all measurements; the last line is their JSON."""
    nodes = start(ROUTERS)
    try:
        figures = {
            "idle": measure_idle(nodes),
            "links": measure_messages(nodes[0], nodes[1]),
            "death_seconds": measure_deaths(nodes),
        }
    finally:
        for node in nodes:
            node.kill()
    figures["link_bytes"] = measure_memory()
    print(json.dumps(figures))
    return 0


def start(count: int) -> list[NodeProcess]:
    """Start nodes and wait until each knows all."""
    first = NodeProcess("router-0")
    seed = first.call("sample")["address"]
    nodes = [first, *(NodeProcess(f"router-{n}", seed) for n in range(1, count))]
    await_live(nodes)
    return nodes


def await_live(nodes: list[NodeProcess]) -> None:
    """Wait until each knows all."""
    while any(node.call("sample")["live"] < len(nodes) for node in nodes):
        gevent.sleep(0.1)


def measure_idle(nodes: list[NodeProcess]) -> dict[str, float]:
    """Return datagrams, bytes and processor share of one router while nothing happens."""
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
    """Return how fast a counter grew, over all routers."""
    grown = [total(b, field) - total(a, field) for a, b in pairs]
    return statistics.mean(grown) / IDLE_SECONDS


def total(sample: dict[str, Any], field: str) -> int:
    """Sum a counter over the message types."""
    return sum(counters[field] for counters in sample["kinds"].values())


def measure_messages(sender: NodeProcess, receiver: NodeProcess) -> dict[str, Any]:
    """Return processor time and bytes of small messages that travel alone and in batches."""
    sender.call("ask", receiver.name)
    timer = sender.call("flood", receiver.name, TURNS, PACE, 0)["cpu"]
    figures: dict[str, Any] = {"timer_microseconds_a_turn": 1e6 * timer / TURNS}
    for batch in BATCHES:
        count = TURNS * batch
        before = sender.call("sample"), receiver.call("sample")
        used = sender.call("flood", receiver.name, TURNS, PACE, batch)["cpu"] - timer
        while (after := receiver.call("sample"))["received"] < before[1]["received"] + count:
            gevent.sleep(0.05)
        after_sender = sender.call("sample")
        size = grown(before[0], after_sender, "frame", "sent_bytes")
        size += grown(before[0], after_sender, "bench-counter", "sent_bytes")
        figures[f"batch_{batch}"] = {
            "sender_microseconds": 1e6 * used / count,
            "receiver_microseconds": 1e6 * (after["cpu"] - before[1]["cpu"]) / count,
            "bytes": size / count,
        }
    return figures


def grown(before: dict[str, Any], after: dict[str, Any], kind: str, field: str) -> int:
    """Return the growth of one counter of one message type."""
    return after["kinds"][kind][field] - before["kinds"].get(kind, {}).get(field, 0)


def measure_deaths(nodes: list[NodeProcess]) -> dict[str, float]:
    """Kill routers that have a link to router-0; return when the last one knew."""
    seed = nodes[0].call("sample")["address"]
    took = []
    for number in range(KILLS):
        victim = nodes.pop()
        nodes[0].call("ask", victim.name)
        killed_at = time.monotonic()
        victim.kill()
        took.append(max(death_seen(node, victim.name, killed_at) for node in nodes) - killed_at)
        nodes.append(NodeProcess(f"spare-{number}", seed))
        await_live(nodes)
    return {"median": statistics.median(took), "longest": max(took)}


def death_seen(node: NodeProcess, name: str, since: float) -> float:
    """Return when a node declared a router dead."""
    while time.monotonic() < since + DEATH_PATIENCE:
        for at, who, state in node.call("sample")["changes"]:
            if who == name and state == "dead" and at >= since:
                return at
        gevent.sleep(0.05)
    raise TimeoutError(f"{node.name} still believes in {name}")


def measure_memory() -> dict[str, float]:
    """Return the memory of one idle link at the side that accepted it."""
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
