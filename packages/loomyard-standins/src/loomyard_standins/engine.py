"""Model engine over HTTP with continuous batching, resumable streams and a prefix cache."""

from __future__ import annotations

import json
import time
from collections import OrderedDict, deque
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

import gevent
from attrs import define, field
from gevent.event import Event
from gevent.lock import BoundedSemaphore

from loomyard.codec import CODEC
from loomyard.external.engine import EngineOrder
from loomyard.prompt_prefixes import prompt_prefix_digest
from loomyard_standins.engine_cache import CAPACITY, PrefixCache
from loomyard_standins.engine_orders import OrderExecutor
from loomyard_standins.served_standin import LOOPBACK, ServedStandin

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

DEFAULT_TOKENS = 16
# Streams kept for resumption; beyond this the oldest are dropped.
MAX_STREAMS = 256
CACHED_PREFILL_FRACTION = 0.1
# Load samples taken during one ``load_lag``.
SAMPLES_PER_LAG = 8
NOT_RUN = [("Loomyard-Not-Run", "1"), ("Content-Type", "application/json")]
LEAVING = [*NOT_RUN, ("Loomyard-Leaving", "1")]


@define(eq=False)
class EngineStream:
    """Generation for one attempt; ``events`` holds the encoded server-sent events so far."""

    attempt_id: str
    prompt_tokens: int
    tokens: int
    events: list[bytes] = field(factory=list)
    generated: int = 0
    finished: bool = False
    cancelled: bool = False
    changed: Event = field(factory=Event)


