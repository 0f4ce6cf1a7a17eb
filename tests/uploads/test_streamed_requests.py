"""Large bodies over loopback sockets, from a caller to a scripted target."""

from __future__ import annotations

import asyncio
import hashlib
import logging

import pytest
from prometheus_client import CollectorRegistry

from balsamway.entry.body_stream import MAX_BUFFERED_BODY_BYTES
from balsamway.forwarding.attempt_result import AttemptOutcome
from balsamway.forwarding.request_log import RequestLog
from balsamway.forwarding.request_metrics import RequestMetrics
from balsamway.outcome import MayHaveRun, NotRun, Reason
from balsamway.routing import CallerLimits, RouteType
from tests.fakes.scripted_target import answer, read_answer, reset
from tests.uploads.conftest import (
    answer_with_digest,
    chunked,
    head,
    pattern,
    until,
)

LARGE = 4 << 20
MAX_BYTES = 6 << 20


def digest_of(body):
    return hashlib.sha256(body).hexdigest().encode()


async def read_some(reader):
    return await reader.read(65_536)


async def refuse(headers, writer):
    extra = "Balsamway-Not-Executed: 1"
    writer.write(answer(headers["balsamway-request-id"], b"", 503, None, extra))
    await writer.drain()


async def test_a_large_body_arrives_unchanged_with_its_length(host_for, connect):
    """Guards against lost, repeated or reordered pieces."""
    host, (target,) = await host_for(answer_with_digest)
    reader, writer = await connect(host)
    body = pattern(LARGE)
    writer.write(head(len(body)) + body)
    assert (await read_answer(reader))[2] == digest_of(body)
    assert target.heads[0]["content-length"] == str(LARGE)
    assert "transfer-encoding" not in target.heads[0]


@pytest.mark.parametrize("chunk_size", [1_000, 100_000])
async def test_a_large_body_without_a_length_is_sent_in_chunks(
    host_for, connect, chunk_size
):
    """Guards the framing of a body whose size is not known."""
    host, (target,) = await host_for(answer_with_digest)
    reader, writer = await connect(host)
    body = pattern(LARGE + 3)
    writer.write(head() + chunked(body, chunk_size) + b"0\r\n\r\n")
    assert (await read_answer(reader))[2] == digest_of(body)
    assert target.heads[0]["transfer-encoding"] == "chunked"
    assert "content-length" not in target.heads[0]


async def test_connections_are_reused_after_a_large_body(host_for, connect):
    """Guards against a new connection for each upload."""
    host, (target,) = await host_for(answer_with_digest)
    reader, writer = await connect(host)
    for number in range(3):
        body = pattern(LARGE + number)
        writer.write(head(len(body), f"r{number}") + body)
        assert (await read_answer(reader))[2] == digest_of(body)
    assert len(target.heads) == 3
    assert not target.ends


async def test_a_small_body_in_chunks_is_read_whole(host_for, connect):
    """Guards the second attempt of small bodies in chunks."""
    host, (target,) = await host_for(answer_with_digest)
    reader, writer = await connect(host)
    body = pattern(MAX_BUFFERED_BODY_BYTES)
    writer.write(head() + chunked(body, 50_000) + b"0\r\n\r\n")
    assert (await read_answer(reader))[2] == digest_of(body)
    assert target.heads[0]["content-length"] == str(len(body))


async def test_a_target_that_pauses_receives_the_whole_body(host_for, connect):
    """Guards against the end of a connection whose target reads nothing.

    The system resets a connection after `MAX_UNACKNOWLEDGED_MS` without
    progress, and a target with full slots reads nothing for longer.
    """

    async def pause_and_answer(headers, reader, writer, number):
        writer.transport.pause_reading()
        await asyncio.sleep(2.5)
        writer.transport.resume_reading()
        await answer_with_digest(headers, reader, writer, number)

    host, _ = await host_for(pause_and_answer, timeout_seconds=8.0)
    reader, writer = await connect(host)
    body = pattern(4 * LARGE)
    writer.write(head(len(body)) + body)
    assert (await read_answer(reader))[2] == digest_of(body)


async def test_the_caller_is_read_no_faster_than_the_target_reads(host_for, connect):
    """Guards the memory of the host against a target that reads nothing."""

    async def read_nothing(headers, reader, writer, number):
        await asyncio.sleep(60)

    host, _ = await host_for(read_nothing)
    _, writer = await connect(host)
    size = 48 << 20
    writer.write(head(size) + bytes(size))
    await asyncio.sleep(1.0)
    (connection,) = host.listener._connections
    assert connection._reading_paused
    assert writer.transport.get_write_buffer_size() > size // 2


