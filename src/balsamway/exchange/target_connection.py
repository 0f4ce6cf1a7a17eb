"""One connection to a target."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from aiohttp.base_protocol import BaseProtocol
from aiohttp.client_exceptions import ClientPayloadError
from aiohttp.http import HttpResponseParser
from aiohttp.http_exceptions import HttpProcessingError

from balsamway.clock import now
from balsamway.exchange.http_response import HttpResponse
from balsamway.exchange.not_sent import NotSent
from balsamway.exchange.response_lost import ResponseLost
from balsamway.exchange.socket_options import bound_silence, reset
from balsamway.targets import header_names

if TYPE_CHECKING:
    from aiohttp.http_parser import RawResponseMessage
    from aiohttp.streams import StreamReader

    from balsamway.exchange.http_request import HttpRequest

BUFFER_BYTES = 1 << 20
KEPT_SECONDS = 10.0
"""How long a connection is kept idle where the target names no time."""
KEPT_MARGIN_SECONDS = 1.0
"""Kept shorter than the target does by this, so that it is not closed just
as a request is written."""
HEADERS_AT_MOST_BYTES = 65_536

logger = logging.getLogger(__name__)


class TargetConnection(BaseProtocol):
    """Carries one exchange at a time and never repeats a request.

    The library's client sends a request again by itself when a kept
    connection breaks, and takes bytes that come late for the answer to the
    next request. Neither is allowed here, so this uses its parser only.
    """

    def __init__(self) -> None:
        super().__init__(asyncio.get_running_loop())
        self._heads: asyncio.Queue[
            tuple[RawResponseMessage, StreamReader] | Exception
        ] = asyncio.Queue()
        self._payload: StreamReader | None = None
        self._parser: HttpResponseParser | None = None
        self._reusable = True
        self._closed = False
        self._ends_in_order = False
        self.idle_until = now() + KEPT_SECONDS
        """Until when the connection may be kept without a request."""

    @property
    def is_usable(self) -> bool:
        """Whether another exchange may begin."""
        return self._reusable and not self._closed and now() < self.idle_until

    @property
    def was_lost(self) -> bool:
        """Whether it ended though neither side had said so in an answer."""
        return not self._reusable and not self._ends_in_order

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bounds the silence of the new connection."""
        super().connection_made(transport)
        bound_silence(transport)

    def data_received(self, data: bytes) -> None:
        """Parses bytes; without an exchange they belong to no request."""
        if self._parser is None:
            if data:
                self.abort()
            return
        try:
            messages, upgraded, tail = self._parser.feed_data(data)
        except (HttpProcessingError, ValueError) as error:
            self._fail(error)
            return
        if upgraded or tail:
            self._reusable = False
        for head, payload in messages:
            self._payload = payload
            self._heads.put_nowait((head, payload))

    def eof_received(self) -> None:
        """Ends an answer that has no length of its own."""
        self._reusable = False
        if self._parser is None:
            return
        try:
            self._parser.feed_eof()
        except (HttpProcessingError, ValueError) as error:
            self._fail(error)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the exchange under way, if any."""
        super().connection_lost(exc)
        self._closed = True
        self._fail(ConnectionResetError(str(exc) if exc else "closed"))

    async def exchange(
        self, request: HttpRequest
    ) -> HttpResponse | ResponseLost | NotSent:
        """Writes a request and waits for its whole answer.

        A cancelled call resets the connection, which cancels the request at
        the target.

        Args:
            request: The request.

        Returns:
            The answer; `NotSent` if the connection had already closed.
        """
        if self._closed or self.transport is None or self.transport.is_closing():
            return NotSent("the connection was closed")
        self._begin(request)
        self.transport.write(request.encode())
        try:
            answer = await self._read(request)
        except BaseException:
            self.abort()
            raise
        if isinstance(answer, ResponseLost):
            self.abort()
        else:
            self._end(answer)
        return answer

    def abort(self) -> None:
        """Resets the connection."""
        self._reusable = False
        if self.transport is not None:
            reset(self.transport)

    def close(self) -> None:
        """Closes the connection in order."""
        if self._reusable:
            self._ends_in_order = True
        self._reusable = False
        if self.transport is not None:
            self.transport.close()

    def _begin(self, request: HttpRequest) -> None:
        self._payload = None
        self._parser = HttpResponseParser(
            self,
            self._loop,
            BUFFER_BYTES,
            max_line_size=HEADERS_AT_MOST_BYTES,
            max_field_size=HEADERS_AT_MOST_BYTES,
            payload_exception=ClientPayloadError,
            response_with_body=request.method != "HEAD",
            read_until_eof=True,
            auto_decompress=False,
        )
        if request.method == "HEAD":
            self._reusable = False

    async def _read(self, request: HttpRequest) -> HttpResponse | ResponseLost:
        try:
            while True:
                found = await self._heads.get()
                if isinstance(found, Exception):
                    return ResponseLost(f"{type(found).__name__}: {found}")
                head, payload = found
                body = await payload.read()
                if head.code < 200:
                    continue
                if head.should_close:
                    self._reusable = False
                    self._ends_in_order = True
                answer = HttpResponse(head.code, head.headers, body)
                if self._answers(answer, request):
                    return answer
                # A second answer to an earlier request; this one's follows.
                self._reusable = False
                logger.info(
                    "answer-skipped",
                    extra={
                        "request_id": request.request_id,
                        "other_id": answer.headers.get(header_names.REQUEST_ID),
                        "status": answer.status,
                    },
                )
        except (ClientPayloadError, HttpProcessingError, OSError) as error:
            return ResponseLost(f"{type(error).__name__}: {error}")

    def _answers(self, answer: HttpResponse, request: HttpRequest) -> bool:
        echoed = answer.headers.get(header_names.REQUEST_ID)
        if request.request_id is None or echoed is None:
            return True
        return echoed == request.request_id

    def _end(self, answer: HttpResponse) -> None:
        self._parser = None
        self._payload = None
        if not self._heads.empty() or self._unsent():
            self._reusable = False
        self.idle_until = now() + _kept_seconds(answer)
        if not self._reusable:
            self.abort()

    def _unsent(self) -> bool:
        transport = self.transport
        return transport is None or transport.get_write_buffer_size() > 0

    def _fail(self, error: Exception) -> None:
        self._reusable = False
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(ClientPayloadError(str(error)))
        self._heads.put_nowait(error)


def _kept_seconds(answer: HttpResponse) -> float:
    for part in answer.headers.get("Keep-Alive", "").split(","):
        name, _, value = part.strip().partition("=")
        if name == "timeout" and value.isdigit():
            return max(0.0, int(value) - KEPT_MARGIN_SECONDS)
    return KEPT_SECONDS - KEPT_MARGIN_SECONDS
