"""One connection from a caller."""

from __future__ import annotations

import asyncio
import collections
import logging
from typing import TYPE_CHECKING

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpRequestParser
from aiohttp.http_exceptions import HttpProcessingError, LineTooLong

from balsamway.clock import now
from balsamway.entry.answer_writer import encode_answer
from balsamway.entry.pending_answer import PendingAnswer
from balsamway.exchange.socket_options import bound_silence
from balsamway.outcome import MayHaveRun, NotRun, Reason
from balsamway.targets import header_names

if TYPE_CHECKING:
    from aiohttp.http_parser import RawRequestMessage
    from aiohttp.streams import StreamReader

    from balsamway.entry.entry_listener import EntryListener
    from balsamway.outcome import Verdict

BODY_BUFFER_BYTES = 1 << 20
PIPELINED_AT_MOST = 32
"""How many requests of a connection are in progress; more wait unread."""
LINGER_SECONDS = 0.25
"""How long a connection stays half open after its last answer. A socket that
is closed while a caller's bytes come in discards what it has not sent yet; the
largest answers take a few round trips of some ms."""

logger = logging.getLogger(__name__)


class CallerConnection(BaseProtocol):
    """Reads a caller's requests, runs them together, answers in order."""

    def __init__(self, listener: EntryListener) -> None:
        super().__init__(asyncio.get_running_loop())
        self._listener = listener
        limits = listener.limits
        self._requests = self._parser = HttpRequestParser(
            self,
            self._loop,
            BODY_BUFFER_BYTES,
            max_line_size=limits.max_header_bytes,
            max_headers=limits.max_header_bytes,
            max_field_size=limits.max_header_bytes,
            payload_exception=ConnectionResetError,
            auto_decompress=False,
        )
        self._answers: collections.deque[PendingAnswer] = collections.deque()
        self._payloads: list[StreamReader] = []
        self._closing = False
        """Whether the connection ends with the answers that are due."""
        self._reads = True
        """Whether bytes that come are taken, while a request may follow."""
        self._is_half_closed = False
        self.active_at = now()
        """When a byte last came or went."""
        self._head_began: float | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress."""
        return not self._answers

    @property
    def head_began(self) -> float | None:
        """When the head that is not whole yet began to arrive."""
        return self._head_began

    @property
    def _is_body_due(self) -> bool:
        return any(not payload.is_eof() for payload in self._payloads)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection."""
        super().connection_made(transport)
        bound_silence(transport)
        self._listener.on_connected(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancels what the caller no longer waits for."""
        super().connection_lost(exc)
        self._listener.on_disconnected(self)
        error = ConnectionResetError("the caller closed the connection")
        for payload in self._payloads:
            if not payload.is_eof():
                payload.set_exception(error)
        for pending in self._answers:
            pending.task.cancel()
        self._answers.clear()

    def eof_received(self) -> None:
        """Takes the end of the caller's side as the end of its interest."""

    def data_received(self, data: bytes) -> None:
        """Starts the requests that the bytes complete."""
        if not self._reads or (self._closing and not self._is_body_due):
            return
        self.active_at = now()
        try:
            messages, upgraded, _ = self._requests.feed_data(data)
        except (HttpProcessingError, ValueError) as error:
            self._refuse_malformed(error)
            return
        for head, payload in messages:
            self._head_began = None
            self._start(head, payload)
        if upgraded:
            self._end_reading()
        if data and not messages and self.is_idle and self._head_began is None:
            self._head_began = self.active_at
        if len(self._answers) >= PIPELINED_AT_MOST:
            self._pause_reading_for_buffer()

    def close(self) -> None:
        """Closes this side, and the connection once its answers are sent.

        What the caller sends meanwhile stays unread, so that it knows that
        its request was not taken.
        """
        self._end_reading()
        transport = self.transport
        if transport is None or transport.is_closing() or self._is_half_closed:
            return
        self._is_half_closed = True
        transport.pause_reading()
        transport.write_eof()
        self._loop.call_later(LINGER_SECONDS, transport.close)

    def drop(self) -> None:
        """Closes the connection at once."""
        self._end_reading()
        if self.transport is not None:
            self.transport.close()

    def refuse_slow_head(self) -> None:
        """Ends a connection whose request did not arrive in time."""
        if self._is_half_closed:
            return
        verdict = NotRun(Reason.BAD_REQUEST, "the head did not arrive in time")
        if self.transport is not None:
            self.transport.write(encode_answer(verdict, None, "GET", closes=True))
        self.close()

    def _start(self, head: RawRequestMessage, payload: StreamReader) -> None:
        if head.should_close:
            self._closing = True
        if not payload.is_eof():
            self._payloads.append(payload)
            if head.headers.get("Expect", "").lower() == "100-continue":
                self._continue()
        task = self._loop.create_task(self._verdict(head, payload, now()))
        request_id = head.headers.get(header_names.REQUEST_ID)
        self._answers.append(PendingAnswer(task, request_id, head.method))
        task.add_done_callback(self._on_answered)

    def _end_reading(self) -> None:
        self._closing = True
        self._reads = False

    def _continue(self) -> None:
        if self.transport is not None and self.is_idle:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    async def _verdict(
        self, head: RawRequestMessage, payload: StreamReader, arrived: float
    ) -> Verdict:
        body = await self._read_body(payload)
        if body is None:
            return NotRun(Reason.BODY_TOO_LARGE)
        if payload in self._payloads:
            self._payloads.remove(payload)
        return await self._listener.handle(head, body, arrived)

    async def _read_body(self, payload: StreamReader) -> bytes | None:
        limit = self._listener.limits.max_body_bytes
        parts: list[bytes] = []
        size = 0
        while part := await payload.readany():
            size += len(part)
            if size > limit:
                self._end_reading()
                return None
            parts.append(part)
        return b"".join(parts)

    def _on_answered(self, task: asyncio.Task[Verdict]) -> None:
        transport = self.transport
        while self._answers and self._answers[0].task.done():
            pending = self._answers.popleft()
            if transport is not None:
                self._write(transport, pending)
        has_room = len(self._answers) < PIPELINED_AT_MOST
        if self._buffer_paused and has_room and not self._is_half_closed:
            self._resume_reading_for_buffer()

    def _write(self, transport: asyncio.Transport, pending: PendingAnswer) -> None:
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
        ends = self._closing or self._listener.is_draining
        closes = ends and not self._answers
        transport.write(
            encode_answer(verdict, pending.request_id, pending.method, closes)
        )
        self.active_at = now()
        if closes:
            self.close()

    def _refuse_malformed(self, error: Exception) -> None:
        self._end_reading()
        reason = Reason.BAD_REQUEST
        if isinstance(error, LineTooLong) or "Too many headers" in str(error):
            reason = Reason.HEADERS_TOO_LARGE
        verdict = NotRun(reason, "the request is not well-formed HTTP")
        logger.info("request-malformed", extra={"error": str(error)[:200]})
        task = self._loop.create_task(_settled(verdict))
        self._answers.append(PendingAnswer(task, None, "GET"))
        task.add_done_callback(self._on_answered)


async def _settled(verdict: Verdict) -> Verdict:
    return verdict
