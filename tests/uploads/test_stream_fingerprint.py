"""Guards the quarantine: what a streamed body's fingerprint is."""

from __future__ import annotations

import asyncio

import pytest
from aiohttp.base_protocol import BaseProtocol
from aiohttp.streams import StreamReader

from balsamway.entry import BodyStream, EntryRequest
from balsamway.entry.body_stream import MAX_BUFFERED_BODY_BYTES
from balsamway.quarantine.fingerprint import fingerprint

FIRST = bytes(MAX_BUFFERED_BODY_BYTES)
LENGTH = 3 << 20


async def request_of(first, length, request_id="r1"):
    protocol = BaseProtocol(asyncio.get_running_loop())
    stream = BodyStream(StreamReader(protocol, 1 << 20), [first], length, LENGTH)
    return EntryRequest(request_id, "POST", "h", "/a", (), stream, 0.0, None, None)


async def test_a_retry_has_the_same_fingerprint_also_after_it_was_sent():
    """Guards the count of ends, which is taken when the body is gone."""
    sent = await request_of(FIRST + b"12", LENGTH)
    before = fingerprint(sent)
    await sent.body.read_chunk()
    sent.body.close()
    retry = await request_of(FIRST + b"12345", LENGTH, "r2")
    assert fingerprint(sent) == before == fingerprint(retry)


@pytest.mark.parametrize(
    ("first", "length"),
    [(b"x" + FIRST[1:], LENGTH), (FIRST, LENGTH + 1), (FIRST, None)],
)
async def test_other_large_bodies_have_other_fingerprints(first, length):
    """Guards innocent uploads to the path of one that ends targets."""
    one = fingerprint(await request_of(FIRST, LENGTH))
    assert fingerprint(await request_of(first, length)) != one
