"""A target that responds with the bytes that a test scripts."""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass, field


@dataclass
class Received:
    """A request as the target received it."""

    method: str
    path: str
    headers: dict
    body: bytes
    connection_requests: int = 1
    """The number of requests on this connection so far, with this one."""


@dataclass
class ScriptedTarget:
    """Calls `script(received, writer, number)` for each complete request.

    `number` counts the requests from 1.
    """

    script: object
    received: list = field(default_factory=list)
    connections: int = 0
    resets: int = 0
    address: str = ""
    _server: object = None
    _writers: set = field(default_factory=set)

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        ip, port = self._server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"
        return self

    async def stop(self):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.connections += 1
        self._writers.add(writer)
        requests = 0
        try:
            while (received := await read_request(reader)) is not None:
                requests += 1
                received.connection_requests = requests
                self.received.append(received)
                await self.script(received, writer, len(self.received))
        except (OSError, asyncio.IncompleteReadError):
            self.resets += 1
        finally:
            writer.close()


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    start_line, headers = head
    method, path, _ = start_line.split(" ")
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Received(method, path, headers, body)


async def read_answer(reader):
    """Read a response and return its status, headers and body.

    Return None at the end of the stream.
    """
    head = await read_head(reader)
    if head is None:
        return None
    start_line, headers = head
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return int(start_line.split(" ")[1]), headers, body


async def read_head(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    start_line, *lines = head.decode().split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(": ")
        headers[name.lower()] = value
    return start_line, headers


def answer(
    request_id, body=b"whole", status=200, signature="sig", extra="", length=None
):
    lines = [f"HTTP/1.1 {status} X"]
    if request_id is not None:
        lines.append(f"Balsamway-Request-Id: {request_id}")
    if signature is not None:
        lines.append(f"Balsamway-Response-Signature: {signature}")
    lines.append(f"Content-Length: {len(body) if length is None else length}")
    if extra:
        lines.append(extra)
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def reset(writer):
    """Close a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
