"""Guards the process of an entry host against callers nobody controls.

The checks don't depend on the speed of the machine: the process lives, stays
within the memory and descriptors of its settings, and answers an ordinary
request while the crowd's connections stay open.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import pytest

from tests.entry import hostile_callers
from tests.entry.entry_process import EntryProcess

MEMORY_MB = 120
"""An idle process takes 50 to 70 MB."""
MAX_FDS = 400
"""200 are for files."""
SEND_SECONDS = 20.0
"""Bounds how long a crowd sends. A host may stop reading."""
CONNECT_SECONDS = 5.0
"""Bounds how long a caller waits for its connection. A host may stop
accepting."""

pytestmark = pytest.mark.processes


@dataclass(frozen=True)
class Crowd:
    """A number of callers that all send one form."""

    form: object
    callers: int
    response_bytes: int = 5


CROWDS = {
    "short-lines": Crowd(hostile_callers.short_lines, 150),
    "unusual-lines": Crowd(hostile_callers.unusual_lines, 150),
    "pipelined-short-lines": Crowd(hostile_callers.pipelined_short_lines, 6),
    "endless-head": Crowd(hostile_callers.endless_head, 6),
    "endless-short-lines": Crowd(hostile_callers.endless_short_lines, 6),
    "head-byte-by-byte": Crowd(hostile_callers.head_byte_by_byte, 450),
    "head-behind-a-request": Crowd(hostile_callers.head_behind_a_request, 450),
    "blank-lines": Crowd(hostile_callers.blank_lines, 6),
    "full-bodies": Crowd(hostile_callers.full_bodies, 40),
    "bodies-that-stop-short": Crowd(hostile_callers.bodies_that_stop_short, 40),
    "bodies-in-short-chunks": Crowd(hostile_callers.bodies_in_short_chunks, 8),
    "silence": Crowd(hostile_callers.silence, 600),
    "unread-responses": Crowd(hostile_callers.unread_responses, 10, 1_000_000),
    "endless-requests": Crowd(hostile_callers.endless_requests, 2, 64_000),
}


@pytest.fixture
async def start(tmp_path):
    """Return a function that starts a process, stopped at the end."""
    processes = []

    async def start(**settings):
        process = EntryProcess(tmp_path, **settings)
        processes.append(process)
        return await process.start()

    yield start
    for process in processes:
        await process.stop()


async def send(process, form, writers):
    """Send a form on one connection, as far as the host accepts it."""
    try:
        async with asyncio.timeout(CONNECT_SECONDS):
            # The small limit leaves unread bytes with the host.
            _, writer = await asyncio.open_connection(*process.address, limit=1_024)
        writers.append(writer)
        for piece in form(process):
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)
    except OSError:
        pass


@pytest.mark.parametrize("name", CROWDS)
async def test_a_crowd_of_hostile_callers_leaves_a_host_alive(start, name):
    crowd = CROWDS[name]
    process = await start(
        memory_mb=MEMORY_MB, max_fds=MAX_FDS, body=b"y" * crowd.response_bytes
    )
    writers = []
    tasks = [
        asyncio.create_task(send(process, crowd.form, writers))
        for _ in range(crowd.callers)
    ]
    try:
        await asyncio.wait(tasks, timeout=SEND_SECONDS)
        status = await process.ask_until_answered()
        assert process.is_alive
        assert status == 200
        assert process.peak_megabytes < MEMORY_MB
        assert process.peak_descriptors < MAX_FDS
    finally:
        for task in tasks:
            task.cancel()
        for writer in writers:
            writer.transport.abort()
        await asyncio.gather(*tasks, return_exceptions=True)


async def test_a_single_head_of_4000_lines_is_served(start):
    process = await start(memory_mb=MEMORY_MB, max_fds=MAX_FDS)
    data = process.head(extra=b"a:\r\n" * 4_000)
    assert len(data) <= 16_384
    assert await process.ask(data) == 200
    assert process.peak_megabytes < MEMORY_MB


async def test_a_single_large_body_is_served(start):
    process = await start(memory_mb=MEMORY_MB, max_fds=MAX_FDS)
    length = 6 << 20
    data = process.head(method="POST", extra=b"Content-Length: %d\r\n" % length)
    assert await process.ask(data + b"x" * length) == 200
    assert process.peak_megabytes < MEMORY_MB
