"""One request in the batch of the bench's engine."""

from __future__ import annotations

from attrs import define, field
from gevent import socket
from gevent.event import Event

TOKEN_DATA = b'data: {"object":"text_completion","choices":[{"index":0,"text":"t "}]}\n\n'
LAST_CHUNK = b"0\r\n\r\n"


@define(eq=False)
class BatchStream:
    """A request: what it asks for, what was made, and the connection that gets it."""

    attempt: str
    prompt_tokens: int
    tokens: int
    streamed: bool
    connection: socket.socket
    made: int = 0
    cancelled: bool = False
    broken: bool = False
    ended: Event = field(factory=Event)
    _unsent: bytes = b""

    def step(self) -> bool:
        """Make a token; true where it was the last."""
        if self.cancelled or self.broken:
            return True
        if self.streamed:
            self._send(_chunk(b"id: %d\n" % self.made + TOKEN_DATA))
        self.made += 1
        return self.made >= self.tokens

    def close(self) -> None:
        """Send the usage and the end of the stream."""
        if self.streamed:
            usage = b'id: %d\ndata: {"choices":[],"usage":%s}\n\n' % (self.made, self.usage())
            done = b"id: %d\ndata: [DONE]\n\n" % (self.made + 1)
            self._send(_chunk(usage) + _chunk(done) + LAST_CHUNK)
        self.ended.set()

    def usage(self) -> bytes:
        """Return the usage as JSON."""
        total = self.prompt_tokens + self.made
        counts = (self.prompt_tokens, self.made, total)
        return b'{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}' % counts

    def flush(self) -> None:
        """Send what the socket did not take; the connection blocks again."""
        if self._unsent and not self.broken:
            self.connection.sendall(self._unsent)

    def _send(self, data: bytes) -> None:
        # The connection does not block, so that one slow reader does not delay the batch.
        data = self._unsent + data
        try:
            sent = self.connection.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.broken = True
            return
        self._unsent = data[sent:]


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)
