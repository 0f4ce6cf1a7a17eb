"""Send requests to targets over HTTP."""

from __future__ import annotations

import asyncio
import functools
import logging
from typing import TYPE_CHECKING

import aiohttp
import msgspec
from yarl import URL

from balsamway.membership.target_health import TargetHealth
from balsamway.outcome import MayHaveRun, NotRun, Reason
from balsamway.targets import header_names
from balsamway.targets._attempt_progress import AttemptProgress, connection_trace
from balsamway.targets.bounded_read import read_bounded
from balsamway.targets.status_codes import is_final
from balsamway.targets.target_response import parse_response

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.outcome import Verdict
    from balsamway.store import Host
    from balsamway.targets.request import TargetRequest

logger = logging.getLogger(__name__)

KEEPALIVE_SECONDS = 60.0
"""How long an idle connection to a target stays open."""
CONNECT_TIMEOUT_SECONDS = 0.5
"""The maximum time to open a connection to a target."""
CANCEL_TIMEOUT_SECONDS = 0.05
"""The maximum time to wait for the response to a cancellation."""
CANCEL_TIMEOUT_FRACTION = 0.1
"""The fraction of an attempt's time that is reserved for its cancellation."""

MAX_CACHED_URLS = 4096
"""The maximum number of parsed URLs in the cache."""

_SKIPPED_HEADERS = ("Accept", "Accept-Encoding", "User-Agent")


class HttpTransport:
    """Send requests to targets, with one connection for each in flight."""

    def __init__(
        self,
        connection_limit: Callable[[Host], int],
        on_connection_opened: Callable[[], None] = lambda: None,
    ) -> None:
        """Initialize a transport that has no connections yet.

        Args:
            connection_limit: Returns how many connections this host may have
                to a target. It is the same for all targets of a service.
            on_connection_opened: Called for each connection that was opened.
        """
        self._connection_limit = connection_limit
        self._on_connection_opened = on_connection_opened
        self._sessions: dict[tuple[str, str, int], aiohttp.ClientSession] = {}
        self._cancellations: set[asyncio.Task[bool]] = set()

    async def send(self, target: Host, request: TargetRequest) -> Verdict:
        """Send one attempt. Cancelling the call cancels it at the target.

        Args:
            target: The target to send to.
            request: The attempt, with the time left until its deadline.

        Returns:
            The verdict on the attempt, by its deadline.
        """
        if self._connection_limit(target) < 1:
            return NotRun(Reason.CONNECT_FAILED, "this host has no connection")
        progress = AttemptProgress()
        cancel_seconds = min(
            CANCEL_TIMEOUT_SECONDS, CANCEL_TIMEOUT_FRACTION * request.timeout_seconds
        )
        try:
            async with asyncio.timeout(request.timeout_seconds - cancel_seconds):
                return await self._exchange(target, request, progress)
        except TimeoutError:
            if not progress.may_have_been_written:
                return NotRun(Reason.DEADLINE_EXCEEDED, "no connection in time")
            if await self._cancel(target, request, progress, cancel_seconds):
                return NotRun(Reason.DEADLINE_EXCEEDED)
            return MayHaveRun(Reason.DEADLINE_EXCEEDED)
        except asyncio.CancelledError:
            if progress.may_have_been_written:
                self._cancel_later(target, request, progress)
            raise

    async def health(self, target: Host, timeout_seconds: float) -> TargetHealth | None:
        """Request the health of a target, which keeps a connection warm.

        Args:
            target: The target.
            timeout_seconds: The maximum time to wait for the response.

        Returns:
            The reported health, or None if there was no usable response.
        """
        if self._connection_limit(target) < 1:
            return None
        url = f"http://{target.address}/health"
        try:
            async with (
                asyncio.timeout(timeout_seconds),
                self._session(target).get(url) as response,
            ):
                if not is_final(response.status):
                    return None
                return msgspec.json.decode(
                    await read_bounded(response), type=TargetHealth
                )
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.MsgspecError):
            return None

    async def close(self) -> None:
        """Close every connection after the pending cancellations."""
        if self._cancellations:
            await asyncio.wait(self._cancellations)
        for session in self._sessions.values():
            await session.close()
        self._sessions.clear()

    async def _exchange(
        self, target: Host, request: TargetRequest, progress: AttemptProgress
    ) -> Verdict:
        try:
            async with self._session(target).post(
                _request_url(target.address, request.service, request.kind),
                data=request.body,
                headers=_headers(request, progress.attempt_id),
                skip_auto_headers=_SKIPPED_HEADERS,
                allow_redirects=False,
                trace_request_ctx=progress,
            ) as response:
                verdict = await parse_response(response, request)
                if isinstance(verdict, MayHaveRun):
                    response.close()
                return verdict
        except (aiohttp.ClientError, OSError) as error:
            detail = type(error).__name__
            if progress.may_have_been_written:
                return MayHaveRun(Reason.CONNECTION_LOST, detail)
            return NotRun(Reason.CONNECT_FAILED, detail)

    async def _cancel(
        self,
        target: Host,
        request: TargetRequest,
        progress: AttemptProgress,
        timeout_seconds: float,
    ) -> bool:
        """Cancel an attempt at its target.

        Returns:
            Whether the target confirms that it received this attempt and that
            the attempt did not and will not run. A response about an earlier
            attempt of the request proves nothing about this one, which may
            not have arrived yet.
        """
        headers = {header_names.ATTEMPT: progress.attempt_id}
        url = f"http://{target.address}/requests/{request.request_id}"
        try:
            async with (
                asyncio.timeout(timeout_seconds),
                self._session(target).delete(url, headers=headers) as response,
            ):
                outcome = msgspec.json.decode(await read_bounded(response))
                not_run = {"outcome": "not-run", "attempt": progress.attempt_id}
                return response.status == 200 and outcome == not_run
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.MsgspecError):
            return False

    def _cancel_later(
        self, target: Host, request: TargetRequest, progress: AttemptProgress
    ) -> None:
        task = asyncio.create_task(
            self._cancel(target, request, progress, CANCEL_TIMEOUT_SECONDS)
        )
        self._cancellations.add(task)
        task.add_done_callback(self._cancellations.discard)

    def _session(self, target: Host) -> aiohttp.ClientSession:
        limit = self._connection_limit(target)
        name = (target.workspace, target.service, limit)
        session = self._sessions.get(name)
        if session is None:
            session = self._open_session(limit)
            self._sessions[name] = session
        return session

    def _open_session(self, limit: int) -> aiohttp.ClientSession:
        connector = aiohttp.TCPConnector(
            limit=0, limit_per_host=limit, keepalive_timeout=KEEPALIVE_SECONDS
        )
        return aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_SECONDS
            ),
            auto_decompress=False,
            trace_configs=[connection_trace(self._on_connection_opened)],
        )


@functools.lru_cache(maxsize=MAX_CACHED_URLS)
def _request_url(address: str, service: str, kind: str) -> URL:
    """Return the URL of a kind of request at a target, parsed once."""
    return URL(f"http://{address}/requests/{service}/{kind}", encoded=True)


def _headers(request: TargetRequest, attempt_id: str) -> dict[str, str]:
    headers = {
        header_names.ATTEMPT: attempt_id,
        header_names.WORKSPACE: request.workspace,
        header_names.REQUEST_ID: request.request_id,
        header_names.TIMEOUT_MS: str(int(request.timeout_seconds * 1000)),
        "Content-Type": request.content_type,
    }
    if request.shard is not None:
        headers[header_names.KEY] = request.key
        headers[header_names.SHARD] = str(request.shard)
        headers[header_names.EPOCH] = str(request.epoch)
    return headers
