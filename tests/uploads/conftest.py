from __future__ import annotations

import asyncio
import hashlib

import pytest

from tests.fakes.raw_target import RawTarget, read_pieces
from tests.fakes.scripted_target import answer
from tests.fakes.upload_host import UploadHost

PIECE = bytes(range(256)) * 256


def pattern(size):
    """Return bytes in which a lost, repeated or moved piece is seen."""
    blocks = (size + 7) // 8
    return b"".join(number.to_bytes(8, "big") for number in range(blocks))[:size]


def head(size=None, request_id="r1", extra=""):
    framing = (
        "Transfer-Encoding: chunked" if size is None else f"Content-Length: {size}"
    )
    return (
        f"POST /a HTTP/1.1\r\nHost: h\r\nBalsamway-Request-Id: {request_id}\r\n"
        f"{extra}{framing}\r\n\r\n"
    ).encode()


def chunked(body, size):
    chunks = [body[begin : begin + size] for begin in range(0, len(body), size)]
    return b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)


async def answer_with_digest(headers, reader, writer, number):
    """Read the whole body, and respond with its digest."""
    digest = hashlib.sha256()
    async for piece in read_pieces(headers, reader):
        digest.update(piece)
    body = digest.hexdigest().encode()
    writer.write(answer(headers["balsamway-request-id"], body))


async def until(condition, seconds=5.0):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.005)


@pytest.fixture
async def host_for():
    """Return a function that starts a host for targets with given scripts."""
    started = []

    async def start(*scripts, **options):
        targets = [await RawTarget(script).start() for script in scripts]
        host = UploadHost([target.address for target in targets], **options)
        started.extend([*targets, await host.start()])
        return host, targets

    yield start
    for part in reversed(started):
        await part.stop()


@pytest.fixture
async def connect():
    writers = []

    async def connect(host):
        ip, port = host.listener.address.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        writers.append(writer)
        return reader, writer

    yield connect
    for writer in writers:
        writer.close()
