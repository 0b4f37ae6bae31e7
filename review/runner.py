"""A runner as a process: ID ADDRESS OPTIONS (JSON). It prints what it runs, a JSON line each."""

from __future__ import annotations

import asyncio
import json
import socket
import sys
import time

from standins import read_head

ID, ADDRESS, OPTIONS = sys.argv[1], sys.argv[2], json.loads(sys.argv[3])


def tell(**fields: object) -> None:
    print(json.dumps({"at": time.monotonic(), "runner": ID, **fields}), flush=True)


def event(number: int) -> bytes:
    """Return an event of a stream; what it says follows from its number alone."""
    text = f"piece-{number:05d}"
    if OPTIONS.get("id_last", False):
        return f"data: {text}\nid: {number}\n\n".encode()
    return f"id: {number}\ndata: {text}\n\n".encode()


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        while head := await read_head(reader):
            if not await answer(head, reader, writer):
                return
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def answer(head: tuple, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
    first, fields = head
    method, path, _ = first.split(" ")
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    if path == "/healthz":
        writer.write(f"HTTP/1.1 200 OK\r\nLoomyard-Instance-Id: {ID}\r\nContent-Length: 0\r\n\r\n".encode())
        return True
    attempt = fields.get("loomyard-attempt-id", "")
    expected = fields.get("loomyard-expect-instance", ID)
    common = f"Loomyard-Attempt-Id: {attempt}\r\nLoomyard-Server-Stamp: {ID}.{attempt}\r\n"
    if expected != ID:
        tell(rejected=attempt, expected=expected)
        writer.write(
            f"HTTP/1.1 421 Misdirected Request\r\nLoomyard-Instance-Id: {ID}\r\n"
            f"Loomyard-Attempt-Id: {attempt}\r\nLoomyard-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()
        )
        return True
    after = fields.get("last-event-id", "")
    tell(runs=attempt, path=path, after=after)
    if path.startswith("/draft/"):
        try:
            return await stream(attempt, int(after) + 1 if after else 0, common, writer)
        except ConnectionError:
            tell(gone=attempt)
            raise
    await asyncio.sleep(OPTIONS.get("work_s", 0.06))
    content = f"{attempt} done by one run of {path}\n".encode() * 10
    writer.write(
        f"HTTP/1.1 200 OK\r\n{common}Content-Length: {len(content)}\r\n\r\n".encode() + content
    )
    await writer.drain()
    tell(done=attempt)
    return True


async def stream(attempt: str, number: int, common: str, writer: asyncio.StreamWriter) -> bool:
    framed = OPTIONS.get("framed", True)
    framing = "Transfer-Encoding: chunked\r\n" if framed else ""
    writer.write(f"HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\n{framing}\r\n".encode())
    await asyncio.sleep(OPTIONS.get("first_s", 0.03))
    while number < OPTIONS["events"]:
        data = event(number)
        writer.write(b"%x\r\n%b\r\n" % (len(data), data) if framed else data)
        await writer.drain()
        number += 1
        await asyncio.sleep(OPTIONS.get("gap_s", 0.03))
    if framed:
        writer.write(b"0\r\n\r\n")
        await writer.drain()
    tell(done=attempt)
    return framed


async def main() -> None:
    host, _, port = ADDRESS.rpartition(":")
    server = await asyncio.start_server(serve, host, int(port), backlog=256)
    tell(started=True)
    async with server:
        await server.serve_forever()


asyncio.run(main())