class EngineServer(ServedStandin):
    """Engine that generates one token for each running request every ``step_seconds``.

    Prefill takes ``prefill_seconds`` before the first token, or ``CACHED_PREFILL_FRACTION`` of
    that if the prompt prefix is cached. Injected faults: ``leaving`` and ``failing`` refuse new
    requests, ``load_unavailable`` fails load reports with status 503, ``load_lag`` is the age in
    seconds of the reported load.
    """

    def __init__(
        self,
        *,
        model: str,
        slots: int = 8,
        step_seconds: float = 0.003,
        listen: tuple[str, int] = LOOPBACK,
        prefill_seconds: float = 0.0,
        cached_prefixes: int = CAPACITY,
        checks_fencing: bool = False,
        load_lag: float = 0.0,
    ) -> None:
        self.model = model
        self.prefill_seconds = prefill_seconds
        self.cache = PrefixCache(cached_prefixes)
        self.orders = OrderExecutor([model], checks_fencing)
        self.load_lag = load_lag
        self.leaving = False
        self.failing = False
        self.load_unavailable = False
        self._samples: deque[tuple[float, dict[str, Any]]] = deque()
        self.step_seconds = step_seconds
        self.streams: OrderedDict[str, EngineStream] = OrderedDict()
        self.opened: list[str] = []
        self.running = 0
        self.waiting = 0
        self._slots = BoundedSemaphore(slots)
        super().__init__(listen, self._serve)

    def start(self) -> None:
        super().start()
        if self.load_lag:
            gevent.spawn(self._sample_load)

    def stop(self) -> None:
        self.load_lag = 0.0
        super().stop()

    def _serve(self, environ: dict[str, Any], start_response: Callable) -> Iterable[bytes]:
        parts = environ["PATH_INFO"].strip("/").split("/")
        query = parse_qs(environ.get("QUERY_STRING", ""))
        if parts[0] == "v1" and parts[-1] == "completions":
            return self._complete(environ, start_response)
        if parts[0] == "streams" and parts[-1] == "cancel":
            return self._cancel(parts[1], start_response)
        if parts[0] == "streams" and parts[1] in self.streams:
            stream = self.streams[parts[1]]
            _start_stream(start_response, stream)
            return _follow(stream, int(query["after"][0]) + 1)
        if parts[0] == "load":
            return self._report_load(start_response)
        if parts[0] == "cache-events":
            events = self.cache.events_after(int(query["after"][0]))
            return _json(start_response, CODEC.unstructure(events))
        if parts[0] == "orders":
            fencing = int(query["fencing"][0])
            order = EngineOrder(action=parts[1], subject=parts[2], fencing=fencing)
            return self._apply_order(order, start_response)
        start_response("404 Not Found", [])
        return [b""]

    def _complete(self, environ: dict[str, Any], start_response: Callable) -> Iterable[bytes]:
        body = json.loads(environ["wsgi.input"].read())
        if self.leaving or self.failing:
            start_response("503 Service Unavailable", LEAVING if self.leaving else NOT_RUN)
            return [b"{}"]
        if self.orders.applied and body.get("model") not in self.orders.models:
            start_response("404 Not Found", NOT_RUN)
            return [b"{}"]
        attempt = environ.get("HTTP_LOOMYARD_ATTEMPT", "")
        chat = environ["PATH_INFO"].endswith("/chat/completions")
        prompt = json.dumps(body.get("messages") or body.get("prompt", ""))
        stream = EngineStream(
            attempt, max(1, len(prompt) // 4), int(body.get("max_tokens") or DEFAULT_TOKENS)
        )
        self.opened.append(attempt)
        self.streams[attempt] = stream
        while len(self.streams) > MAX_STREAMS:
            self.streams.popitem(last=False)
        hit = self.cache.touch(prompt_prefix_digest(body))
        prefill = self.prefill_seconds * (CACHED_PREFILL_FRACTION if hit else 1.0)
        gevent.spawn(self._generate, stream, chat, prefill)
        if body.get("stream"):
            _start_stream(start_response, stream)
            return _follow(stream, 0)
        for _ in _follow(stream, 0):
            pass
        return _json(start_response, self._whole(stream, chat), attempt)

    def _generate(self, stream: EngineStream, chat: bool, prefill: float) -> None:
        self.waiting += 1
        with self._slots:
            self.waiting -= 1
            self.running += 1
            if prefill:
                gevent.sleep(prefill)
            for number in range(stream.tokens):
                gevent.sleep(self.step_seconds)
                if stream.cancelled:
                    break
                stream.generated += 1
                _push(stream, self._chunk(stream, chat, f"t{number} "))
            self.running -= 1
        if stream.cancelled:
            stream.finished = True
            stream.changed.set()
            return
        usage = self._usage(stream)
        chunk = {"id": stream.attempt_id, "object": "chunk", "created": 0, "model": self.model}
        _push(stream, json.dumps(chunk | {"choices": [], "usage": usage}))
        stream.finished = True
        _push(stream, "[DONE]")

    def _chunk(self, stream: EngineStream, chat: bool, text: str) -> str:
        choice: dict[str, Any] = {"index": 0, "finish_reason": None}
        choice |= {"delta": {"content": text}} if chat else {"text": text}
        kind = "chat.completion.chunk" if chat else "text_completion"
        chunk = {"id": stream.attempt_id, "object": kind, "created": 0, "model": self.model}
        return json.dumps(chunk | {"choices": [choice]})

    def _whole(self, stream: EngineStream, chat: bool) -> dict[str, Any]:
        text = "".join(f"t{number} " for number in range(stream.tokens))
        choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
        choice |= {"message": {"role": "assistant", "content": text}} if chat else {"text": text}
        return {
            "id": stream.attempt_id,
            "object": "chat.completion" if chat else "text_completion",
            "created": 0,
            "model": self.model,
            "choices": [choice],
            "usage": self._usage(stream),
        }

    def _usage(self, stream: EngineStream) -> dict[str, int]:
        return {
            "prompt_tokens": stream.prompt_tokens,
            "completion_tokens": stream.generated,
            "total_tokens": stream.prompt_tokens + stream.generated,
        }

    def _cancel(self, attempt: str, start_response: Callable) -> Iterable[bytes]:
        if stream := self.streams.get(attempt):
            stream.cancelled = True
        return _json(start_response, {})

    def _load(self) -> dict[str, Any]:
        return {
            "running": self.running,
            "waiting": self.waiting,
            "step_seconds": self.step_seconds,
            "models": list(self.orders.models),
            "fencing": self.orders.highest_fencing,
            "leaving": self.leaving,
        }

    def _report_load(self, start_response: Callable) -> Iterable[bytes]:
        if self.load_unavailable:
            start_response("503 Service Unavailable", [])
            return [b""]
        return _json(start_response, self._lagging_load())

    def _lagging_load(self) -> dict[str, Any]:
        if not self.load_lag:
            return self._load()
        sampled_before = time.monotonic() - self.load_lag
        while len(self._samples) > 1 and self._samples[1][0] <= sampled_before:
            self._samples.popleft()
        return self._samples[0][1] if self._samples else self._load()

    def _sample_load(self) -> None:
        while self.load_lag:
            self._samples.append((time.monotonic(), self._load()))
            gevent.sleep(self.load_lag / SAMPLES_PER_LAG)

    def _apply_order(self, order: EngineOrder, start_response: Callable) -> Iterable[bytes]:
        if not self.orders.apply(order):
            start_response("409 Conflict", [("Content-Type", "application/json")])
            return [b'"old fencing number"']
        return _json(start_response, {})


def _push(stream: EngineStream, data: str) -> None:
    stream.events.append(f"id: {len(stream.events)}\ndata: {data}\n\n".encode())
    stream.changed.set()


def _follow(stream: EngineStream, number: int) -> Iterator[bytes]:
    while True:
        while number < len(stream.events):
            yield stream.events[number]
            number += 1
        if stream.finished and number >= len(stream.events):
            return
        stream.changed.clear()
        stream.changed.wait()


def _start_stream(start_response: Callable, stream: EngineStream) -> None:
    headers = [("Content-Type", "text/event-stream"), ("Loomyard-Attempt", stream.attempt_id)]
    start_response("200 OK", headers)


def _json(start_response: Callable, value: object, attempt: str = "") -> Iterable[bytes]:
    headers = [("Content-Type", "application/json")]
    if attempt:
        headers.append(("Loomyard-Attempt", attempt))
    start_response("200 OK", headers)
    return [json.dumps(value).encode()]
