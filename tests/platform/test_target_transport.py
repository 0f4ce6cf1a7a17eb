from __future__ import annotations

import asyncio
import contextlib

import pytest

from balsamway.exchange import ConnectionPool
from balsamway.forwarding.attempt_result import AttemptOutcome
from balsamway.outcome import Completed, MayHaveRun, NotRun
from balsamway.platform.target_transport import PlatformTargetTransport
from tests.fakes.scripted_target import answer, reset
from tests.platform.conftest import entry, entry_request


def request_id_of(received):
    return received.headers["balsamway-request-id"]


async def test_response_is_passed_on_unchanged(scripted, send):
    async def script(received, writer, number):
        writer.write(answer(request_id_of(received), b"bytes", extra="X-Own: yes"))

    target = await scripted(script)
    result = await send(target, entry_request("POST", body=b"order"))
    assert result.outcome is AttemptOutcome.SERVED
    assert isinstance(result.verdict, Completed)
    assert (result.verdict.status, result.verdict.body) == (200, b"bytes")
    assert result.verdict.headers["Balsamway-Response-Signature"] == "sig"
    assert result.verdict.headers["X-Own"] == "yes"
    received = target.received[0]
    assert (received.method, received.path, received.body) == ("POST", "/a/b", b"order")
    assert received.headers["balsamway-target-instance"] == "i-1"
    assert 0 < int(received.headers["balsamway-request-deadline"]) <= 500


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "HEAD", "POST"])
async def test_reset_of_an_idle_connection_does_not_resend_the_request(
    scripted, send, method
):
    async def script(received, writer, number):
        if number == 1:
            writer.write(answer(request_id_of(received)))
        else:
            reset(writer)

    target = await scripted(script)
    await send(target, entry_request("GET", "first"))
    result = await send(target, entry_request(method, "second"))
    assert isinstance(result.verdict, MayHaveRun)
    await asyncio.sleep(0.05)
    assert [request_id_of(received) for received in target.received] == [
        "first",
        "second",
    ]


async def test_extra_response_is_not_given_to_a_later_request(scripted, send):
    async def script(received, writer, number):
        writer.write(answer(request_id_of(received), b"own"))
        if number == 1:
            writer.write(answer(request_id_of(received), b"extra"))

    target = await scripted(script)
    for number in range(3):
        result = await send(target, entry_request(request_id=f"r{number}"))
        assert result.verdict.body == b"own"
        assert result.verdict.headers["Balsamway-Request-Id"] == f"r{number}"


async def test_late_extra_response_is_skipped_by_its_request_id(scripted, send):
    async def script(received, writer, number):
        if number == 2:
            writer.write(answer("r1", b"again"))
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(answer(request_id_of(received), b"own"))

    target = await scripted(script)
    await send(target, entry_request(request_id="r1"))
    result = await send(target, entry_request("PUT", "r2"))
    assert result.verdict.body == b"own"
    assert target.connections == 1
    await send(target, entry_request(request_id="r3"))
    assert target.connections == 2


async def test_idle_connection_that_receives_bytes_is_closed(scripted, send):
    async def script(received, writer, number):
        writer.write(answer(request_id_of(received)))
        if number == 1:
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")

    target = await scripted(script)
    await send(target)
    await asyncio.sleep(0.06)
    result = await send(target, entry_request(request_id="r2"))
    assert result.verdict.headers["Balsamway-Request-Id"] == "r2"
    assert target.connections == 2


@pytest.mark.parametrize(
    "invalid_response",
    [
        answer("r1", b"shor", length=5),
        b"\x00\x01 no answer\r\n\r\n",
        answer(None),
        answer("r1", signature=None),
        answer("r1", extra="Content-Encoding: gzip"),
        b"HTTP/1.1 200 X\r\nBalsamway-Request-Id: r1\r\n"
        b"Balsamway-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"5\r\nwho",
    ],
    ids=["short", "rubbish", "no id", "no signature", "encoded", "cut chunk"],
)
async def test_invalid_response_is_not_passed_on(scripted, send, invalid_response):
    async def script(received, writer, number):
        writer.write(invalid_response)
        await writer.drain()
        writer.close()

    target = await scripted(script)
    result = await send(target)
    assert isinstance(result.verdict, MayHaveRun)
    assert result.outcome is AttemptOutcome.CONNECTION_LOST


