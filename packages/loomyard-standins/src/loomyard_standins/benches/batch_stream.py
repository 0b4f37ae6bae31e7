"""One request in the batch of the simulated engine."""

from __future__ import annotations

from attrs import define, field
from gevent import socket
from gevent.event import Event

TOKEN_DATA = b'data: {"object":"text_completion","choices":[{"index":0,"text":"t "}]}\n\n'
LAST_CHUNK = b"0\r\n\r\n"


@define(eq=False)
class BatchStream:
    """A completion request, the tokens generated so far and the connection of its answer."""

    attempt: str
    prompt_tokens: int
    max_tokens: int
    is_stream: bool
    connection: socket.socket
    generated: int = 0
    cancelled: bool = False
    disconnected: bool = False
    ended: Event = field(factory=Event)
    _unsent: bytes = b""

    def step(self) -> bool:
        """Generate one token; return true if the request has ended."""
        if self.cancelled or self.disconnected:
            return True
        if self.is_stream:
            self._send(_chunk(b"id: %d\n" % self.generated + TOKEN_DATA))
        self.generated += 1
        return self.generated >= self.max_tokens

    def close(self) -> None:
        """Send the usage event, ``[DONE]`` and the last chunk; wake the waiting handler."""
        if self.is_stream:
            usage = b'id: %d\ndata: {"choices":[],"usage":%s}\n\n' % (self.generated, self.usage())
            done = b"id: %d\ndata: [DONE]\n\n" % (self.generated + 1)
            self._send(_chunk(usage) + _chunk(done) + LAST_CHUNK)
        self.ended.set()

    def usage(self) -> bytes:
        """Return the token counts as a JSON object."""
        total = self.prompt_tokens + self.generated
        counts = (self.prompt_tokens, self.generated, total)
        return b'{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}' % counts

    def flush(self) -> None:
        """Send what the non-blocking socket did not accept; call once it blocks again."""
        if self._unsent and not self.disconnected:
            self.connection.sendall(self._unsent)

    def _send(self, data: bytes) -> None:
        # The socket is non-blocking so that a slow reader does not delay the whole batch.
        data = self._unsent + data
        try:
            sent = self.connection.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.disconnected = True
            return
        self._unsent = data[sent:]


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)
