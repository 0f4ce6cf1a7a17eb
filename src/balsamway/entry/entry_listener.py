"""Listens for the connections of callers."""

from __future__ import annotations

import asyncio
import collections
import logging
import socket
from typing import TYPE_CHECKING

import mode

from balsamway.address import split_address
from balsamway.clock import now
from balsamway.entry.caller_connection import LINGER_SECONDS, CallerConnection
from balsamway.entry.closing_cause import ClosingCause
from balsamway.entry.turn_queue import TurnQueue
from balsamway.exchange import ByteBudget
from balsamway.observe.line_limit import LineLimit
from balsamway.outcome import NotRun, Reason
from balsamway.routing import CallerLimits
from balsamway.targets import header_names

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp.http_parser import RawRequestMessage

    from balsamway.entry.body_stream import BodyStream
    from balsamway.entry.caller_codec import CallerCodec
    from balsamway.entry.caller_metrics import CallerMetrics
    from balsamway.entry.entry_request import EntryRequest
    from balsamway.outcome import Verdict

LISTEN_BACKLOG = 1024
"""Bounds the connections that wait to be accepted."""
STOPPING_RETRY_AFTER_SECONDS = 0.05
"""The Retry-After time of a refusal because this host is stopping. It is
short because the retry goes to another host."""
MAX_REFUSAL_LINES_PER_SECOND = 50
"""Bounds the log lines about refused requests."""
MAX_CLOSING_LINES_PER_SECOND = 10
"""Bounds the log lines about callers that reached a bound."""
CHECK_INTERVAL_SECONDS = 0.5
"""How often the timeouts of connections are checked."""
DEFAULT_MAX_CONNECTIONS = 1_916
"""What a host with 4,096 descriptors keeps for callers."""
MIN_IDLE_SECONDS = 0.25
"""How long a connection is idle before it is closed for another one. A new
caller sends its request within a round trip."""
ROOM_POLL_SECONDS = 0.05
"""How often a connection to close is looked for while accepting is paused."""
ACCEPT_RETRY_SECONDS = 0.1
"""The pause after a connection could not be accepted."""

logger = logging.getLogger(__name__)