async def test_response_without_a_length_ends_with_its_connection(scripted, send):
    head = (
        b"HTTP/1.1 200 X\r\nBalsamway-Request-Id: r1\r\n"
        b"Balsamway-Response-Signature: s\r\n\r\n"
    )

    async def close_after_response(received, writer, number):
        writer.write(head + b"all of it")
        await writer.drain()
        writer.close()

    async def reset_during_response(received, writer, number):
        writer.write(head + b"all of")
        await writer.drain()
        await asyncio.sleep(0.02)
        reset(writer)

    result = await send(await scripted(close_after_response))
    assert result.verdict.body == b"all of it"
    result = await send(await scripted(reset_during_response))
    assert isinstance(result.verdict, MayHaveRun)


@pytest.mark.parametrize(
    ("status", "extra", "outcome"),
    [
        (503, "Balsamway-Not-Executed: 1", AttemptOutcome.SHED),
        (429, "Balsamway-Not-Executed: 1", AttemptOutcome.SHED),
        (421, "Balsamway-Not-Executed: 1", AttemptOutcome.KEY_NOT_HELD),
        (421, "Balsamway-Instance-Id: i-1", AttemptOutcome.KEY_NOT_HELD),
        (421, "Balsamway-Instance-Id: i-2", AttemptOutcome.WRONG_TARGET),
    ],
)
async def test_refusal_means_that_the_request_did_not_run(
    scripted, send, status, extra, outcome
):
    async def script(received, writer, number):
        writer.write(answer(request_id_of(received), b"", status, None, extra))

    result = await send(await scripted(script))
    assert isinstance(result.verdict, NotRun)
    assert result.outcome is outcome


@pytest.mark.parametrize("status", [500, 503, 504])
async def test_error_response_of_the_target_is_passed_on(scripted, send, status):
    async def script(received, writer, number):
        writer.write(answer(request_id_of(received), b"failed", status))

    result = await send(await scripted(script))
    assert result.outcome is AttemptOutcome.FAILED
    assert (result.verdict.status, result.verdict.body) == (status, b"failed")


async def test_request_without_a_response_may_have_run(scripted, send):
    async def script(received, writer, number):
        await asyncio.sleep(1)

    result = await send(await scripted(script), timeout=0.05)
    assert isinstance(result.verdict, MayHaveRun)
    assert result.outcome is AttemptOutcome.TIMED_OUT


async def test_refused_connection_means_that_the_request_did_not_run(scripted, send):
    async def script(received, writer, number):
        pass

    target = await scripted(script)
    await target.stop()
    result = await send(target)
    assert isinstance(result.verdict, NotRun)
    assert result.outcome is AttemptOutcome.UNREACHABLE


async def test_cancelled_attempt_resets_its_connection(scripted, send):
    connection_closed = asyncio.Event()

    async def script(received, writer, number):
        try:
            await asyncio.wait_for(writer.wait_closed(), 1)
        except OSError:
            pass
        connection_closed.set()

    target = await scripted(script)
    attempt = asyncio.create_task(send(target, timeout=5))
    while not target.received:
        await asyncio.sleep(0.005)
    attempt.cancel()
    await asyncio.wait_for(connection_closed.wait(), 0.5)


async def test_connection_is_not_reused_after_an_early_response_to_a_long_body(
    scripted, send
):
    """Guards against bytes of one body being read as the next request.

    The target responds before it has read the whole body, so the rest of the
    body is still to be sent over the connection.
    """
    body = b"x" * 8_000_000
    received_bytes = []
    writers = []

    async def respond_early(reader, writer):
        writers.append(writer)
        head = await reader.readuntil(b"\r\n\r\n")
        request_id = head.split(b"Balsamway-Request-Id: ")[1].split(b"\r\n")[0]
        writer.write(answer(request_id.decode(), b"early", 500))
        await writer.drain()
        await asyncio.sleep(0.05)
        received_bytes.append((head, await reader.read(-1)))

    server = await asyncio.start_server(respond_early, "127.0.0.1", 0, limit=1 << 16)

    class EarlyTarget:
        address = "{}:{}".format(*server.sockets[0].getsockname())

    first = await send(EarlyTarget, entry_request("POST", "r1", body))
    assert first.verdict.body == b"early"
    second = await send(EarlyTarget, entry_request("POST", "r2", b"y"))
    assert second.verdict.headers["Balsamway-Request-Id"] == "r2"
    server.close()
    for writer in writers:
        writer.transport.abort()
    # The transports close in the next iteration of the event loop.
    await asyncio.sleep(0)


