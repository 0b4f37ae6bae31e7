"""Stand-ins for the scripts of this review: store, runners and clients, and routers as processes.

Only the standard library is used. The store, the runners and the clients run as tasks of the script;
each router is a process of its own, started with the command of deploy/system.toml on a loopback
address of its own. They follow PROTOCOL.md and DEPLOY.md of the users' pages.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "ficu95.example"
KEY = "asnmgkcuyj8pjbvk9m68"
TENANT = "hule930"
BROKEN, HELD, UNFIT = 1, 0, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STARTED = time.monotonic()

BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "revert_slack_ms": 250,
    "outer_bound_ms": 5000,
    "fail_closed": "false",
    "revoke_ms": 5000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 54,
    "recover_s": 12,
    "pass_ms": 120,
    "retry_after_s": 10,
    "quota_window_s": 4,
}


class UnfitError(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, one line each, in record.txt beside the script."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def write(self, what: str, **fields: object) -> None:
        line = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{time.monotonic() - STARTED:9.4f} {what} {line}\n")
        self._file.flush()


class Loopback:
    """Loopback addresses of this run, derived from the process id."""

    def __init__(self) -> None:
        number = os.getpid()
        self._base = f"127.{1 + number // 250 % 250}.{number % 250}"
        self._next = 1

    def take(self) -> str:
        self._next += 1
        return f"{self._base}.{self._next}"


class Head:
    """The first line and the header fields of a message."""

    def __init__(self, data: bytes) -> None:
        lines = data.decode("latin-1").split("\r\n")
        self.first = lines[0]
        self.fields: dict[str, str] = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                self.fields[name.strip().lower()] = value.strip()

    def get(self, name: str, default: str = "") -> str:
        return self.fields.get(name.lower(), default)


async def read_head(reader: asyncio.StreamReader) -> Head:
    return Head((await reader.readuntil(b"\r\n\r\n"))[:-4])


async def read_chunks(reader: asyncio.StreamReader):
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size) if size else b""
        await reader.readexactly(2)
        if not size:
            return
        yield data


# --- the platform's store ---------------------------------------------------------------------


class Store:
    """Keyed topics with one partition: /log-newest, /log-read with a long poll, /log-append."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.port = 0
        self.topics: dict[str, list[tuple[str, bytes | None]]] = {}
        self._grown: dict[str, asyncio.Event] = {}

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, topic: str, key: str, value: object | None) -> None:
        data = None if value is None else json.dumps(value).encode()
        self._add(topic, key, data)

    def _topic(self, name: str) -> list[tuple[str, bytes | None]]:
        self._grown.setdefault(name, asyncio.Event())
        return self.topics.setdefault(name, [])

    def _add(self, topic: str, key: str, value: bytes | None) -> None:
        self._topic(topic).append((key, value))
        grown, self._grown[topic] = self._grown[topic], asyncio.Event()
        grown.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await read_head(reader)
                method, target, _ = head.first.split(" ")
                body = await reader.readexactly(int(head.get("content-length", "0")))
                url = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                status, kind, answer = await self._answer(method, url.path, query, body)
                writer.write(
                    f"HTTP/1.1 {status}\r\nContent-Type: {kind}\r\n"
                    f"Content-Length: {len(answer)}\r\n\r\n".encode() + answer
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[str, str, bytes]:
        name = query.get("topic", "")
        records = self._topic(name)
        if path == "/log-newest":
            newest = {key: (at, value) for at, (key, value) in enumerate(records)}
            items = [
                {"tls_key": key, "value": base64.b64encode(value).decode(), "offset": at}
                for key, (at, value) in newest.items()
                if value is not None
            ]
            page = {"items": items, "truncated": False, "end_offset": len(records)}
            return "200 OK", "application/json", json.dumps(page).encode()
        if path == "/log-read":
            offset, wait = int(query["from"]), int(query.get("wait_ms", "0")) / 1000
            if offset >= len(records) and wait:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._grown[name].wait(), wait)
            out = [struct.pack(">QQ", len(records), 0)]
            for key, value in records[offset:]:
                content = bytes([len(key)]) + key.encode() + (value or b"")
                out.append(struct.pack(">I", len(content)) + content)
            return "200 OK", "application/octet-stream", b"".join(out)
        if path == "/log-append" and method == "POST":
            first = len(records)
            while body:
                (length,) = struct.unpack_from(">I", body)
                content, body = body[4 : 4 + length], body[4 + length :]
                end = 1 + content[0]
                self._add(name, content[1:end].decode(), content[end:] or None)
            answer = {"offset": first, "end_offset": len(records)}
            return "200 OK", "application/json", json.dumps(answer).encode()
        return "404 Not Found", "text/plain", b""


