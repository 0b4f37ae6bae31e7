"""Stand-ins of the platform's store, of runners and of clients, and the start of routers.

They follow PROTOCOL.md of the users' pages and use the standard library alone. All addresses are
loopback addresses.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
SECRET = "a secret of this case"
HOST = "review.example"
KEY = "review-key-1"
TENANT = "tenant-1"
MOST_SECONDS = 110.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file record.txt of a case: what was sent, answered and run, with seconds since start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start = time.monotonic()

    def __call__(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write to the record and to standard output."""
        self(text)
        print(text, flush=True)


def loopback(number: int) -> str:
    """Return a loopback address of this run; concurrent runs get others."""
    pid = os.getpid()
    return f"127.{20 + pid // 250 % 200}.{1 + pid % 250}.{number}"


def free_port(host: str) -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the header fields of a message, None at the end of the channel."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    first, *lines = data.decode("latin-1")[:-4].split("\r\n")
    return first, {k.lower(): v.strip() for k, v in (line.split(":", 1) for line in lines)}


class Store:
    """The platform's store: keyed topics, listings, long polls and appends; always stable."""

    def __init__(self) -> None:
        self._topics: dict[str, list[tuple[str, bytes | None]]] = {}
        self._grown = asyncio.Event()
        self.address = ""

    async def start(self, host: str) -> None:
        server = await asyncio.start_server(self._serve, host, 0)
        self.address = f"{host}:{server.sockets[0].getsockname()[1]}"

    def put(self, topic: str, key: str, value: object) -> float:
        """Append a record, None to drop the key; return the time of the ack."""
        data = None if value is None else json.dumps(value).encode()
        return self.append(topic, [(key, data)])

    def append(self, topic: str, records: list[tuple[str, bytes | None]]) -> float:
        self._topics.setdefault(topic, []).extend(records)
        grown, self._grown = self._grown, asyncio.Event()
        grown.set()
        return time.monotonic()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while head := await read_head(reader):
                first, fields = head
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                method, target, _ = first.split(" ")
                url = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                status, kind, answer = await self._answer(url.path, query, body)
                writer.write(
                    f"HTTP/1.1 {status}\r\nContent-Type: {kind}\r\n"
                    f"Content-Length: {len(answer)}\r\n\r\n".encode() + answer
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, path: str, query: dict, body: bytes) -> tuple[str, str, bytes]:
        topic = self._topics.setdefault(query.get("topic", ""), [])
        await asyncio.sleep(0.004)
        if path == "/log-newest":
            newest = {key: (at, value) for at, (key, value) in enumerate(topic)}
            items = [
                {"tls_key": key, "value": base64.b64encode(value).decode(), "offset": at}
                for key, (at, value) in newest.items()
                if value is not None
            ]
            page = {"items": items, "truncated": False, "end_offset": len(topic)}
            return "200 OK", "application/json", json.dumps(page).encode()
        if path == "/log-read":
            start = int(query["from"])
            until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
            while start >= len(topic) and (left := until - time.monotonic()) > 0:
                try:
                    await asyncio.wait_for(self._grown.wait(), left)
                except asyncio.TimeoutError:
                    break
            found = [_encode(key, value) for key, value in topic[start:]]
            data = struct.pack(">QQ", len(topic), 0) + b"".join(found)
            return "200 OK", "application/octet-stream", data
        if path == "/log-append":
            first, records, at = len(topic), [], 0
            while at < len(body):
                (length,) = struct.unpack_from(">I", body, at)
                content = body[at + 4 : at + 4 + length]
                at += 4 + length
                cut = 1 + content[0]
                records.append((content[1:cut].decode(), content[cut:] or None))
            self.append(query["topic"], records)
            answer = {"offset": first, "end_offset": len(topic)}
            return "200 OK", "application/json", json.dumps(answer).encode()
        return "404 Not Found", "application/json", b"{}"


def _encode(key: str, value: bytes | None) -> bytes:
    content = bytes([len(key)]) + key.encode() + (value or b"")
    return struct.pack(">I", len(content)) + content