async def test_attempt_does_not_wait_long_for_a_connection(scripted, send):
    async def script(received, writer, number):
        await asyncio.sleep(5)

    target = await scripted(script)
    blocking_attempts = [
        asyncio.create_task(send(target, entry_request(request_id=f"b{n}"), 5.0))
        for n in range(4)
    ]
    while len(target.received) < 4:
        await asyncio.sleep(0.005)
    began_at = asyncio.get_running_loop().time()
    result = await send(target, entry_request(request_id="r1"), 5.0)
    assert isinstance(result.verdict, NotRun)
    assert asyncio.get_running_loop().time() - began_at < 1.0
    for attempt in blocking_attempts:
        attempt.cancel()
    await asyncio.gather(*blocking_attempts, return_exceptions=True)


@pytest.mark.parametrize("status", [503, 429, 421])
async def test_refusal_without_a_request_id_is_not_trusted(scripted, send, status):
    async def script(received, writer, number):
        extra = "Balsamway-Not-Executed: 1"
        writer.write(answer(None, b"", status, None, extra))

    result = await send(await scripted(script))
    assert isinstance(result.verdict, MayHaveRun)


async def test_request_that_gets_no_connection_in_time_is_known_not_to_have_run(
    scripted, send
):
    async def never_answer(received, writer, number):
        await asyncio.sleep(5)

    target = await scripted(never_answer)
    busy = [asyncio.create_task(send(target, timeout=3.0)) for _ in range(4)]
    await asyncio.sleep(0.05)
    # The forwarder ends the attempt at the deadline, whatever its state.
    async with asyncio.timeout(0.3):
        result = await send(target, entry_request("POST", "r2"), timeout=0.3)
    assert isinstance(result.verdict, NotRun)
    for task in busy:
        task.cancel()
    await asyncio.gather(*busy, return_exceptions=True)
    assert "r2" not in [request_id_of(received) for received in target.received]


async def test_request_on_a_new_connection_that_is_reset_has_not_run():
    async def reset_at_once(reader, writer):
        reset(writer)

    server = await asyncio.start_server(reset_at_once, "127.0.0.1", 0)
    ip, port = server.sockets[0].getsockname()
    # Long enough for the reset to arrive on a busy machine.
    pool = ConnectionPool(f"{ip}:{port}", 4, settle_seconds=0.3)
    result = await PlatformTargetTransport().send(
        pool, entry(pool.address), entry_request("POST"), 1.0
    )
    server.close()
    assert isinstance(result.verdict, NotRun)
    assert result.outcome is AttemptOutcome.CONNECTION_REFUSED


async def test_new_connection_of_a_cancelled_request_is_closed():
    opened, ended = asyncio.Event(), asyncio.Event()

    async def wait_for_end(reader, writer):
        opened.set()
        with contextlib.suppress(ConnectionResetError):
            await reader.read()
        writer.close()
        ended.set()

    server = await asyncio.start_server(wait_for_end, "127.0.0.1", 0)
    ip, port = server.sockets[0].getsockname()
    pool = ConnectionPool(f"{ip}:{port}", 4, settle_seconds=30.0)
    acquiring = asyncio.create_task(pool.acquire())
    await asyncio.wait_for(opened.wait(), 2.0)
    await asyncio.sleep(0.05)
    acquiring.cancel()
    await asyncio.gather(acquiring, return_exceptions=True)
    await asyncio.wait_for(ended.wait(), 2.0)
    server.close()


async def test_a_request_is_not_written_if_the_target_went_out_of_use_meanwhile(
    scripted, send
):
    """Guards against a request to an evacuated zone after the wait.

    The connection stays usable, since the zone may be used again soon.
    """
    may_use = True

    async def script(received, writer, number):
        await asyncio.sleep(0.1)
        writer.write(answer(request_id_of(received)))

    target = await scripted(script)
    pool = ConnectionPool(target.address, 1)
    pool.may_use = lambda: may_use
    transport = PlatformTargetTransport()

    def attempt(request_id):
        request = entry_request("POST", request_id)
        return transport.send(pool, entry(target.address), request, 0.5)

    in_progress = asyncio.create_task(attempt("first"))
    await asyncio.sleep(0.05)
    waiting = asyncio.create_task(attempt("second"))
    await asyncio.sleep(0.02)
    may_use = False
    assert (await in_progress).outcome is AttemptOutcome.SERVED
    withheld = await waiting
    assert withheld.outcome is AttemptOutcome.WITHHELD
    assert isinstance(withheld.verdict, NotRun)
    may_use = True
    assert (await attempt("third")).outcome is AttemptOutcome.SERVED
    assert [request_id_of(received) for received in target.received] == [
        "first",
        "third",
    ]
    assert pool.lost == 0
    pool.abort()