# --- runners ----------------------------------------------------------------------------------


class Request:
    """A request as it reached a runner."""

    def __init__(self, head: Head, body: bytes) -> None:
        self.head = head
        self.body = body
        self.method, self.path, _ = head.first.split(" ")
        self.id = head.get("loomyard-attempt-id")


class Channel:
    """The channel of one request at a runner; ``closed`` is set once the other side closes it."""

    def __init__(
        self, runner: Runner, request: Request, writer: asyncio.StreamWriter, closed: asyncio.Event
    ) -> None:
        self.runner = runner
        self.request = request
        self.writer = writer
        self.closed = closed

    async def work(self, seconds: float) -> bool:
        """Work for so long; false where the channel was closed before, which ends the work."""
        try:
            await asyncio.wait_for(self.closed.wait(), seconds)
        except TimeoutError:
            return True
        return False

    def head(self, status: str, *lines: str, stamp: bool = True) -> bytes:
        first = [f"HTTP/1.1 {status}", f"Loomyard-Attempt-Id: {self.request.id}"]
        if stamp:
            first.append(f"Loomyard-Server-Stamp: {self.runner.id}.{self.request.id}")
        return "\r\n".join([*first, *lines, "", ""]).encode()

    async def write(self, data: bytes) -> None:
        if not self.writer.is_closing():
            self.writer.write(data)
            with contextlib.suppress(OSError):
                await self.writer.drain()

    async def chunk(self, data: bytes) -> None:
        await self.write(b"%x\r\n%b\r\n" % (len(data), data))

    def reset(self) -> None:
        """Reset the channel."""
        self.writer.transport.abort()