async def test_a_stuck_target_is_ended_at_the_timeout_of_the_route(host_for, connect):
    """Guards the answer of a request whose target reads nothing."""

    async def read_nothing(headers, reader, writer, number):
        writer.transport.pause_reading()
        await asyncio.sleep(1.0)
        writer.transport.resume_reading()
        while await read_some(reader):
            pass

    host, (target,) = await host_for(read_nothing, timeout_seconds=0.5)
    reader, writer = await connect(host)
    writer.write(head(48 << 20) + bytes(24 << 20))
    async with asyncio.timeout(3.0):
        status, headers, _ = await read_answer(reader)
    assert (status, headers["connection"]) == (504, "close")
    await until(lambda: target.ends)
    assert target.ends == ["ConnectionResetError"]


async def test_a_body_that_does_not_arrive_is_answered_in_time(host_for, connect):
    """Guards the answer of a request whose caller stops in the first part."""
    host, (target,) = await host_for(answer_with_digest, timeout_seconds=0.3)
    reader, writer = await connect(host)
    writer.write(head(LARGE) + bytes(1_000))
    async with asyncio.timeout(3.0):
        status, headers, _ = await read_answer(reader)
    assert (status, headers["connection"]) == (504, "close")
    assert not target.heads


@pytest.mark.parametrize("is_chunked", [False, True])
async def test_a_caller_that_breaks_off_resets_the_target(
    host_for, connect, is_chunked
):
    """Guards a target against executing a part of a body."""
    host, (target,) = await host_for(answer_with_digest)
    _, writer = await connect(host)
    part = pattern(2 * MAX_BUFFERED_BODY_BYTES)
    writer.write(head() + chunked(part, 9_000) if is_chunked else head(LARGE) + part)
    await until(lambda: target.heads)
    writer.close()
    await until(lambda: target.ends)
    assert target.ends == ["ConnectionResetError"]
    assert host.finished.cancelled == 1


async def test_a_malformed_chunk_resets_the_target(host_for, connect):
    """Guards against a body that seems to end where its framing breaks."""
    host, (target,) = await host_for(answer_with_digest)
    reader, writer = await connect(host)
    writer.write(head() + chunked(pattern(2 * MAX_BUFFERED_BODY_BYTES), 9_000))
    await until(lambda: target.heads)
    writer.write(b"no size\r\n")
    status, headers, _ = await read_answer(reader)
    assert (status, headers["connection"]) == (502, "close")
    await until(lambda: target.ends)
    assert target.ends == ["ConnectionResetError"]
    assert host.finished.attempts == [[AttemptOutcome.BODY_BROKEN]]


async def test_a_malformed_chunk_in_the_first_part_is_refused(host_for, connect):
    """Guards against one request that gets two answers, or none."""
    host, (target,) = await host_for(answer_with_digest)
    reader, writer = await connect(host)
    writer.write(head() + b"3\r\nabc\r\n")
    await asyncio.sleep(0.02)
    writer.write(b"no size\r\n")
    assert (await read_answer(reader))[0] == 400
    assert await read_answer(reader) is None
    assert not target.heads


async def test_a_body_with_too_large_a_length_is_refused(host_for, connect):
    """Guards against reading and forwarding what exceeds `maxBodyBytes`."""
    host, (target,) = await host_for(answer_with_digest)
    host.listener.limits = CallerLimits(max_body_bytes=MAX_BYTES)
    reader, writer = await connect(host)
    writer.write(head(MAX_BYTES + 1))
    status, headers, _ = await read_answer(reader)
    assert (status, headers["connection"]) == (413, "close")
    assert not target.heads


async def test_chunks_that_exceed_the_bound_abort_the_exchange(host_for, connect):
    """Guards `maxBodyBytes` once a part was forwarded."""
    host, (target,) = await host_for(answer_with_digest)
    host.listener.limits = CallerLimits(max_body_bytes=MAX_BYTES)
    reader, writer = await connect(host)
    writer.write(head() + chunked(bytes(MAX_BYTES + 1), 50_000))
    status, headers, _ = await read_answer(reader)
    assert (status, headers["connection"]) == (502, "close")
    assert host.finished.verdicts == [
        MayHaveRun(Reason.BODY_TOO_LARGE, f"the body exceeds {MAX_BYTES} bytes")
    ]
    await until(lambda: target.ends)
    assert target.ends == ["ConnectionResetError"]


@pytest.mark.parametrize("ending", ["open", "closed", "reset"])
async def test_an_early_response_is_passed_on(host_for, connect, ending):
    """Guards a response that is ready, and the connection it came over."""

    async def answer_early(headers, reader, writer, number):
        await reader.readexactly(100_000)
        writer.write(answer(headers["balsamway-request-id"], b"early", 409))
        await writer.drain()
        match ending:
            case "closed":
                writer.close()
            case "reset":
                await asyncio.sleep(0.05)
                reset(writer)
            case _:
                while await read_some(reader):
                    pass

    host, (target,) = await host_for(answer_early)
    for number in range(2):
        reader, writer = await connect(host)
        writer.write(head(LARGE, f"r{number}") + bytes(2 * MAX_BUFFERED_BODY_BYTES))
        status, headers, body = await read_answer(reader)
        assert (status, body) == (409, b"early")
        assert headers["connection"] == "close"
    assert len(target.heads) == 2
    (state,) = host.targets.all()
    assert not state.pool._idle


