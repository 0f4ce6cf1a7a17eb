"""A connection from a caller."""

from __future__ import annotations

import asyncio
import collections
import logging
from typing import TYPE_CHECKING

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpRequestParser
from aiohttp.http_exceptions import HttpProcessingError, LineTooLong

from balsamway.clock import now
from balsamway.entry.body_stream import MAX_WAITING_BYTES, BodyStream, read_body
from balsamway.entry.pending_response import PendingResponse
from balsamway.entry.response_encoder import encode_response
from balsamway.exchange.socket_options import bound_silence
from balsamway.exchange.streamed_body import BodyBroken, BodyTooLarge
from balsamway.outcome import MayHaveRun, NotRun, Reason
from balsamway.targets import header_names

if TYPE_CHECKING:
    from aiohttp.http_parser import RawRequestMessage
    from aiohttp.streams import StreamReader

    from balsamway.entry.entry_listener import EntryListener
    from balsamway.outcome import Verdict

BODY_BUFFER_BYTES = MAX_WAITING_BYTES // 2
"""The parser's buffer limit for a request body. The parser pauses reading at
twice this limit."""
MAX_PIPELINED_REQUESTS = 32
"""Bounds the requests of one connection that are in progress. Further ones
are left unread."""
LINGER_SECONDS = 0.25
"""How long a connection stays half open after its last response. A socket
that is closed while the caller's bytes arrive discards what it has not sent
yet. The largest responses take a few round trips of some ms."""

logger = logging.getLogger(__name__)