class Runner:
    """A runner that announces itself in the store. ``behave`` answers one request on a channel.

    It returns whether the channel stays open. Work begins, and is recorded, before it is called.
    """

    def __init__(self, fleet: Fleet, name: str, service: str, slots: int, behave) -> None:
        self.fleet = fleet
        self.id = name
        self.service = service
        self.slots = slots
        self.host = fleet.loopback.take()
        self.port = 0
        self.behave = behave
        self.running = 0

    async def start(self, state: str = "ready") -> None:
        server = await asyncio.start_server(self._serve, self.host, 0, limit=1 << 20)
        self.port = server.sockets[0].getsockname()[1]
        self.announce(state)

    def announce(self, state: str) -> None:
        self.fleet.store.put(
            "keyed.servers",
            self.id,
            {
                "service": self.service,
                "address": f"{self.host}:{self.port}",
                "zone": "bog-norte",
                "version": "v1",
                "slots": self.slots,
                "state": state,
                "cold_left_ms": 0,
                "seq_no": 1,
            },
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await read_head(reader)
                body = await reader.readexactly(int(head.get("content-length", "0")))
                if head.first.startswith("GET /healthz "):
                    writer.write(
                        f"HTTP/1.1 200 OK\r\nLoomyard-Instance-Id: {self.id}\r\n"
                        "Content-Length: 0\r\n\r\n".encode()
                    )
                    continue
                if not await self._run(reader, writer, Request(head, body)):
                    return
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def _run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request: Request
    ) -> bool:
        wanted = request.head.get("loomyard-expect-instance", self.id)
        if wanted != self.id:
            writer.write(
                f"HTTP/1.1 421 Misdirected Request\r\nLoomyard-Instance-Id: {self.id}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        closed = asyncio.Event()
        watch = asyncio.create_task(self._watch(reader, closed))
        channel = Channel(self, request, writer, closed)
        self.running += 1
        self.fleet.record.write(
            "run",
            request=request.id,
            runner=self.id,
            after=request.head.get("last-event-id") or "-",
            left_ms=request.head.get("loomyard-deadline-ms"),
        )
        self.fleet.runs.append((request.id, self.id, time.monotonic(), request))
        try:
            return await self.behave(channel) and not closed.is_set()
        finally:
            self.running -= 1
            self.fleet.ends.append((request.id, self.id, time.monotonic()))
            self.fleet.record.write("run-ended", request=request.id, runner=self.id)
            watch.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await watch

    async def _watch(self, reader: asyncio.StreamReader, closed: asyncio.Event) -> None:
        """Set ``closed`` at the end of the channel; routers send nothing while they wait."""
        while not reader.at_eof():
            if reader._buffer:  # the next request on the channel
                return
            await asyncio.sleep(0.005)
        closed.set()


# --- routers ----------------------------------------------------------------------------------


class Router:
    """A router as a process, started with the command of deploy/system.toml."""

    def __init__(self, fleet: Fleet, name: str, host: str, seeds: list[str], **settings: object):
        self.fleet = fleet
        self.name = name
        self.host = host
        self._seeds = seeds
        self._settings = settings
        self._conf = fleet.folder / f"{name}.conf"
        self._log = (fleet.folder / f"{name}.log").open("ab")
        self.process: subprocess.Popen | None = None
        self.bootstrap = True

    @property
    def log(self) -> Path:
        return self.fleet.folder / f"{self.name}.log"

    def write_settings(self) -> None:
        fields: dict[str, object] = {
            "node_name": self.name,
            "role": "router",
            "machine_class": "edge",
            "serves": "edge,control",
            "ip": self.host,
            "zone": "bog-norte",
            "region": "bogota",
            "zones.bog-norte": "bogota",
            "listen.frontend": f"{self.host}:8783",
            "listen.readiness": f"{self.host}:8780",
            "listen.control_plane": f"{self.host}:8785",
            "internal_ports": "7400,7415",
            "seeds": ",".join(f"{seed}:8785" for seed in self._seeds),
            "bootstrap": "true" if self.bootstrap else "false",
            "in_tolerance": "false",
            "limits.cpu_share": 0.537,
            "limits.cores": 2,
            "limits.memory_mb": 300,
            "limits.max_fds": 4200,
            "limits.link_mbps": 1000.0,
            "limits.disk_mb": 0,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
            "fault_tolerance.machine_count": 2,
            "fault_tolerance.zones": 0,
            "fault_tolerance.region_count": 0,
            **{f"bounds.{name}": value for name, value in BOUNDS.items()},
            "platform.address": self.fleet.store.address,
            "platform.form": "log",
            "platform.writes_per_s": 400,
            "platform.reads_per_s": 2000,
            "platform.keep_s": 300,
            "platform.ttl_min_ms": 1000,
            **self._settings,
        }
        text = "".join(f"{name}={value}\n" for name, value in fields.items())
        self._conf.write_text(text, encoding="utf-8")

    def start(self) -> None:
        self.write_settings()
        self.bootstrap = False
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "LOOMYARD_NODE_FILE": str(self._conf),
            "LOOMYARD_FLEET_SECRET": "a secret of this case",
        }
        self.process = subprocess.Popen(
            [sys.executable, "-S", "-m", "loomyard_router.platform"],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )
        self.fleet.processes.append(self.process)

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.fleet.record.write("signal", router=self.name, number=number.name)

    async def ready(self) -> bool:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.host, 8780)
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                return head.first.split(" ")[1] == "200"
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, seconds: float = 30.0) -> None:
        until = time.monotonic() + seconds
        while not await self.ready():
            if time.monotonic() > until:
                lines = self.log.read_text(encoding="utf-8", errors="replace").splitlines()
                status = self.process.poll()
                raise UnfitError(f"{self.name} is not ready, exit status {status}: {lines[-1:]}")
            await asyncio.sleep(0.1)


