"""Guards against two interpretations of the bytes of a caller."""

from __future__ import annotations

import asyncio
import itertools
from unittest import mock

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpRequestParser
from aiohttp.http_exceptions import HttpProcessingError
from hypothesis import given, settings
from hypothesis import strategies as st

from balsamway.entry import EntryListener, EntryRequest, caller_connection
from balsamway.entry.caller_connection import CallerConnection
from balsamway.entry.request_reader import HeadTooLarge, RequestReader
from balsamway.exchange import ByteBudget
from balsamway.outcome import Completed
from balsamway.routing import CallerLimits

MAX_HEADER_BYTES = 200
EXAMPLES = 1_000
ERRORS = (HttpProcessingError, HeadTooLarge, ValueError)
PARTS = (
    b"GET / HTTP/1.1\r\n",
    b"GET /b HTTP/1.0\r\n",
    b"POST /a HTTP/1.1\r\n",
    b"HEAD http://h/ HTTP/1.1\r\n",
    b"CONNECT h:1 HTTP/1.1\r\n",
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    b"Host: h\r\n",
    b"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
    b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n\r\n\r\nx",
    b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"Content-Length: 3\r\n",
    b"Content-Length: +3\r\n",
    b"Content-Length: 0\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: identity\r\n",
    b"Connection: close\r\n",
    b"Upgrade: websocket\r\nConnection: Upgrade\r\n",
    b"X\xff: \x80\r\n",
    b"a:\r\n",
    b" folded\r\n",
    b"X-Long: " + b"y" * 120 + b"\r\n",
    b"\r\n",
    b"\r\n\r\n",
    b"\n",
    b"\r",
    b"3\r\nabc\r\n",
    b"4\r\n\r\n\r\n\r\n",
    b"3;e=f\r\nabc\r\n",
    b"0\r\n\r\n",
    b"0\r\nT: u\r\n\r\n",
    b"abc",
)
STREAMS = st.lists(
    st.one_of(st.sampled_from(PARTS), st.binary(max_size=6)), max_size=12
).map(b"".join)


class Protocol(BaseProtocol):
    """Lets bodies be buffered without a connection."""

    def __init__(self):
        super().__init__(asyncio.get_running_loop())

    def resume_reading(self, resume_parser=True):
        """Do nothing: nothing is ever paused."""


def describe(head, payload):
    body = payload.read_nowait(-1) if not payload.exception() else None
    return head.method, head.path, head.raw_headers, body, payload.is_eof()


def status_of(error):
    return 431 if isinstance(error, HeadTooLarge) else 400


async def read(pieces):
    """Return the requests in the pieces, and the status that ended them."""
    reader = RequestReader(Protocol(), asyncio.get_running_loop(), MAX_HEADER_BYTES)
    started, status = [], None
    try:
        for piece in pieces:
            reader.add(piece)
            while reader.has_unread and not reader.is_upgraded:
                request, _ = reader.read_next()
                if request is not None:
                    started.append(request)
    except ERRORS as error:
        status = status_of(error)
    return [describe(request.head, request.payload) for request in started], status


async def parse(data):
    """Return the requests as the parser alone reads them, or None."""
    parser = HttpRequestParser(
        Protocol(),
        asyncio.get_running_loop(),
        1 << 20,
        max_line_size=1 << 20,
        max_headers=1 << 20,
        max_field_size=1 << 20,
        auto_decompress=False,
    )
    try:
        messages, upgraded, _ = parser.feed_data(data)
    except ERRORS:
        return None
    return None if upgraded else [describe(*message) for message in messages]


def split(data, cuts):
    positions = sorted({cut % (len(data) + 1) for cut in cuts} | {0, len(data)})
    return [data[begin:end] for begin, end in itertools.pairwise(positions)]


@settings(max_examples=EXAMPLES, deadline=None)
@given(STREAMS, st.lists(st.integers(0, 2_000), max_size=12))
def test_splitting_the_bytes_differently_changes_nothing(data, cuts):
    whole = asyncio.run(read([data]))
    assert asyncio.run(read(split(data, cuts))) == whole
    assert asyncio.run(read([bytes((byte,)) for byte in data])) == whole


@settings(max_examples=EXAMPLES, deadline=None)
@given(STREAMS)
def test_no_request_is_read_that_the_parser_does_not_read(data):
    expected = asyncio.run(parse(data))
    found, status = asyncio.run(read([data]))
    if expected is None:
        return
    assert found == expected[: len(found)]
    # Only the bound of a head may end the reading of valid bytes.
    assert len(found) == len(expected) if status is None else status == 431


class Transport(asyncio.Transport):
    """Records what a connection writes."""

    def __init__(self):
        super().__init__()
        self.written = b""
        self.is_closed = False

    def write(self, data):
        self.written += data

    def write_eof(self):
        self.is_closed = True

    def close(self):
        self.is_closed = True

    def abort(self):
        self.is_closed = True

    def is_closing(self):
        return self.is_closed

    def get_write_buffer_size(self):
        return 0

    def set_write_buffer_limits(self, high=None, low=None):
        """Do nothing: every byte is sent at once."""

    def pause_reading(self):
        """Do nothing: the test gives all bytes."""

    def resume_reading(self):
        """Do nothing; see `pause_reading`."""


async def converse(pieces, budget_bytes):
    """Return the requests that were forwarded, and what was written."""
    forwarded, errors = [], []

    async def forward(request):
        forwarded.append(request)
        return Completed(200, {}, b"")

    asyncio.get_running_loop().set_exception_handler(
        lambda _, context: errors.append(context)
    )
    listener = EntryListener(
        "127.0.0.1:0", AnyCodec(), forward, ByteBudget(budget_bytes)
    )
    listener.limits = CallerLimits(max_header_bytes=MAX_HEADER_BYTES)
    connection, transport = CallerConnection(listener), Transport()
    connection.connection_made(transport)
    for piece in pieces:
        connection.data_received(piece)
        await asyncio.sleep(0)
    for _ in range(100):
        await asyncio.sleep(0)
    connection.connection_lost(None)
    await asyncio.sleep(0)
    assert errors == []
    assert listener.budget.held_bytes == 0
    return forwarded, transport.written


class AnyCodec:
    """Takes each request for valid."""

    def read_request(self, head, body, arrived):
        return EntryRequest(
            "r", head.method, "h", head.path, head.raw_headers, body, arrived, 1.0, None
        )


@settings(max_examples=EXAMPLES, deadline=None)
@given(
    STREAMS,
    st.lists(st.integers(0, 2_000), max_size=12),
    st.sampled_from([600, 4_000, 1_000_000]),
)
def test_a_connection_answers_only_what_was_asked(data, cuts, budget_bytes):
    found, _ = asyncio.run(read([data]))
    with mock.patch.object(caller_connection, "UNCHARGED_BYTES", 0):
        forwarded, written = asyncio.run(converse(split(data, cuts), budget_bytes))
    whole = [(method, path, body) for method, path, _, body, is_eof in found if is_eof]
    got = [(request.method, request.path, request.body) for request in forwarded]
    assert got == whole[: len(got)]
    assert written.count(b"HTTP/1.1 200 OK") <= len(got)
    assert written.count(b"HTTP/1.1 ") <= len(found) + 1 + written.count(b" 100 ")
