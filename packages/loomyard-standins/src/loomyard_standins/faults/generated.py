"""Generation of the answers of fake targets."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from attrs import frozen

if TYPE_CHECKING:
    from loomyard.external.engine import TargetCall

DEFAULT_TOKENS = 6
MAX_TOKENS = 4096


@frozen
class GeneratedAnswer:
    """The marker of a call, its number of tokens and the chunks of its answer."""

    marker: str
    tokens: int
    chunks: list[bytes]


def generate_plain(call: TargetCall) -> GeneratedAnswer:
    """Return the answer of a plain service to a call, whatever the bytes of its body."""
    marker = call.body.decode(errors="backslashreplace")
    return GeneratedAnswer(marker, 0, [plain_body(marker).encode()])


def generate(call: TargetCall) -> GeneratedAnswer:
    """Return the answer of a model engine to a call, streamed if the call asks for it."""
    body = json.loads(call.body)
    marker, tokens = _read_marker(body.get("prompt")), _read_tokens(body.get("max_tokens"))
    if body.get("stream"):
        return GeneratedAnswer(marker, tokens, _stream_chunks(call.attempt_id, marker, tokens))
    return GeneratedAnswer(marker, tokens, [_whole_chunk(call.attempt_id, marker, tokens)])


def expected_text(marker: str, tokens: int) -> str:
    """Return the text that a fake engine generates for a marker."""
    return "".join(f"{marker}.{number} " for number in range(tokens))


def plain_body(marker: str) -> str:
    """Return the body with which a plain service answers a marker."""
    return json.dumps({"echo": marker})


def _read_marker(prompt: Any) -> str:
    return prompt if isinstance(prompt, str) else json.dumps(prompt)


def _read_tokens(value: Any) -> int:
    return value if type(value) is int and 0 <= value <= MAX_TOKENS else DEFAULT_TOKENS


def _stream_chunks(attempt_id: str, marker: str, tokens: int) -> list[bytes]:
    data: list[Any] = [
        {"id": attempt_id, "choices": [{"index": 0, "text": f"{marker}.{number} "}]}
        for number in range(tokens)
    ]
    data.append({"id": attempt_id, "choices": [], "usage": _usage(tokens)})
    texts = [*map(json.dumps, data), "[DONE]"]
    return [f"id: {n}\ndata: {text}\n\n".encode() for n, text in enumerate(texts)]


def _whole_chunk(attempt_id: str, marker: str, tokens: int) -> bytes:
    choice = {"index": 0, "text": expected_text(marker, tokens)}
    return json.dumps({"id": attempt_id, "choices": [choice], "usage": _usage(tokens)}).encode()


def _usage(tokens: int) -> dict[str, int]:
    return {"prompt_tokens": 1, "completion_tokens": tokens, "total_tokens": tokens + 1}
