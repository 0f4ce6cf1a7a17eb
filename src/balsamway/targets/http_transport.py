"""Sends requests to targets over HTTP."""

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
from balsamway.targets._attempt_progress import AttemptProgress, progress_trace
from balsamway.targets.target_answer import judge_answer

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.outcome import Verdict
    from balsamway.store import Host
    from balsamway.targets.request import TargetRequest

logger = logging.getLogger(__name__)

KEEPALIVE_SECONDS = 60.0
CONNECT_TIMEOUT_SECONDS = 0.5
CANCEL_TIMEOUT_SECONDS = 0.05
"""The longest time that the answer to a cancellation is waited for."""
CANCEL_TIMEOUT_SHARE = 0.1
"""The part of an attempt's time that is kept for its cancellation."""

URLS_AT_MOST = 4096

_SKIPPED_HEADERS = ("Accept", "Accept-Encoding", "User-Agent")


class HttpTransport:
    """Carries requests to targets; one connection for each in flight."""

    def __init__(
        self,
        connection_limit: Callable[[Host], int],
        on_open: Callable[[], None] = lambda: None,
    ) -> None:
        """Makes a transport that has no connections yet.

        Args:
            connection_limit: Tells how many connections this host may have to
                a target; the same for all targets of a service.
            on_open: Called for each connection that was opened.
        """
        self._connection_limit = connection_limit
        self._on_open = on_open
        self._sessions: dict[tuple[str, str, int], aiohttp.ClientSession] = {}
        self._cancellations: set[asyncio.Task[bool]] = set()

    async def send(self, target: Host, request: TargetRequest) -> Verdict:
        """Sends one attempt; cancelling the call cancels it at the target.

        Args:
            target: The target to send to.
            request: The attempt, with the time left to its deadline.

        Returns:
            What became of the attempt, no later than its deadline.
        """
        if self._connection_limit(target) < 1:
            return NotRun(Reason.CONNECT_FAILED, "this host has no connection")
        progress = AttemptProgress()
        cancel_seconds = min(
            CANCEL_TIMEOUT_SECONDS, CANCEL_TIMEOUT_SHARE * request.timeout_seconds
        )
        try:
            async with asyncio.timeout(request.timeout_seconds - cancel_seconds):
                return await self._exchange(target, request, progress)
        except TimeoutError:
            if not progress.has_connection:
                return NotRun(Reason.DEADLINE_EXCEEDED, "no connection in time")
            if await self._cancel(target, request, progress, cancel_seconds):
                return NotRun(Reason.DEADLINE_EXCEEDED)
            return MayHaveRun(Reason.DEADLINE_EXCEEDED)
        except asyncio.CancelledError:
            if progress.has_connection:
                self._cancel_later(target, request, progress)
            raise

    async def health(self, target: Host, timeout_seconds: float) -> TargetHealth | None:
        """Asks a target for its health, which keeps a connection warm.

        Args:
            target: The target to ask.
            timeout_seconds: The longest time to wait.

        Returns:
            What the target reports, or None if it gave no usable answer.
        """
        if self._connection_limit(target) < 1:
            return None
        url = f"http://{target.address}/health"
        try:
            async with (
                asyncio.timeout(timeout_seconds),
                self._session(target).get(url) as response,
            ):
                return msgspec.json.decode(await response.read(), type=TargetHealth)
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.MsgspecError):
            return None

    async def close(self) -> None:
        """Closes every connection, after the cancellations under way."""
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
                verdict = await judge_answer(response, request)
                if isinstance(verdict, MayHaveRun):
                    response.close()
                return verdict
        except (aiohttp.ClientError, OSError) as error:
            detail = type(error).__name__
            if progress.has_connection:
                return MayHaveRun(Reason.CONNECTION_LOST, detail)
            return NotRun(Reason.CONNECT_FAILED, detail)

    async def _cancel(
        self,
        target: Host,
        request: TargetRequest,
        progress: AttemptProgress,
        timeout_seconds: float,
    ) -> bool:
        """Cancels an attempt at its target.

        Returns:
            Whether the target says that this attempt, which it had received,
            did not run and will not. What it says of the request's earlier
            attempts tells nothing of one that is still on its way.
        """
        headers = {header_names.ATTEMPT: progress.attempt_id}
        url = f"http://{target.address}/requests/{request.request_id}"
        try:
            async with (
                asyncio.timeout(timeout_seconds),
                self._session(target).delete(url, headers=headers) as response,
            ):
                found = msgspec.json.decode(await response.read())
                not_run = {"outcome": "not-run", "attempt": progress.attempt_id}
                return response.status == 200 and found == not_run
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
            trace_configs=[progress_trace(self._on_open)],
        )


@functools.lru_cache(maxsize=URLS_AT_MOST)
def _request_url(address: str, service: str, kind: str) -> URL:
    """Makes the URL of a kind at a target, parsed once."""
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