class EntryListener(mode.Service):
    """Accepts callers' connections, and drains them when the host stops."""

    def __init__(
        self,
        address: str,
        codec: CallerCodec,
        forward: Callable[[EntryRequest], Awaitable[Verdict]],
        budget: ByteBudget | None = None,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
        metrics: CallerMetrics | None = None,
        timeout_seconds: Callable[[str, str], float | None] = lambda host, path: None,
    ) -> None:
        """Create a listener that listens once it is started.

        Args:
            address: The `ip:port` to listen on. Port 0 selects a free port.
            codec: Decodes the requests.
            forward: Forwards a request and returns the verdict on it.
            budget: Bounds what the host holds. Without one, the listener has
                its own.
            max_connections: The most connections that are open at a time.
            metrics: The metrics that closed callers are counted in.
            timeout_seconds: Returns how long a request to a host name and
                path may take, None if that is not known.
        """
        super().__init__()
        self.budget = budget if budget is not None else ByteBudget()
        """Bounds what the host holds for callers and targets."""
        self.max_connections = max_connections
        """The most connections that are open at a time."""
        self.turns = TurnQueue()
        """Lets connections continue to parse in turn."""
        self._metrics = metrics
        self._closed_counts: collections.Counter[ClosingCause] = collections.Counter()
        self._accept_task: asyncio.Task[None] | None = None
        self._has_room = asyncio.Event()
        self._is_accepting_paused = False
        self._room_made_at = float("-inf")
        """When an unused connection was last closed to make room."""
        self._listen_address = address
        self._codec = codec
        self._forward = forward
        self.timeout_seconds = timeout_seconds
        self._bound_address: str | None = None
        self._connections: set[CallerConnection] = set()
        self.limits = CallerLimits()
        """The limits of the configuration in force."""
        self.is_draining = False
        """Whether each connection is closed after its next response."""
        self._in_progress = 0
        self._is_refusing = False
        """Whether every further request is refused."""
        self._line_limit = LineLimit(logger, MAX_REFUSAL_LINES_PER_SECOND)
        self._closing_lines = LineLimit(logger, MAX_CLOSING_LINES_PER_SECOND)

    @property
    def address(self) -> str:
        """The `ip:port` that the listener is bound to."""
        return self._bound_address or self._listen_address

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    @property
    def in_progress(self) -> int:
        """The number of requests in progress."""
        return self._in_progress

    async def on_start(self) -> None:
        """Start to listen."""
        sock = socket.create_server(
            split_address(self._listen_address), backlog=LISTEN_BACKLOG
        )
        sock.setblocking(False)
        ip, port = sock.getsockname()[:2]
        self._bound_address = f"{ip}:{port}"
        self._accept_task = asyncio.create_task(self._accept(sock))
        logger.info("callers-listening", extra={"address": self.address})

    async def on_stop(self) -> None:
        """Stop listening and close the remaining connections."""
        if self._accept_task is not None:
            self._accept_task.cancel()
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
        if self._accept_task is not None:
            self._accept_task.cancel()
        self.close_idle()
        while self._connections and now() - started_at < max_seconds:
            await self.sleep(0.05)
            self.close_idle()

    def close_idle(self) -> None:
        """Close the connections on which no request is in progress."""
        for connection in tuple(self._connections):
            if connection.is_unused:
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
        self._has_room.set()

    def on_closing(self, cause: ClosingCause, detail: str = "") -> None:
        """Count a caller that reached a bound, and log it.

        Args:
            cause: Which bound the caller reached.
            detail: More about it.
        """
        self._closed_counts[cause] += 1
        if self._metrics is not None:
            self._metrics.count_closed(cause)
        if self._closing_lines.allow():
            logger.info("caller-closed", extra={"cause": cause, "detail": detail})

    def dump(self) -> dict[str, object]:
        """Return the listener's state for the state dump."""
        return {
            "address": self.address,
            "draining": self.is_draining,
            "connections": len(self._connections),
            "max_connections": self.max_connections,
            "accepting_paused": self._is_accepting_paused,
            "in_progress": self._in_progress,
            "closed": dict(self._closed_counts),
        }

    async def _accept(self, sock: socket.socket) -> None:
        """Accept connections while there are fewer than may be open."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                await self._wait_for_room()
                try:
                    accepted, _ = await loop.sock_accept(sock)
                    # A cancellation would close the accepted connection.
                    await asyncio.shield(
                        loop.connect_accepted_socket(
                            lambda: CallerConnection(self), accepted
                        )
                    )
                except OSError as error:
                    # A caller may already have reset its connection. If the
                    # process has no descriptor left, one is free later.
                    if self._closing_lines.allow():
                        logger.warning("accept-failed", extra={"error": str(error)})
                    await asyncio.sleep(ACCEPT_RETRY_SECONDS)
        finally:
            sock.close()

    async def _wait_for_room(self) -> None:
        while len(self._connections) >= self.max_connections:
            self._is_accepting_paused = True
            self._has_room.clear()
            self._make_room()
            try:
                async with asyncio.timeout(ROOM_POLL_SECONDS):
                    await self._has_room.wait()
            except TimeoutError:
                pass
        self._is_accepting_paused = False

    def _make_room(self) -> None:
        """Close a connection that no request needs.

        One that is closing already, because its caller reached a bound, is
        closed first, and then the one that was idle for longest.
        """
        for connection in self._connections:
            if connection.is_refused and not connection.is_closing:
                connection.abort()
                return
        if now() - self._room_made_at < LINGER_SECONDS:
            # The last one that was closed is still open on the other side.
            return
        oldest = min(
            (connection for connection in self._connections if connection.is_unused),
            key=lambda connection: connection.last_active_at,
            default=None,
        )
        if oldest is None or now() - oldest.last_active_at < MIN_IDLE_SECONDS:
            return
        self._room_made_at = now()
        oldest.close()
        self.on_closing(ClosingCause.DESCRIPTORS)

    @mode.Service.task
    async def _check_connections(self) -> None:
        while not self.should_stop:
            await self.sleep(CHECK_INTERVAL_SECONDS)
            for connection in tuple(self._connections):
                connection.check_progress()
