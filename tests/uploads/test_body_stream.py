from __future__ import annotations

import asyncio

import pytest
from aiohttp.base_protocol import BaseProtocol
from aiohttp.streams import StreamReader
from hypothesis import given
from hypothesis import strategies as st

from balsamway.entry.body_stream import (
    MAX_BUFFERED_BODY_BYTES,
    MAX_WAITING_BYTES,
    BodyStream,
    read_body,
)
from balsamway.exchange import BodyBroken, BodyTooLarge

LARGE = MAX_BUFFERED_BODY_BYTES + 1


class FakeProtocol(BaseProtocol):
    """A connection without a socket that notes whether it is paused."""

    def __init__(self):
        super().__init__(asyncio.get_running_loop())
        self.transport = object()
        self.is_paused = False

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self, resume_parser=True):
        self.is_paused = False


@pytest.fixture
async def protocol():
    return FakeProtocol()


@pytest.fixture
async def payload(protocol):
    return StreamReader(protocol, MAX_WAITING_BYTES // 2)


def feed(payload, *pieces, is_end=True):
    for piece in pieces:
        payload.feed_data(piece)
    if is_end:
        payload.feed_eof()


async def read_all(stream):
    pieces = []
    while piece := await stream.read_chunk():
        pieces.append(piece)
    return b"".join(pieces)


@pytest.mark.parametrize("length", [None, MAX_BUFFERED_BODY_BYTES])
async def test_a_body_up_to_the_bound_is_read_whole(payload, length):
    """Guards the second attempt after a refusal, which needs the bytes."""
    body = b"x" * MAX_BUFFERED_BODY_BYTES
    feed(payload, body[:9], body[9:])
    assert await read_body(payload, length, 2 * LARGE) == body


async def test_a_larger_body_becomes_a_stream_with_every_byte(payload):
    """Guards against a first part that is lost or sent twice."""
    body = b"a" * MAX_BUFFERED_BODY_BYTES + b"b" * 70_000
    feed(payload, body[:LARGE], is_end=False)
    stream = await read_body(payload, len(body), 2 * LARGE)
    assert isinstance(stream, BodyStream)
    assert (stream.length, stream.is_started, stream.is_complete) == (
        len(body),
        False,
        False,
    )
    feed(payload, body[LARGE:])
    assert await read_all(stream) == body
    assert stream.taken_bytes == len(body)
    assert stream.is_complete


async def test_the_caller_is_not_read_while_bytes_wait(payload, protocol):
    """Guards the memory of the host against a target that reads slowly."""
    stream = BodyStream(payload, (), None, 100 * LARGE)
    feed(payload, b"x" * (MAX_WAITING_BYTES + 1), is_end=False)
    assert protocol.is_paused
    assert len(await stream.read_chunk()) == MAX_WAITING_BYTES + 1
    assert not protocol.is_paused


async def test_a_body_longer_than_allowed_is_refused_unread(payload):
    """Guards against reading 64 MiB for a refusal that the length shows."""
    with pytest.raises(BodyTooLarge):
        await read_body(payload, 2 * LARGE, LARGE)


async def test_a_stream_that_exceeds_the_bound_fails(payload):
    """Guards the bound on bodies in chunks, whose length is not known."""
    feed(payload, b"x" * LARGE, is_end=False)
    stream = await read_body(payload, None, LARGE + 10)
    feed(payload, b"x" * 11)
    for _ in range(LARGE // MAX_WAITING_BYTES + 1):
        await stream.read_chunk()
    assert stream.taken_bytes == LARGE
    with pytest.raises(BodyTooLarge):
        await stream.read_chunk()


@pytest.mark.parametrize("taken", [0, 1])
async def test_a_caller_that_breaks_off_fails_the_stream(payload, taken):
    """Guards against sending the part of a body that has no end."""
    feed(payload, b"x" * LARGE, is_end=False)
    stream = await read_body(payload, 2 * LARGE, 2 * LARGE)
    for _ in range(taken):
        await stream.read_chunk()
    payload.set_exception(ConnectionResetError("closed"))
    with pytest.raises(BodyBroken):
        await stream.read_chunk()


async def test_the_held_bytes_are_told(payload):
    """Guards the memory budget against bytes that nobody accounts for."""
    told = []
    feed(payload, b"x" * LARGE, is_end=False)
    stream = await read_body(payload, 2 * LARGE, 2 * LARGE, told.append)
    assert told == [LARGE]
    payload.feed_data(b"y" * 10)
    taken = await stream.read_chunk()
    assert told[-1] == LARGE - len(taken) + 10
    stream.close()
    assert told[-1] == 0


@given(cuts=st.lists(st.integers(1, LARGE + 5_000), max_size=5))
def test_the_digest_does_not_depend_on_how_the_body_arrived(cuts):
    """Guards the quarantine, which must recognize a caller's retry."""
    body = bytes(range(256)) * 4_096 + b"z" * 6_000

    async def digest(pieces):
        payload = StreamReader(FakeProtocol(), MAX_WAITING_BYTES)
        feed(payload, *pieces)
        return BodyStream(payload, pieces, None, 2 * LARGE).first_digest

    ends = sorted({*cuts, len(body)})
    begins = [0, *ends[:-1]]
    pieces = [body[begin:end] for begin, end in zip(begins, ends, strict=True)]
    assert asyncio.run(digest(pieces)) == asyncio.run(digest([body]))