class Runner:
    """A runner, a process of its own (runner.py); each start is a new lifetime with a new id."""

    count = 0

    def __init__(self, service: str, address: str, options: dict, log: Path) -> None:
        Runner.count += 1
        self.id = f"i-{os.getpid():x}{Runner.count:04x}"
        self.service = service
        self.address = address
        self.log = log
        self._output = log.open("a", encoding="utf-8")
        command = [sys.executable, "-B", str(ROOT / "review" / "runner.py")]
        command += [self.id, address, json.dumps(options)]
        self.process = subprocess.Popen(command, stdout=self._output, stdin=subprocess.DEVNULL)

    async def ready(self) -> None:
        host, _, port = self.address.rpartition(":")
        for _ in range(400):
            try:
                _, writer = await asyncio.open_connection(host, int(port))
                writer.close()
                return
            except OSError:
                await asyncio.sleep(0.01)
        raise TimeoutError("a runner does not start")

    def entry(self, state: str = "ready", slots: int = 48) -> dict:
        return {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": slots,
            "state": state,
            "cold_left_ms": 0,
            "seq_no": 1,
        }

    def signal(self, number: int) -> None:
        if self.process.poll() is None:
            self.process.send_signal(number)

    @property
    def runs(self) -> int:
        """Return how many requests it has begun."""
        return self.log.read_text(encoding="utf-8").count('"runs"')

    def end(self) -> None:
        self.signal(signal.SIGKILL)
        self.process.wait()
        self._output.close()


class Router:
    """A router, started with the command of deploy/system.toml."""

    def __init__(
        self, name: str, host: str, ports: tuple[int, ...], store: str, folder: Path
    ) -> None:
        self.name = name
        self.host = host
        self._store = store
        # Ports are alike on all machines.
        self.front, self._ready, self.control, self._peers = ports
        self._settings = folder / f"{name}.conf"
        self._log = (folder / f"{name}.log").open("wb")
        self.process: subprocess.Popen | None = None

    def start(self, seeds: list[str], *, bootstrap: bool = True) -> None:
        fields = {
            "node_name": self.name,
            "role": "router",
            "machine_class": "edge",
            "serves": "edge,control",
            "ip": self.host,
            "zone": "zone-a",
            "region": "region-a",
            "zones.zone-a": "region-a",
            "listen.frontend": f"{self.host}:{self.front}",
            "listen.readiness": f"{self.host}:{self._ready}",
            "listen.control_plane": f"{self.host}:{self.control}",
            "internal_ports": f"{self._peers},{self._peers + 15}",
            "seeds": ",".join(seeds),
            "bootstrap": "true" if bootstrap else "false",
            "limits.cpu_share": "0.537",
            "limits.cores": "2",
            "limits.memory_mb": "300",
            "limits.max_fds": "4200",
            "limits.link_mbps": "1000.0",
            "heartbeat_ms": "1200",
            "bounds.contact_ms": "3000",
            "bounds.drain_ms": "2000",
            "bounds.grace_s": "8",
            "bounds.loss_slack_ms": "200",
            "bounds.config_apply_ms": "2000",
            "bounds.retry_ratio": "0.2",
            "bounds.retry_window_s": "10",
            "bounds.retry_slack": "54",
            "bounds.pass_ms": "120",
            "bounds.quota_window_s": "4",
            "platform.address": self._store,
            "platform.form": "log",
        }
        text = "".join(f"{name}={value}\n" for name, value in fields.items())
        self._settings.write_text(text, encoding="utf-8")
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "LOOMYARD_NODE_FILE": str(self._settings),
            "LOOMYARD_FLEET_SECRET": SECRET,
        }
        self.process = subprocess.Popen(
            ["python3", "-S", "-m", "loomyard_router.platform"],
            cwd=ROOT,
            env=environment,
            stdout=self._log,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
        )

    async def ready(self) -> None:
        for _ in range(400):
            try:
                reader, writer = await asyncio.open_connection(self.host, self._ready)
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200" in line:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise TimeoutError("a router is not ready")

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
        self._log.close()


async def start_routers(count: int, store: Store, folder: Path) -> list[Router]:
    ports = tuple(free_port(loopback(10)) for _ in range(4))
    routers = [
        Router(f"edge-zone-a-{n + 1}", loopback(10 + n), ports, store.address, folder)
        for n in range(count)
    ]
    seeds = [f"{router.host}:{router.control}" for router in routers[:3]]
    for router in routers:
        router.start(seeds)
    for router in routers:
        await router.ready()
    # They know each other some probe periods later.
    await asyncio.sleep(4.0)
    return routers


class Answer:
    """What a client got of one request."""

    def __init__(self) -> None:
        self.status = 0
        self.fields: dict[str, str] = {}
        self.body = b""
        # Whether the answer ended as complete in the protocol.
        self.complete = False
        self.gave_up = False
        self.error = ""


