"""A connection to a target."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from aiohttp.base_protocol import BaseProtocol
from aiohttp.client_exceptions import ClientPayloadError
from aiohttp.http_exceptions import HttpProcessingError

from balsamway.clock import now
from balsamway.exchange.body_writer import write_body
from balsamway.exchange.http_response import HttpResponse
from balsamway.exchange.not_sent import NotSent
from balsamway.exchange.response_lost import ResponseLost
from balsamway.exchange.response_reader import MAX_RESPONSE_BYTES, ResponseReader
from balsamway.exchange.socket_options import (
    MAX_UNACKNOWLEDGED_MS,
    UNBOUNDED_MS,
    bound_silence,
    bound_unacknowledged,
    receive_unread,
    reset_connection,
    unacknowledged_bytes,
)
from balsamway.exchange.streamed_body import BodyBroken
from balsamway.targets import header_names
from balsamway.targets.status_codes import is_interim

if TYPE_CHECKING:
    from collections.abc import Iterator

    from balsamway.exchange.byte_budget import ByteBudget
    from balsamway.exchange.http_request import HttpRequest
    from balsamway.exchange.response_reader import CompleteResponse
    from balsamway.exchange.streamed_body import StreamedBody

DEFAULT_KEEP_ALIVE_SECONDS = 10.0
"""How long a target is assumed to keep an idle connection open if its
Keep-Alive header names no time."""
KEEP_ALIVE_MARGIN_SECONDS = 1.0
"""How much sooner than the target this host stops using an idle connection.
Otherwise the target might close it just as a request is written."""
SMALL_REQUEST_BYTES = 2 << 10
"""A request of this size fits the receive buffer of a target that reads
nothing, so it stays unacknowledged only if the target has vanished."""
MAX_EARLY_RESPONSE_BYTES = 256 << 10
"""Bounds what is read of a response when a write has failed."""

logger = logging.getLogger(__name__)


class TargetConnection(BaseProtocol):
    """Carries one exchange at a time and never sends a request twice.

    The client of aiohttp retries a request by itself when an idle connection
    was closed, and takes late bytes for the response to the next request.
    Neither is allowed here, so only the parser of aiohttp is used.
    """

    def __init__(
        self, budget: ByteBudget, max_response_bytes: int = MAX_RESPONSE_BYTES
    ) -> None:
        """Create a connection that is not open yet.

        Args:
            budget: Bounds the memory of all responses together.
            max_response_bytes: Bounds the bytes received in one exchange.
        """
        super().__init__(asyncio.get_running_loop())
        self._budget = budget
        self._max_response_bytes = max_response_bytes
        self._responses: asyncio.Queue[CompleteResponse | Exception] = asyncio.Queue()
        """The complete responses, and the error that came after them."""
        self._reader: ResponseReader | None = None
        """Parses the bytes of the exchange in progress."""
        self._body_writer: asyncio.Task[None] | None = None
        """Writes the streamed body of the exchange in progress."""
        self._may_stay_unread = False
        """Whether the target may read nothing until the request's deadline."""
        self.exchange_count = 0
        """The number of exchanges that were begun."""
        self._is_reusable = True
        self._is_closed = False
        self._ended_normally = False
        self.idle_until = now() + DEFAULT_KEEP_ALIVE_SECONDS
        """Until when the connection may stay idle, in event loop time."""

    @property
    def is_usable(self) -> bool:
        """Whether another exchange may begin on the connection."""
        is_open = self._is_reusable and not self._is_unwritable()
        return is_open and now() < self.idle_until

    @property
    def ended_unexpectedly(self) -> bool:
        """Whether the connection ended although no response announced it.

        A connection that this host closes while it is reusable has ended as
        expected.
        """
        has_ended = not self._is_reusable or self._is_unwritable()
        return has_ended and not self._ended_normally

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Enable the detection of an unresponsive target."""
        super().connection_made(transport)
        bound_silence(transport)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes.

        Bytes that arrive without an exchange belong to no request, so the
        connection is reset.
        """
        if self._reader is None:
            if data:
                self.abort()
            return
        if self._receive(self._reader.feed(data)):
            self._budget.hold(self, self._reader.held_bytes)

    def pause_reading(self) -> None:
        """Do nothing: bodies are taken from their streams as they arrive."""

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Do nothing; see `pause_reading`.

        Streams call this for each chunk that is taken. Otherwise each call
        would enter `data_received` once more.

        Args:
            resume_parser: Whether bytes may be left to be parsed.
        """

    def eof_received(self) -> None:
        """Complete a response whose end is the end of the connection."""
        self._is_reusable = False
        if self._reader is not None:
            self._receive(self._reader.feed_eof())

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the exchange in progress, if any."""
        transport = self.transport
        if exc and self._body_writer is not None and transport is not None:
            self.data_received(receive_unread(transport, MAX_EARLY_RESPONSE_BYTES))
        super().connection_lost(exc)
        self._is_closed = True
        self._fail(ConnectionResetError(str(exc) if exc else "closed"))

    async def exchange(
        self, request: HttpRequest
    ) -> HttpResponse | ResponseLost | NotSent:
        """Write a request and wait for its complete response.

        A response that arrives before a streamed body is written ends the
        exchange, and the connection with it. Cancelling the call resets the
        connection, which cancels the request at the target.

        Args:
            request: The request.

        Returns:
            The response, `NotSent` if the connection was already closed,
            or `ResponseLost` if it ended before the response was complete.

        Raises:
            BodyBroken: If a streamed body did not arrive from the caller.
        """
        body = request.body
        if not isinstance(body, bytes):
            return await self._exchange_streamed(request, body)
        transport = self.transport
        if transport is None or self._is_unwritable():
            return NotSent("the connection was closed")
        self._begin_exchange(request)
        data = request.encode()
        if len(data) > SMALL_REQUEST_BYTES:
            self._allow_slow_reading(transport)
        transport.write(data)
        return await self._receive_response(request)

    async def _exchange_streamed(
        self, request: HttpRequest, body: StreamedBody
    ) -> HttpResponse | ResponseLost | NotSent:
        if self._is_unwritable():
            return NotSent("the connection was closed")
        # Nothing is written for a caller that has broken off by now.
        first_piece = await body.read_chunk()
        task = asyncio.current_task()
        if task is not None and task.cancelling():
            # The caller was given up while the piece was taken.
            raise asyncio.CancelledError
        transport = self.transport
        if transport is None or self._is_unwritable():
            return NotSent("the connection was closed")
        self._begin_exchange(request)
        self._allow_slow_reading(transport)
        transport.write(request.encode())
        writer = self._loop.create_task(self._write_body(body, first_piece))
        self._body_writer = writer
        try:
            response = await self._receive_response(request)
        finally:
            self._body_writer = None
            writer.cancel()
            await asyncio.wait((writer,))
        return response

    def _allow_slow_reading(self, transport: asyncio.Transport) -> None:
        """Let the target read the request as slowly as its deadline allows.

        The system's bound would also end the request of a target that is slow
        or whose slots are taken, and that acknowledges bytes without reading.
        """
        if not self._may_stay_unread:
            self._may_stay_unread = True
            bound_unacknowledged(transport, UNBOUNDED_MS)

    def _bound_silence_again(self) -> None:
        """Bound the silence of the target, unless it has to read more."""
        transport = self.transport
        if transport is None or not self._may_stay_unread:
            return
        if not unacknowledged_bytes(transport):
            self._may_stay_unread = False
            bound_unacknowledged(transport, MAX_UNACKNOWLEDGED_MS)

    async def _write_body(self, body: StreamedBody, first_piece: bytes) -> None:
        try:
            await write_body(body, first_piece, self._write, self._drain_helper)
        except BodyBroken as error:
            error.is_sent = True
            self._fail(error)
            self.abort()
        except ConnectionError:
            # The end of the connection has failed the exchange.
            pass

    def _write(self, data: bytes) -> None:
        if self.transport is None or self._is_unwritable():
            raise ConnectionResetError("the connection was closed")
        self.transport.write(data)

    def _is_unwritable(self) -> bool:
        """Return whether nothing can be written any more.

        The event loop calls `connection_lost` a turn after the transport has
        noticed the end of the connection.
        """
        transport = self.transport
        return self._is_closed or transport is None or transport.is_closing()

    async def _receive_response(
        self, request: HttpRequest
    ) -> HttpResponse | ResponseLost:
        try:
            response = await self._read_response(request)
        except BaseException:
            self.abort()
            raise
        finally:
            self._budget.release(self)
        if isinstance(response, HttpResponse):
            self._end_exchange(response)
        else:
            self.abort()
        return response

    def give_up_response(self, reason: str) -> None:
        """Fail the exchange in progress, and reset the connection.

        Args:
            reason: Why the response is given up.
        """
        self._fail(ClientPayloadError(reason))
        self.abort()

    def abort(self) -> None:
        """Reset the connection."""
        self._is_reusable = False
        if self.transport is not None:
            reset_connection(self.transport)

    def close(self) -> None:
        """Close the connection after the buffered bytes are sent."""
        if self._is_reusable and not self._is_unwritable():
            self._ended_normally = True
        self._is_reusable = False
        if self.transport is not None:
            self.transport.close()

    def _begin_exchange(self, request: HttpRequest) -> None:
        self.exchange_count += 1
        has_body = request.method != "HEAD"
        self._reader = ResponseReader(
            self, self._loop, self._max_response_bytes, has_body
        )
        if request.method == "HEAD":
            self._is_reusable = False

    async def _read_response(self, request: HttpRequest) -> HttpResponse | ResponseLost:
        while True:
            received = await self._responses.get()
            if isinstance(received, BodyBroken):
                raise received
            if isinstance(received, Exception):
                return ResponseLost(f"{type(received).__name__}: {received}")
            head = received.head
            if is_interim(head.code):
                continue
            if head.should_close:
                self._is_reusable = False
                self._ended_normally = True
            response = HttpResponse(head.code, head.headers, received.body)
            if self._is_response_to(response, request):
                return response
            # This is a second response to an earlier request. The one to this
            # request follows.
            self._is_reusable = False
            logger.info(
                "answer-skipped",
                extra={
                    "request_id": request.request_id,
                    "other_id": response.headers.get(header_names.REQUEST_ID),
                    "status": response.status,
                },
            )

    def _is_response_to(self, response: HttpResponse, request: HttpRequest) -> bool:
        echoed_id = response.headers.get(header_names.REQUEST_ID)
        if request.request_id is None or echoed_id is None:
            return True
        return echoed_id == request.request_id

    def _end_exchange(self, response: HttpResponse) -> None:
        if self._reader is not None and self._reader.has_leftover:
            self._is_reusable = False
        self._reader = None
        if self._body_writer is not None and not self._body_writer.done():
            # The target responded before it had the whole body.
            self._is_reusable = False
            self._ended_normally = True
        if not self._responses.empty() or self._has_unsent_bytes():
            self._is_reusable = False
        self.idle_until = now() + _keep_alive_seconds(response)
        if self._is_reusable:
            self._bound_silence_again()
        else:
            self.abort()

    def _has_unsent_bytes(self) -> bool:
        transport = self.transport
        return transport is None or transport.get_write_buffer_size() > 0

    def _receive(self, responses: Iterator[CompleteResponse]) -> bool:
        """Queue responses, and fail the exchange after an invalid one.

        Returns:
            Whether the bytes so far are valid, and may be followed by others.
        """
        try:
            for response in responses:
                self._responses.put_nowait(response)
        except (ClientPayloadError, HttpProcessingError, ValueError) as error:
            self.give_up_response(f"{type(error).__name__}: {error}")
            return False
        return True

    def _fail(self, error: Exception) -> None:
        self._is_reusable = False
        self._reader = None
        self._responses.put_nowait(error)


def _keep_alive_seconds(response: HttpResponse) -> float:
    for parameter in response.headers.get("Keep-Alive", "").split(","):
        name, _, value = parameter.strip().partition("=")
        if name == "timeout" and value.isdigit():
            return max(0.0, int(value) - KEEP_ALIVE_MARGIN_SECONDS)
    return DEFAULT_KEEP_ALIVE_SECONDS - KEEP_ALIVE_MARGIN_SECONDS
