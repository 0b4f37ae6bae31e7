"""A model engine over HTTP: continuous batching, streams that resume, a prefix cache."""

from __future__ import annotations

import hashlib
import json
from collections import OrderedDict
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

import gevent
from attrs import define, field
from gevent.event import Event
from gevent.lock import BoundedSemaphore
from gevent.pywsgi import WSGIServer

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

DEFAULT_TOKENS = 16
KEPT_STREAMS = 256
CACHED_PREFIXES = 64
PREFIX_LENGTH = 256


@define(eq=False)
class EngineStream:
    """The work of one attempt; ``events`` are whole server-sent events."""

    attempt_id: str
    prompt_tokens: int
    tokens: int
    events: list[bytes] = field(factory=list)
    made: int = 0
    finished: bool = False
    cancelled: bool = False
    grown: Event = field(factory=Event)


class EngineServer:
    """An engine that makes one token of each running request every step."""

    def __init__(
        self,
        *,
        model: str,
        slots: int = 8,
        step_seconds: float = 0.003,
        listen: tuple[str, int] = ("127.0.0.1", 0),
    ) -> None:
        self.model = model
        self.step_seconds = step_seconds
        self.streams: OrderedDict[str, EngineStream] = OrderedDict()
        self.opened: list[str] = []
        self.running = 0
        self.waiting = 0
        self.highest_fencing = -1
        self._slots = BoundedSemaphore(slots)
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._server = WSGIServer(listen, self._serve, log=None)

    @property
    def url(self) -> str:
        return f"http://{self._server.server_host}:{self._server.server_port}"

    def start(self) -> None:
        """Start to serve."""
        self._server.start()

    def stop(self) -> None:
        """Stop to serve."""
        self._server.stop()

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
            return _json(start_response, self._load())
        start_response("404 Not Found", [])
        return [b""]

    def _complete(self, environ: dict[str, Any], start_response: Callable) -> Iterable[bytes]:
        body = json.loads(environ["wsgi.input"].read())
        attempt = environ.get("HTTP_LOOMYARD_ATTEMPT", "")
        chat = environ["PATH_INFO"].endswith("/chat/completions")
        prompt = json.dumps(body.get("messages") or body.get("prompt", ""))
        stream = EngineStream(
            attempt, max(1, len(prompt) // 4), int(body.get("max_tokens") or DEFAULT_TOKENS)
        )
        self.opened.append(attempt)
        self.streams[attempt] = stream
        while len(self.streams) > KEPT_STREAMS:
            self.streams.popitem(last=False)
        self._touch_prefix(prompt)
        gevent.spawn(self._generate, stream, chat)
        if body.get("stream"):
            _start_stream(start_response, stream)
            return _follow(stream, 0)
        for _ in _follow(stream, 0):
            pass
        return _json(start_response, self._whole(stream, chat), attempt)

    def _generate(self, stream: EngineStream, chat: bool) -> None:
        self.waiting += 1
        with self._slots:
            self.waiting -= 1
            self.running += 1
            for number in range(stream.tokens):
                gevent.sleep(self.step_seconds)
                if stream.cancelled:
                    break
                stream.made += 1
                _push(stream, self._chunk(stream, chat, f"t{number} "))
            self.running -= 1
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
            "completion_tokens": stream.made,
            "total_tokens": stream.prompt_tokens + stream.made,
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
            "models": [self.model],
            "fencing": self.highest_fencing,
        }

    def _touch_prefix(self, prompt: str) -> None:
        prefix = hashlib.sha256(prompt[:PREFIX_LENGTH].encode()).hexdigest()
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        while len(self._prefixes) > CACHED_PREFIXES:
            self._prefixes.popitem(last=False)


def _push(stream: EngineStream, data: str) -> None:
    stream.events.append(f"id: {len(stream.events)}\ndata: {data}\n\n".encode())
    stream.grown.set()


def _follow(stream: EngineStream, number: int) -> Iterator[bytes]:
    while True:
        while number < len(stream.events):
            yield stream.events[number]
            number += 1
        if stream.finished and number >= len(stream.events):
            return
        stream.grown.clear()
        stream.grown.wait()


def _start_stream(start_response: Callable, stream: EngineStream) -> None:
    headers = [("Content-Type", "text/event-stream"), ("Loomyard-Attempt", stream.attempt_id)]
    start_response("200 OK", headers)


def _json(start_response: Callable, value: object, attempt: str = "") -> Iterable[bytes]:
    headers = [("Content-Type", "application/json")]
    if attempt:
        headers.append(("Loomyard-Attempt", attempt))
    start_response("200 OK", headers)
    return [json.dumps(value).encode()]
