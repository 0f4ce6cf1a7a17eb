"""A connection from a caller."""

from __future__ import annotations

import asyncio
import collections
import functools
import logging
from typing import TYPE_CHECKING

from aiohttp.http_exceptions import LineTooLong

from balsamway.clock import now
from balsamway.entry.body_stream import BodyStream, read_body
from balsamway.entry.closing_cause import ClosingCause
from balsamway.entry.pending_response import PendingResponse
from balsamway.entry.request_protocol import RequestProtocol
from balsamway.entry.request_reader import HeadTooLarge
from balsamway.entry.response_encoder import encode_response
from balsamway.exchange.socket_options import bound_unacknowledged, enable_keepalive
from balsamway.exchange.streamed_body import BodyBroken, BodyTooLarge
from balsamway.outcome import NotRun, Reason
from balsamway.targets import header_names

if TYPE_CHECKING:
    from aiohttp.http_parser import RawRequestMessage
    from aiohttp.streams import StreamReader

    from balsamway.entry.entry_listener import EntryListener
    from balsamway.entry.request_reader import StartedRequest
    from balsamway.outcome import Verdict

MAX_PIPELINED_REQUESTS = 32
"""Bounds the requests of one connection that are in progress. Further ones
are left unread."""
MAX_UNSENT_BYTES = 64 << 10
"""While more bytes than this are not sent, no further response is written and
nothing is read."""
UNCHARGED_BYTES = 8 << 10
"""A connection that holds no more than this is not charged. It is one request
with a dozen headers, and charging it would cost processor time."""
BODY_COST = 2
"""How much memory a byte of a body takes: it is copied once when the body is
complete, and again when it is passed on."""
LINGER_SECONDS = 0.25
"""How long a connection stays half open after its last response. A socket
that is closed while the caller's bytes arrive discards what it has not sent
yet. The largest responses take a few round trips of some ms."""
GIVEN_UP_RETRY_AFTER_SECONDS = 1.0
"""The Retry-After time of a refusal for lack of memory. Bodies that stopped
are ended after the idle timeout; others arrive within about a second."""

logger = logging.getLogger(__name__)