class CallerConnection(BaseProtocol):
    """Handles a caller's requests concurrently and responds in their order."""

    def __init__(self, listener: EntryListener) -> None:
        super().__init__(asyncio.get_running_loop())
        self._listener = listener
        limits = listener.limits
        self._request_parser = self._parser = HttpRequestParser(
            self,
            self._loop,
            BODY_BUFFER_BYTES,
            max_line_size=limits.max_header_bytes,
            max_headers=limits.max_header_bytes,
            max_field_size=limits.max_header_bytes,
            payload_exception=ConnectionResetError,
            auto_decompress=False,
        )
        self._pending_responses: collections.deque[PendingResponse] = (
            collections.deque()
        )
        self._incomplete_bodies: list[StreamReader] = []
        self._is_closing = False
        """Whether the connection is closed after the pending responses."""
        self._accepts_data = True
        """Whether received bytes are parsed instead of ignored."""
        self._is_half_closed = False
        """Whether this side of the connection is closed for writing."""
        self.last_active_at = now()
        """When bytes were last received or sent, in event loop time."""
        self._head_started_at: float | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress."""
        return not self._pending_responses

    @property
    def head_started_at(self) -> float | None:
        """When an incomplete request head began to arrive, or None."""
        return self._head_started_at

    @property
    def _is_body_incomplete(self) -> bool:
        return any(not payload.is_eof() for payload in self._incomplete_bodies)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the listener."""
        super().connection_made(transport)
        bound_silence(transport)
        self._listener.on_connected(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the requests that the caller no longer waits for."""
        super().connection_lost(exc)
        self._listener.on_disconnected(self)
        error = ConnectionResetError("the caller closed the connection")
        for payload in self._incomplete_bodies:
            if not payload.is_eof():
                payload.set_exception(error)
        for pending in self._pending_responses:
            pending.task.cancel()
        self._pending_responses.clear()

    def eof_received(self) -> None:
        """Close the connection when the caller closes its side.

        The return value None makes the transport close itself.
        """

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and start requests with a complete head."""
        if not self._accepts_data or (
            self._is_closing and not self._is_body_incomplete
        ):
            return
        self.last_active_at = now()
        try:
            messages, upgraded, _ = self._request_parser.feed_data(data)
        except (HttpProcessingError, ValueError) as error:
            self._refuse_malformed(error)
            return
        for head, payload in messages:
            self._head_started_at = None
            self._start_request(head, payload)
        if upgraded:
            self._stop_reading()
        if data and not messages and self.is_idle and self._head_started_at is None:
            self._head_started_at = self.last_active_at
        if len(self._pending_responses) >= MAX_PIPELINED_REQUESTS:
            self._pause_reading_for_buffer()

    def close(self) -> None:
        """Close this side, and the connection once its responses are sent.

        Bytes that the caller sends meanwhile are left unread, so that the
        caller knows that its request was not accepted.
        """
        self._stop_reading()
        transport = self.transport
        if transport is None or transport.is_closing() or self._is_half_closed:
            return
        self._is_half_closed = True
        transport.pause_reading()
        transport.write_eof()
        self._loop.call_later(LINGER_SECONDS, transport.close)

    def close_immediately(self) -> None:
        """Close the connection without waiting for pending requests."""
        self._stop_reading()
        if self.transport is not None:
            self.transport.close()

    def refuse_slow_head(self) -> None:
        """Refuse a request whose head did not arrive in time, and close."""
        if self._is_half_closed:
            return
        verdict = NotRun(
            Reason.BAD_REQUEST,
            "the head did not arrive in time",
        )
        if self.transport is not None:
            self.transport.write(
                encode_response(verdict, None, "GET", closes_connection=True)
            )
        self.close()

    def _start_request(self, head: RawRequestMessage, payload: StreamReader) -> None:
        if head.should_close:
            self._is_closing = True
        if not payload.is_eof():
            self._incomplete_bodies.append(payload)
            if head.headers.get("Expect", "").lower() == "100-continue":
                self._send_continue()
        task = self._loop.create_task(self._handle(head, payload, now()))
        request_id = head.headers.get(header_names.REQUEST_ID)
        self._pending_responses.append(PendingResponse(task, request_id, head.method))
        task.add_done_callback(self._on_request_done)

    def _stop_reading(self) -> None:
        self._is_closing = True
        self._accepts_data = False

    def _send_continue(self) -> None:
        if self.transport is not None and self.is_idle:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    async def _handle(
        self, head: RawRequestMessage, payload: StreamReader, arrived: float
    ) -> Verdict:
        if not payload.is_eof():
            return await self._handle_arriving(head, payload, arrived)
        if payload in self._incomplete_bodies:
            self._incomplete_bodies.remove(payload)
        body = payload.read_nowait()
        if len(body) > self._listener.limits.max_body_bytes:
            self._stop_reading()
            return NotRun(Reason.BODY_TOO_LARGE)
        return await self._listener.handle_request(head, body, arrived)

    async def _handle_arriving(
        self, head: RawRequestMessage, payload: StreamReader, arrived: float
    ) -> Verdict:
        """Handle a request whose body has not arrived to its end."""
        body: bytes | BodyStream | NotRun = b""
        try:
            body = await self._read_body(head, payload, arrived)
            if isinstance(body, NotRun):
                return body
            return await self._listener.handle_request(head, body, arrived)
        finally:
            if payload in self._incomplete_bodies:
                self._incomplete_bodies.remove(payload)
            if not payload.is_eof():
                # The rest of the body is not read, so nothing can follow it.
                self._stop_reading()
            if isinstance(body, BodyStream):
                body.close()

    def _body_deadline(self, head: RawRequestMessage, arrived: float) -> float | None:
        """Return when the first part of a body must be there.

        Args:
            head: The parsed head of the request.
            arrived: When it arrived, in event loop time.

        Returns:
            The end of the route's timeout, in event loop time, or None if no
            route matches the request.
        """
        host = head.headers.get("Host", "")
        seconds = self._listener.timeout_seconds(host, head.path)
        return None if seconds is None else arrived + seconds

    async def _read_body(
        self, head: RawRequestMessage, payload: StreamReader, arrived: float
    ) -> bytes | BodyStream | NotRun:
        """Read a request's body, or the first part of a large one.

        Args:
            head: The parsed head of the request.
            payload: The stream of the body.
            arrived: When the head arrived, in event loop time.

        Returns:
            The body, a stream of it, or why it is refused.
        """
        length = head.headers.get("Content-Length")
        try:
            async with asyncio.timeout_at(self._body_deadline(head, arrived)):
                return await read_body(
                    payload,
                    None if length is None else int(length),
                    self._listener.limits.max_body_bytes,
                )
        except TimeoutError:
            return NotRun(Reason.DEADLINE_EXCEEDED, "the body did not arrive in time")
        except BodyTooLarge:
            return NotRun(Reason.BODY_TOO_LARGE)
        except BodyBroken as error:
            return NotRun(Reason.BAD_REQUEST, str(error))

    def _on_request_done(self, task: asyncio.Task[Verdict]) -> None:
        transport = self.transport
        while self._pending_responses and self._pending_responses[0].task.done():
            pending = self._pending_responses.popleft()
            if transport is not None:
                self._write_response(transport, pending)
        has_capacity = len(self._pending_responses) < MAX_PIPELINED_REQUESTS
        if self._buffer_paused and has_capacity and not self._is_half_closed:
            self._resume_reading_for_buffer()

    def _write_response(
        self, transport: asyncio.Transport, pending: PendingResponse
    ) -> None:
        if pending.task.cancelled():
            return
        error = pending.task.exception()
        if error is not None:
            logger.error(
                "request-failed",
                exc_info=error,
                extra={"request_id": pending.request_id},
            )
            verdict: Verdict = MayHaveRun(Reason.INTERNAL_ERROR, "the gateway failed")
        else:
            verdict = pending.task.result()
        is_ending = self._is_closing or self._listener.is_draining
        closes_connection = is_ending and not self._pending_responses
        transport.write(
            encode_response(
                verdict, pending.request_id, pending.method, closes_connection
            )
        )
        self.last_active_at = now()
        if closes_connection:
            self.close()

    def _refuse_malformed(self, error: Exception) -> None:
        self._stop_reading()
        logger.info("request-malformed", extra={"error": str(error)[:200]})
        if self._is_body_incomplete:
            # The request with this body is refused or ended instead.
            for payload in self._incomplete_bodies:
                if not payload.is_eof():
                    payload.set_exception(ConnectionResetError(str(error)[:200]))
            return
        reason = Reason.BAD_REQUEST
        if isinstance(error, LineTooLong) or "Too many headers" in str(error):
            reason = Reason.HEADERS_TOO_LARGE
        verdict = NotRun(reason, "the request is not well-formed HTTP")
        task = self._loop.create_task(_resolved(verdict))
        self._pending_responses.append(PendingResponse(task, None, "GET"))
        task.add_done_callback(self._on_request_done)


async def _resolved(verdict: Verdict) -> Verdict:
    return verdict