async def request(
    router: Router,
    *,
    attempt: str,
    method: str,
    path: str,
    body: bytes = b"",
    deadline_ms: int,
    headers: dict[str, str] | None = None,
    gap_s: float | None = None,
) -> Answer:
    """Send one request on a new channel; a stream is given up after a gap of ``gap_s``."""
    answer = Answer()
    end = time.monotonic() + deadline_ms / 1000
    writer = None

    def left() -> float:
        time_left = max(0.001, end - time.monotonic())
        return time_left if gap_s is None else min(time_left, gap_s)

    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(router.host, router.front), left()
        )
        fields = {
            "Host": HOST,
            "Loomyard-Attempt-Id": attempt,
            "Loomyard-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Bearer {KEY}",
            **(headers or {}),
        }
        if body or method != "GET":
            fields["Content-Length"] = str(len(body))
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body)
        head = await asyncio.wait_for(read_head(reader), left())
        if head is None:
            answer.error = "the channel ended without an answer"
            return answer
        answer.status = int(head[0].split(" ")[1])
        answer.fields = head[1]
        if "chunked" in answer.fields.get("transfer-encoding", ""):
            while True:
                line = await asyncio.wait_for(reader.readline(), left())
                if not line.endswith(b"\r\n"):
                    answer.error = "the channel ended within the answer"
                    return answer
                size = int(line.split(b";")[0], 16)
                block = await asyncio.wait_for(reader.readexactly(size + 2), left())
                if size == 0:
                    answer.complete = True
                    return answer
                answer.body += block[:-2]
        length = int(answer.fields.get("content-length", 0))
        answer.body = await asyncio.wait_for(reader.readexactly(length), left())
        answer.complete = True
    except asyncio.TimeoutError:
        answer.gave_up = True
        answer.error = "the client gave up"
    except (OSError, asyncio.IncompleteReadError) as error:
        answer.error = f"the channel broke: {type(error).__name__}"
    finally:
        if writer is not None:
            writer.close()
    return answer


def stream_headers(tokens: int, events: int) -> dict[str, str]:
    """Return the headers of a request to a model; each is of a session and prompt of its own."""
    shared, own = f"{random.getrandbits(32):08x}", f"{random.getrandbits(32):08x}"
    return {
        "Loomyard-Model": "m",
        "Loomyard-Token-Usage": f"{tokens},{events * 6}",
        "Loomyard-Prompt-Prefix": f"{shared}:{tokens // 2},{own}:{tokens - tokens // 2}",
        "Content-Type": "application/json",
    }


def configuration(version: int, routes: list[dict], services: list[dict]) -> dict:
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
            "tokens_per_s": 300000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


STREAM_ROUTE = {
    "name": "r-stream",
    "host": HOST,
    "path_prefix": "/draft/",
    "route_kind": "streaming",
    "timeout_ms": 15000,
    "slo_ms": 400,
    "priority": 1,
    "service": "engines",
    "max_attempts": 2,
    "public": False,
    "sticky": True,
    "resumable": True,
    "gap_slo_ms": 200,
}
ENGINES = {
    "name": "engines",
    "health_path": "/healthz",
    "max_conns": 300,
    "protocol": "h1",
    "tls": False,
    "engine": {"slots": 48, "kv_capacity": 986267, "models": [{"name": "m"}]},
}
ONCE_ROUTE = {
    "name": "r-once",
    "host": HOST,
    "path_prefix": "/receipt/",
    "route_kind": "non_idempotent",
    "timeout_ms": 1500,
    "slo_ms": 300,
    "priority": 2,
    "service": "plain",
    "max_attempts": 1,
    "public": False,
}
PLAIN = {
    "name": "plain",
    "health_path": "/healthz",
    "max_conns": 100,
    "protocol": "h1",
    "tls": False,
}


def run_case(main, folder: Path) -> int:
    """Run ``main(record, temporary folder, processes)``; end all processes that it listed.

    Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
    """
    record = Record(folder)
    processes: list = []

    async def run(name: str) -> int:
        try:
            return await asyncio.wait_for(main(record, Path(name), processes), MOST_SECONDS)
        finally:
            for process in processes:
                process.end()
            await asyncio.sleep(0.1)

    def give_up(*_: object) -> None:
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, give_up)
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as name:
            return asyncio.run(run(name))
    except (KeyboardInterrupt, asyncio.TimeoutError):
        record.say("the case did not end in time")
    except Exception as error:  # noqa: BLE001
        record.say(f"the case could not run: {error!r}")
    return 2