async def test_a_full_response_to_a_fast_caller_survives_the_reset(host_for, connect):
    """Guards a response that a failing write would drop."""

    async def answer_and_reset(headers, reader, writer, number):
        writer.write(answer(headers["balsamway-request-id"], b"early", 409))
        writer.close()

    host, _ = await host_for(answer_and_reset)
    for number in range(20):
        reader, writer = await connect(host)
        writer.write(head(LARGE, f"r{number}") + bytes(LARGE))
        assert (await read_answer(reader))[0] == 409


@pytest.mark.parametrize("route_type", [RouteType.SAFE, RouteType.UPLOAD])
async def test_a_refusal_after_the_first_piece_is_final(host_for, connect, route_type):
    """Guards against a second attempt with the rest of a body."""

    async def read_and_refuse(headers, reader, writer, number):
        await reader.readexactly(10)
        await refuse(headers, writer)

    host, targets = await host_for(
        read_and_refuse, read_and_refuse, route_type=route_type
    )
    reader, writer = await connect(host)
    body = pattern(LARGE)
    writer.write(head(len(body)) + body)
    status, headers, _ = await read_answer(reader)
    assert status == 503
    assert "retry-after" in headers
    assert isinstance(host.finished.verdicts[0], NotRun)
    assert host.finished.attempts == [[AttemptOutcome.SHED]]
    assert sum(len(target.heads) for target in targets) == 1


@pytest.mark.parametrize("route_type", [RouteType.SAFE, RouteType.UPLOAD])
async def test_a_lost_connection_after_the_first_piece_may_have_run(
    host_for, connect, route_type
):
    """Guards against a second execution, and against a false refusal."""

    async def read_and_reset(headers, reader, writer, number):
        await reader.readexactly(10)
        reset(writer)

    host, targets = await host_for(
        read_and_reset, read_and_reset, route_type=route_type
    )
    reader, writer = await connect(host)
    writer.write(head(LARGE) + bytes(LARGE))
    assert (await read_answer(reader))[0] == 502
    assert host.finished.attempts == [[AttemptOutcome.CONNECTION_LOST]]
    assert sum(len(target.heads) for target in targets) == 1


async def test_an_attempt_that_sent_nothing_is_followed_by_another(host_for, connect):
    """Guards the second attempt of a body of which nothing was written."""

    async def serve(headers, reader, writer, number):
        await answer_with_digest(headers, reader, writer, number)

    host, targets = await host_for(serve, serve)
    await targets[0].stop()
    body = pattern(LARGE)
    for number in range(4):
        reader, writer = await connect(host)
        writer.write(head(len(body), f"r{number}") + body)
        assert (await read_answer(reader))[2] == digest_of(body)
    assert [AttemptOutcome.UNREACHABLE, AttemptOutcome.SERVED] in (
        host.finished.attempts
    )


async def test_a_buffered_body_is_sent_again_after_a_refusal(host_for, connect):
    """Guards the second attempt of bodies up to the bound."""

    async def read_and_refuse(headers, reader, writer, number):
        await reader.readexactly(int(headers["content-length"]))
        await refuse(headers, writer)

    host, targets = await host_for(read_and_refuse, read_and_refuse)
    reader, writer = await connect(host)
    writer.write(head(MAX_BUFFERED_BODY_BYTES) + bytes(MAX_BUFFERED_BODY_BYTES))
    assert (await read_answer(reader))[0] == 503
    assert [len(target.heads) for target in targets] == [1, 1]


async def test_metrics_and_log_tell_how_much_of_a_body_was_sent(
    host_for, connect, caplog
):
    """Guards operators against uploads that end without a trace."""
    caplog.set_level(logging.INFO)
    registry = CollectorRegistry()

    async def answer_early(headers, reader, writer, number):
        if number == 1:
            await answer_with_digest(headers, reader, writer, number)
            return
        writer.write(answer(headers["balsamway-request-id"], b"early", 507))
        while await read_some(reader):
            pass

    host, _ = await host_for(answer_early)
    host.forwarder._observers = (RequestLog(), RequestMetrics(registry))
    for number in range(2):
        reader, writer = await connect(host)
        sent = LARGE if number == 0 else 2 * MAX_BUFFERED_BODY_BYTES
        writer.write(head(LARGE, f"r{number}") + bytes(sent))
        await read_answer(reader)
    name = "balsamway_entry_streamed_requests_total"
    for ending in ("complete", "partial"):
        labels = {"service": "s", "sent": ending}
        assert registry.get_sample_value(name, labels) == 1
    sent_bytes = registry.get_sample_value(
        "balsamway_entry_streamed_bytes_total", {"service": "s"}
    )
    assert LARGE <= sent_bytes <= LARGE + 2 * MAX_BUFFERED_BODY_BYTES
    lines = [line for line in caplog.records if line.getMessage() == "request-ended"]
    assert lines[-1].body["sent"] == "partial"
    assert lines[-1].body["length"] == LARGE
