"""Guards the memory of a host against the size of the bodies it passes on."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import sys
from pathlib import Path

import pytest

from tests.fakes.raw_target import RawTarget, read_pieces
from tests.fakes.scripted_target import answer, read_answer
from tests.uploads.conftest import chunked, head, pattern

ROOT = Path(__file__).parents[2]
BODY_BYTES = 64 << 20
HOST_MEGABYTES = 160
"""The memory of the smallest hosts."""
MAX_GROWTH_MEGABYTES = 16
"""A quarter of the body. The first part of 1 MiB is held, and a few hundred
KiB on each side."""
MAX_SECONDS = 30.0

pytestmark = pytest.mark.processes


@contextlib.asynccontextmanager
async def host_process(target, figures):
    """Run a host for a target, and note its memory at the end."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tests.uploads.host_process",
        target.address,
        cwd=ROOT,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        env={"PYTHONPATH": f"{ROOT / 'src'}:{ROOT}", "MALLOC_ARENA_MAX": "2"},
    )
    try:
        async with asyncio.timeout(MAX_SECONDS):
            yield (await process.stdout.readline()).decode().strip()
            output, _ = await process.communicate(b"")
            figures.update(json.loads(output))
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


async def send(address, request_id, body, is_chunked):
    ip, port = address.split(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    size = None if is_chunked else len(body)
    writer.write(head(size, request_id))
    step = 1 << 20
    for begin in range(0, len(body), step):
        piece = body[begin : begin + step]
        writer.write(chunked(piece, 100_000) if is_chunked else piece)
        await writer.drain()
    if is_chunked:
        writer.write(b"0\r\n\r\n")
    response = await read_answer(reader)
    writer.close()
    return response


def digest_script(pause_seconds):
    """Return a script that waits after each MiB of a body."""

    async def run(headers, reader, writer, number):
        digest = hashlib.sha256()
        size = 0
        async for piece in read_pieces(headers, reader):
            if size >> 20 != (size + len(piece)) >> 20:
                await asyncio.sleep(pause_seconds)
            size += len(piece)
            digest.update(piece)
        body = digest.hexdigest().encode()
        writer.write(answer(headers["balsamway-request-id"], body))

    return run


@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize("pause_seconds", [0.0, 0.02], ids=["fast", "slow"])
async def test_a_body_of_64_mib_arrives_unchanged_in_little_memory(
    is_chunked, pause_seconds
):
    """Guards the smallest host, which such a body ended."""
    body = pattern(BODY_BYTES)
    target = await RawTarget(digest_script(pause_seconds)).start()
    figures = {}
    try:
        async with host_process(target, figures) as address:
            status, _, digest = await send(address, "r1", body, is_chunked)
    finally:
        await target.stop()
    assert status == 200
    assert digest == hashlib.sha256(body).hexdigest().encode()
    growth = figures["peak_megabytes"] - figures["base_megabytes"]
    assert growth < MAX_GROWTH_MEGABYTES, figures
    assert figures["peak_megabytes"] < HOST_MEGABYTES, figures


async def test_a_target_that_reads_nothing_takes_little_memory():
    """Guards the host against bodies that wait for a target."""

    async def read_nothing(headers, reader, writer, number):
        await asyncio.sleep(MAX_SECONDS)

    target = await RawTarget(read_nothing).start()
    figures = {}
    try:
        async with host_process(target, figures) as address:
            body = bytes(BODY_BYTES)
            call = asyncio.ensure_future(send(address, "r1", body, False))
            await asyncio.sleep(1.5)
            call.cancel()
            await asyncio.wait((call,))
    finally:
        await target.stop()
    growth = figures["peak_megabytes"] - figures["base_megabytes"]
    assert growth < MAX_GROWTH_MEGABYTES, figures
