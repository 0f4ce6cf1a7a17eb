"""Listens for the connections of callers."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

import mode

from balsamway.address import split_address
from balsamway.clock import now
from balsamway.entry.caller_connection import CallerConnection
from balsamway.observe.line_limit import LineLimit
from balsamway.outcome import NotRun, Reason
from balsamway.routing import CallerLimits
from balsamway.targets import header_names

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp.http_parser import RawRequestMessage

    from balsamway.entry.body_stream import BodyStream
    from balsamway.entry.caller_codec import CallerCodec
    from balsamway.entry.entry_request import EntryRequest
    from balsamway.outcome import Verdict

LISTEN_BACKLOG = 1024
"""Bounds the connections that wait to be accepted."""
STOPPING_RETRY_AFTER_SECONDS = 0.05
"""The Retry-After time of a refusal because this host is stopping. It is
short because the retry goes to another host."""
MAX_REFUSAL_LINES_PER_SECOND = 50
"""Bounds the log lines about refused requests."""
CHECK_INTERVAL_SECONDS = 0.5
"""How often the idle and header timeouts of connections are checked."""

logger = logging.getLogger(__name__)


class EntryListener(mode.Service):
    """Accepts callers' connections, and drains them when the host stops."""

    def __init__(
        self,
        address: str,
        codec: CallerCodec,
        forward: Callable[[EntryRequest], Awaitable[Verdict]],
        timeout_seconds: Callable[[str, str], float | None] = lambda host, path: None,
    ) -> None:
        """Create a listener that listens once it is started.

        Args:
            address: The `ip:port` to listen on. Port 0 selects a free port.
            codec: Decodes the requests.
            forward: Forwards a request and returns the verdict on it.
            timeout_seconds: Returns how long a request to a host name and
                path may take, None if that is not known.
        """
        super().__init__()
        self._listen_address = address
        self._codec = codec
        self._forward = forward
        self.timeout_seconds = timeout_seconds
        self._server: asyncio.Server | None = None
        self._connections: set[CallerConnection] = set()
        self.limits = CallerLimits()
        """The limits of the configuration in force."""
        self.is_draining = False
        """Whether each connection is closed after its next response."""
        self._in_progress = 0
        self._is_refusing = False
        """Whether every further request is refused."""
        self._line_limit = LineLimit(logger, MAX_REFUSAL_LINES_PER_SECOND)

    @property
    def address(self) -> str:
        """The `ip:port` that the listener is bound to."""
        if self._server is None:
            return self._listen_address
        ip, port = self._server.sockets[0].getsockname()[:2]
        return f"{ip}:{port}"

    @property
    def in_progress(self) -> int:
        """The number of requests in progress."""
        return self._in_progress

    async def on_start(self) -> None:
        """Start to listen."""
        ip, port = split_address(self._listen_address)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(self), ip, port, backlog=LISTEN_BACKLOG
        )
        logger.info("callers-listening", extra={"address": self.address})

    async def on_stop(self) -> None:
        """Stop listening and close the remaining connections."""
        if self._server is not None:
            self._server.close()
        logger.info("callers-stopped", extra={"cut": self._in_progress})
        for connection in tuple(self._connections):
            connection.close_immediately()

    async def drain(self, accept_seconds: float, max_seconds: float) -> None:
        """Wait for the requests in progress to end, and close connections.

        Args:
            accept_seconds: How long further requests are accepted on the open
                connections.
            max_seconds: The longest time for the whole drain.
        """
        self.is_draining = True
        started_at = now()
        await self.sleep(accept_seconds)
        self._is_refusing = True
        if self._server is not None:
            self._server.close()
        self.close_idle()
        while self._connections and now() - started_at < max_seconds:
            await self.sleep(0.05)
            self.close_idle()

    def close_idle(self) -> None:
        """Close the connections on which no request is in progress."""
        for connection in tuple(self._connections):
            if connection.is_idle and connection.head_started_at is None:
                connection.close()

    async def handle_request(
        self, head: RawRequestMessage, body: bytes | BodyStream, arrived: float
    ) -> Verdict:
        """Decode and forward a request.

        Args:
            head: The parsed head of the request.
            body: The complete body of the request, or a stream of it.
            arrived: When the head arrived, in event loop time.

        Returns:
            The verdict on the request.
        """
        if self._is_refusing:
            # The request might not end before this host stops. The caller can
            # retry it at another host.
            refusal = NotRun(
                Reason.STOPPING, retry_after_seconds=STOPPING_RETRY_AFTER_SECONDS
            )
            return self._refuse(head, refusal)
        request = self._codec.read_request(head, body, arrived)
        if isinstance(request, NotRun):
            return self._refuse(head, request)
        self._in_progress += 1
        try:
            return await self._forward(request)
        finally:
            self._in_progress -= 1

    def _refuse(self, head: RawRequestMessage, refusal: NotRun) -> NotRun:
        if self._line_limit.allow():
            logger.info(
                "request-refused",
                extra={
                    "request_id": head.headers.get(header_names.REQUEST_ID),
                    "reason": refusal.reason,
                    "detail": refusal.detail,
                },
            )
        return refusal

    def on_connected(self, connection: CallerConnection) -> None:
        """Register a new connection."""
        self._connections.add(connection)

    def on_disconnected(self, connection: CallerConnection) -> None:
        """Remove a connection that was closed."""
        self._connections.discard(connection)

    def dump(self) -> dict[str, object]:
        """Return the listener's state for the state dump."""
        return {
            "address": self.address,
            "draining": self.is_draining,
            "connections": len(self._connections),
            "in_progress": self._in_progress,
        }

    @mode.Service.task
    async def _check_connections(self) -> None:
        while not self.should_stop:
            await self.sleep(CHECK_INTERVAL_SECONDS)
            for connection in tuple(self._connections):
                self._check_timeouts(connection)

    def _check_timeouts(self, connection: CallerConnection) -> None:
        if not connection.is_idle:
            return
        head_started_at = connection.head_started_at
        if head_started_at is not None:
            if now() - head_started_at > self.limits.header_timeout_seconds:
                connection.refuse_slow_head()
        elif now() - connection.last_active_at > self.limits.idle_timeout_seconds:
            connection.close()