class CallerConnection(RequestProtocol):
    """Handles a caller's requests concurrently and responds in their order."""

    def __init__(self, listener: EntryListener) -> None:
        super().__init__(listener.limits.max_header_bytes, listener.turns)
        self._listener = listener
        self._pending_responses: collections.deque[PendingResponse] = (
            collections.deque()
        )
        self._incomplete_bodies: list[StreamReader] = []
        """The bodies of requests that have not been passed on."""
        self._is_charged = False
        """Whether the budget knows of the connection."""
        self.is_refused = False
        """Whether the caller reached a bound, and the connection ends."""

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress."""
        return not self._pending_responses

    @property
    def last_active_at(self) -> float:
        """When bytes were last received or written, in event loop time."""
        return self._progress.active_at

    @property
    def is_unused(self) -> bool:
        """Whether the connection is open, and no request is in progress."""
        return (
            not self._is_half_closed
            and self.is_idle
            and self._progress.head_started_at is None
            and not self._reader.has_unread
        )

    @property
    def is_closing(self) -> bool:
        """Whether the connection is already being closed."""
        return self._is_half_closed

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the listener.

        Callers may read slowly, so no bound of the system applies to what they
        leave unread; see `check_progress`.
        """
        super().connection_made(transport)
        enable_keepalive(transport)
        if self.transport is not None:
            self.transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        self._listener.on_connected(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the requests that the caller no longer waits for."""
        super().connection_lost(exc)
        self._listener.on_disconnected(self)
        self._listener.budget.release(self)
        self._cancel_requests()

    def eof_received(self) -> None:
        """Close the connection when the caller closes its side.

        The return value None makes the transport close itself.
        """

    def resume_writing(self) -> None:
        """Write the responses that waited until the caller read others."""
        super().resume_writing()
        self._progress.on_sent(0)
        self._write_responses()
        if self._parses_data:
            self._parse()

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
        # Once the transport is closed, only the system can end a connection
        # whose caller does not read the rest.
        idle_timeout_seconds = self._listener.limits.idle_timeout_seconds
        bound_unacknowledged(transport, round(1000 * idle_timeout_seconds))
        transport.pause_reading()
        try:
            transport.write_eof()
        except OSError:
            # The caller has reset the connection, which the event loop has
            # not noticed yet.
            transport.abort()
            return
        self._loop.call_later(LINGER_SECONDS, transport.close)

    def close_immediately(self) -> None:
        """Close the connection without waiting for pending requests."""
        self._stop_reading()
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Drop what was not sent, and close the connection."""
        self._stop_reading()
        if self.transport is not None:
            self.transport.abort()

    def refuse_slow_head(self) -> None:
        """Refuse a request whose head did not arrive in time, and close."""
        if self._is_half_closed:
            return
        verdict = NotRun(Reason.BAD_REQUEST, "the head did not arrive in time")
        self._refuse(verdict, ClosingCause.SLOW_HEAD)

    def give_up(self, reason: str) -> None:
        """Drop all requests and responses, and close the connection.

        A request that has not been passed on is refused, unless another
        response has to be written before.

        Args:
            reason: Why the connection is given up.
        """
        pending = self._pending_responses
        is_refusable = not self._paused and (
            self._reader.has_head_begun
            if not pending
            else len(pending) == 1 and pending[0].payload in self._incomplete_bodies
        )
        first = pending[0] if pending else None
        self._stop_reading()
        self._note_closing(ClosingCause.MEMORY, reason)
        self._cancel_requests()
        if self.transport is None:
            return
        if self._is_half_closed or not is_refusable:
            self.transport.abort()
            return
        verdict = NotRun(Reason.OVERLOADED, reason, GIVEN_UP_RETRY_AFTER_SECONDS)
        request_id = None if first is None else first.request_id
        method = "GET" if first is None else first.method
        self.transport.write(encode_response(verdict, request_id, method, True))
        self.close()

    def check_progress(self) -> None:
        """End the connection if the caller makes no progress in time."""
        transport, progress = self.transport, self._progress
        if transport is None:
            return
        limits = self._listener.limits
        progress.on_sent(transport.get_write_buffer_size())
        if self._is_charged:
            self._charge()
            if self.transport is None or self.transport.is_closing():
                return
        if progress.is_sending_overdue(limits):
            self._note_closing(ClosingCause.UNREAD_RESPONSE)
            transport.abort()
        elif not self._accepts_data:
            return
        elif self._buffer_paused or self._reading_paused:
            progress.on_held_back()
        elif progress.head_started_at is not None:
            if progress.is_head_overdue(limits):
                self.refuse_slow_head()
        elif progress.is_inactive(limits):
            self._end_inactive()

    def _end_inactive(self) -> None:
        if self._reader.is_in_body:
            verdict = NotRun(Reason.REQUEST_TIMEOUT, "the body did not arrive in time")
            self._refuse(verdict, ClosingCause.STALLED_BODY)
        elif self.is_idle:
            self.close()

    @property
    def _is_caller_awaited(self) -> bool:
        """Whether a request has begun to arrive, and its bytes are read."""
        is_arriving = self._reader.is_in_body or self._reader.is_in_head
        return is_arriving and not (self._reading_paused or self._buffer_paused)

    @property
    def _is_full(self) -> bool:
        return self._paused or len(self._pending_responses) >= MAX_PIPELINED_REQUESTS

    def _charge(self) -> None:
        """Note the memory that the connection takes."""
        transport = self.transport
        if transport is None:
            return
        unsent_bytes = transport.get_write_buffer_size()
        held_bytes = self._reader.held_bytes + unsent_bytes
        for pending in self._pending_responses:
            held_bytes += pending.held_bytes
        if held_bytes <= UNCHARGED_BYTES:
            if self._is_charged:
                self._is_charged = False
                self._listener.budget.release(self)
            return
        self._is_charged = True
        if unsent_bytes:
            stalled_since: float | None = self._progress.sent_at
        elif self._is_caller_awaited:
            stalled_since = self.last_active_at
        else:
            stalled_since = None
        self._listener.budget.hold(self, held_bytes, stalled_since)

    def _start_request(self, request: StartedRequest) -> None:
        head, payload = request.head, request.payload
        if head.should_close:
            self._is_closing = True
        if not payload.is_eof():
            self._incomplete_bodies.append(payload)
            if head.headers.get("Expect", "").lower() == "100-continue":
                self._send_continue()
        task = self._loop.create_task(self._handle(head, payload, now()))
        request_id = head.headers.get(header_names.REQUEST_ID)
        self._pending_responses.append(
            PendingResponse(task, request_id, head.method, payload, request.cost_bytes)
        )
        task.add_done_callback(self._on_request_done)

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
            if payload not in self._incomplete_bodies:
                # The request was refused while this task ran. Its cancellation
                # comes at the next wait only, when it may have been sent.
                raise asyncio.CancelledError
            self._incomplete_bodies.remove(payload)
            if isinstance(body, NotRun):
                return body
            return await self._listener.handle_request(head, body, arrived)
        finally:
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
                    functools.partial(self._hold_body, payload),
                )
        except TimeoutError:
            return NotRun(Reason.DEADLINE_EXCEEDED, "the body did not arrive in time")
        except BodyTooLarge:
            return NotRun(Reason.BODY_TOO_LARGE)
        except BodyBroken as error:
            return NotRun(Reason.BAD_REQUEST, str(error))

    def _hold_body(self, payload: StreamReader, size: int) -> None:
        """Note how much of a body is held in addition to its head."""
        last = self._pending_responses[-1] if self._pending_responses else None
        if last is not None and last.payload is payload:
            last.body_bytes = BODY_COST * size
            self._charge()

    def _on_request_done(self, task: asyncio.Task[Verdict]) -> None:
        self._write_responses()
        if self._buffer_paused and self._parses_data:
            self._parse()

    def _write_responses(self) -> None:
        transport = self.transport
        while (
            transport is not None
            and not self._paused
            and self._pending_responses
            and self._pending_responses[0].task.done()
        ):
            self._write_response(transport, self._pending_responses.popleft())
        self._charge()
        if self._buffer_paused:
            self._update_reading()

    def _write_response(
        self, transport: asyncio.Transport, pending: PendingResponse
    ) -> None:
        verdict = pending.verdict()
        if verdict is None:
            return
        # Requests that have arrived are answered first.
        is_ending = self._is_closing or (
            self._listener.is_draining and not self._reader.has_unread
        )
        closes_connection = is_ending and not self._pending_responses
        transport.write(
            encode_response(
                verdict, pending.request_id, pending.method, closes_connection
            )
        )
        self._progress.on_active()
        if closes_connection:
            self.close()

    def _refuse_malformed(self, error: Exception) -> None:
        is_too_large = isinstance(error, HeadTooLarge | LineTooLong)
        if is_too_large or "Too many headers" in str(error):
            verdict = NotRun(Reason.HEADERS_TOO_LARGE, "the head is too large")
            cause = ClosingCause.HEAD_TOO_LARGE
        else:
            verdict = NotRun(Reason.BAD_REQUEST, "the request is not well-formed HTTP")
            cause = ClosingCause.MALFORMED
        self._refuse(verdict, cause, str(error)[:200])

    def _refuse(self, verdict: NotRun, cause: ClosingCause, detail: str = "") -> None:
        """Refuse the request that arrives, and close after its response."""
        was_in_body = self._reader.is_in_body
        self._stop_reading()
        self._note_closing(cause, detail)
        # The head takes memory until the parser is dropped.
        self._replace_reader()
        last = self._pending_responses[-1] if was_in_body else None
        if last is None or last.payload is None:
            task = self._loop.create_task(_resolved(verdict))
            self._pending_responses.append(PendingResponse(task, None, "GET"))
            task.add_done_callback(self._on_request_done)
        elif last.payload in self._incomplete_bodies:
            last.refusal = verdict
            last.task.cancel()
        else:
            # Part of the request has been passed on.
            last.payload.set_exception(ConnectionResetError(verdict.detail))

    def _note_closing(self, cause: ClosingCause, detail: str = "") -> None:
        self.is_refused = True
        self._listener.on_closing(cause, detail)

    def _cancel_requests(self) -> None:
        """Drop everything that is held for the caller.

        Bodies get no exception: it would refer to the frames that refer to
        them, and their memory would be kept until a garbage collection.
        """
        for pending in self._pending_responses:
            pending.task.cancel()
        self._incomplete_bodies.clear()
        self._pending_responses.clear()
        self._replace_reader()


async def _resolved(verdict: Verdict) -> Verdict:
    return verdict
