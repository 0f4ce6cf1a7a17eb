"""What each caller of a crowd sends to an entry host.

Each form yields the pieces that one caller sends on its connection. The
connection stays open afterwards, and nothing is read from it.
"""

from __future__ import annotations

from tests.entry.entry_process import MAX_HEADER_BYTES

PIECE_BYTES = 64 << 10
LARGE_BODY_BYTES = 6 << 20
"""A legal size. The bodies of a crowd exceed the memory of the host."""
PIPELINED_HEADS = 32
SHORT_CHUNKS = 1_000_000
ENDLESS_HEAD_BYTES = 40 << 20
BLANK_BYTES = 8 << 20
UNREAD_REQUESTS = 32
ENDLESS_REQUESTS = 4_000
ENDLESS_LINE_BYTES = 8_000
"""Makes the requests too many for the buffers of the sockets."""


def head_of_short_lines(host, name, spare_bytes=256):
    """Return the lines that fill a head of legal size."""
    line = name + b":\r\n"
    return line * ((MAX_HEADER_BYTES - spare_bytes) // len(line))


def short_lines(process):
    lines = head_of_short_lines("held.example", b"a")
    extra = lines + b"Content-Length: 10\r\n"
    yield process.head("held.example", "POST", extra) + b"x" * 9


def unusual_lines(process):
    """Repeats lines with distinct names and bytes that are no UTF-8."""
    lines = b"".join(b"%x:\xff\x80\r\n" % number for number in range(1_900))
    extra = lines + b"Content-Length: 10\r\n"
    yield process.head("held.example", "POST", extra) + b"x" * 9


def pipelined_short_lines(process):
    lines = head_of_short_lines("held.example", b"a")
    for _ in range(PIPELINED_HEADS):
        yield process.head("held.example", "GET", lines)


def endless_head(process):
    yield process.head()[:-2]
    line = b"X-More: " + b"y" * 8_000 + b"\r\n"
    for _ in range(ENDLESS_HEAD_BYTES // (8 * len(line))):
        yield line * 8


def endless_short_lines(process):
    yield process.head()[:-2]
    for _ in range(ENDLESS_HEAD_BYTES // (4 * PIECE_BYTES)):
        yield b"a:\r\n" * (PIECE_BYTES // 4)


def head_byte_by_byte(process):
    for byte in process.head()[:-2]:
        yield bytes((byte,))


def head_behind_a_request(process):
    yield process.head("held.example")
    yield process.head()[:-2]


def blank_lines(process):
    for _ in range(BLANK_BYTES // PIECE_BYTES):
        yield b"\r\n" * (PIECE_BYTES // 2)


def full_bodies(process):
    yield process.head("held.example", "POST", _length(LARGE_BODY_BYTES))
    for _ in range(LARGE_BODY_BYTES // PIECE_BYTES):
        yield b"x" * PIECE_BYTES


def bodies_that_stop_short(process):
    yield process.head("held.example", "POST", _length(LARGE_BODY_BYTES))
    for _ in range(LARGE_BODY_BYTES // PIECE_BYTES - 1):
        yield b"x" * PIECE_BYTES
    yield b"x" * (PIECE_BYTES - 1)


def bodies_in_short_chunks(process):
    yield process.head("held.example", "POST", b"Transfer-Encoding: chunked\r\n")
    for _ in range(SHORT_CHUNKS // 10_000):
        yield b"1\r\nx\r\n" * 10_000


def silence(process):
    yield b""


def unread_responses(process):
    for _ in range(UNREAD_REQUESTS):
        yield process.head()


def endless_requests(process):
    line = b"X-More: " + b"y" * ENDLESS_LINE_BYTES + b"\r\n"
    for _ in range(ENDLESS_REQUESTS):
        yield process.head(extra=line)


def _length(length):
    return b"Content-Length: %d\r\n" % length