# --- clients ----------------------------------------------------------------------------------


class Answer:
    """What a client got: status 0 where the channel ended without an answer."""

    def __init__(self, attempt_id: str) -> None:
        self.id = attempt_id
        self.status = 0
        self.head: Head | None = None
        self.left = False
        self.error = ""
        self.body = b""
        self.complete = False
        self.began_at: float | None = None
        self.sent_at = self.ended_at = time.monotonic()


class Client:
    """Requests of clients, each on a new channel unless one is passed."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.rng = random.Random(7)

    def new_id(self) -> str:
        return f"{self.rng.getrandbits(64):016x}"

    async def connect(self, router: Router):
        return await asyncio.open_connection(router.host, 8783, limit=1 << 20)

    def make_head(
        self,
        method: str,
        path: str,
        attempt_id: str,
        deadline_ms: int,
        lines: tuple[str, ...] = (),
        key: str = KEY,
    ) -> bytes:
        first = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Loomyard-Attempt-Id: {attempt_id}",
            f"Loomyard-Deadline-Ms: {deadline_ms}",
            f"Authorization: Bearer {key}",
        ]
        return "\r\n".join([*first, *lines, "", ""]).encode()

    async def send(
        self,
        router: Router,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        parts: int = 1,
        part_gap: float = 0.0,
        chunked: bool = False,
        deadline_ms: int = 15000,
        lines: tuple[str, ...] = (),
        leave_after: float | None = None,
        attempt_id: str = "",
        channel=None,
        patience: float | None = None,
        key: str = KEY,
    ) -> Answer:
        """Send a request and read the answer; with ``leave_after`` close the channel by then.

        The body goes out in ``parts`` writes, ``part_gap`` seconds apart, as it does over a link
        with a delay.
        """
        attempt_id = attempt_id or self.new_id()
        record = self.fleet.record
        answer = Answer(attempt_id)
        wait = patience if patience is not None else deadline_ms / 1000 + 1.0
        try:
            reader, writer = channel or await self.connect(router)
        except OSError:
            record.write("no-channel", request=attempt_id, router=router.name)
            answer.ended_at = time.monotonic()
            return answer
        if chunked:
            lines = (*lines, "Transfer-Encoding: chunked")
        elif body or method == "POST":
            lines = (*lines, f"Content-Length: {len(body)}")
        record.write("sent", request=attempt_id, router=router.name, line=f"{method}_{path}")
        answer.sent_at = time.monotonic()
        try:
            async with asyncio.timeout(wait if leave_after is None else min(wait, leave_after)):
                writer.write(self.make_head(method, path, attempt_id, deadline_ms, lines, key))
                size = -(-len(body) // parts) if body else 0
                for at in range(0, len(body), size or 1):
                    part = body[at : at + size]
                    writer.write(b"%x\r\n%b\r\n" % (len(part), part) if chunked else part)
                    await writer.drain()
                    if at + size < len(body):
                        await asyncio.sleep(part_gap)
                if chunked:
                    writer.write(b"0\r\n\r\n")
                answer.sent_at = time.monotonic()
                await self._read(reader, answer)
        except TimeoutError:
            answer.left = True
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            answer.error = repr(error)
        finally:
            if channel is None or not answer.complete:
                writer.close()
                with contextlib.suppress(Exception):
                    await writer.wait_closed()
        answer.ended_at = time.monotonic()
        record.write(
            "left" if answer.left else "answered",
            request=attempt_id,
            status=answer.status,
            complete=answer.complete,
            bytes=len(answer.body),
            ms=round((answer.ended_at - answer.sent_at) * 1000),
        )
        return answer

    async def _read(self, reader: asyncio.StreamReader, answer: Answer) -> None:
        head = await read_head(reader)
        answer.head = head
        answer.status = int(head.first.split(" ")[1])
        if head.get("transfer-encoding").lower() == "chunked":
            async for block in read_chunks(reader):
                if answer.began_at is None:
                    answer.began_at = time.monotonic()
                answer.body += block
            answer.complete = True
        elif head.get("content-length"):
            answer.body = await reader.readexactly(int(head.get("content-length")))
            answer.complete = True
        else:
            answer.body = await reader.read()
            answer.complete = True


# --- the fleet --------------------------------------------------------------------------------


class Fleet:
    """All of a case: its folder, store, runners and routers."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self._temporary = tempfile.TemporaryDirectory(prefix="loomyard-case-")
        self.folder = Path(os.environ.get("KEEP_LOGS") or self._temporary.name)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.loopback = Loopback()
        self.processes: list[subprocess.Popen] = []
        self.store = Store(self.loopback.take())
        self.runners: list[Runner] = []
        self.routers: list[Router] = []
        self.runs: list[tuple[str, str, float, Request]] = []
        self.ends: list[tuple[str, str, float]] = []
        self.client = Client(self)
        self.version = 0

    def publish(
        self,
        routes: list[dict],
        services: list[dict],
        *,
        keys: tuple[str, ...] = (KEY,),
        **limits: object,
    ) -> None:
        self.version += 7
        self.store.put(
            "keyed.op",
            "config",
            {
                "version": self.version,
                "routes": routes,
                "services": services,
                "limits": {
                    "max_header_bytes": 16384,
                    "max_body_bytes": 4194304,
                    "header_timeout_ms": 3000,
                    "idle_timeout_ms": 15000,
                    "tokens_per_s": 300000,
                    **limits,
                },
                "tenants": [{"name": TENANT, "api_keys": list(keys), "priority": 1}],
            },
        )
        self.record.write("config", version=self.version)

    async def add_runner(self, name: str, service: str, slots: int, behave) -> Runner:
        runner = Runner(self, name, service, slots, behave)
        await runner.start()
        self.runners.append(runner)
        return runner

    async def start_routers(self, count: int, **settings: object) -> None:
        hosts = [self.loopback.take() for _ in range(count)]
        self.routers = [
            Router(self, f"edge-bog-norte-{number + 1}", host, hosts[:3], **settings)
            for number, host in enumerate(hosts)
        ]
        for router in self.routers:
            router.start()
        for router in self.routers:
            await router.wait_ready()
        # Traffic starts some seconds after the machines do.
        await asyncio.sleep(4.0)

    def end(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                with contextlib.suppress(OSError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()


def route(name: str, prefix: str, service: str, kind: str, **fields: object) -> dict:
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "route_kind": kind,
        "service": service,
        "priority": 1,
        "max_attempts": 1,
        "public": False,
        **fields,
    }


def engine(name: str, slots: int = 48) -> dict:
    return {
        "name": name,
        "health_path": "/healthz",
        "max_conns": 300,
        "engine": {"slots": slots, "kv_capacity": 986267, "models": [{"name": "m"}]},
    }


def plain(name: str) -> dict:
    return {"name": name, "health_path": "/healthz", "max_conns": 100}


def event(number: int, text: str = "x" * 40) -> bytes:
    return f"id: {number}\ndata: {text}\n\n".encode()


def run_case(folder: Path, case) -> None:
    """Run a case, which returns ``BROKEN`` or ``HELD``, and exit with the result."""
    if not (ROOT / "target" / "deps" / "loomyard_router").is_dir():
        print("run the build of deploy/system.toml first")
        sys.exit(UNFIT)

    async def main() -> int:
        # Tasks of channels that are open at the end are cancelled, which is no error.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        fleet = Fleet(folder)
        try:
            async with asyncio.timeout(115):
                return await case(fleet)
        except (UnfitError, TimeoutError) as error:
            print(f"could not run: {error!r}")
            return UNFIT
        finally:
            fleet.end()

    # A script that is told to stop ends its processes first.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        status = asyncio.run(main())
    except Exception as error:  # a fault of the script is no verdict
        print(f"could not run: {error!r}")
        status = UNFIT
    sys.exit(status)
